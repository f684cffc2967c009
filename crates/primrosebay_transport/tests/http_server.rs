//! The HTTP server, driven byte by byte over a connection.

use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::{block_on, sleep};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use primrosebay_transport::http_server::{Limits, Server};

async fn start() -> Server {
    let mut app = tide::new();
    app.at("/ignore").post(|_| async { Ok("ignored") });
    app.at("/read")
        .post(|mut request: tide::Request<()>| async move { request.body_string().await });
    let address = "127.0.0.1:0".parse().unwrap();
    Server::start(address, app, Limits::default())
        .await
        .unwrap()
}

/// Reads one answer, whose body ends with `end`.
async fn answer(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.ends_with(end) {
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    text
}

/// Guards against the loss of a request that follows one whose body nobody read: the decoder drops
/// what it has read ahead, so the client must be told not to use the connection again.
#[test]
fn connection_with_an_unread_body_is_not_used_again() {
    block_on(async {
        let server = start().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"POST /ignore HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let text = answer(&mut stream, "ignored").await;
        assert!(text.contains("connection: close"), "{text}");
        server.close().await;
    });
}

/// Guards against a connection that is given up although the body was read.
#[test]
fn connection_with_a_read_body_is_used_again() {
    block_on(async {
        let server = start().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        for _ in 0..3 {
            let head = b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
            stream.write_all(head).await.unwrap();
            // The body comes in a packet of its own.
            sleep(Duration::from_millis(5)).await;
            stream.write_all(b"body").await.unwrap();
            let text = answer(&mut stream, "body").await;
            assert!(!text.contains("connection: close"), "{text}");
        }
        server.close().await;
    });
}
