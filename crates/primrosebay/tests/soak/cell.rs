//! Member processes with a stand-in for the platform.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use primrosebay_platform::BOOT_VARIABLE;
use primrosebay_platform_standin::{
    API_KEY, Fault, HOST, MemberAddresses, Minion, PATH_PREFIX, Proxy, RunMonitor, Store,
    boot_file, config, job_body,
};
use primrosebay_transport::http_client::Client;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::{Pid, Signal, kill_process};

/// Kinds of disturbances that [`Cell::disturb`] knows.
pub const FAULTS: u32 = 11;

const MEMBERS: usize = 3;
const MINIONS: usize = 4;

/// Time-out of a call, longer than a member takes for any answer.
const CALL: Duration = Duration::from_secs(4);

/// Tells the temporary folders of several cells of a process apart.
static CELLS: AtomicU32 = AtomicU32::new(0);

#[derive(Debug)]
struct Process {
    name: String,
    boot: PathBuf,
    addresses: MemberAddresses,
    proxy: Proxy,
    child: Option<Child>,
    paused: bool,
}

#[derive(Debug, PartialEq, Eq)]
enum Answer {
    Accepted,
    Refused,
    Unknown,
}

#[derive(Debug)]
pub struct Cell {
    store: Store,
    minions: Vec<Minion>,
    watch: Arc<Mutex<RunMonitor>>,
    members: Vec<Process>,
    client: Client,
    /// Jobs with what their callers were told.
    jobs: Vec<(String, Answer)>,
    folder: PathBuf,
}

/// Returns free addresses for a member on a loopback address of its own. On a shared one its ports,
/// which are free until it starts and while it is down, can be taken by connections of other cells
/// or by their members; a member that finds its port taken ends and is never ready.
fn free_addresses(cell: u32, member: usize) -> [SocketAddr; 3] {
    let part = |n: u32| u8::try_from(n % 250).unwrap_or(0);
    let member = u32::try_from(member).unwrap_or(0);
    let ip = Ipv4Addr::new(
        127,
        1 + part(std::process::id()),
        part(cell),
        1 + part(member),
    );
    let listeners = [(); 3].map(|()| TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|l| l.local_addr().unwrap())
}

