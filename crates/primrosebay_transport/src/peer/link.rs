//! A connection to one peer: hello, requests and heartbeats.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use quinn::{Connection, RecvStream, SendStream};

use primrosebay_protocol::code::Code;
use primrosebay_protocol::peer::{
    FrameError, Heartbeat, MAX_FRAME, Request, Response, decode, encode,
};
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;

use super::net::Counters;
use super::{CallError, Handler, LinkError, Settings, tls};

/// A connection to a peer that has sent its hello.
#[derive(Debug, Clone)]
pub(super) struct Link {
    pub(super) connection: Connection,
    /// The incarnation of the peer's process.
    pub(super) incarnation: Incarnation,
    /// Whether the instance with the lower name opened the connection. Of two connections between
    /// the same processes, such a connection is kept.
    pub(super) preferred: bool,
    /// Number of requests in flight.
    in_flight: Arc<AtomicUsize>,
}

/// Counts a request as in flight until it is dropped.
struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    pub(super) fn new(connection: Connection, incarnation: Incarnation, preferred: bool) -> Self {
        Self {
            connection,
            incarnation,
            preferred,
            in_flight: Arc::default(),
        }
    }

    /// Sends a request on a new stream and returns the response.
    pub(super) async fn call(
        &self,
        request: &Request,
        settings: &Settings,
    ) -> Result<Response, CallError> {
        let frame = encode(request).map_err(CallError::Encode)?;
        let in_flight = InFlight(self.in_flight.clone());
        if self.in_flight.fetch_add(1, Ordering::Relaxed) >= settings.max_calls {
            return Err(CallError::Busy);
        }
        let opened = timeout(settings.call_timeout, self.connection.open_bi()).await;
        let (send, receive) = opened
            .map_err(|_| CallError::NoStream)?
            .map_err(|_| CallError::Disconnected)?;
        let response = timeout(settings.call_timeout, exchange(send, receive, &frame)).await;
        drop(in_flight);
        response.map_err(|_| CallError::Lost("timed out".to_owned()))?
    }

    /// Sends a heartbeat as a datagram, or as a request if it does not fit into a datagram.
    pub(super) fn heartbeat(&self, heartbeat: Heartbeat, settings: &Settings) {
        let Ok(frame) = encode(&heartbeat) else {
            return;
        };
        let max_size = self.connection.max_datagram_size().unwrap_or(0);
        if frame.len() <= max_size {
            // A heartbeat that cannot be sent is not retried, since the next one replaces it.
            let _ = self.connection.send_datagram(frame.into());
            return;
        }
        let (link, settings) = (self.clone(), settings.clone());
        task::spawn(async move {
            let _ = link.call(&Request::Heartbeat(heartbeat), &settings).await;
        });
    }
}

/// Sends a frame on a stream and reads the response from it.
async fn exchange(
    mut send: SendStream,
    mut receive: RecvStream,
    frame: &[u8],
) -> Result<Response, CallError> {
    let lost = |error: String| CallError::Lost(error);
    send.write_all(frame)
        .await
        .map_err(|error| lost(error.to_string()))?;
    send.finish().map_err(|error| lost(error.to_string()))?;
    let response = receive.read_to_end(MAX_FRAME).await;
    let response = response.map_err(|error| lost(error.to_string()))?;
    decode(&response).map_err(|error| lost(error.to_string()))
}

/// Sends the hello of this instance on a connection that it opened, and checks that the peer's
/// hello has the expected name.
pub(super) async fn send_hello(
    connection: &Connection,
    peer: &Name,
    settings: &Settings,
) -> Result<Incarnation, LinkError> {
    let hello = Request::Hello {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
    };
    let frame = encode(&hello).map_err(|error| LinkError::InvalidHello(error.to_string()))?;
    let (send, receive) = connection.open_bi().await?;
    let response = exchange(send, receive, &frame).await;
    match response.map_err(|error| LinkError::InvalidHello(error.to_string()))? {
        Response::Hello { name, incarnation } if name == *peer => Ok(incarnation),
        Response::Hello { name, .. } => Err(LinkError::WrongName(name)),
        _ => Err(LinkError::InvalidHello("unexpected response".to_owned())),
    }
}

