//! Ends the parts of requests on a connection that are late, and connections that give way to others.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Instant;

use async_std::task;

use crate::connection::Connection;

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Runs the task of a connection. The task is polled again once its current request is given up, so
/// that its next read fails, and is dropped when the connection is to be closed without an answer.
///
/// The timeout of `async-h1` for the head is fixed at 60 s, and it has none for bodies. Its chunk
/// decoder may wait without reading from the stream, so that a timer there would not be polled.
pub(crate) async fn watched<T: Default, E>(
    task: impl Future<Output = Result<T, E>>,
    connection: &Connection,
) -> Result<T, E> {
    let mut task = pin!(task);
    let mut timer = Deadline::default();
    poll_fn(|cx| {
        loop {
            if let Poll::Ready(result) = task.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            if connection.watch(cx.waker()) {
                continue;
            }
            if connection.is_closing(cx.waker()) {
                return Poll::Ready(Ok(T::default()));
            }
            if !timer.has_passed(connection.deadline(), cx) {
                return Poll::Pending;
            }
            if connection.time_out() {
                return Poll::Ready(Ok(T::default()));
            }
        }
    })
    .await
}

/// A timer for a deadline that changes.
#[derive(Default)]
struct Deadline {
    at: Option<Instant>,
    timer: Option<Timer>,
}

impl Deadline {
    /// Returns whether the deadline has passed. If not, the task is woken when it does.
    fn has_passed(&mut self, at: Option<Instant>, cx: &mut Context<'_>) -> bool {
        if self.at != at {
            self.at = at;
            self.timer = at.map(|at| {
                let timer = task::sleep(at.saturating_duration_since(Instant::now()));
                Box::pin(timer) as Timer
            });
        }
        let timer = self.timer.as_mut();
        timer.is_some_and(|t| t.as_mut().poll(cx).is_ready())
    }
}
