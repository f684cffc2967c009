//! A cell of member processes with a stand-in for the platform.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use primrosebay_cell::record::{Claim, Outcome, Placement, Record};
use primrosebay_platform::BOOT_VARIABLE;
use primrosebay_platform_standin::{
    API_KEY, Fault, HOST, MemberAddresses, Minion, MinionFault, PATH_PREFIX, Proxy, RunMonitor,
    Store, boot_file, config, job_body,
};
use primrosebay_transport::http_client::Client;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::{Pid, Signal, kill_process};

/// Number of fault codes that [`Cell::inject_fault`] accepts: 0 to 7 inject a fault, and 8 to 10
/// end all faults.
pub const FAULT_CODES: u32 = 11;

const MEMBERS: usize = 3;
const MINIONS: usize = 4;

/// Timeout of a request, longer than the longest response time of a member.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of the next cell. Distinguishes the temporary directories and the loopback addresses of
/// the cells of one process.
static NEXT_CELL: AtomicU32 = AtomicU32::new(0);

/// A member and its process.
#[derive(Debug)]
struct MemberProcess {
    name: String,
    settings_file: PathBuf,
    addresses: MemberAddresses,
    /// Proxy between the member and the store.
    proxy: Proxy,
    child: Option<Child>,
    /// Whether the process is stopped by `SIGSTOP`.
    paused: bool,
}

/// Answer that the caller received to the submission of a job.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    /// An attempt was answered with status 200.
    Accepted,
    /// All attempts were refused or left out.
    Refused,
    /// No attempt succeeded, and at least one has an unknown result: it got no response, or one that
    /// is neither a success nor a refusal.
    Unknown,
}

/// Members, minions and a store.
#[derive(Debug)]
pub struct Cell {
    store: Store,
    minions: Vec<Minion>,
    monitor: Arc<Mutex<RunMonitor>>,
    members: Vec<MemberProcess>,
    client: Client,
    /// Submitted jobs with the answers that their callers received.
    jobs: Vec<(String, Answer)>,
    directory: PathBuf,
}

/// Returns free addresses for a member on a loopback address that no other member uses. A member
/// does not hold its ports before it starts and while it is down. On a shared loopback address,
/// connections or members of other cells could take the ports; a member whose port is taken exits
/// and is never ready.
fn free_addresses(cell: u32, member: usize) -> [SocketAddr; 3] {
    let octet = |n: u32| u8::try_from(n % 250).unwrap_or(0);
    let member = u32::try_from(member).unwrap_or(0);
    let ip = Ipv4Addr::new(
        127,
        1 + octet(std::process::id()),
        octet(cell),
        1 + octet(member),
    );
    let listeners = [(); 3].map(|()| TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|l| l.local_addr().unwrap())
}

