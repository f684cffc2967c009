//! Sends a request to a minion once, or twice if it is hedged.

use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_lite::future;
use primrosebay_coordination::routing::attempt::RequestAttempt;
use primrosebay_coordination::routing::deadline::{attempt_deadline, hedge_after};
use primrosebay_coordination::routing::retry::AttemptFailure;
use primrosebay_transport::minion::{Call, MinionError, MinionLink, MinionResponse, ResponseBody};
use primrosebay_transport::trace::Span;
use tide::http::{Body, Response, StatusCode};

use crate::api::FromMinion;

use super::options::RequestOptions;
use super::payload::Payload;
use super::pipe::{PipeWriter, pipe};
use super::service::SlotGuard;
use super::{Requests, outcome};

/// Added to the number of a hedged attempt, so that it differs from the numbers of later retries.
const HEDGE_OFFSET: u32 = 1 << 16;

impl<L: MinionLink> Requests<L> {
    /// Sends the request to the minion of `slot`. If the first attempt is slow, and the settings
    /// and the request allow hedging, makes a second, concurrent attempt, at another minion if one
    /// has a free slot.
    pub(super) async fn attempt(
        &self,
        slot: SlotGuard,
        id: RequestAttempt,
        options: &RequestOptions,
        payload: &Payload,
    ) -> Result<Response, AttemptFailure> {
        let service = slot.service().clone();
        let (account, first_minion) = (slot.account().clone(), slot.endpoint().name.clone());
        let remaining = options.deadline.since(self.now());
        let hedge = self.settings.hedge && matches!(payload, Payload::Whole(_));
        let delay = hedge_after(options.repeat, hedge, service.tail_latency_ms(), remaining);
        let attempt = self.send_once(slot, id, options, payload);
        let Some(delay) = delay else {
            return attempt.await;
        };
        let mut attempt = Box::pin(attempt);
        if let Ok(result) = timeout(Duration::from_millis(delay), attempt.as_mut()).await {
            return result;
        }
        let Some(slot) = service.hedge(&account, &first_minion) else {
            return attempt.await;
        };
        let id = RequestAttempt {
            number: id.number + HEDGE_OFFSET,
            ..id
        };
        let second = Box::pin(self.send_once(slot, id, options, payload));
        first_response(attempt, second).await
    }

    /// Makes one attempt at the minion of `slot`.
    async fn send_once(
        &self,
        mut slot: SlotGuard,
        id: RequestAttempt,
        options: &RequestOptions,
        payload: &Payload,
    ) -> Result<Response, AttemptFailure> {
        let now = self.now();
        // A streamed body can rarely be sent again, so this attempt gets all of the remaining time.
        let is_last = matches!(payload, Payload::Stream(..));
        let limit_ms = attempt_deadline(options.repeat, now, options.deadline, is_last).since(now);
        let span = Span::start("request.attempt", &options.trace);
        span.set("minion", &*slot.endpoint().name);
        let call = Call {
            address: slot.endpoint().address.clone(),
            attempt: id.to_string(),
            media_type: options.media_type.clone(),
            trace: span.context(),
            body: payload.for_attempt(),
            timeout: Duration::from_millis(limit_ms),
        };
        let result = match self.link.call(call).await {
            Ok(answer) => self.receive(answer, &mut slot).await,
            Err(error) => Err(error),
        };
        span.close();
        match result {
            Ok((_, Content::Failed)) => Err(AttemptFailure::Failed),
            Ok((head, Content::Whole(bytes))) => Ok(response(head, Body::from_bytes(bytes))),
            Ok((head, Content::Stream(body))) => Ok(stream_response(head, *body, slot)),
            Err(error) => {
                let enough_time = limit_ms >= slot.service().tail_latency_ms();
                let (failure, feedback) = outcome::classify_error(&error, enough_time);
                log::debug!(
                    "requests: attempt {id} at minion {} failed: {error}",
                    slot.endpoint().name
                );
                slot.record_failure(feedback);
                Err(failure)
            }
        }
    }

