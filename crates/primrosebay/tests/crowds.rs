//! Processes under crowds of clients that send requests outside the limits: the process stays alive
//! and within the memory of its machine, and ordinary callers get answers.
//!
//! The tests run one at a time, since each measures the memory of a process.

#[path = "crowds/beside.rs"]
mod beside;
#[path = "crowds/connections.rs"]
mod connections;
#[path = "crowds/entry.rs"]
mod entry;
#[expect(dead_code, reason = "shared with tests that use other parts")]
mod members;
#[path = "crowds/peers.rs"]
mod peers;
#[path = "crowds/process.rs"]
mod process;
#[expect(dead_code, reason = "shared with tests that use other parts")]
mod support;
#[path = "crowds/trouble.rs"]
mod trouble;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::{self, JoinHandle};
use http_types::Method;
use primrosebay_platform_standin::{
    API_KEY, HOST, PATH_PREFIX, Store, config, job_body, small_boot_file,
};
use primrosebay_transport::http_client::Client;

use async_std::io::WriteExt as _;
use members::{Member, Place};
use serde_json::{Value, json};

/// Memory of the machine in the settings of the test, in MB. A member uses about 15 MB without load.
const MEMORY_MB: u64 = 64;

/// Maximum peak memory of the process in kB: the memory of its machine.
const MAX_MEMORY_KB: u64 = MEMORY_MB * 1_024;

/// Maximum number of descriptors that are open beside those of the crowd.
const MAX_OTHER_DESCRIPTORS: usize = 200;

/// Maximum time until a member is ready or answers, or a client has sent its bytes, on a busy machine.
const WAIT: Duration = Duration::from_secs(40);

/// Time without a change after which the process is taken to have read what was sent.
const QUIET: Duration = Duration::from_secs(2);

const KB: usize = 1_024;
const MB: usize = 1_024 * KB;

/// Largest body that the configuration of the stand-in allows, in bytes.
const BODY_BYTES: usize = 262_144;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn lock() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What one client sends: `start` once, then `piece` until `bytes` bytes of pieces are sent.
#[derive(Debug, Clone)]
struct Sender {
    start: Vec<u8>,
    piece: Vec<u8>,
    bytes: usize,
}

impl Sender {
    /// Sends on `stream` until all is sent or the member closes the connection.
    async fn send(self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.start).await?;
        let mut sent = 0;
        while sent < self.bytes {
            let count = self.piece.len().min(self.bytes - sent);
            stream.write_all(&self.piece[..count]).await?;
            sent += count;
        }
        Ok(())
    }
}

/// Settings of a member.
#[derive(Debug, Clone)]
struct Setup {
    /// Unique among the tests of this binary.
    name: &'static str,
    /// Number of the member in its cell.
    number: usize,
    memory_mb: u64,
    /// Descriptors that the operating system allows the process; `None` for those of the test.
    descriptors: Option<u32>,
    /// Descriptors of the machine in the settings file; `None` without the field.
    max_fds: Option<u32>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            name: "",
            number: 0,
            memory_mb: MEMORY_MB,
            descriptors: None,
            max_fds: None,
        }
    }
}

/// A member with a store.
struct Instance {
    member: Member,
    directory: PathBuf,
    jobs: u64,
    store: Arc<Store>,
}

impl Instance {
    /// Starts a member and waits until it is ready. `name` is unique among the tests of this binary.
    async fn start(name: &'static str) -> Self {
        let setup = Setup {
            name,
            ..Setup::default()
        };
        Self::start_with(&setup).await
    }

    async fn start_with(setup: &Setup) -> Self {
        let store = Store::start().await.unwrap();
        store.put_operator_record("config", &config(1));
        Self::join(setup, &Arc::new(store)).await
    }

