//! One attempt of a request at a minion.

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

use super::pipe::{PipeWriter, pipe};
use super::service::Running;
use super::source::Payload;
use super::terms::Terms;
use super::{Requests, outcome};

/// Added to the number of a hedged attempt, so that it differs from those of later retries.
const HEDGED: u32 = 1 << 16;

impl<L: MinionLink> Requests<L> {
    /// Makes an attempt at the minion of `running`, and a hedged one beside it if the settings and
    /// the request allow that.
    pub(super) async fn attempt(
        &self,
        running: Running,
        id: RequestAttempt,
        terms: &Terms,
        payload: &Payload,
    ) -> Result<Response, AttemptFailure> {
        let service = running.service().clone();
        let (account, first) = (running.account().clone(), running.site().name.clone());
        let left = terms.deadline.since(self.now());
        let hedge = self.settings.hedge && matches!(payload, Payload::Whole(_));
        let delay = hedge_after(terms.repeat, hedge, service.slow(), left);
        let attempt = self.single(running, id, terms, payload);
        let Some(delay) = delay else {
            return attempt.await;
        };
        let mut attempt = Box::pin(attempt);
        if let Ok(result) = timeout(Duration::from_millis(delay), attempt.as_mut()).await {
            return result;
        }
        let Some(running) = service.hedge(&account, &first) else {
            return attempt.await;
        };
        let id = RequestAttempt {
            number: id.number + HEDGED,
            ..id
        };
        let second = Box::pin(self.single(running, id, terms, payload));
        first_answer(attempt, second).await
    }

    async fn single(
        &self,
        mut running: Running,
        id: RequestAttempt,
        terms: &Terms,
        payload: &Payload,
    ) -> Result<Response, AttemptFailure> {
        let now = self.now();
        let last = matches!(payload, Payload::Stream(..));
        let limit = attempt_deadline(terms.repeat, now, terms.deadline, last).since(now);
        let span = Span::start("request.attempt", &terms.trace);
        span.set("minion", &*running.site().name);
        let call = Call {
            address: running.site().address.clone(),
            attempt: id.to_string(),
            media_type: terms.media.clone(),
            trace: span.context(),
            body: payload.send(),
            timeout: Duration::from_millis(limit),
        };
        let result = match self.link.call(call).await {
            Ok(answer) => self.receive(answer, &mut running).await,
            Err(error) => Err(error),
        };
        span.close();
        match result {
            Ok((_, Content::Failed)) => Err(AttemptFailure::Failed),
            Ok((head, Content::Whole(bytes))) => Ok(response(head, Body::from_bytes(bytes))),
            Ok((head, Content::Stream(body))) => Ok(forward(head, *body, running)),
            Err(error) => {
                let patient = limit >= running.service().slow();
                let (ended, feedback) = outcome::of_error(&error, patient);
                log::debug!("requests: attempt {id} at {}: {error}", running.site().name);
                running.ended(feedback);
                Err(ended)
            }
        }
    }

    /// Reads a short answer to its end, so that a broken one is seen before the caller gets any of
    /// it and the minion is free at once.
    async fn receive(
        &self,
        mut answer: MinionResponse,
        running: &mut Running,
    ) -> Result<(Head, Content), MinionError> {
        let inline = self.settings.inline_bytes;
        let failed = answer.status >= 500;
        let short = answer.body.length().is_some_and(|n| n <= inline as u64);
        let content = if failed {
            // Reading the rest only serves to keep the connection.
            let _ = answer.body.read_to_end(inline).await;
            Content::Failed
        } else if short {
            Content::Whole(answer.body.read_to_end(inline).await?)
        } else {
            Content::Stream(Box::new(answer.body))
        };
        running.answered(outcome::answered(answer.report, failed));
        let head = Head {
            status: answer.status,
            headers: answer.headers,
        };
        Ok((head, content))
    }
}

struct Head {
    status: u16,
    headers: Vec<(String, String)>,
}

enum Content {
    Failed,
    Whole(Vec<u8>),
    Stream(Box<ResponseBody>),
}

/// Returns the first usable answer; if there is none, the worse end of both attempts.
async fn first_answer<F, G>(mut first: F, mut second: G) -> Result<Response, AttemptFailure>
where
    F: Future<Output = Result<Response, AttemptFailure>> + Unpin,
    G: Future<Output = Result<Response, AttemptFailure>> + Unpin,
{
    let (result, first_done) = future::or(async { ((&mut first).await, true) }, async {
        ((&mut second).await, false)
    })
    .await;
    let ended = match result {
        Ok(response) => return Ok(response),
        Err(ended) => ended,
    };
    let other = if first_done {
        second.await
    } else {
        first.await
    };
    other.map_err(|other| worse(ended, other))
}

fn worse(a: AttemptFailure, b: AttemptFailure) -> AttemptFailure {
    let rank = |ended| match ended {
        AttemptFailure::NotSent => 0,
        AttemptFailure::Refused => 1,
        AttemptFailure::Lost => 2,
        AttemptFailure::Failed => 3,
    };
    if rank(a) >= rank(b) { a } else { b }
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

/// Passes a long answer on as it arrives. The minion's slot counts as taken until its end.
fn forward(head: Head, body: ResponseBody, running: Running) -> Response {
    let (writer, reader) = pipe();
    let length = body.length().and_then(|n| usize::try_from(n).ok());
    task::spawn(copy(body, writer, running));
    response(head, Body::from_reader(reader, length))
}

async fn copy(mut body: ResponseBody, writer: PipeWriter, mut running: Running) {
    let limit = body.time_left();
    let copied = timeout(limit, async {
        while let Some(piece) = body.next_chunk().await? {
            if !writer.write(piece).await {
                return Ok(false);
            }
        }
        Ok::<_, MinionError>(true)
    });
    match copied.await {
        Ok(Ok(true)) => writer.close().await,
        // A caller that went away or reads too slowly says nothing about the minion.
        Ok(Ok(false)) | Err(_) => {}
        Ok(Err(error)) => {
            let (_, feedback) = outcome::of_error(&error, true);
            log::debug!("requests: answer of {} broke: {error}", running.site().name);
            running.ended(feedback);
        }
    }
}
