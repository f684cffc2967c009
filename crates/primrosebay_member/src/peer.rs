//! Calls between instances.
//!
//! Instances forward records to the leader, which appends them for all. The leader delegates calls
//! to the advice service, which accepts one call at a time from each instance, and in a large cell
//! the commands to minions to carriers. Instances also ask each other whether they can reach the
//! log.
//!
//! Each instance announces its address and a secret in the cell's stream. Only readers of the
//! stream know the secret, so no certificates have to be distributed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_types::Method;
use primrosebay_cell::job::{JobKey, StepKey};
use primrosebay_cell::leader::Advice;
use primrosebay_cell::record::{Member, Process, Record};
use primrosebay_state::Name;
use primrosebay_transport::http_client::{CallError, Client};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tide::{Request, Response, StatusCode};

use crate::lead::Event;
use crate::links::{Order, Poll, Polled};
use crate::platform::Platform;
use crate::relay::{Call, Reply};
use crate::shared::Shared;
use crate::submit::ForwardResult;
use crate::{carry, lead, relay};

const ADVICE_PATH: &str = "/v1/advice";
/// Path of the check whether an instance can reach the log.
const LOG_CHECK_PATH: &str = "/v1/touch";
const RECORDS_PATH: &str = "/v1/records";
/// Path of the leader's request to carry its commands.
const CARRY_PATH: &str = "/v1/carry";
/// Path of callers' requests that a relaying instance passes on.
const RELAY_PATH: &str = "/v1/relay";
/// Path of a leader's question whether an earlier term has ended.
const TERM_PATH: &str = "/v1/term";
/// Path of a carrier's polls for commands of the leader.
const ORDERS_PATH: &str = "/v1/orders";
const SECRET_HEADER: &str = "primrosebay-secret";

/// A call to the advice service delegated to another instance.
#[derive(Debug, Serialize, Deserialize)]
struct AdviceRequest {
    job: JobKey,
    occurrence: u32,
    step: u32,
    minions: Vec<Name>,
    timeout_ms: u64,
}

/// The answer of the advice service.
#[derive(Debug, Serialize, Deserialize)]
struct AdviceReply {
    good: Vec<(Name, Name)>,
    valid_ms: u64,
}

/// The request of a leader to carry its commands.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CarryRequest {
    pub(crate) epoch: u64,
    pub(crate) leader: Member,
    /// Minimum time between two polls, in milliseconds.
    pub(crate) gap_ms: u64,
}

/// The question of a leader whether an earlier term has ended.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct TermQuestion {
    /// The earlier term.
    pub(crate) epoch: u64,
    /// The term of the leader that asks, whose claim is durable.
    pub(crate) successor: u64,
}

/// The answer of the instance that led the earlier term.
#[derive(Debug, Serialize, Deserialize)]
struct TermAnswer {
    node: Name,
    process: u64,
    /// Whether this process neither leads the term nor will.
    ended: bool,
}

/// Sends a message to another instance with its secret.
async fn post(
    client: &Client,
    member: &Member,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), CallError> {
    let address = member.address.parse().map_err(|e| CallError::NotSent {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        reason: format!("invalid address {}: {e}", member.address),
    })?;
    let headers = [(SECRET_HEADER, &*member.secret)];
    client
        .bytes(address, Method::Post, path, &headers, Some(body), timeout)
        .await
}

/// Asks another instance to carry the commands of the leader of a term. Returns the reason if the
/// call fails.
pub(crate) async fn ask_to_carry(
    client: &Client,
    member: &Member,
    request: &CarryRequest,
    timeout: Duration,
) -> Result<(), String> {
    let body = serde_json::to_vec(request).map_err(|e| e.to_string())?;
    let call = post(client, member, CARRY_PATH, body, timeout);
    let (status, _) = call.await.map_err(|e| e.to_string())?;
    if status.is_success() {
        Ok(())
    } else {
        Err(format!("unexpected status {status}"))
    }
}