/// Waits for a condition for at most `timeout` and returns whether it was met.
pub async fn wait_until(timeout: Duration, is_met: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !is_met() {
        if Instant::now() >= deadline {
            return false;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    true
}

impl MemberProcess {
    /// Starts a process, which appends to the log file of the member's earlier processes.
    fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file());
        let child = Command::new(env!("CARGO_BIN_EXE_primrosebay"))
            .arg("member")
            .env(BOOT_VARIABLE, &self.settings_file)
            .stdout(log.unwrap())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
        self.paused = false;
    }

    /// Returns the path of the log file.
    fn log_file(&self) -> PathBuf {
        self.settings_file.with_extension("log")
    }

    /// Sends a signal to the process, if there is one.
    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process may have exited after an earlier signal.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Starts a new process if the last one has exited.
    fn restart_if_exited(&mut self) {
        let exited = match &mut self.child {
            Some(child) => child.try_wait().unwrap().is_some(),
            None => true,
        };
        if exited {
            self.start();
        }
    }
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Cell {
    /// Starts the store, the minions and the members.
    pub async fn start() -> Self {
        let store = Store::start().await.unwrap();
        store.put_operator_record("config", &config(1));
        let monitor = Arc::new(Mutex::new(RunMonitor::default()));
        let mut minions = Vec::new();
        for i in 0..MINIONS {
            let name = format!("minion-{i}");
            let minion = Minion::start(&name, &store, Arc::clone(&monitor)).await;
            minions.push(minion.unwrap());
        }
        let number = NEXT_CELL.fetch_add(1, Ordering::Relaxed);
        let directory = format!("primrosebay-soak-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory).unwrap();
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
            let settings_file = directory.join(&name);
            fs::write(&settings_file, boot_file(&name, addresses)).unwrap();
            let mut member = MemberProcess {
                name,
                settings_file,
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
            monitor,
            members,
            client: Client::new(),
            jobs: Vec::new(),
            directory,
        }
    }

    /// Waits until all members are ready, for at most 20 s.
    pub async fn wait_ready(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for i in 0..self.members.len() {
            while !self.is_ready(self.members[i].addresses.ready).await {
                let member = &mut self.members[i];
                let exit_status = member.child.as_mut().map(Child::try_wait);
                assert!(
                    Instant::now() < deadline,
                    "{} is not ready, exit status: {exit_status:?}",
                    member.name
                );
                task::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Stops a member with `SIGTERM` and returns its log.
    pub fn stop_and_read(&mut self, member: usize) -> String {
        let member = &mut self.members[member];
        member.signal(Signal::TERM);
        let mut child = member.child.take().unwrap();
        child.wait().unwrap();
        fs::read_to_string(member.log_file()).unwrap()
    }

    /// Returns whether the readiness probe at `address` succeeds.
    async fn is_ready(&self, address: SocketAddr) -> bool {
        let path = "/api/readyz";
        let call = self
            .client
            .bytes(address, Method::Get, path, &[], None, REQUEST_TIMEOUT);
        call.await.is_ok_and(|(status, _)| status.is_success())
    }

    /// Sends a request for a job to a member. Returns the status and the body of the response, or
    /// `None` if there is none.
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
            .bytes(address, method, &path, &headers, body, REQUEST_TIMEOUT);
        let (status, bytes) = call.await.ok()?;
        Some((status.into(), String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Submits a random job with up to three attempts at random members, as callers that retry do.
    /// Attempts at paused members are left out.
    pub async fn submit(&mut self, rng: &mut SmallRng) {
        let job = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..4);
        let cores_milli = rng.random_range(5..20) * 100;
        let body = job_body(tasks, rng.random_range(50..800), cores_milli).into_bytes();
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

    /// Submits a job to one member, immediately reads its state from another member and returns the
    /// status of that response.
    pub async fn submit_and_read(&self, key: u64) -> Option<u16> {
        let job = format!("{key:016x}");
        let body = job_body(1, 50, 100).into_bytes();
        let accepted = self.call(1, Method::Post, &job, Some(body)).await?;
        assert_eq!(accepted.0, 200, "job {job} is accepted");
        let answer = self.call(0, Method::Get, &job, None).await;
        answer.map(|(status, _)| status)
    }

    /// Submits a job of `tasks` tasks that run for 30 s and waits until all of them have started.
    pub async fn start_long_job(&self, job: &str, tasks: u32) {
        let body = job_body(tasks, 30_000, 1_000).into_bytes();
        let answer = self.call(0, Method::Post, job, Some(body)).await;
        assert_eq!(answer.map(|(status, _)| status), Some(200));
        let all_run = || self.running_count(job) == tasks as usize;
        assert!(wait_until(Duration::from_secs(10), all_run).await);
    }

    /// Returns the number of runs of the job's tasks that are in progress.
    pub fn running_count(&self, job: &str) -> usize {
        self.monitor.lock().unwrap().running_count(job)
    }

    /// Sets the fault of all minions.
    pub fn set_minion_faults(&self, fault: MinionFault) {
        self.minions.iter().for_each(|m| m.set_fault(fault));
    }

    /// Cancels a job, and waits until the leader has recorded the end of the job and runs that are
    /// still on minions.
    pub async fn cancel_with_runs(&self, job: &str) {
        let answer = self.call(0, Method::Delete, job, None).await;
        assert_eq!(answer.map(|(status, _)| status), Some(200));
        let is_recorded = || match self.record(&format!("p{job}")) {
            Some(Record::Progress(_, progress)) => {
                let mut tasks = progress.tasks.iter();
                progress.outcome == Some(Outcome::Cancelled)
                    && tasks.any(|t| matches!(t.placement, Placement::Minion(_)))
            }
            _ => false,
        };
        assert!(wait_until(Duration::from_secs(3), is_recorded).await);
    }

    /// Kills the leading member, ends the faults of the minions and waits until another member
    /// leads. The killed member stays down.
    pub async fn replace_leader(&mut self) {
        let former = self.claim();
        let member = self.members.iter_mut().find(|m| m.name == *former.node);
        let mut child = member.unwrap().child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
        self.set_minion_faults(MinionFault::None);
        let is_replaced = || self.claim().epoch > former.epoch;
        assert!(wait_until(Duration::from_secs(10), is_replaced).await);
    }

    /// Returns the claim of the latest leader.
    fn claim(&self) -> Claim {
        match self.record("leader") {
            Some(Record::Leader(claim)) => claim,
            other => panic!("no claim: {other:?}"),
        }
    }

    /// Returns the newest record of a key in the cell's stream.
    fn record(&self, key: &str) -> Option<Record> {
        let bytes = self.store.cell_record(key)?;
        Some(Record::decode(&bytes).unwrap())
    }

    /// Injects the fault with the given code into a random member, a random minion or the store, or
    /// ends all faults. Restarts members that have exited.
    pub fn inject_fault(&mut self, fault: u32, rng: &mut SmallRng) {
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
            6 => self.minions[minion].set_fault(MinionFault::Silent),
            7 => process.proxy.set_fault(match rng.random_range(0..4) {
                0 => Fault::Delay,
                1 => Fault::Reset,
                2 => Fault::OneWay,
                _ => Fault::Stall,
            }),
            _ => self.clear_faults(),
        }
        for process in &mut self.members {
            process.restart_if_exited();
        }
    }

    /// Ends all faults and restarts members that have exited.
    pub fn clear_faults(&mut self) {
        self.store.set_unavailable(false);
        self.store.set_lost_answers(0);
        for minion in &self.minions {
            minion.set_fault(MinionFault::None);
        }
        for process in &mut self.members {
            process.proxy.set_fault(Fault::None);
            process.signal(Signal::CONT);
            process.paused = false;
            process.restart_if_exited();
        }
    }

    /// Asserts that the minions recorded no violation and that no refused job has started.
    pub fn check_invariants(&self, seed: u64) {
        let monitor = self.monitor.lock().unwrap();
        assert!(
            monitor.violations.is_empty(),
            "seed {seed}: {:?}",
            monitor.violations
        );
        let refused = self.jobs.iter().filter(|(_, a)| *a == Answer::Refused);
        for (job, _) in refused {
            let started = monitor.has_started(job);
            assert!(!started, "seed {seed}: refused job {job} has started");
        }
    }

    /// Waits until all accepted jobs are completed. Fails after `timeout`, if a member answers that
    /// an accepted job is unknown (410), or if an invariant is violated.
    pub async fn wait_for_completion(&mut self, seed: u64, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let accepted = self.jobs.iter().filter(|(_, a)| *a == Answer::Accepted);
        let mut pending: Vec<String> = accepted.map(|(job, _)| job.clone()).collect();
        while !pending.is_empty() {
            for process in &mut self.members {
                process.restart_if_exited();
            }
            let mut unfinished = Vec::new();
            for job in pending {
                let answer = self.call(0, Method::Get, &job, None).await;
                let done = answer.as_ref().is_some_and(|(status, body)| {
                    assert_ne!(*status, 410, "seed {seed}: accepted job {job} is lost");
                    *status == 200 && body.contains("completed")
                });
                if !done {
                    unfinished.push(job);
                }
            }
            pending = unfinished;
            self.check_invariants(seed);
            let names: Vec<&str> = self.members.iter().map(|m| &*m.name).collect();
            assert!(
                Instant::now() < deadline,
                "seed {seed}: jobs {pending:?} not completed by members {names:?}"
            );
            task::sleep(Duration::from_millis(100)).await;
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the logs are kept in {}", self.directory.display());
            return;
        }
        // The directory may be left behind, since it is in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.directory);
    }
}