impl Process {
    /// Starts the process, which adds to the log of the member's earlier ones.
    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.log());
        let child = Command::new(env!("CARGO_BIN_EXE_primrosebay"))
            .arg("member")
            .env(BOOT_VARIABLE, &self.boot)
            .stdout(log.unwrap())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
        self.paused = false;
    }

    fn log(&self) -> PathBuf {
        self.boot.with_extension("log")
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process may have ended by an earlier signal.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Starts the process again if it has ended.
    fn revive(&mut self) {
        let ended = match &mut self.child {
            Some(child) => child.try_wait().unwrap().is_some(),
            None => true,
        };
        if ended {
            self.start();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Cell {
    pub async fn start() -> Self {
        let store = Store::start().await.unwrap();
        store.put_operator_record("config", &config(1));
        let watch = Arc::new(Mutex::new(RunMonitor::default()));
        let mut minions = Vec::new();
        for i in 0..MINIONS {
            let name = format!("minion-{i}");
            let minion = Minion::start(&name, &store, Arc::clone(&watch)).await;
            minions.push(minion.unwrap());
        }
        let number = CELLS.fetch_add(1, Ordering::Relaxed);
        let folder = format!("primrosebay-soak-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).unwrap();
        let mut members = Vec::new();
        for i in 0..MEMBERS {
            let proxy = Proxy::start(store.address()).await.unwrap();
            let [front, ready, internal] = free_addresses(number, i);
            let addresses = MemberAddresses {
                front,
                ready,
                internal,
                store: proxy.address(),
            };
            let name = format!("member-{i}");
            let boot = folder.join(&name);
            fs::write(&boot, boot_file(&name, addresses)).unwrap();
            let mut member = Process {
                name,
                boot,
                addresses,
                proxy,
                child: None,
                paused: false,
            };
            member.start();
            members.push(member);
        }
        Self {
            store,
            minions,
            watch,
            members,
            client: Client::new(),
            jobs: Vec::new(),
            folder,
        }
    }

    /// Waits until all members are ready.
    pub async fn wait_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        for i in 0..self.members.len() {
            while !self.is_ready(self.members[i].addresses.ready).await {
                let member = &mut self.members[i];
                let ended = member.child.as_mut().map(Child::try_wait);
                assert!(
                    Instant::now() < until,
                    "{} is not ready, ended: {ended:?}",
                    member.name
                );
                task::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Stops a member as planned and returns its log.
    pub fn stop_and_read(&mut self, member: usize) -> String {
        let member = &mut self.members[member];
        member.signal(Signal::TERM);
        let mut child = member.child.take().unwrap();
        child.wait().unwrap();
        fs::read_to_string(member.log()).unwrap()
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let path = "/api/readyz";
        let call = self
            .client
            .bytes(address, Method::Get, path, &[], None, CALL);
        call.await.is_ok_and(|(status, _)| status.is_success())
    }

    async fn call(
        &self,
        member: usize,
        method: Method,
        job: &str,
        body: Option<Vec<u8>>,
    ) -> Option<(u16, String)> {
        let address = self.members[member].addresses.front;
        let path = format!("{PATH_PREFIX}{job}");
        let headers = [
            ("Host", HOST),
            ("Credential", API_KEY),
            ("Deadline-Ms", "1000"),
        ];
        let call = self
            .client
            .bytes(address, method, &path, &headers, body, CALL);
        let (status, bytes) = call.await.ok()?;
        Some((status.into(), String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Submits a job at up to three members, as callers that try again do.
    pub async fn submit(&mut self, rng: &mut SmallRng) {
        let job = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..4);
        let cores = rng.random_range(5..20) * 100;
        let body = job_body(tasks, rng.random_range(50..800), cores).into_bytes();
        let mut answer = Answer::Refused;
        for _ in 0..3 {
            let member = rng.random_range(0..MEMBERS);
            if self.members[member].paused {
                continue;
            }
            let result = self.call(member, Method::Post, &job, Some(body.clone()));
            match result.await {
                Some((200, _)) => {
                    answer = Answer::Accepted;
                    break;
                }
                Some((503 | 429, _)) => {}
                _ => answer = Answer::Unknown,
            }
        }
        self.jobs.push((job, answer));
    }

    /// Submits a job at one member and returns the status with which another one answers a question
    /// for its state right after.
    pub async fn submit_and_look(&self, key: u64) -> Option<u16> {
        let job = format!("{key:016x}");
        let body = job_body(1, 50, 100).into_bytes();
        let accepted = self.call(1, Method::Post, &job, Some(body)).await?;
        assert_eq!(accepted.0, 200, "job {job} is accepted");
        let answer = self.call(0, Method::Get, &job, None).await;
        answer.map(|(status, _)| status)
    }

    /// Disturbs something, or ends a disturbance.
    pub fn disturb(&mut self, fault: u32, rng: &mut SmallRng) {
        let member = rng.random_range(0..MEMBERS);
        let minion = rng.random_range(0..MINIONS);
        let process = &mut self.members[member];
        match fault {
            0 => process.signal(Signal::KILL),
            1 => process.signal(Signal::TERM),
            2 => process.signal(Signal::HUP),
            3 => {
                process.paused = true;
                process.signal(Signal::STOP);
            }
            4 => self.store.set_unavailable(true),
            5 => self.store.set_lost_answers(40),
            6 => self.minions[minion].set_silent(true),
            7 => process.proxy.set_fault(match rng.random_range(0..4) {
                0 => Fault::Delay,
                1 => Fault::Reset,
                2 => Fault::OneWay,
                _ => Fault::Stall,
            }),
            _ => self.heal(),
        }
        for process in &mut self.members {
            process.revive();
        }
    }

    /// Ends all disturbances.
    pub fn heal(&mut self) {
        self.store.set_unavailable(false);
        self.store.set_lost_answers(0);
        for minion in &self.minions {
            minion.set_silent(false);
        }
        for process in &mut self.members {
            process.proxy.set_fault(Fault::None);
            process.signal(Signal::CONT);
            process.paused = false;
            process.revive();
        }
    }

    /// Fails if something happened that must never happen.
    pub fn check(&self, seed: u64) {
        let watch = self.watch.lock().unwrap();
        assert!(
            watch.violations.is_empty(),
            "seed {seed}: {:?}",
            watch.violations
        );
        let refused = self.jobs.iter().filter(|(_, a)| *a == Answer::Refused);
        for (job, _) in refused {
            let started = watch.has_started(job);
            assert!(!started, "seed {seed}: refused job {job} has started");
        }
    }

    /// Waits until all accepted jobs are completed.
    pub async fn settle(&mut self, seed: u64, within: Duration) {
        let until = Instant::now() + within;
        let accepted = self.jobs.iter().filter(|(_, a)| *a == Answer::Accepted);
        let mut open: Vec<String> = accepted.map(|(job, _)| job.clone()).collect();
        while !open.is_empty() {
            for process in &mut self.members {
                process.revive();
            }
            let mut left = Vec::new();
            for job in open {
                let answer = self.call(0, Method::Get, &job, None).await;
                let done = answer.as_ref().is_some_and(|(status, body)| {
                    assert_ne!(*status, 410, "seed {seed}: accepted job {job} is lost");
                    *status == 200 && body.contains("completed")
                });
                if !done {
                    left.push(job);
                }
            }
            open = left;
            self.check(seed);
            let names: Vec<&str> = self.members.iter().map(|m| &*m.name).collect();
            assert!(
                Instant::now() < until,
                "seed {seed}: {open:?} not completed by {names:?}"
            );
            task::sleep(Duration::from_millis(100)).await;
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.folder.display());
            return;
        }
        // The folder is in the system's temporary one, where it may also be left.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