/// Asks for an earlier term whether its leader, the process `process` of the instance `node` with
/// this secret, sends no more commands. Returns the reason if the call fails.
///
/// Another process of the instance at the same address proves that the one that led is gone.
pub(crate) async fn has_term_ended(
    client: &Client,
    (node, process): &(Name, Process),
    secret: Name,
    question: TermQuestion,
    timeout: Duration,
) -> Result<bool, String> {
    let member = Member {
        address: process.address.clone(),
        secret,
        ..Member::default()
    };
    let body = serde_json::to_vec(&question).map_err(|e| e.to_string())?;
    let call = post(client, &member, TERM_PATH, body, timeout);
    let (status, bytes) = call.await.map_err(|e| e.to_string())?;
    if !status.is_success() {
        return Err(format!("unexpected status {status}"));
    }
    let answer: TermAnswer = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    Ok(answer.node == *node && (answer.ended || answer.process != process.id))
}

/// Polls the leader for commands. Returns none if it has no use for this carrier in this term, and
/// the reason if the call fails.
pub(crate) async fn poll(
    client: &Client,
    leader: &Member,
    poll: &Poll,
    timeout: Duration,
) -> Result<Option<Vec<Order>>, String> {
    let body = postcard::to_stdvec(poll).map_err(|e| e.to_string())?;
    let call = post(client, leader, ORDERS_PATH, body, timeout);
    match call.await.map_err(|e| e.to_string())? {
        (StatusCode::Ok, bytes) => Ok(Some(decode(&bytes)?)),
        (StatusCode::Conflict | StatusCode::Unauthorized, _) => Ok(None),
        (status, _) => Err(format!("unexpected status {status}")),
    }
}

/// The reason why another instance has not answered a relayed request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The instance has not taken the request.
    #[error("{0}")]
    NotTaken(String),
    /// The instance may have taken the request.
    #[error("{0}")]
    Lost(String),
}

/// Passes a caller's request to another instance and returns its answer.
pub(crate) async fn relay(
    client: &Client,
    member: &Member,
    call: &Call,
    timeout: Duration,
) -> Result<Reply, RelayError> {
    let not_taken = |reason: String| RelayError::NotTaken(reason);
    let body = postcard::to_stdvec(call).map_err(|e| not_taken(e.to_string()))?;
    let answer = post(client, member, RELAY_PATH, body, timeout);
    match answer.await {
        Ok((StatusCode::Ok, bytes)) => decode(&bytes).map_err(RelayError::Lost),
        Ok((StatusCode::Unauthorized | StatusCode::Conflict | StatusCode::BadRequest, _)) => {
            Err(not_taken("the instance does not answer for others".into()))
        }
        Ok((status, _)) => Err(RelayError::Lost(format!("unexpected status {status}"))),
        Err(e @ CallError::NotSent { .. }) => Err(not_taken(e.to_string())),
        Err(e) => Err(RelayError::Lost(e.to_string())),
    }
}

/// Delegates a call to the advice service to another instance. Returns the reason if it fails.
pub(crate) async fn request_advice(
    client: &Client,
    member: &Member,
    step: StepKey,
    minions: &[Name],
    timeout: Duration,
) -> Result<Advice, String> {
    let request = AdviceRequest {
        job: step.job,
        occurrence: step.occurrence,
        step: step.step,
        minions: minions.to_vec(),
        timeout_ms: crate::lead::millis(timeout),
    };
    let body = serde_json::to_vec(&request).map_err(|e| e.to_string())?;
    let (status, bytes) = post(client, member, ADVICE_PATH, body, timeout)
        .await
        .map_err(|e| e.to_string())?;
    if !status.is_success() {
        return Err(format!("unexpected status {status}"));
    }
    let reply: AdviceReply = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    Ok(Advice {
        allowed: reply.good,
        valid_ms: reply.valid_ms,
    })
}