    /// Starts a member of the cell with this store and waits until it is ready.
    async fn join(setup: &Setup, store: &Arc<Store>) -> Self {
        let directory = format!("primrosebay-crowd-{}-{}", setup.name, std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory).unwrap();
        let place = Place {
            directory: &directory,
            number: setup.number,
            descriptors: setup.descriptors,
        };
        let member = Member::start_in(&place, store.address(), |name, addresses| {
            let text = small_boot_file(name, addresses, setup.memory_mb);
            let mut settings: Value = serde_json::from_str(&text).unwrap();
            if let Some(count) = setup.max_fds {
                settings["limits"]["maxFds"] = json!(count);
            }
            settings.to_string()
        });
        let mut instance = Self {
            member,
            directory,
            jobs: setup.number as u64 * 1_000,
            store: Arc::clone(store),
        };
        instance.submit_until_accepted().await;
        instance
    }

    /// Submits ordinary jobs until one is accepted.
    async fn submit_until_accepted(&mut self) {
        let deadline = Instant::now() + WAIT;
        loop {
            self.jobs += 1;
            let path = format!("{PATH_PREFIX}{:016x}", self.jobs);
            let headers = [("Host", HOST), ("Credential", API_KEY)];
            let body = Some(job_body(1, 200, 500).into_bytes());
            let address = self.member.addresses.front;
            let wait = Duration::from_secs(4);
            // A new connection each time, as a caller that was not there before the crowd.
            let client = Client::new();
            let call = client.bytes(address, Method::Post, &path, &headers, body, wait);
            let status = call.await.map(|(status, _)| u16::from(status));
            if matches!(status, Ok(200)) {
                return;
            }
            self.assert_running();
            assert!(Instant::now() < deadline, "no job is accepted: {status:?}");
            task::sleep(Duration::from_millis(50)).await;
        }
    }

    fn assert_running(&mut self) {
        let status = self.member.child.try_wait().unwrap();
        assert!(status.is_none(), "the member ended: {status:?}");
        let errors = self.member.output("err");
        assert!(!errors.contains("panicked"), "{errors}");
    }

    /// Returns the peak memory of the process in kB.
    fn peak_kb(&self) -> u64 {
        process::peak_kb(self.member.child.id())
    }

    /// Returns the number of open descriptors of the process.
    fn descriptors(&self) -> usize {
        process::descriptors(self.member.child.id())
    }

    /// Waits until the process has read what was sent and its peak memory does not change any more.
    async fn settle(&self) {
        process::settle(self.member.child.id(), &self.listening()).await;
    }

    /// Returns the addresses on which the process listens.
    fn listening(&self) -> [SocketAddr; 3] {
        let addresses = self.member.addresses;
        [addresses.front, addresses.ready, addresses.internal]
    }

    /// Waits until the process has closed the connections of clients that have left.
    async fn wait_for_descriptors(&self) {
        process::wait_for_descriptors(self.member.child.id()).await;
    }

    fn close(self) {
        let directory = self.directory.clone();
        drop(self);
        fs::remove_dir_all(directory).unwrap();
    }
}

/// Connects and sends. Returns the connection, which stays open until it is dropped.
async fn hold(address: SocketAddr, sender: Sender) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let _ = timeout(WAIT, sender.send(&mut stream)).await;
    Some(stream)
}

/// Runs a crowd of clients, each of which sends and then holds its connection open. Asserts that the
/// process survives within its bounds and serves an ordinary caller beside the crowd and after it.
async fn assert_survives(name: &'static str, clients: usize, sender: impl Fn(usize) -> Sender) {
    assert_survives_on(name, |member| member.addresses.front, clients, sender).await;
}

async fn assert_survives_on(
    name: &'static str,
    address: impl Fn(&Member) -> SocketAddr,
    clients: usize,
    sender: impl Fn(usize) -> Sender,
) {
    let mut instance = Instance::start(name).await;
    let before = instance.peak_kb();
    let address = address(&instance.member);
    let senders: Vec<JoinHandle<_>> = (0..clients)
        .map(|i| task::spawn(hold(address, sender(i))))
        .collect();
    let mut held = Vec::new();
    for sender in senders {
        held.push(sender.await);
    }
    instance.settle().await;
    let (peak, descriptors) = (instance.peak_kb(), instance.descriptors());
    println!("{name}: {before} kB before, peak {peak} kB, {descriptors} descriptors");
    instance.submit_until_accepted().await;
    drop(held);
    instance.wait_for_descriptors().await;
    instance.submit_until_accepted().await;
    instance.assert_running();
    let peak = instance.peak_kb();
    assert!(peak <= MAX_MEMORY_KB, "{peak} kB");
    let most = clients + MAX_OTHER_DESCRIPTORS;
    assert!(descriptors <= most, "{descriptors} descriptors");
    instance.close();
}