    /// Receives a response. A short one is read completely, so that the caller gets no part of a
    /// truncated response and the minion's slot is released at once.
    async fn receive(
        &self,
        mut answer: MinionResponse,
        slot: &mut SlotGuard,
    ) -> Result<(Head, Content), MinionError> {
        let inline = self.settings.inline_bytes;
        let failed = answer.status >= 500;
        let short = answer.body.length().is_some_and(|n| n <= inline as u64);
        let content = if failed {
            // The body is read only to keep the connection reusable.
            let _ = answer.body.read_to_end(inline).await;
            Content::Failed
        } else if short {
            Content::Whole(answer.body.read_to_end(inline).await?)
        } else {
            Content::Stream(Box::new(answer.body))
        };
        slot.record_answer(outcome::answer_feedback(answer.report, failed));
        let head = Head {
            status: answer.status,
            headers: answer.headers,
        };
        Ok((head, content))
    }
}

/// Status and headers of a minion's response.
struct Head {
    status: u16,
    headers: Vec<(String, String)>,
}

/// Body of a minion's response.
enum Content {
    /// Discarded, because the minion reported a failure.
    Failed,
    /// A short body in memory.
    Whole(Vec<u8>),
    /// A long body that is streamed to the caller.
    Stream(Box<ResponseBody>),
}

/// Returns the first usable response, or the more severe failure if both attempts fail.
async fn first_response<F, G>(mut first: F, mut second: G) -> Result<Response, AttemptFailure>
where
    F: Future<Output = Result<Response, AttemptFailure>> + Unpin,
    G: Future<Output = Result<Response, AttemptFailure>> + Unpin,
{
    let (result, first_ended) = future::or(async { ((&mut first).await, true) }, async {
        ((&mut second).await, false)
    })
    .await;
    let failure = match result {
        Ok(response) => return Ok(response),
        Err(failure) => failure,
    };
    let other = if first_ended {
        second.await
    } else {
        first.await
    };
    other.map_err(|other| most_severe(failure, other))
}

/// Returns the failure that is the stronger evidence that the request ran.
fn most_severe(a: AttemptFailure, b: AttemptFailure) -> AttemptFailure {
    let severity = |failure| match failure {
        AttemptFailure::NotSent => 0,
        AttemptFailure::Refused => 1,
        AttemptFailure::Lost => 2,
        AttemptFailure::Failed => 3,
    };
    if severity(a) >= severity(b) { a } else { b }
}

fn response(head: Head, body: Body) -> Response {
    let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(body);
    response.ext_mut().insert(FromMinion);
    for (name, value) in head.headers {
        response.insert_header(name.as_str(), value);
    }
    response
}

/// Streams a long response to the caller. The minion's slot stays occupied until the response ends.
fn stream_response(head: Head, body: ResponseBody, slot: SlotGuard) -> Response {
    let (writer, reader) = pipe();
    let length = body.length().and_then(|n| usize::try_from(n).ok());
    task::spawn(stream_body(body, writer, slot));
    response(head, Body::from_reader(reader, length))
}

/// Copies a response body to `writer` and reports a response that broke off as a failure.
async fn stream_body(mut body: ResponseBody, writer: PipeWriter, mut slot: SlotGuard) {
    let limit = body.time_left();
    let copied = timeout(limit, async {
        while let Some(chunk) = body.next_chunk().await? {
            if !writer.write(chunk).await {
                return Ok(false);
            }
        }
        Ok::<_, MinionError>(true)
    });
    match copied.await {
        Ok(Ok(true)) => writer.close().await,
        // A caller that disconnects or reads too slowly does not count against the minion.
        Ok(Ok(false)) | Err(_) => {}
        Ok(Err(error)) => {
            let (_, feedback) = outcome::classify_error(&error, true);
            log::debug!(
                "requests: response of minion {} broke off: {error}",
                slot.endpoint().name
            );
            slot.record_failure(feedback);
        }
    }
}
