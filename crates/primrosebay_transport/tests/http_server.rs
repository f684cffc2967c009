//! The HTTP server, with requests written as raw bytes on a connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::{block_on, sleep, spawn};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use primrosebay_transport::budget::{Budget, Cause};
use primrosebay_transport::http_server::{Limits, Server};
use rstest::rstest;

/// Size of a body that does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 32 << 20;

/// Maximum time until something happens on a busy machine.
const WAIT: Duration = Duration::from_secs(40);

async fn start_server() -> Server {
    start_limited(Limits::default()).await
}

async fn start_limited(limits: Limits) -> Server {
    let mut app = tide::new();
    app.at("/ignore").post(|_| async { Ok("ignored") });
    app.at("/large")
        .get(|_| async { Ok("x".repeat(LARGE_BYTES - 1) + "end") });
    app.at("/read")
        .post(|mut request: tide::Request<()>| async move { request.body_string().await });
    let address = "127.0.0.1:0".parse().unwrap();
    Server::start(address, app, limits).await.unwrap()
}

/// Reads one response, whose body ends with `end`.
async fn read_response(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.ends_with(end) {
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    text
}

/// Guards against the loss of a request that follows one with an unread body. The decoder drops the
/// bytes that it has read ahead, so the response must tell the client not to reuse the connection.
#[test]
fn connection_with_unread_body_is_not_reused() {
    block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"POST /ignore HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let text = read_response(&mut stream, "ignored").await;
        assert!(text.contains("connection: close"), "{text}");
        server.close().await;
    });
}

/// Guards against the loss of a reusable connection: the whole body was read, but the response
/// still asks the client to close.
#[test]
fn connection_with_read_body_is_reused() {
    block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        for _ in 0..3 {
            let head = b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
            stream.write_all(head).await.unwrap();
            // The body arrives in a separate packet.
            sleep(Duration::from_millis(5)).await;
            stream.write_all(b"body").await.unwrap();
            let text = read_response(&mut stream, "body").await;
            assert!(!text.contains("connection: close"), "{text}");
        }
        server.close().await;
    });
}

/// Guards against an answer that is cut off at shutdown: a request counted as finished once its
/// response was ready, although the caller had not received it.
#[test]
fn closing_server_waits_until_the_answer_is_written() {
    block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let mut buffer = vec![0; 65_536];
        let mut tail = Vec::new();
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        let mut closing = spawn(server.close());
        let closed = timeout(Duration::from_millis(500), &mut closing).await;
        assert!(closed.is_err(), "closed before the answer was written");
        while !tail.ends_with(b"end") {
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "closed before the end of the answer");
            tail.drain(..tail.len().saturating_sub(2));
            tail.extend_from_slice(&buffer[..count]);
        }
        closing.await;
    });
}

/// Guards against connections that stay counted after their task has panicked, so that a server
/// accepts no more once there were as many of them as its limit.
#[test]
fn header_that_is_not_ascii_takes_no_slot_for_good() {
    block_on(async {
        let limits = Limits {
            connections: 4,
            ..Limits::default()
        };
        let server = start_limited(limits).await;
        for _ in 0..8 {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            let head = "GET /large HTTP/1.1\r\nhost: a\r\nx: \u{e9}\r\n\r\n";
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
        stream.write_all(head).await.unwrap();
        read_response(&mut stream, "body").await;
        server.close().await;
    });
}

/// Reads until the server closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against connections that stay open for ever, and against refusals with a wrong status, for
/// requests that stop before their end. The chunk decoder waits for the rest of a trailer without
/// reading from the connection.
#[rstest]
#[case("POST /read HTTP/1.1\r\nhost: ", "")]
#[case("POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbo", "408")]
#[case(
    "POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\nx: ",
    "408"
)]
#[case("GET /large HTTP/1.1\r\nhost: a\r\nx: \u{e9}\r\n\r\n", "400")]
#[case("GET /large HTTP/1.1\r\nhost a\r\n\r\n", "400")]
fn unfinished_request_is_refused(#[case] request: &str, #[case] status: &str) {
    block_on(async {
        let limits = Limits {
            head_timeout: Duration::from_millis(100),
            body_timeout: Duration::from_millis(100),
            ..Limits::default()
        };
        let server = start_limited(limits).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let text = read_to_close(&mut stream).await;
        let answered = text.strip_prefix("HTTP/1.1 ").and_then(|t| t.get(..3));
        assert_eq!(answered.unwrap_or_default(), status, "{text}");
        server.close().await;
    });
}