/// Returns the head of a submission with these header lines.
fn head(job: usize, lines: &str) -> Vec<u8> {
    let path = format!("{PATH_PREFIX}{:016x}", 0xf000_0000 + job);
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nCredential: {API_KEY}\r\n{lines}").into_bytes()
}

/// Returns a chunk of a body.
fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.extend(vec![b'x'; bytes]);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

/// Guards against bodies of all connections together that fill the memory.
#[test]
fn bodies_short_of_their_end_do_not_fill_the_memory() {
    let _lock = lock();
    task::block_on(assert_survives("bodies", 400, |i| Sender {
        start: head(i, &format!("Content-Length: {BODY_BYTES}\r\n\r\n")),
        piece: vec![b'x'; 16 * KB],
        bytes: BODY_BYTES - 1,
    }));
}

/// Guards against chunked bodies of legal size without an end that fill the memory.
#[test]
fn chunked_bodies_without_end_do_not_fill_the_memory() {
    let _lock = lock();
    let piece = chunk(16 * KB);
    task::block_on(assert_survives("chunked", 400, |i| Sender {
        start: head(i, CHUNKED),
        bytes: 15 * piece.len(),
        piece: piece.clone(),
    }));
}

/// Guards against a chunked body that is read although it is longer than the limit.
#[test]
fn endless_chunks_do_not_fill_the_memory() {
    let _lock = lock();
    task::block_on(assert_survives("endless", 20, |i| Sender {
        start: head(i, CHUNKED),
        piece: chunk(16 * KB),
        bytes: 10 * MB,
    }));
}

/// Guards against header lines that are buffered without a bound.
#[test]
fn endless_heads_do_not_fill_the_memory() {
    let _lock = lock();
    task::block_on(assert_survives("heads", 100, |i| Sender {
        start: head(i, "X-First: 1\r\nX-Second: 2\r\nX-Long: "),
        piece: vec![b'x'; 16 * KB],
        bytes: 2 * MB,
    }));
}

/// Guards against limits that do not apply to the address for other instances.
#[test]
fn endless_heads_between_instances_do_not_fill_the_memory() {
    let _lock = lock();
    let address = |member: &Member| member.addresses.internal;
    task::block_on(assert_survives_on("internal", address, 100, |i| Sender {
        start: head(i, "X-Long: "),
        piece: vec![b'x'; 16 * KB],
        bytes: 2 * MB,
    }));
}

/// Guards against limits that do not apply to the address for probes.
#[test]
fn endless_heads_of_probes_do_not_fill_the_memory() {
    let _lock = lock();
    let address = |member: &Member| member.addresses.ready;
    task::block_on(assert_survives_on("probes", address, 100, |i| Sender {
        start: head(i, "X-Long: "),
        piece: vec![b'x'; 16 * KB],
        bytes: 2 * MB,
    }));
}

/// Guards against a declared chunk that is read although it is longer than the limit.
#[test]
fn huge_chunks_do_not_fill_the_memory() {
    let _lock = lock();
    task::block_on(assert_survives("huge", 150, |i| Sender {
        start: head(i, &format!("{CHUNKED}{:x}\r\n", 256 * MB)),
        piece: vec![b'x'; 16 * KB],
        bytes: 1_300 * KB,
    }));
}

/// Guards against bodies that arrive in small pieces and fill the memory.
#[test]
fn pieces_of_bodies_do_not_fill_the_memory() {
    let _lock = lock();
    task::block_on(assert_survives("pieces", 300, |i| Sender {
        start: head(i, &format!("Content-Length: {BODY_BYTES}\r\n\r\n")),
        piece: vec![b'x'; 2 * KB],
        bytes: 200_000,
    }));
}

