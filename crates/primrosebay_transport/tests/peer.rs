//! Links between entry instances over loopback.

use std::future::Future;
use std::net::Ipv4Addr;
use std::path::Path;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;
use rstest::rstest;

use primrosebay_protocol::code::Code;
use primrosebay_protocol::peer::{Heartbeat, Request, Response, Summary, ZoneTerm, encode};
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_transport::peer::{
    Backoff, CallError, DevAuthority, Handler, Identity, IdentityFiles, Net, Settings,
};

/// Number of polls, 10 ms apart, after which a condition that does not hold fails the test.
const MAX_POLLS: u32 = 1_000;

/// Records the heartbeats and requests of peers.
#[derive(Default)]
struct Recorder {
    heartbeats: Mutex<Vec<(Name, Heartbeat)>>,
    requests: Mutex<Vec<Request>>,
    /// Whether requests get no response.
    unresponsive: bool,
}

impl Handler for Recorder {
    fn heartbeat(&self, peer: &Name, heartbeat: Heartbeat) {
        let mut heartbeats = self.heartbeats.lock().unwrap();
        heartbeats.push((peer.clone(), heartbeat));
    }

    fn call<'a>(
        &'a self,
        _: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(async move {
            if self.unresponsive {
                std::future::pending::<()>().await;
            }
            // The code identifies the request that the response belongs to.
            let code = match &request {
                Request::Config { from } => Code(u16::try_from(*from).unwrap()),
                _ => Code::OK,
            };
            self.requests.lock().unwrap().push(request);
            Response::Refused(code)
        })
    }
}

fn settings(name: &str) -> Settings {
    Settings {
        name: name.into(),
        incarnation: Incarnation(1),
        backoff: (Duration::from_millis(5), Duration::from_millis(20)),
        ..Settings::default()
    }
}

fn start_peer(name: &str, identity: Identity) -> (Net, Arc<Recorder>) {
    let recorder = Arc::new(Recorder::default());
    let net = Net::bind(settings(name), identity, recorder.clone()).unwrap();
    (net, recorder)
}

/// Sets the peer `to`, called `name`, as the only one that `from` connects to.
fn set_peer(from: &Net, name: &str, to: &Net) {
    from.set_peers(&[(name.into(), to.address().unwrap())]);
}

/// Waits for a condition, and panics with `message` after [`MAX_POLLS`] polls.
async fn wait_until(message: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("{message}");
}

/// Starts two connected instances, `entry-a` and `entry-b`.
async fn pair() -> [(Net, Arc<Recorder>); 2] {
    pair_of(&DevAuthority::new().unwrap()).await
}

/// Starts two connected instances whose certificates `authority` issues.
async fn pair_of(authority: &DevAuthority) -> [(Net, Arc<Recorder>); 2] {
    let a = start_peer("entry-a", authority.issue("entry-a").unwrap());
    let b = start_peer("entry-b", authority.issue("entry-b").unwrap());
    set_peer(&a.0, "entry-b", &b.0);
    set_peer(&b.0, "entry-a", &a.0);
    wait_until("the links were not set up", || {
        a.0.connected().len() == 1 && b.0.connected().len() == 1
    })
    .await;
    [a, b]
}

fn config(from: u64) -> Request {
    Request::Config { from }
}

/// Guards against a response that reaches the caller of another request while many requests are in
/// flight.
#[test]
fn responses_belong_to_their_requests() {
    task::block_on(async {
        let [(a, _), (b, _)] = pair().await;
        let a = Arc::new(a);
        let calls: Vec<_> = (0..100)
            .map(|i| {
                let a = a.clone();
                task::spawn(async move { a.call("entry-b", &config(i)).await.unwrap() })
            })
            .collect();
        for (i, call) in (0..).zip(calls) {
            let Response::Refused(code) = call.await else {
                panic!("unexpected response");
            };
            assert_eq!(code, Code(i));
        }
        b.close().await;
    });
}

