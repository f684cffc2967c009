//! A cell whose parts run as separate processes, so that tests can kill and pause them.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use primrosebay_protocol::api::{JobView, Submitted};
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_standin::minion::{CONTROL_PATH, Runs};
use primrosebay_standin::worker::Status;
use primrosebay_state::Name;
use primrosebay_state::config::{Resource, StoredResource, ZoneState};
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_transport::http_client::{CallError, Client};
use primrosebay_transport::peer::{DevAuthority, Identity};
use rustix::process::{Pid, Signal, kill_process};

/// Key of the operators.
pub const OPERATOR_KEY: &str = "operator-key";
/// Key of the team `shops`.
pub const TEAM_KEY: &str = "shops-key";
/// Timeout of a request. It only has to exceed the response time of a healthy process.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of attempts, 50 ms apart, before a wait fails.
const ATTEMPTS: u32 = 600;

/// A process of the binary under test. It is killed on drop.
pub struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
    /// First address that the process printed.
    pub address: SocketAddr,
}

impl Process {
    /// Starts the binary with `args` and waits until it prints its address.
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_primrosebay"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let address = read_address(&mut stdout, args);
        Self {
            child,
            stdout,
            address,
        }
    }

    /// Reads the next address that the process prints.
    fn next_address(&mut self) -> SocketAddr {
        read_address(&mut self.stdout, &["serve"])
    }

    /// Returns the identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Sends a signal to the process.
    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process with `SIGKILL`, which leaves it no time to clean up.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops the process with `SIGTERM` and returns whether its exit status is a success.
    pub fn terminate(mut self) -> bool {
        self.signal(Signal::TERM);
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads a line from `stdout` and parses its last word as an address.
fn read_address(stdout: &mut BufReader<ChildStdout>, args: &[&str]) -> SocketAddr {
    let mut line = String::new();
    stdout.read_line(&mut line).unwrap();
    let address = line.rsplit(' ').next().unwrap().trim().parse();
    address.unwrap_or_else(|_| panic!("{args:?} printed {line:?}"))
}

/// A cell with stand-ins for the platform, entry instances and the team `shops`.
pub struct Cell {
    pub log: Process,
    pub list: Process,
    pub workers: Vec<Process>,
    pub minions: Vec<Process>,
    pub entries: Vec<Process>,
    /// Names of the entry instances.
    pub entry_names: Vec<Name>,
    /// Addresses of the entry instances for their peers.
    pub peer_addresses: Vec<SocketAddr>,
    /// Temporary directory for the settings and certificates of entry instances.
    directory: PathBuf,
    authority: DevAuthority,
    /// Lines that are added to the settings of entry instances.
    settings: String,
    http: Client,
}

impl Drop for Cell {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Cell {
    /// Starts a cell with the single zone `a`.
    pub async fn start(workers: usize, entries: usize) -> Self {
        Self::start_in(&["a"], workers, entries).await
    }

    /// Starts a cell with the single zone `a`. `settings` is added to those of the entry instances.
    pub async fn start_with(settings: &str, workers: usize, entries: usize) -> Self {
        Self::start_zones(settings, &["a"], workers, entries).await
    }

    /// Starts a cell with the given number of workers and entry instances in each zone.
    pub async fn start_in(zones: &[&str], workers: usize, entries: usize) -> Self {
        Self::start_zones("", zones, workers, entries).await
    }

    async fn start_zones(settings: &str, zones: &[&str], workers: usize, entries: usize) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let directory = format!("primrosebay-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        std::fs::create_dir_all(&directory).unwrap();
        let mut cell = Self {
            directory,
            authority: DevAuthority::new().unwrap(),
            log: Process::start(&["stand-in", "log"]),
            list: Process::start(&["stand-in", "list"]),
            workers: Vec::new(),
            minions: Vec::new(),
            entries: Vec::new(),
            entry_names: Vec::new(),
            peer_addresses: Vec::new(),
            settings: settings.to_owned(),
            http: Client::new(),
        };
        for zone in zones {
            for _ in 0..workers {
                cell.add_worker(zone).await;
            }
            for _ in 0..entries {
                cell.add_entry(zone).await;
            }
        }
        cell.create_resources(zones).await;
        cell
    }

    /// Starts a worker with 8 cores.
    async fn add_worker(&mut self, zone: &str) {
        let process = Process::start(&["stand-in", "worker", "--cores", "8"]);
        let name = format!("worker-{}", self.workers.len());
        self.register(&name, zone, Role::Worker, process.address)
            .await;
        self.workers.push(process);
    }

    /// Starts a minion of the service `prices` in zone `a`.
    pub async fn add_minion(&mut self) {
        let process = Process::start(&["stand-in", "minion"]);
        let name = format!("minion-{}", self.minions.len());
        self.register(&name, "a", Role::Minion, process.address)
            .await;
        self.minions.push(process);
    }

    /// Starts an entry instance.
    pub async fn add_entry(&mut self, zone: &str) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("entry-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let [certificate, key, authorities] = self.certificates(&name);
        let settings = format!(
            "instance: {{name: {name}, zone: {zone}, region: r}}\n\
             addresses: {{http: '127.0.0.1:0', peers: '127.0.0.1:0', log: '{}', list: '{}'}}\n\
             operators: {{keys: [{}]}}\n\
             tls: {{certificate: '{certificate}', key: '{key}', authorities: '{authorities}'}}\n\
             timeouts: {{task_ms: 3000}}\n\
             {}\n",
            self.log.address,
            self.list.address,
            primrosebay_entry::auth::hash(OPERATOR_KEY),
            self.settings,
        );
        let path = self.write(&format!("{name}.yaml"), &settings);
        let mut process = Process::start(&["serve", "--settings", &path]);
        let peers = process.next_address();
        self.register(&name, zone, Role::Entry, peers).await;
        self.entries.push(process);
        self.entry_names.push(name.into());
        self.peer_addresses.push(peers);
    }

    /// Returns an identity that entry instances accept as that of the peer `name`.
    pub fn identity(&self, name: &str) -> Identity {
        self.authority.issue(name).unwrap()
    }

    /// Writes the PEM files of an entry instance and returns their paths.
    fn certificates(&self, name: &str) -> [String; 3] {
        let [certificate, key, root] = self.authority.issue_pem(name).unwrap();
        [
            self.write(&format!("{name}.pem"), &certificate),
            self.write(&format!("{name}.key"), &key),
            self.write("roots.pem", &root),
        ]
    }

    /// Writes a file to the temporary directory and returns its path.
    fn write(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::File::create(&path)
            .unwrap()
            .write_all(text.as_bytes())
            .unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Adds an instance to the instance list.
    async fn register(&self, name: &str, zone: &str, role: Role, address: SocketAddr) {
        let instance = Instance {
            name: name.into(),
            role,
            zone: zone.into(),
            rack: "rack".into(),
            service: if role == Role::Minion { "prices" } else { "" }.into(),
            address: address.to_string().into(),
            state: Liveness::Live,
            resources: Resources {
                cores_milli: 8000,
                memory_mib: 131_072,
                accelerators: 0,
            },
        };
        let body = serde_json::to_vec(&instance).unwrap();
        let path = format!("/instances/{name}");
        self.http
            .bytes(
                self.list.address,
                Method::Put,
                &path,
                &[],
                Some(body),
                TIMEOUT,
            )
            .await
            .unwrap();
    }

    /// Creates the zones and the team `shops` with its key.
    async fn create_resources(&self, zones: &[&str]) {
        let limit = Resources {
            cores_milli: 1_000_000,
            memory_mib: 1_000_000,
            accelerators: 0,
        };
        for zone in zones {
            self.put(
                zone,
                &Resource::Zone {
                    state: ZoneState::In,
                    region: "r".into(),
                },
            )
            .await;
        }
        self.put("shops", &Resource::Team { share: 1, limit }).await;
        let hash = primrosebay_entry::auth::hash(TEAM_KEY).into();
        let team = "shops".into();
        self.put("till", &Resource::Key { team, hash }).await;
    }

    /// Creates or replaces a resource. Makes up to [`ATTEMPTS`] attempts.
    pub async fn put(&self, name: &str, spec: &Resource) {
        let path = format!("/v1/{}s/{name}", spec.kind());
        for _ in 0..ATTEMPTS {
            let current: Option<StoredResource> = self.get(0, OPERATOR_KEY, &path).await.ok();
            let version = current.map_or(0, |c| c.version);
            let body = serde_json::json!({ "version": version, "spec": spec });
            if self
                .send(0, OPERATOR_KEY, Method::Put, &path, &body)
                .await
                .is_ok()
            {
                return;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        panic!("cannot write {path}");
    }

    /// Sends a JSON body to an entry instance and returns the body of the response. Fails unless
    /// the status is a success.
    pub async fn send(
        &self,
        entry: usize,
        key: &str,
        method: Method,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Vec<u8>, CallError> {
        let address = self.entries[entry].address;
        let headers = [("authorization", &*format!("Bearer {key}"))];
        let body = Some(serde_json::to_vec(body).unwrap());
        let (status, bytes) = self
            .http
            .bytes(address, method, path, &headers, body, TIMEOUT)
            .await?;
        if status.is_success() {
            return Ok(bytes);
        }
        Err(CallError::Status {
            address,
            status: status.into(),
            body: bytes,
        })
    }

    /// Sends a GET request to an entry instance and decodes the JSON body of the response.
    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        entry: usize,
        key: &str,
        path: &str,
    ) -> Result<T, CallError> {
        let bytes = self.send(entry, key, Method::Get, path, &()).await?;
        Ok(serde_json::from_slice(&bytes).unwrap())
    }

    /// Closes the idle connections to entry instances, so that the next call opens a new one.
    pub fn reconnect(&mut self) {
        self.http = Client::new();
    }

    /// Submits a job without retries.
    pub async fn submit(&self, entry: usize, spec: &JobSpec) -> Result<Submitted, CallError> {
        let bytes = self
            .send(entry, TEAM_KEY, Method::Post, "/v1/jobs", spec)
            .await?;
        Ok(serde_json::from_slice(&bytes).unwrap())
    }

    /// Returns a job as an entry instance shows it, or `None` if the request fails.
    pub async fn job(&self, entry: usize, id: JobId) -> Option<JobView> {
        self.get(entry, TEAM_KEY, &format!("/v1/jobs/{id}"))
            .await
            .ok()
    }

    /// Waits until an entry instance shows the job in a state that `expected` accepts.
    pub async fn wait_for_job(&self, entry: usize, id: JobId, expected: impl Fn(&JobView) -> bool) {
        let mut last = None;
        for _ in 0..ATTEMPTS {
            last = self.job(entry, id).await;
            if last.as_ref().is_some_and(&expected) {
                return;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        let path = format!("/v1/jobs/{id}/explain");
        let reasons: Result<serde_json::Value, _> = self.get(entry, OPERATOR_KEY, &path).await;
        let usage: Result<serde_json::Value, _> = self.get(entry, OPERATOR_KEY, "/v1/usage").await;
        let ready: Result<serde_json::Value, _> = self.get(entry, OPERATOR_KEY, "/readyz").await;
        panic!(
            "job {id} did not reach the expected state: reasons {reasons:?}, usage {usage:?}, \
             ready {ready:?}, job {last:?}"
        );
    }

    /// Sends a request to the service of the minions. Without a repeat header, the request may run
    /// only once.
    pub async fn call(&self, entry: usize, body: &str) -> Result<Vec<u8>, CallError> {
        let path = "/v1/services/prices/requests";
        self.send(entry, TEAM_KEY, Method::Post, path, &body).await
    }

    /// Sends requests until each minion has run at least one.
    pub async fn wait_for_minions(&self, entry: usize) {
        for _ in 0..ATTEMPTS {
            let _ = self.call(entry, "first").await;
            let mut all_used = true;
            for minion in &self.minions {
                all_used &= self.minion_runs(minion).await.total() > 0;
            }
            if all_used {
                return;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        panic!("a minion received no request");
    }

    /// Returns the run counts of a minion.
    async fn minion_runs(&self, minion: &Process) -> Runs {
        self.http
            .json(
                minion.address,
                Method::Get,
                CONTROL_PATH,
                None::<&()>,
                TIMEOUT,
            )
            .await
            .unwrap()
    }

    /// Returns the resources and the run history of a worker.
    pub async fn worker_status(&self, worker: usize) -> Status {
        let address = self.workers[worker].address;
        self.http
            .json(address, Method::Get, "/status", None::<&()>, TIMEOUT)
            .await
            .unwrap()
    }

    /// Returns the maximum number of tasks that ran at the same time on the workers of the cell.
    pub async fn max_running(&self) -> i64 {
        let mut changes = Vec::new();
        for worker in 0..self.workers.len() {
            for run in self.worker_status(worker).await.history {
                changes.push((run.at, 1));
                changes.extend(run.ended.map(|end| (end, -1)));
            }
        }
        // Sorts ends before starts of the same millisecond.
        changes.sort_unstable();
        let mut running = 0;
        let counts = changes.iter().map(|(_, change)| {
            running += change;
            running
        });
        counts.max().unwrap_or(0)
    }

    /// Asserts that no worker of the cell exceeds its capacity and that the runs of a task on them
    /// do not overlap. Killed workers are not checked.
    pub async fn check_runs(&self) {
        let mut runs = Vec::new();
        for worker in 0..self.workers.len() {
            let status = self.worker_status(worker).await;
            assert!(
                status.used.fits(&status.total),
                "a worker exceeds its capacity"
            );
            runs.extend(status.history);
        }
        runs.sort_by_key(|r| (r.attempt.task, r.at));
        for pair in runs.windows(2) {
            let same_task = pair[0].attempt.task == pair[1].attempt.task;
            let has_ended = pair[0].ended.is_some_and(|end| end <= pair[1].at);
            assert!(
                !same_task || has_ended,
                "overlapping runs of a task: {pair:?}"
            );
        }
    }
}

/// Returns a batch job with `tasks` tasks of one core that run for `run_ms` milliseconds.
pub fn batch(name: &str, tasks: u32, run_ms: u64) -> JobSpec {
    JobSpec {
        name: name.into(),
        tasks,
        run_ms,
        resources: Resources {
            cores_milli: 1000,
            memory_mib: 64,
            accelerators: 0,
        },
        ..JobSpec::default()
    }
}
