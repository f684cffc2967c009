//! Ordinary callers beside a crowd of small requests that are never finished: they fill the budget of
//! the process, and callers whose requests arrive in two pieces must not pay for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::{ReadExt as _, WriteExt as _};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future;
use primrosebay_platform_standin::job_body;
use rstest::rstest;
use serde_json::{Value, json};

use super::{Instance, KB, MAX_MEMORY_KB, QUIET, Sender, WAIT, head, hold, lock, process};

/// Clients of the crowd: more than fit into the budget, with 24 KiB each.
const CLIENTS: usize = 400;

/// Clients that come back when they are refused, beside those that stay.
const RETURNING: usize = 50;

/// Time between the pieces of an ordinary request, as between the head and the body of many HTTP
/// clients.
const GAP: Duration = Duration::from_millis(50);

/// Body size of a large ordinary request in bytes.
const LARGE_BYTES: usize = 100 * KB;

/// Opens the connections of a crowd and waits until the process has read what was sent, or cannot
/// accept all of them.
pub async fn gather(
    address: SocketAddr,
    clients: usize,
    sender: impl Fn(usize) -> Sender,
) -> Vec<TcpStream> {
    let tasks: Vec<_> = (0..clients)
        .map(|i| task::spawn(hold(address, sender(i))))
        .collect();
    let mut held = Vec::new();
    for task in tasks {
        held.extend(task.await);
    }
    let deadline = Instant::now() + QUIET;
    while process::has_unread(&[address]) && Instant::now() < deadline {
        task::sleep(Duration::from_millis(10)).await;
    }
    held
}

/// Returns how many connections of a crowd the process has neither answered nor closed.
pub async fn count_open(held: &[TcpStream]) -> usize {
    let mut count = 0;
    for stream in held {
        let mut byte = [0];
        count += usize::from(future::poll_once(stream.peek(&mut byte)).await.is_none());
    }
    count
}

/// Clients that connect again as soon as they are refused. Closes them when it is dropped.
struct Pressure {
    stop: Arc<AtomicBool>,
}

impl Pressure {
    /// Starts the clients, which send the same as the crowd.
    fn start(address: SocketAddr, sender: fn(usize) -> Sender) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        for i in 0..RETURNING {
            let stop = Arc::clone(&stop);
            task::spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    if let Some(mut stream) = hold(address, sender(CLIENTS + i)).await {
                        // Returns when the server answers or closes the connection.
                        let _ = timeout(WAIT, stream.read(&mut [0])).await;
                    }
                    task::sleep(GAP).await;
                }
            });
        }
        Self { stop }
    }
}

impl Drop for Pressure {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Returns a job with a field that is not known and makes it `bytes` longer.
fn padded_job(bytes: usize) -> Vec<u8> {
    let mut job: Value = serde_json::from_str(&job_body(1, 200, 500)).unwrap();
    job["note"] = json!("x".repeat(bytes));
    job.to_string().into_bytes()
}

/// Sends a request in two pieces and returns the status of the answer.
async fn send_in_pieces(address: SocketAddr, first: &[u8], second: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(first).await.ok()?;
    task::sleep(GAP).await;
    // The answer may have arrived before, if the request was refused.
    let _ = stream.write_all(second).await;
    let mut answer = [0; 12];
    let read = stream.read_exact(&mut answer);
    timeout(Duration::from_secs(4), read).await.ok()?.ok()?;
    Some(String::from_utf8_lossy(&answer[9..]).into_owned())
}

/// Returns the submission of an ordinary job, with the headers of usual clients and a body of `bytes`
/// bytes more than usual.
fn submission(job: usize, bytes: usize) -> Vec<u8> {
    let body = padded_job(bytes);
    let usual = "Accept: */*\r\nContent-Type: application/json\r\nUser-Agent: ordinary/1.0\r\n";
    let mut request = head(
        job,
        &format!("{usual}Content-Length: {}\r\n\r\n", body.len()),
    );
    request.extend_from_slice(&body);
    request
}

/// Asks again until the answer is 200. Asserts that most of the crowd still holds its connections.
async fn ask_until_served(
    instance: &mut Instance,
    address: SocketAddr,
    held: &[TcpStream],
    request: impl Fn(usize) -> Vec<u8>,
) {
    let crowd = count_open(held).await;
    let mut answers = Vec::new();
    while answers.last().map(String::as_str) != Some("200") {
        let request = request(answers.len());
        let (first, second) = request.split_at(request.len() / 2);
        let answer = send_in_pieces(address, first, second).await;
        answers.push(answer.unwrap_or_default());
        instance.assert_running();
        let open = count_open(held).await;
        assert!(open > crowd / 2, "{open} of {crowd} held: {answers:?}");
    }
    println!("{crowd} held, {answers:?}");
}

/// Asserts that an ordinary request is served while the crowd holds its connections, and again after
/// it has gone.
async fn assert_served_beside(name: &'static str, sender: fn(usize) -> Sender, bytes: usize) {
    let mut instance = Instance::start(name).await;
    let address = instance.member.addresses.front;
    let held = gather(address, CLIENTS, sender).await;
    let pressure = Pressure::start(address, sender);
    let request = |i| submission(1_000 + i, bytes);
    ask_until_served(&mut instance, address, &held, request).await;
    drop((held, pressure));
    instance.wait_for_descriptors().await;
    instance.submit_until_accepted().await;
    instance.assert_running();
    let peak = instance.peak_kb();
    assert!(peak <= MAX_MEMORY_KB, "{peak} kB");
    instance.close();
}

fn one_byte(_: usize) -> Sender {
    Sender {
        start: b"P".to_vec(),
        piece: Vec::new(),
        bytes: 0,
    }
}

fn whole_head(i: usize) -> Sender {
    Sender {
        start: head(i, "Content-Length: 300\r\n\r\n"),
        piece: Vec::new(),
        bytes: 0,
    }
}

fn head_and_byte(i: usize) -> Sender {
    Sender {
        start: head(i, "Content-Length: 300\r\n\r\n{"),
        piece: Vec::new(),
        bytes: 0,
    }
}

/// Guards against an order of giving up requests in which those that make progress go before those
/// that do not.
#[rstest]
#[case("byte-small", one_byte, 0)]
#[case("byte-large", one_byte, LARGE_BYTES)]
#[case("head-small", whole_head, 0)]
#[case("head-large", whole_head, LARGE_BYTES)]
#[case("body-small", head_and_byte, 0)]
#[case("body-large", head_and_byte, LARGE_BYTES)]
fn callers_are_served_beside_small_unfinished_requests(
    #[case] name: &'static str,
    #[case] sender: fn(usize) -> Sender,
    #[case] bytes: usize,
) {
    let _lock = lock();
    task::block_on(assert_served_beside(name, sender, bytes));
}

/// Guards against readiness probes that fail because of a crowd of callers, upon which the load
/// balancer sends no new connections to the instance.
#[test]
fn probes_succeed_beside_small_unfinished_requests() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = Instance::start("probing").await;
        let addresses = instance.member.addresses;
        let held = gather(addresses.front, CLIENTS, one_byte).await;
        let pressure = Pressure::start(addresses.front, one_byte);
        let probe = |_| b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n".to_vec();
        ask_until_served(&mut instance, addresses.ready, &held, probe).await;
        drop((held, pressure));
        instance.submit_until_accepted().await;
        instance.assert_running();
        instance.close();
    });
}