/// Guards against the loss of heartbeats that do not fit into a datagram.
#[rstest]
#[case::datagram(1)]
#[case::stream(500)]
fn heartbeats_of_any_length_arrive(#[case] zones: u64) {
    task::block_on(async {
        let [(a, _), (b, recorder)] = pair().await;
        let terms = (0..zones).map(|epoch| ZoneTerm {
            zone: "zone".into(),
            epoch,
        });
        let sent = Heartbeat {
            summary: Some(Summary {
                zones: terms.collect(),
                ..Summary::default()
            }),
            ..Heartbeat::default()
        };
        a.heartbeat("entry-b", sent.clone());
        wait_until("the heartbeat was lost", || {
            recorder.heartbeats.lock().unwrap().len() == 1
        })
        .await;
        let (peer, received) = recorder.heartbeats.lock().unwrap().remove(0);
        assert_eq!((&*peer, received), ("entry-a", sent));
        b.close().await;
    });
}

/// Guards against a caller that waits forever, or that reports the request as not sent, when the
/// peer accepts the request and never responds.
#[test]
fn unresponsive_peer_gives_an_unknown_outcome() {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let (a, _) = start_peer("entry-a", authority.issue("entry-a").unwrap());
        let unresponsive = Arc::new(Recorder {
            unresponsive: true,
            ..Recorder::default()
        });
        let short_timeout = Settings {
            call_timeout: Duration::from_millis(50),
            ..settings("entry-b")
        };
        let b = Net::bind(
            short_timeout,
            authority.issue("entry-b").unwrap(),
            unresponsive,
        )
        .unwrap();
        set_peer(&a, "entry-b", &b);
        wait_until("the link was not set up", || a.connected().len() == 1).await;
        let error = a.call("entry-b", &config(1)).await.unwrap_err();
        assert!(error.may_have_run(), "{error}");
        b.close().await;
    });
}

/// Guards against a process that stops, or closes the link, because it cannot decode a frame.
#[test]
fn malformed_frames_are_counted_and_refused() {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let [(a, _), (b, _)] = pair_of(&authority).await;
        // A request that exceeds the maximum frame length is refused before it is sent.
        let long = Request::Hello {
            name: "x".repeat(2 << 20).into(),
            incarnation: Incarnation(1),
        };
        let error = a.call("entry-b", &long).await.unwrap_err();
        assert!(matches!(error, CallError::Encode(_)) && !error.may_have_run());
        let response = raw_client(&b, &authority.issue("entry-c").unwrap(), &[9, 9, 9]).await;
        assert_eq!(
            response,
            encode(&Response::Refused(Code::MALFORMED)).unwrap()
        );
        wait_until("the frames were not counted", || b.malformed_frames() == 2).await;
        assert!(a.call("entry-b", &config(3)).await.is_ok());
        b.close().await;
    });
}

/// Connects as `entry-c`, sends `frame` as a datagram and as a request, and returns the response.
async fn raw_client(to: &Net, identity: &Identity, frame: &[u8]) -> Vec<u8> {
    let any = Settings::default().address;
    let endpoint = quinn::Endpoint::client(any).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(identity.client_crypto().unwrap()));
    let connecting = endpoint.connect_with(config, to.address().unwrap(), "entry-b");
    let connection = connecting.unwrap().await.unwrap();
    let hello = Request::Hello {
        name: "entry-c".into(),
        incarnation: Incarnation(1),
    };
    exchange(&connection, &encode(&hello).unwrap()).await;
    connection.send_datagram(frame.to_vec().into()).unwrap();
    exchange(&connection, frame).await
}

/// Sends a frame on a new stream and returns the frame of the response.
async fn exchange(connection: &quinn::Connection, frame: &[u8]) -> Vec<u8> {
    let (mut send, mut receive) = connection.open_bi().await.unwrap();
    send.write_all(frame).await.unwrap();
    send.finish().unwrap();
    receive.read_to_end(1 << 20).await.unwrap()
}

/// Guards against instances that accept a peer whose certificate is from another authority or for
/// the name of another instance.
#[rstest]
#[case::authority(false, "entry-b")]
#[case::name(true, "entry-c")]
fn wrong_certificates_are_refused(#[case] same_authority: bool, #[case] name: &str) {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let other = DevAuthority::new().unwrap();
        let issuer = if same_authority { &authority } else { &other };
        let (a, recorder) = start_peer("entry-a", authority.issue("entry-a").unwrap());
        let (b, _) = start_peer("entry-b", issuer.issue(name).unwrap());
        set_peer(&b, "entry-a", &a);
        wait_until("the peer was not refused", || a.failed_connections() > 0).await;
        set_peer(&a, "entry-b", &b);
        wait_until("the peer was not refused", || b.failed_connections() > 1).await;
        assert!(a.connected().is_empty());
        assert!(recorder.requests.lock().unwrap().is_empty());
        b.close().await;
    });
}

