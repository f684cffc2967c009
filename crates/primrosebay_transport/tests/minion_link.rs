//! What the link to minions reports about attempts that fail.

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

fn call(address: SocketAddr, attempt: &str, limit_ms: u64) -> Call {
    Call {
        address: address.to_string().into(),
        attempt: attempt.to_owned(),
        media_type: None,
        trace: String::new(),
        body: Payload::Buffered(attempt.as_bytes().into()),
        timeout: Duration::from_millis(limit_ms),
    }
}

async fn text(link: &HttpMinions, call: Call) -> Result<String, MinionError> {
    let mut answer = link.call(call).await?;
    let bytes = answer.body.read_to_end(1 << 20).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

async fn minion() -> Minion {
    let address = "127.0.0.1:0".parse().unwrap();
    Minion::start(address, Settings::default()).await.unwrap()
}

/// Answers each whole request, which ends with `1.1`, with `answer`. Closes the connection after the
/// first one unless it is to be `kept`.
async fn broken_minion(answer: &'static str, kept: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(async move { while serve(&stream, answer).await && kept {} });
        }
    });
    address
}

async fn serve(mut stream: &TcpStream, answer: &str) -> bool {
    let (mut seen, mut buffer) = (Vec::new(), [0; 1024]);
    while !seen.ends_with(b"1.1") {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return false;
        }
        seen.extend_from_slice(&buffer[..count]);
    }
    stream.write_all(answer.as_bytes()).await.is_ok()
}

/// Guards against calling a request lost that was never sent.
#[async_std::test]
async fn a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = text(&HttpMinions::default(), call(address, "1.1", 5_000)).await;
    assert!(matches!(result, Err(MinionError::NotSent(_))), "{result:?}");
}

/// Guards against calling a request "not sent" once any byte has left, and against passing on a
/// broken or foreign answer as a whole one.
#[rstest]
#[case::closed("")]
#[case::broken_head("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::short_body("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort")]
#[case::short_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nshort")]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\nwhole or not")]
#[case::other("HTTP/1.1 200 OK\r\nx-attempt-id: 9.9\r\ncontent-length: 2\r\n\r\nok")]
fn a_broken_answer_is_lost(#[case] answer: &'static str) {
    task::block_on(async {
        let address = broken_minion(answer, false).await;
        let result = text(&HttpMinions::default(), call(address, "1.1", 5_000)).await;
        assert!(matches!(result, Err(MinionError::Lost(_))), "{result:?}");
    });
}

/// Guards against a late answer that reaches the next request on the same connection.
#[async_std::test]
async fn a_connection_that_timed_out_is_not_used_again() {
    let (minion, link) = (minion().await, HttpMinions::default());
    minion.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let late = text(&link, call(minion.address(), "late", 300)).await;
    assert!(matches!(late, Err(MinionError::TimedOut)), "{late:?}");
    minion.set_faults(Faults::default());
    for i in 0..8 {
        let attempt = format!("next-{i}");
        let answer = text(&link, call(minion.address(), &attempt, 10_000)).await;
        assert_eq!(answer.unwrap(), attempt);
    }
}

/// Guards against bytes that come together with an answer and would be read as the next one.
#[async_std::test]
async fn bytes_behind_an_answer_are_not_read_as_the_next_one() {
    let answers = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nownHTTP/1.1 200 OK\r\n\
                   content-length: 5\r\n\r\nstray";
    let (address, link) = (broken_minion(answers, true).await, HttpMinions::default());
    for _ in 0..20 {
        assert_eq!(
            text(&link, call(address, "1.1", 10_000)).await.unwrap(),
            "own"
        );
    }
}

/// Guards against an answer to nobody that arrives when the connection already serves the next
/// request. That request's own answer cannot be told from it, so it may count as lost.
#[async_std::test]
async fn an_answer_to_nobody_reaches_nobody() {
    let (minion, link) = (minion().await, HttpMinions::default());
    minion.set_faults(Faults {
        stray: true,
        ..Faults::default()
    });
    let mut whole = 0;
    for i in 0..200 {
        let attempt = format!("{i}");
        match text(&link, call(minion.address(), &attempt, 10_000)).await {
            Ok(answer) => {
                assert_eq!(answer, attempt);
                whole += 1;
            }
            Err(e) => assert!(matches!(e, MinionError::Lost(_)), "{e}"),
        }
    }
    assert!(whole > 0);
}

/// Guards against more connections to a minion than it accepts.
#[async_std::test]
async fn connections_to_a_minion_are_bounded() {
    let minion = minion().await;
    let link = HttpMinions::new(LinkSettings {
        max_connections: 1,
        ..LinkSettings::default()
    });
    let held = link
        .call(call(minion.address(), "1", 10_000))
        .await
        .unwrap();
    let second = text(&link, call(minion.address(), "2", 10_000)).await;
    assert!(
        matches!(second, Err(MinionError::ConnectionLimit)),
        "{second:?}"
    );
    drop(held);
    let third = text(&link, call(minion.address(), "3", 10_000)).await;
    assert_eq!(third.unwrap(), "3");
}