/// Forwards records to the leader for appending.
pub(crate) async fn forward(
    client: &Client,
    leader: &Member,
    records: &[Record],
    timeout: Duration,
) -> ForwardResult {
    let Ok(body) = serde_json::to_vec(records) else {
        return ForwardResult::Not;
    };
    match post(client, leader, RECORDS_PATH, body, timeout).await {
        Ok((StatusCode::NoContent, _)) => ForwardResult::Durable,
        Ok((StatusCode::Accepted, _)) | Err(CallError::Lost { .. }) => ForwardResult::Unknown,
        Ok(_) | Err(_) => ForwardResult::Not,
    }
}

/// Asks another instance whether it can reach the log. Returns the reason if the call fails.
pub(crate) async fn can_reach_log(
    client: &Client,
    member: &Member,
    timeout: Duration,
) -> Result<bool, String> {
    let address = member
        .address
        .parse()
        .map_err(|e| format!("invalid address of the instance: {e}"))?;
    let call = client.bytes(address, Method::Get, LOG_CHECK_PATH, &[], None, timeout);
    let (status, _) = call.await.map_err(|e| e.to_string())?;
    Ok(status.is_success())
}

/// Returns the HTTP routes for other instances and for metrics.
pub(crate) fn app<P: Platform>(shared: Arc<Shared<P>>) -> tide::Server<Arc<Shared<P>>> {
    let mut app = tide::with_state(shared);
    app.at(ADVICE_PATH).post(serve_advice);
    app.at(RECORDS_PATH).post(serve_records);
    app.at(RELAY_PATH).post(serve_relay);
    app.at(CARRY_PATH).post(serve_carry);
    app.at(ORDERS_PATH).post(serve_poll);
    app.at(TERM_PATH).post(serve_term);
    app.at(LOG_CHECK_PATH)
        .get(async |call: Request<Arc<Shared<P>>>| {
            let status = if call.state().is_log_reachable() {
                204
            } else {
                503
            };
            Ok(Response::new(status))
        });
    app.at("/metrics").get(serve_metrics);
    app
}

/// Decodes a message that fills all of `bytes`.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(|e| e.to_string())?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(format!("{} bytes after the message", rest.len()))
    }
}

/// Returns whether the request carries the secret of this instance.
fn is_trusted<P: Platform>(request: &Request<Arc<Shared<P>>>) -> bool {
    let secret = request.header(SECRET_HEADER).map(|v| v.as_str());
    let trusted = secret == Some(&*request.state().secret);
    if !trusted {
        log::warn!(peer:? = request.remote(); "peer: request without the secret of this instance rejected");
    }
    trusted
}

async fn serve_records<P: Platform>(mut request: Request<Arc<Shared<P>>>) -> tide::Result {
    if !is_trusted(&request) {
        return Ok(Response::new(StatusCode::Unauthorized));
    }
    let records: Vec<Record> = match request.body_json().await {
        Ok(records) => records,
        Err(e) => {
            log::warn!(reason:% = e; "peer: cannot decode forwarded records");
            return Ok(Response::new(StatusCode::BadRequest));
        }
    };
    let shared = request.state();
    let timeout = shared.settings.request_timeout;
    let status = match lead::append(shared, records, timeout).await {
        ForwardResult::Durable => StatusCode::NoContent,
        ForwardResult::Unknown => StatusCode::Accepted,
        ForwardResult::Not => StatusCode::Conflict,
    };
    Ok(Response::new(status))
}

async fn serve_advice<P: Platform>(mut request: Request<Arc<Shared<P>>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    if !is_trusted(&request) {
        return Ok(Response::new(StatusCode::Unauthorized));
    }
    let body: AdviceRequest = match request.body_json().await {
        Ok(body) => body,
        Err(e) => {
            log::warn!(reason:% = e; "peer: cannot decode advice request");
            return Ok(Response::new(StatusCode::BadRequest));
        }
    };
    let step = StepKey {
        job: body.job,
        occurrence: body.occurrence,
        step: body.step,
    };
    let timeout = Duration::from_millis(body.timeout_ms);
    match shared.platform.advise(step, &body.minions, timeout).await {
        Ok(advice) => {
            let reply = AdviceReply {
                good: advice.allowed,
                valid_ms: advice.valid_ms,
            };
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(tide::Body::from_json(&reply)?);
            Ok(response)
        }
        Err(reason) => {
            log::warn!(step:% = step, reason:% = reason; "peer: advice service call failed");
            Ok(Response::new(StatusCode::BadGateway))
        }
    }
}

