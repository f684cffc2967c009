//! One connection to a peer.

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

/// A connection whose peer is known.
#[derive(Debug, Clone)]
pub(super) struct Link {
    pub(super) connection: Connection,
    /// The peer's process.
    pub(super) incarnation: Incarnation,
    /// Whether the instance with the lower name opened the connection.
    pub(super) preferred: bool,
    waiting: Arc<AtomicUsize>,
}

/// Counts a request for as long as it waits.
struct Waiting(Arc<AtomicUsize>);

impl Drop for Waiting {
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
            waiting: Arc::default(),
        }
    }

    /// Sends a request and returns the response on the same stream.
    pub(super) async fn call(
        &self,
        request: &Request,
        settings: &Settings,
    ) -> Result<Response, CallError> {
        let frame = encode(request).map_err(CallError::Encode)?;
        let waiting = Waiting(self.waiting.clone());
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= settings.max_calls {
            return Err(CallError::Busy);
        }
        let opened = timeout(settings.call_timeout, self.connection.open_bi()).await;
        let (send, receive) = opened
            .map_err(|_| CallError::NoStream)?
            .map_err(|_| CallError::Disconnected)?;
        let answer = timeout(settings.call_timeout, exchange(send, receive, &frame)).await;
        drop(waiting);
        answer.map_err(|_| CallError::Lost("time-out".to_owned()))?
    }

    /// Sends a heartbeat as a datagram, or as a request if it is too long for one.
    pub(super) fn heartbeat(&self, heartbeat: Heartbeat, settings: &Settings) {
        let Ok(frame) = encode(&heartbeat) else {
            return;
        };
        let room = self.connection.max_datagram_size().unwrap_or(0);
        if frame.len() <= room {
            // A heartbeat that cannot be sent is replaced by the next one.
            let _ = self.connection.send_datagram(frame.into());
            return;
        }
        let (link, settings) = (self.clone(), settings.clone());
        task::spawn(async move {
            let _ = link.call(&Request::Heartbeat(heartbeat), &settings).await;
        });
    }
}

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
    let answer = receive.read_to_end(MAX_FRAME).await;
    let answer = answer.map_err(|error| lost(error.to_string()))?;
    decode(&answer).map_err(|error| lost(error.to_string()))
}

/// Names this instance on a connection that it opened, and checks the peer's answer.
pub(super) async fn introduce(
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
    let answer = exchange(send, receive, &frame).await;
    match answer.map_err(|error| LinkError::InvalidHello(error.to_string()))? {
        Response::Hello { name, incarnation } if name == *peer => Ok(incarnation),
        Response::Hello { name, .. } => Err(LinkError::WrongName(name)),
        _ => Err(LinkError::InvalidHello("another response".to_owned())),
    }
}

/// Reads the name of the peer that opened the connection, checks it against the certificate and
/// answers.
pub(super) async fn welcome(
    connection: &Connection,
    settings: &Settings,
) -> Result<(Name, Incarnation), LinkError> {
    let (mut send, mut receive) = connection.accept_bi().await?;
    let fault = |error: String| LinkError::InvalidHello(error);
    let frame = receive.read_to_end(MAX_FRAME).await;
    let frame = frame.map_err(|error| fault(error.to_string()))?;
    let request = decode(&frame).map_err(|error| fault(error.to_string()))?;
    let Request::Hello { name, incarnation } = request else {
        return Err(fault("another request".to_owned()));
    };
    if !tls::valid_for(connection, &name) {
        return Err(LinkError::WrongName(name));
    }
    let hello = Response::Hello {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
    };
    respond(&mut send, &hello).await;
    Ok((name, incarnation))
}

/// Serves the peer's requests and heartbeats until the connection ends.
pub(super) async fn serve(
    connection: Connection,
    peer: Name,
    handler: Arc<dyn Handler>,
    counters: Arc<Counters>,
    limit: Duration,
) {
    let datagrams = task::spawn(receive_heartbeats(
        connection.clone(),
        peer.clone(),
        handler.clone(),
        counters.clone(),
    ));
    // The number of these tasks is bounded by the streams that the peer may have open.
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (peer, handler, counters) = (peer.clone(), handler.clone(), counters.clone());
        task::spawn(async move {
            let answer = answer(send, receive, &peer, &*handler, &counters);
            // A dropped stream is reset, so that the caller does not wait.
            let _ = timeout(limit, answer).await;
        });
    }
    datagrams.cancel().await;
}

async fn receive_heartbeats(
    connection: Connection,
    peer: Name,
    handler: Arc<dyn Handler>,
    counters: Arc<Counters>,
) {
    while let Ok(frame) = connection.read_datagram().await {
        match decode(&frame) {
            Ok(heartbeat) => handler.heartbeat(&peer, heartbeat),
            Err(error) => counters.malformed(&peer, &error),
        }
    }
}

async fn answer(
    mut send: SendStream,
    mut receive: RecvStream,
    peer: &Name,
    handler: &dyn Handler,
    counters: &Counters,
) {
    let frame = match receive.read_to_end(MAX_FRAME).await {
        Ok(frame) => frame,
        Err(quinn::ReadToEndError::TooLong) => {
            counters.malformed(peer, &FrameError::TooLong(MAX_FRAME + 1));
            return respond(&mut send, &Response::Refused(Code::BODY_TOO_LARGE)).await;
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
            counters.malformed(peer, &error);
            Response::Refused(Code::MALFORMED)
        }
    };
    respond(&mut send, &response).await;
}

async fn respond(send: &mut SendStream, response: &Response) {
    let frame = encode(response).or_else(|_| encode(&Response::Refused(Code::BODY_TOO_LARGE)));
    if let Ok(frame) = frame
        && send.write_all(&frame).await.is_ok()
    {
        // The stream may have been stopped by a caller that no longer waits.
        let _ = send.finish();
    }
}