/// Guards against a head whose line has no end and is buffered without a bound.
#[test]
fn long_head_is_refused() {
    block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let mut head = b"GET /large HTTP/1.1\r\nhost: ".to_vec();
        // Not longer, since a client with unread bytes may not get the answer.
        head.resize(8_192, b'a');
        stream.write_all(&head).await.unwrap();
        let text = read_to_close(&mut stream).await;
        assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
        server.close().await;
    });
}

/// Guards against a limit of heads that has no effect.
#[rstest]
#[case::at_the_limit(2_000, "HTTP/1.1 200 ")]
#[case::above_the_limit(2_001, "HTTP/1.1 431 ")]
fn heads_are_served_up_to_the_limit(#[case] bytes: usize, #[case] start: &str) {
    block_on(async {
        let limits = Limits {
            head_bytes: 2_000,
            ..Limits::default()
        };
        let server = start_limited(limits).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let (first, last) = (
            "POST /ignore HTTP/1.1\r\nconnection: close\r\nhost: ",
            "\r\n\r\n",
        );
        let host = "a".repeat(bytes - first.len() - last.len());
        let head = format!("{first}{host}{last}");
        stream.write_all(head.as_bytes()).await.unwrap();
        let text = read_to_close(&mut stream).await;
        assert!(text.starts_with(start), "{text}");
        server.close().await;
    });
}

/// Guards against limits that ordinary callers on slow connections run into.
#[test]
fn request_in_slow_pieces_is_served() {
    block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = "POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        let request = format!("{head}1\r\nb\r\n3\r\nody\r\n0\r\n\r\n");
        for piece in request.as_bytes().chunks(7) {
            stream.write_all(piece).await.unwrap();
            sleep(Duration::from_millis(20)).await;
        }
        read_response(&mut stream, "body").await;
        server.close().await;
    });
}

/// Guards against small requests that are refused because of a large one, and against a refusal without
/// the time after which to retry.
#[test]
fn largest_request_gives_way_to_small_ones() {
    block_on(async {
        let address = "127.0.0.1:0".parse().unwrap();
        let mut app = tide::new();
        app.at("/read")
            .post(|mut request: tide::Request<()>| async move { request.body_string().await });
        let budget = Arc::new(Budget::new(160_000));
        let limits = Limits::default();
        let server = Server::start_with_budget(address, app, limits, Arc::clone(&budget));
        let server = server.await.unwrap();
        let head =
            |bytes| format!("POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: {bytes}\r\n\r\n");
        let mut large = TcpStream::connect(server.address()).await.unwrap();
        let request = head(110_000) + &"x".repeat(100_000);
        large.write_all(request.as_bytes()).await.unwrap();
        while budget.used() < 120_000 {
            sleep(Duration::from_millis(5)).await;
        }
        let mut small = Vec::new();
        for _ in 0..3 {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            let start = head(4) + "bo";
            stream.write_all(start.as_bytes()).await.unwrap();
            small.push(stream);
        }
        let text = read_to_close(&mut large).await;
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert!(text.contains("retry-after: 1"), "{text}");
        for mut stream in small {
            stream.write_all(b"dy").await.unwrap();
            read_response(&mut stream, "body").await;
        }
        assert_eq!(budget.given_up(Cause::Memory), 1);
        server.close().await;
    });
}

/// Limits of a server for few connections.
fn few_connections(connections: usize) -> Limits {
    Limits {
        connections,
        ..Limits::default()
    }
}

/// Asks on new connections until the server answers.
async fn ask_until_answered(server: &Server) {
    let head = b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
    let deadline = Instant::now() + WAIT;
    loop {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let _ = stream.write_all(head).await;
        if timeout(WAIT, read_to_close_or(&mut stream, "body"))
            .await
            .unwrap()
        {
            return;
        }
        assert!(Instant::now() < deadline, "no answer");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Reads until the bytes end with `end`. Returns whether they do before the connection is closed.
async fn read_to_close_or(stream: &mut TcpStream, end: &str) -> bool {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 1024]);
    while !bytes.ends_with(end.as_bytes()) {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return false,
        }
    }
    true
}