/// Opens a QUIC client on a loopback address.
fn open_client(from: [u8; 4], identity: &Identity) -> quinn::Endpoint {
    let mut client = quinn::Endpoint::client((from, 0).into()).unwrap();
    let crypto = Arc::new(identity.client_crypto().unwrap());
    client.set_default_client_config(quinn::ClientConfig::new(crypto));
    client
}

/// Returns the first packet of a handshake with the instance `name`.
async fn first_packet(client: &quinn::Endpoint, name: &str) -> Vec<u8> {
    let sink = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let _connecting = client.connect(sink.local_addr().unwrap(), name).unwrap();
    let mut buffer = vec![0; 2_048];
    let (length, _) = sink.recv_from(&mut buffer).await.unwrap();
    buffer.truncate(length);
    buffer
}

/// Starts the instance `entry-b`, which waits for a minute until handshakes are finished.
fn start_patient(authority: &DevAuthority) -> Net {
    let settings = Settings {
        connect_timeout: Duration::from_mins(1),
        ..settings("entry-b")
    };
    let identity = authority.issue("entry-b").unwrap();
    Net::bind(settings, identity, Arc::new(Recorder::default())).unwrap()
}

/// Asserts that a new peer can connect to `entry-b`, which does not know it.
async fn assert_open(net: &Net, authority: &DevAuthority) {
    let (peer, _) = start_peer("entry-a", authority.issue("entry-a").unwrap());
    set_peer(&peer, "entry-b", net);
    wait_until("the peer was kept out", || peer.connected().len() == 1).await;
    peer.close().await;
}

/// Guards against clients on a few addresses that take all places for connections that are being set up.
/// They say no hello.
#[test]
fn silent_clients_do_not_keep_out_peers() {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let net = start_patient(&authority);
        let identity = authority.issue("stranger").unwrap();
        let mut held = Vec::new();
        for last in 2..6 {
            let client = open_client([127, 0, 0, last], &identity);
            for _ in 0..20 {
                let address = net.address().unwrap();
                held.push(client.connect(address, "entry-b").unwrap().await);
            }
        }
        assert!(held.iter().filter(|c| c.is_ok()).count() >= 64);
        assert_open(&net, &authority).await;
        drop(held);
    });
}

/// Guards against clients whose attempts fail at once and take memory and time all the same.
#[test]
fn failing_clients_are_refused_before_the_handshake() {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let net = start_patient(&authority);
        let address = net.address().unwrap();
        let silent = open_client([127, 0, 0, 3], &authority.issue("stranger").unwrap());
        let mut held = Vec::new();
        for _ in 0..32 {
            held.push(silent.connect(address, "entry-b").unwrap().await.unwrap());
        }
        let other = DevAuthority::new().unwrap().issue("stranger").unwrap();
        let client = open_client([127, 0, 0, 2], &other);
        let mut is_refused = false;
        for _ in 0..200 {
            let result = client.connect(address, "entry-b").unwrap().await;
            let refused = quinn::TransportErrorCode::CONNECTION_REFUSED;
            is_refused |= matches!(
                result,
                Err(quinn::ConnectionError::ConnectionClosed(c)) if c.error_code == refused
            );
        }
        assert!(is_refused);
        assert_open(&net, &authority).await;
        drop(held);
    });
}

/// Guards against first packets with any senders, which need not get an answer, that take all places.
#[test]
fn first_packets_of_many_addresses_do_not_keep_out_peers() {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let net = start_patient(&authority);
        let client = open_client([127, 0, 0, 1], &authority.issue("stranger").unwrap());
        for last in 1..=200 {
            let packet = first_packet(&client, "entry-b").await;
            let socket = UdpSocket::bind((Ipv4Addr::new(127, 0, 1, last), 0));
            let socket = socket.await.unwrap();
            socket
                .send_to(&packet, net.address().unwrap())
                .await
                .unwrap();
        }
        assert_open(&net, &authority).await;
    });
}

/// Writes the certificate, key and root to files in `dir`.
fn write_files(dir: &Path, pem: &[String; 3]) -> IdentityFiles {
    let files = IdentityFiles {
        certificate: dir.join("certificate.pem"),
        key: dir.join("key.pem"),
        roots: dir.join("roots.pem"),
    };
    std::fs::write(&files.certificate, &pem[0]).unwrap();
    std::fs::write(&files.key, &pem[1]).unwrap();
    std::fs::write(&files.roots, &pem[2]).unwrap();
    files
}

