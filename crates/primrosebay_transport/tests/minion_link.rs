//! The link to minions: errors of failed attempts and reuse of connections.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use primrosebay_standin::minion::{Faults, Minion, Settings};
use primrosebay_transport::minion::{
    Call, HttpMinions, LinkSettings, MinionError, MinionLink, Payload,
};
use rstest::rstest;

/// Builds a call whose body is the ID of the attempt.
fn call(address: SocketAddr, attempt: &str, timeout_ms: u64) -> Call {
    Call {
        address: address.to_string().into(),
        attempt: attempt.to_owned(),
        media_type: None,
        trace: String::new(),
        body: Payload::Buffered(attempt.as_bytes().into()),
        timeout: Duration::from_millis(timeout_ms),
    }
}

/// Makes a call and returns the body of the response as text.
async fn call_text(link: &HttpMinions, call: Call) -> Result<String, MinionError> {
    let mut response = link.call(call).await?;
    let bytes = response.body.read_to_end(1 << 20).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

async fn start_minion() -> Minion {
    let address = "127.0.0.1:0".parse().unwrap();
    Minion::start(address, Settings::default()).await.unwrap()
}

/// Starts a server that writes `response` for each request, whose body ends with `1.1`. It closes a
/// connection after the first response unless `keep_alive` is set.
async fn start_raw_minion(response: &'static str, keep_alive: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(async move { while serve_one(&stream, response).await && keep_alive {} });
        }
    });
    address
}

/// Reads one request and writes `response`. Returns whether the connection is still open.
async fn serve_one(mut stream: &TcpStream, response: &str) -> bool {
    let (mut received, mut buffer) = (Vec::new(), [0; 1024]);
    while !received.ends_with(b"1.1") {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return false;
        }
        received.extend_from_slice(&buffer[..count]);
    }
    stream.write_all(response.as_bytes()).await.is_ok()
}

/// Guards against reporting a request as lost when no connection could be made and nothing was
/// sent.
#[async_std::test]
async fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = call_text(&HttpMinions::default(), call(address, "1.1", 5_000)).await;
    assert!(matches!(result, Err(MinionError::NotSent(_))), "{result:?}");
}

/// Guards against reporting a request as not sent after a byte of it was sent, and against
/// forwarding an incomplete response, or the response to another attempt, as a complete one.
#[rstest]
#[case::closed("")]
#[case::broken_head("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::short_body("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort")]
#[case::short_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nshort")]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\nwhole or not")]
#[case::other_attempt("HTTP/1.1 200 OK\r\nx-attempt-id: 9.9\r\ncontent-length: 2\r\n\r\nok")]
fn broken_response_is_reported_as_lost(#[case] response: &'static str) {
    task::block_on(async {
        let address = start_raw_minion(response, false).await;
        let result = call_text(&HttpMinions::default(), call(address, "1.1", 5_000)).await;
        assert!(matches!(result, Err(MinionError::Lost(_))), "{result:?}");
    });
}

/// Guards against a late response that is taken as the response to the next request on the same
/// connection.
#[async_std::test]
async fn timed_out_connection_is_not_reused() {
    let (minion, link) = (start_minion().await, HttpMinions::default());
    minion.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let late = call_text(&link, call(minion.address(), "late", 300)).await;
    assert!(matches!(late, Err(MinionError::TimedOut)), "{late:?}");
    minion.set_faults(Faults::default());
    for i in 0..8 {
        let attempt = format!("next-{i}");
        let response = call_text(&link, call(minion.address(), &attempt, 10_000)).await;
        assert_eq!(response.unwrap(), attempt);
    }
}

/// Guards against bytes that arrive together with a response and are read as the next response.
#[async_std::test]
async fn bytes_after_a_response_are_not_read_as_the_next_one() {
    let responses = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nownHTTP/1.1 200 OK\r\n\
                   content-length: 5\r\n\r\nstray";
    let (address, link) = (
        start_raw_minion(responses, true).await,
        HttpMinions::default(),
    );
    for _ in 0..20 {
        assert_eq!(
            call_text(&link, call(address, "1.1", 10_000))
                .await
                .unwrap(),
            "own"
        );
    }
}

/// Guards against a stray response, which belongs to no request and arrives while the connection
/// already serves the next one. That request cannot tell its own response from the stray one, so it
/// may count as lost.
#[async_std::test]
async fn stray_response_reaches_no_request() {
    let (minion, link) = (start_minion().await, HttpMinions::default());
    minion.set_faults(Faults {
        stray: true,
        ..Faults::default()
    });
    let mut complete = 0;
    for i in 0..200 {
        let attempt = format!("{i}");
        match call_text(&link, call(minion.address(), &attempt, 10_000)).await {
            Ok(response) => {
                assert_eq!(response, attempt);
                complete += 1;
            }
            Err(e) => assert!(matches!(e, MinionError::Lost(_)), "{e}"),
        }
    }
    assert!(complete > 0);
}

/// Guards against more open connections to a minion than the settings allow.
#[async_std::test]
async fn connections_to_a_minion_are_bounded() {
    let minion = start_minion().await;
    let link = HttpMinions::new(LinkSettings {
        max_connections: 1,
        ..LinkSettings::default()
    });
    let held = link
        .call(call(minion.address(), "1", 10_000))
        .await
        .unwrap();
    let second = call_text(&link, call(minion.address(), "2", 10_000)).await;
    assert!(
        matches!(second, Err(MinionError::ConnectionLimit)),
        "{second:?}"
    );
    drop(held);
    let third = call_text(&link, call(minion.address(), "3", 10_000)).await;
    assert_eq!(third.unwrap(), "3");
}
