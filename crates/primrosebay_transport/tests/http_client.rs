//! Calls of the HTTP client to servers that respond in unexpected ways, and with header values that
//! HTTP does not allow.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task;
use http_types::Method;
use primrosebay_transport::http_client::{CallError, Client};
use rstest::rstest;

/// Timeout of a call. The servers of these tests respond at once.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that reads a request and sends `head`, `body_bytes` bytes and the end of a
/// chunked body.
async fn start_server(head: &'static str, body_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("port 0 is free");
    let address = listener.local_addr().expect("bound");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(mut stream)) = incoming.next().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            // The client may close the connection before it has read everything.
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; body_bytes]).await;
            let _ = stream.write_all(b"\r\n0\r\n\r\n").await;
        }
    });
    address
}

/// Sends a call in a task of its own. Fails if the task panics.
async fn call(
    address: SocketAddr,
    header: Option<(&'static str, String)>,
) -> Result<usize, CallError> {
    let call = task::spawn(async move {
        let client = Client::new();
        let headers: Vec<(&str, &str)> = header.iter().map(|(n, v)| (*n, &**v)).collect();
        let path = "/path";
        let call = client.bytes(address, Method::Get, path, &headers, None, TIMEOUT);
        call.await.map(|(_, bytes)| bytes.len())
    });
    call.await
}

/// Guards against a call that panics or adds lines to the head of the request because of the text
/// of a header: the name of a minion is the key of a record that anyone may have written. After a
/// panic the leader waited for the answer until its term ended.
#[rstest]
#[case("i-1\r\nX-Other: 1")]
#[case("i-1\n")]
#[case("i-\u{e9}")]
#[case("i-\0")]
fn invalid_header_value_is_not_sent(#[case] value: &str) {
    task::block_on(async {
        let address = start_server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0).await;
        let result = call(address, Some(("Expect-Instance", value.into()))).await;
        assert!(
            matches!(result, Err(CallError::NotSent { .. })),
            "{result:?}"
        );
    });
}

/// Guards against a panic because of a response head that the HTTP library does not expect.
#[test]
fn response_with_a_non_ascii_header_is_lost() {
    task::block_on(async {
        let head = "HTTP/1.1 200 OK\r\nServer: caf\u{e9}\r\nContent-Length: 0\r\n\r\n";
        let result = call(start_server(head, 0).await, None).await;
        assert!(matches!(result, Err(CallError::Lost { .. })), "{result:?}");
    });
}

/// Guards against memory use without a limit: an address in the directory may belong to any server.
#[rstest]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n")]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000000\r\n")]
fn response_above_the_size_limit_is_lost(#[case] head: &'static str) {
    task::block_on(async {
        let address = start_server(head, 64 << 20).await;
        let result = call(address, None).await;
        assert!(matches!(result, Err(CallError::Lost { .. })), "{result:?}");
    });
}