/// Guards against certificates that are only replaced by a restart, against connections that stay
/// open after their root was removed, and against an instance that loses its peers because only a
/// part of the files has been replaced.
#[test]
fn certificates_are_reloaded() {
    task::block_on(async {
        let (old, new) = (DevAuthority::new().unwrap(), DevAuthority::new().unwrap());
        let [(a, _), (b, _)] = pair_of(&old).await;
        let dir = std::env::temp_dir().join(format!("primrosebay-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let mut mixed = old.issue_pem("entry-a").unwrap();
        mixed[1] = new.issue_pem("entry-a").unwrap()[1].clone();
        let loaded = Identity::load(&write_files(&dir, &mixed));
        assert!(loaded.is_err(), "a key of another certificate was accepted");

        let files = write_files(&dir, &new.issue_pem("entry-a").unwrap());
        a.watch(files, Duration::from_millis(5));
        wait_until("b was not refused", || {
            a.failed_connections() + b.failed_connections() > 0
        })
        .await;
        assert!(a.call("entry-b", &config(1)).await.is_err());
        b.reload(new.issue("entry-b").unwrap()).unwrap();
        wait_until("the link was not set up again", || {
            a.connected().len() == 1 && b.connected().len() == 1
        })
        .await;
        assert!(a.call("entry-b", &config(1)).await.is_ok());
        std::fs::remove_dir_all(&dir).unwrap();
        b.close().await;
    });
}

/// Guards against a restarted peer that stays unreachable until the connection of its previous
/// process reaches the idle timeout, and against two connections that keep replacing each other
/// when both sides connect at the same time.
#[test]
fn restarted_peer_replaces_its_previous_process() {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let [(a, _), (b, _)] = pair_of(&authority).await;
        let restarted = Settings {
            incarnation: Incarnation(2),
            ..settings("entry-b")
        };
        let recorder = Arc::new(Recorder::default());
        let identity = authority.issue("entry-b").unwrap();
        let c = Net::bind(restarted, identity, recorder.clone()).unwrap();
        // Like a killed process, the previous one does not close its links.
        b.set_peers(&[]);
        set_peer(&c, "entry-a", &a);
        let reached = || !recorder.requests.lock().unwrap().is_empty();
        for _ in 0..MAX_POLLS {
            if reached() {
                break;
            }
            let _ = a.call("entry-b", &config(1)).await;
            task::sleep(Duration::from_millis(10)).await;
        }
        assert!(reached(), "the new process got no request");
        drop(b);
        c.close().await;
    });
}

/// Guards against a peer that is never connected again after its connection failed, and against a
/// stopped instance that leaves links open.
#[test]
fn closed_peer_is_reconnected() {
    task::block_on(async {
        let authority = DevAuthority::new().unwrap();
        let [(a, _), (b, _)] = pair_of(&authority).await;
        let address = b.address().unwrap();
        b.close().await;
        wait_until("the link stayed open", || a.connected().is_empty()).await;
        let same_address = Settings {
            address,
            ..settings("entry-b")
        };
        let identity = authority.issue("entry-b").unwrap();
        let bind = || {
            let recorder = Arc::new(Recorder::default());
            Net::bind(same_address.clone(), identity.clone(), recorder).ok()
        };
        // A background task frees the socket some time after `close`.
        let mut b = bind();
        for _ in 0..MAX_POLLS {
            if b.is_some() {
                break;
            }
            task::sleep(Duration::from_millis(10)).await;
            b = bind();
        }
        let b = b.expect("the port was not freed");
        wait_until("the link was not set up again", || a.connected().len() == 1).await;
        b.close().await;
    });
}

/// Guards against connection attempts that are synchronized, and against pauses that grow without
/// bound.
#[test]
fn backoff_is_bounded_and_jittered() {
    let limits = (Duration::from_millis(100), Duration::from_secs(1));
    let pauses = |seed| {
        let mut backoff = Backoff::new(limits, seed);
        (0..50).map(|_| backoff.pause()).collect::<Vec<_>>()
    };
    let (first, second) = (pauses(1), pauses(2));
    assert!(
        first
            .iter()
            .all(|pause| *pause >= limits.0 / 2 && *pause <= limits.1)
    );
    assert!(first.iter().zip(&second).all(|(a, b)| a != b));
}