/// Guards against chunks of one byte whose framing is not counted.
#[test]
fn chunks_of_one_byte_do_not_fill_the_memory() {
    let _lock = lock();
    let piece = chunk(1).repeat(1_000);
    task::block_on(assert_survives("tiny", 300, |i| Sender {
        start: head(i, CHUNKED),
        bytes: 140 * piece.len(),
        piece: piece.clone(),
    }));
}

/// Guards against headers without a bound on their number.
#[test]
fn many_short_headers_do_not_fill_the_memory() {
    let _lock = lock();
    let piece = b"a: b\r\n".repeat(1_000);
    task::block_on(assert_survives("headers", 300, |i| Sender {
        start: head(i, ""),
        bytes: 400 * piece.len(),
        piece: piece.clone(),
    }));
}

/// Guards against empty lines before a request that are read without a bound.
#[test]
fn empty_lines_do_not_fill_the_memory() {
    let _lock = lock();
    task::block_on(assert_survives("lines", 300, |_| Sender {
        start: Vec::new(),
        piece: b"\r\n".repeat(8 * KB),
        bytes: MB,
    }));
}

/// Guards against jobs that take far more memory once they are parsed than their bodies do.
#[test]
fn jobs_of_many_empty_steps_do_not_fill_the_memory() {
    let _lock = lock();
    let body = format!("{{\"steps\":[{}{{}}]}}", "{},".repeat(87_000)).into_bytes();
    assert!(body.len() <= BODY_BYTES);
    task::block_on(assert_survives("steps", 40, |i| Sender {
        start: head(i, &format!("Content-Length: {}\r\n\r\n", body.len())),
        piece: body.clone(),
        bytes: body.len(),
    }));
}

/// Guards against requests that are given up without a trace.
#[test]
fn requests_given_up_are_counted_and_logged() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = Instance::start("counted").await;
        let address = instance.member.addresses.front;
        let mut held = Vec::new();
        for i in 0..60 {
            let sender = Sender {
                start: head(i, &format!("Content-Length: {BODY_BYTES}\r\n\r\n")),
                piece: vec![b'x'; BODY_BYTES - 1],
                bytes: BODY_BYTES - 1,
            };
            held.push(hold(address, sender).await);
        }
        instance.settle().await;
        instance.submit_until_accepted().await;
        let (internal, wait) = (instance.member.addresses.internal, Duration::from_secs(4));
        let client = Client::new();
        let call = client.bytes(internal, Method::Get, "/metrics", &[], None, wait);
        let metrics = String::from_utf8(call.await.unwrap().1).unwrap();
        let count = metrics.lines().find_map(|line| {
            let labels = line.strip_prefix("requests_given_up_total{")?;
            let is_memory = labels.contains("cause=\"memory\"");
            is_memory.then(|| labels.split_whitespace().last()?.parse::<u64>().ok())?
        });
        assert!(count.is_some_and(|c| c > 0), "{count:?}: {metrics}");
        assert!(
            metrics.contains("request_bytes{kind=\"charged\""),
            "{metrics}"
        );
        let log = instance.member.output("log");
        assert!(log.contains("http: request given up"), "{log}");
        instance.close();
    });
}

/// Guards against fields that are not known and take far more memory than their text while a job is
/// parsed.
#[test]
fn jobs_of_unknown_fields_do_not_fill_the_memory() {
    let _lock = lock();
    let list = format!("[{}0]", "0,".repeat(130_000));
    let body = format!("{{\"steps\":[{{\"count\":1,\"other\":{list}}}]}}").into_bytes();
    assert!(body.len() <= BODY_BYTES);
    task::block_on(assert_survives("unknown", 40, |i| Sender {
        start: head(i, &format!("Content-Length: {}\r\n\r\n", body.len())),
        piece: body.clone(),
        bytes: body.len(),
    }));
}