/// Guards against connections without a request that keep out callers, and against a place that is
/// lost when a connection gives way.
#[test]
fn idle_connections_give_way_to_new_ones() {
    block_on(async {
        let server = start_limited(few_connections(4)).await;
        let mut idle = Vec::new();
        for _ in 0..20 {
            idle.push(TcpStream::connect(server.address()).await.unwrap());
            ask_until_answered(&server).await;
        }
        server.close().await;
    });
}

/// Guards against a kept connection that gives way while a request arrives on it, because it was idle
/// before.
#[test]
fn kept_connection_with_a_new_request_does_not_give_way() {
    block_on(async {
        let mut app = tide::new();
        app.at("/read")
            .post(|mut request: tide::Request<()>| async move { request.body_string().await });
        let budget = Arc::new(Budget::default());
        let address = "127.0.0.1:0".parse().unwrap();
        let limits = few_connections(2);
        let server = Server::start_with_budget(address, app, limits, Arc::clone(&budget));
        let server = server.await.unwrap();
        let head = b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
        let mut kept = TcpStream::connect(server.address()).await.unwrap();
        kept.write_all(head).await.unwrap();
        kept.write_all(b"body").await.unwrap();
        read_response(&mut kept, "body").await;
        // The kept connection has been idle for longer.
        sleep(Duration::from_millis(500)).await;
        let mut idle = TcpStream::connect(server.address()).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        kept.write_all(head).await.unwrap();
        while budget.used() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        ask_until_answered(&server).await;
        assert_eq!(read_to_close(&mut idle).await, "");
        kept.write_all(b"body").await.unwrap();
        read_response(&mut kept, "body").await;
        server.close().await;
    });
}

/// Guards against clients that do not read their answers and keep out callers.
#[test]
fn connections_with_unread_answers_give_way_to_new_ones() {
    block_on(async {
        let server = start_limited(few_connections(4)).await;
        let mut clients = Vec::new();
        for _ in 0..4 {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            let head = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
            stream.write_all(head).await.unwrap();
            assert!(stream.read(&mut [0]).await.unwrap() > 0);
            clients.push(stream);
        }
        ask_until_answered(&server).await;
        drop(server);
    });
}

/// Guards against an answer that is kept for as long as its client likes.
#[test]
fn answer_that_is_not_read_ends_the_connection() {
    block_on(async {
        let budget = Arc::new(Budget::default());
        let mut app = tide::new();
        app.at("/large")
            .get(|_| async { Ok("x".repeat(LARGE_BYTES)) });
        let limits = Limits {
            write_timeout: Duration::from_millis(100),
            ..Limits::default()
        };
        let address = "127.0.0.1:0".parse().unwrap();
        let server = Server::start_with_budget(address, app, limits, Arc::clone(&budget));
        let server = server.await.unwrap();
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let deadline = Instant::now() + WAIT;
        while budget.given_up(Cause::AnswerTime) == 0 {
            assert!(Instant::now() < deadline, "the connection is still open");
            sleep(Duration::from_millis(10)).await;
        }
        let text = read_to_close(&mut stream).await;
        assert!(text.len() < LARGE_BYTES, "{} bytes", text.len());
        server.close().await;
    });
}

/// Guards against answers that fill the memory because their clients do not read them, and against a
/// client that does not get its own because of them.
#[test]
fn unread_answers_give_way_to_new_ones() {
    block_on(async {
        let budget = Arc::new(Budget::new(3 * LARGE_BYTES));
        let server = start_with_answers(&budget).await;
        let mut unread = Vec::new();
        for _ in 0..8 {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            let head = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
            stream.write_all(head).await.unwrap();
            assert!(stream.read(&mut [0]).await.unwrap() > 0);
            assert!(budget.held() <= 3 * LARGE_BYTES / 2 * 3);
            unread.push(stream);
        }
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"GET /large HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let text = read_to_close(&mut stream).await;
        assert!(text.ends_with("end"), "{} bytes", text.len());
        assert!(budget.given_up(Cause::Memory) >= 6);
        drop(unread);
        server.close().await;
    });
}