/// Receives the hello of the peer that opened the connection, checks the name against the peer's
/// certificate and responds with the hello of this instance.
pub(super) async fn receive_hello(
    connection: &Connection,
    settings: &Settings,
) -> Result<(Name, Incarnation), LinkError> {
    let (mut send, mut receive) = connection.accept_bi().await?;
    let invalid = |error: String| LinkError::InvalidHello(error);
    let frame = receive.read_to_end(MAX_FRAME).await;
    let frame = frame.map_err(|error| invalid(error.to_string()))?;
    let request = decode(&frame).map_err(|error| invalid(error.to_string()))?;
    let Request::Hello { name, incarnation } = request else {
        return Err(invalid("unexpected request".to_owned()));
    };
    if !tls::is_valid_for(connection, &name) {
        return Err(LinkError::WrongName(name));
    }
    let hello = Response::Hello {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
    };
    send_response(&mut send, &hello).await;
    Ok((name, incarnation))
}

/// Handles the peer's requests and heartbeats until the connection closes.
pub(super) async fn serve(
    connection: Connection,
    peer: Name,
    handler: Arc<dyn Handler>,
    counters: Arc<Counters>,
    call_timeout: Duration,
) {
    let datagrams = task::spawn(receive_heartbeats(
        connection.clone(),
        peer.clone(),
        handler.clone(),
        counters.clone(),
    ));
    // The number of streams that the peer may have open bounds the number of these tasks.
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (peer, handler, counters) = (peer.clone(), handler.clone(), counters.clone());
        task::spawn(async move {
            let response = handle_request(send, receive, &peer, &*handler, &counters);
            // The timeout drops the stream, which closes it, so that the caller does not wait.
            let _ = timeout(call_timeout, response).await;
        });
    }
    datagrams.cancel().await;
}

/// Handles the heartbeats that arrive as datagrams.
async fn receive_heartbeats(
    connection: Connection,
    peer: Name,
    handler: Arc<dyn Handler>,
    counters: Arc<Counters>,
) {
    while let Ok(frame) = connection.read_datagram().await {
        match decode(&frame) {
            Ok(heartbeat) => handler.heartbeat(&peer, heartbeat),
            Err(error) => counters.count_malformed(&peer, &error),
        }
    }
}

/// Reads one request from a stream, handles it and sends the response.
async fn handle_request(
    mut send: SendStream,
    mut receive: RecvStream,
    peer: &Name,
    handler: &dyn Handler,
    counters: &Counters,
) {
    let frame = match receive.read_to_end(MAX_FRAME).await {
        Ok(frame) => frame,
        Err(quinn::ReadToEndError::TooLong) => {
            counters.count_malformed(peer, &FrameError::TooLong(MAX_FRAME + 1));
            return send_response(&mut send, &Response::Refused(Code::BODY_TOO_LARGE)).await;
        }
        Err(quinn::ReadToEndError::Read(_)) => return,
    };
    let response = match decode(&frame) {
        Ok(Request::Heartbeat(heartbeat)) => {
            handler.heartbeat(peer, heartbeat);
            Response::Done
        }
        Ok(request) => handler.call(peer, request).await,
        Err(error) => {
            counters.count_malformed(peer, &error);
            Response::Refused(Code::MALFORMED)
        }
    };
    send_response(&mut send, &response).await;
}

/// Sends a response, or a refusal if the response is too long for a frame.
async fn send_response(send: &mut SendStream, response: &Response) {
    let frame = encode(response).or_else(|_| encode(&Response::Refused(Code::BODY_TOO_LARGE)));
    if let Ok(frame) = frame
        && send.write_all(&frame).await.is_ok()
    {
        // This fails if the caller no longer waits and has stopped the stream.
        let _ = send.finish();
    }
}
