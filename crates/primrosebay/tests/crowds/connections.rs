//! Crowds of connections that send nothing, at the limits of connections and descriptors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::io::ReadExt as _;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, StatusCode};
use primrosebay_transport::http_client::Client;

use super::beside::{count_open, gather};
use super::{Instance, MAX_OTHER_DESCRIPTORS, Sender, Setup, WAIT, lock};

/// Descriptors that the operating system allows the process.
const DESCRIPTORS: u32 = 600;

/// Connections that send nothing: more than half of the descriptors.
const IDLE: usize = 400;

fn nothing(_: usize) -> Sender {
    Sender {
        start: Vec::new(),
        piece: Vec::new(),
        bytes: 0,
    }
}

async fn start(name: &'static str) -> Instance {
    let setup = Setup {
        name,
        descriptors: Some(DESCRIPTORS),
        ..Setup::default()
    };
    Instance::start_with(&setup).await
}

/// Sends a readiness probe on a new connection.
async fn probe(address: SocketAddr) -> Option<StatusCode> {
    let wait = Duration::from_secs(4);
    let client = Client::new();
    let call = client.bytes(address, Method::Get, "/api/readyz", &[], None, wait);
    call.await.ok().map(|(status, _)| status)
}

/// Guards against connections without a request that keep out callers at the limit.
#[test]
fn idle_connections_do_not_keep_out_callers() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = start("idle").await;
        let held = gather(instance.member.addresses.front, IDLE, nothing).await;
        instance.submit_until_accepted().await;
        let open = count_open(&held).await;
        assert!(open > IDLE / 2, "{open} held");
        drop(held);
        instance.wait_for_descriptors().await;
        instance.submit_until_accepted().await;
        instance.assert_running();
        instance.close();
    });
}

/// Guards against clients that connect again as soon as they are closed and keep out callers.
#[test]
fn idle_connections_that_come_back_do_not_keep_out_callers() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = start("return").await;
        let address = instance.member.addresses.front;
        let (stop, opened) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        for _ in 0..IDLE {
            let (stop, opened) = (Arc::clone(&stop), Arc::clone(&opened));
            task::spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    if let Ok(mut stream) = TcpStream::connect(address).await {
                        opened.fetch_add(1, Ordering::SeqCst);
                        let _ = stream.read(&mut [0]).await;
                    }
                    task::sleep(Duration::from_millis(100)).await;
                }
            });
        }
        let deadline = Instant::now() + WAIT;
        while opened.load(Ordering::SeqCst) < 2 * IDLE {
            assert!(Instant::now() < deadline, "nobody comes back");
            task::sleep(Duration::from_millis(50)).await;
        }
        instance.submit_until_accepted().await;
        stop.store(true, Ordering::SeqCst);
        instance.assert_running();
        instance.close();
    });
}

/// Guards against a load balancer whose probes are refused because of connections without a request on
/// the address for probes.
#[test]
fn idle_connections_do_not_keep_out_probes() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = start("ready").await;
        let address = instance.member.addresses.ready;
        let held = gather(address, IDLE, nothing).await;
        let deadline = Instant::now() + WAIT;
        loop {
            let status = probe(address).await;
            if status == Some(StatusCode::Ok) {
                break;
            }
            assert!(Instant::now() < deadline, "{status:?}");
            task::sleep(Duration::from_millis(50)).await;
        }
        let open = count_open(&held).await;
        assert!(open > IDLE / 16, "{open} held");
        instance.submit_until_accepted().await;
        instance.assert_running();
        instance.close();
    });
}

/// Guards against connections on the address for other instances that use up the descriptors, so that
/// neither callers nor the log can be reached.
#[test]
fn idle_connections_between_instances_do_not_use_up_the_descriptors() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = start("peers").await;
        let clients = DESCRIPTORS as usize + 100;
        let held = gather(instance.member.addresses.internal, clients, nothing).await;
        instance.submit_until_accepted().await;
        let status = probe(instance.member.addresses.ready).await;
        assert_eq!(status, Some(StatusCode::Ok));
        let open = count_open(&held).await;
        assert!(open > MAX_OTHER_DESCRIPTORS / 2, "{open} held");
        instance.assert_running();
        instance.close();
    });
}

/// Guards against a limit that follows the operating system only, although the machine has fewer
/// descriptors.
#[test]
fn connections_follow_the_descriptors_of_the_settings() {
    let _lock = lock();
    task::block_on(async {
        let setup = Setup {
            name: "fds",
            max_fds: Some(DESCRIPTORS),
            ..Setup::default()
        };
        let mut instance = Instance::start_with(&setup).await;
        let clients = DESCRIPTORS as usize + 100;
        let held = gather(instance.member.addresses.front, clients, nothing).await;
        instance.submit_until_accepted().await;
        let (open, most) = (instance.descriptors(), DESCRIPTORS as usize / 2);
        assert!(open <= most + MAX_OTHER_DESCRIPTORS, "{open} descriptors");
        drop(held);
        instance.wait_for_descriptors().await;
        instance.assert_running();
        instance.close();
    });
}