/// Guards against answers above the budget, and against a refusal of a request that has had its effect.
#[rstest]
#[case::without_effect("GET", "HTTP/1.1 503 ")]
#[case::with_effect("POST", "")]
fn answer_above_the_budget_is_not_sent(#[case] method: &str, #[case] start: &str) {
    block_on(async {
        let budget = Arc::new(Budget::new(LARGE_BYTES / 2));
        let server = start_with_answers(&budget).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = format!("{method} /large HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let text = read_to_close(&mut stream).await;
        assert_eq!(text.get(..start.len()), Some(start));
        assert_eq!(text.contains("retry-after: 1"), !start.is_empty());
        assert!(text.len() < 1_000, "{} bytes", text.len());
        assert_eq!(budget.held(), 0);
        server.close().await;
    });
}

/// Starts a server with large answers to requests with and without an effect.
async fn start_with_answers(budget: &Arc<Budget>) -> Server {
    let mut app = tide::new();
    let answer = |_| async { Ok("x".repeat(LARGE_BYTES - 3) + "end") };
    app.at("/large").get(answer).post(answer);
    let address = "127.0.0.1:0".parse().unwrap();
    let server = Server::start_with_budget(address, app, Limits::default(), Arc::clone(budget));
    server.await.unwrap()
}

/// Guards against a request that was received and is dropped because there are many connections: it may
/// have had an effect, and its caller would not know.
#[test]
fn requests_in_work_do_not_give_way() {
    block_on(async {
        let (release, released) = bounded::<()>(1);
        let (arrive, arrived) = bounded::<()>(2);
        let mut app = tide::with_state((arrive, released));
        app.at("/wait").get(wait_for_release);
        let budget = Arc::new(Budget::default());
        let address = "127.0.0.1:0".parse().unwrap();
        let limits = few_connections(2);
        let server = Server::start_with_budget(address, app, limits, Arc::clone(&budget));
        let server = server.await.unwrap();
        let mut clients = Vec::new();
        for _ in 0..2 {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            let head = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
            stream.write_all(head).await.unwrap();
            arrived.recv().await.unwrap();
            clients.push(stream);
        }
        for _ in 0..5 {
            let mut refused = TcpStream::connect(server.address()).await.unwrap();
            assert_eq!(read_to_close(&mut refused).await, "");
        }
        assert_eq!(budget.given_up(Cause::Connections), 5);
        drop(release);
        for mut stream in clients {
            read_response(&mut stream, "done").await;
        }
        server.close().await;
    });
}

/// Answers once the test releases all requests.
async fn wait_for_release(request: tide::Request<(Sender<()>, Receiver<()>)>) -> tide::Result {
    let (arrive, released) = request.state();
    let _ = arrive.send(()).await;
    let _ = released.recv().await;
    Ok("done".into())
}

/// Guards against an answer of an application that knows that the request may have had an effect, and
/// that is replaced by a refusal, and against a refusal without the time after which to retry.
#[rstest]
#[case("/unknown", "504", false)]
#[case("/refused", "503", true)]
fn answers_of_the_application_stay(
    #[case] path: &str,
    #[case] status: &str,
    #[case] has_retry: bool,
) {
    block_on(async {
        let mut app = tide::new();
        for (path, status) in [("/unknown", 504), ("/refused", 503)] {
            app.at(path)
                .post(move |mut request: tide::Request<()>| async move {
                    let body = request.body_bytes().await;
                    Ok(tide::Response::new(if body.is_err() {
                        status
                    } else {
                        200
                    }))
                });
        }
        let budget = Arc::new(Budget::new(160_000));
        let address = "127.0.0.1:0".parse().unwrap();
        let limits = Limits::default();
        let server = Server::start_with_budget(address, app, limits, Arc::clone(&budget));
        let server = server.await.unwrap();
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n");
        let request = head + &"x".repeat(150_000);
        let _ = stream.write_all(request.as_bytes()).await;
        let text = read_to_close(&mut stream).await;
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
        assert_eq!(text.contains("retry-after: 1"), has_retry, "{text}");
        server.close().await;
    });
}