async fn serve_relay<P: Platform>(mut request: Request<Arc<Shared<P>>>) -> tide::Result {
    if !is_trusted(&request) {
        return Ok(Response::new(StatusCode::Unauthorized));
    }
    let bytes = request.body_bytes().await?;
    let call: Call = match decode(&bytes) {
        Ok(call) => call,
        Err(e) => {
            log::warn!(reason:% = e; "peer: cannot decode a relayed request");
            return Ok(Response::new(StatusCode::BadRequest));
        }
    };
    let Some(reply) = relay::answer(request.state(), call).await else {
        return Ok(Response::new(StatusCode::Conflict));
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(postcard::to_stdvec(&reply)?);
    Ok(response)
}

async fn serve_carry<P: Platform>(mut request: Request<Arc<Shared<P>>>) -> tide::Result {
    if !is_trusted(&request) {
        return Ok(Response::new(StatusCode::Unauthorized));
    }
    let body: CarryRequest = match request.body_json().await {
        Ok(body) => body,
        Err(e) => {
            log::warn!(reason:% = e; "peer: cannot decode the request to carry commands");
            return Ok(Response::new(StatusCode::BadRequest));
        }
    };
    let shared = request.state();
    if shared.is_stopping() {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    carry::start(shared, body);
    Ok(Response::new(StatusCode::NoContent))
}

async fn serve_poll<P: Platform>(mut request: Request<Arc<Shared<P>>>) -> tide::Result {
    if !is_trusted(&request) {
        return Ok(Response::new(StatusCode::Unauthorized));
    }
    let bytes = request.body_bytes().await?;
    let poll: Poll = match decode(&bytes) {
        Ok(poll) => poll,
        Err(e) => {
            log::warn!(reason:% = e; "peer: cannot decode the poll of a carrier");
            return Ok(Response::new(StatusCode::BadRequest));
        }
    };
    let shared = request.state();
    let (name, epoch) = (poll.name.clone(), poll.epoch);
    let Polled::Taken(events, woken) = shared.links.on_poll(poll, shared.clock.now()) else {
        return Ok(Response::new(StatusCode::Conflict));
    };
    for event in events {
        shared.notify_leader(|| event);
    }
    let fetch = || shared.links.fetch(&name, epoch, shared.clock.now());
    let mut orders = fetch();
    if orders.is_empty() {
        let wait = shared.settings.poll_wait;
        let _ = async_std::future::timeout(wait, woken.recv()).await;
        orders = fetch();
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(postcard::to_stdvec(&orders)?);
    Ok(response)
}

async fn serve_term<P: Platform>(mut request: Request<Arc<Shared<P>>>) -> tide::Result {
    if !is_trusted(&request) {
        return Ok(Response::new(StatusCode::Unauthorized));
    }
    let question: TermQuestion = match request.body_json().await {
        Ok(question) => question,
        Err(e) => {
            log::warn!(reason:% = e; "peer: cannot decode the question about a term");
            return Ok(Response::new(StatusCode::BadRequest));
        }
    };
    let shared = request.state();
    let ended = shared.leading_epoch.load(Ordering::SeqCst) != question.epoch;
    if !ended {
        shared.notify_leader(|| Event::Superseded(question.successor));
    }
    let answer = TermAnswer {
        node: shared.settings.name.clone(),
        process: shared.process_id,
        ended,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(tide::Body::from_json(&answer)?);
    Ok(response)
}

async fn serve_metrics<P: Platform>(request: Request<Arc<Shared<P>>>) -> tide::Result {
    let mut response = Response::new(StatusCode::Ok);
    response.set_content_type("text/plain; version=0.0.4");
    response.set_body(request.state().metrics.text());
    Ok(response)
}
