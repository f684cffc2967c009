//! Carries commands of the leader to minions.
//!
//! A carrier polls the leader. The answer to a poll gives permission to carry out its commands for a
//! short time from the sending of the poll, measured on the carrier's own clock, which includes time
//! of suspension. So a carrier that was paused carries out nothing old.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, unbounded};
use async_std::task;
use primrosebay_cell::carriers::Permit;
use primrosebay_cell::leader::{Command, HoldAnswer, Refusal, StartAnswer};

use crate::lead::{Event, millis};
use crate::links::{Answer, Order, Poll};
use crate::peer::CarryRequest;
use crate::platform::Platform;
use crate::shared::Shared;
use crate::{commands, peer};

/// Timeout of a poll, in addition to the time for which the leader delays its answer.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of polls in a row that may fail before a carrier gives up its term.
const MAX_FAILURES: u32 = 5;

/// Epoch of an instance that carries for no term.
const NO_TERM: u64 = 0;

/// Starts to carry commands of the leader of a term, unless this instance already does so for this
/// term or a later one.
pub(crate) fn start<P: Platform>(shared: &Arc<Shared<P>>, request: CarryRequest) {
    let epoch = request.epoch;
    let earlier = shared.carried_epoch.fetch_max(epoch, Ordering::SeqCst);
    if earlier >= epoch {
        return;
    }
    let shared = Arc::clone(shared);
    task::spawn(async move {
        log::info!(epoch, leader:% = request.leader.address, gap_ms = request.gap_ms; "carry: carrying commands of the leader");
        let reason = poll_until_rejected(&shared, &request).await;
        log::info!(epoch, reason; "carry: carrying has ended");
        // The leader may choose this instance again in the same term.
        let order = Ordering::SeqCst;
        let _ = shared
            .carried_epoch
            .compare_exchange(epoch, NO_TERM, order, order);
    });
}

/// Polls the leader until the term is over for this carrier. Returns the reason.
async fn poll_until_rejected<P: Platform>(
    shared: &Arc<Shared<P>>,
    request: &CarryRequest,
) -> &'static str {
    let (leader, epoch) = (&request.leader, request.epoch);
    let gap = Duration::from_millis(request.gap_ms);
    let (answers, answered) = unbounded();
    let mut failures = 0;
    let mut unsent = Vec::new();
    loop {
        if shared.is_stopping() {
            return "stopping";
        }
        if shared.carried_epoch.load(Ordering::SeqCst) != epoch {
            return "carrying for a later term";
        }
        unsent.extend(take_answers(&answered));
        let sent = shared.clock.now();
        let poll = Poll {
            name: shared.settings.name.clone(),
            epoch,
            answers: std::mem::take(&mut unsent),
        };
        let timeout = shared.settings.poll_wait + POLL_TIMEOUT;
        match peer::poll(&shared.peer_client, leader, &poll, timeout).await {
            Ok(Some(orders)) => {
                failures = 0;
                let permit = Permit::new(epoch, sent, millis(shared.settings.order_age));
                carry_out(shared, &answers, epoch, permit, orders);
            }
            Ok(None) => return "rejected by the leader",
            Err(reason) => {
                failures += 1;
                log::info!(epoch, reason:% = reason, failures; "carry: poll failed");
                if failures >= MAX_FAILURES {
                    return "leader out of reach";
                }
                // The leader ignores those that it has taken already.
                unsent = poll.answers;
            }
        }
        let elapsed = Duration::from_millis(shared.clock.now().since(sent));
        task::sleep(gap.saturating_sub(elapsed)).await;
    }
}

fn take_answers(answered: &Receiver<(u64, Answer)>) -> Vec<(u64, Answer)> {
    std::iter::from_fn(|| answered.try_recv().ok()).collect()
}

/// Carries out the commands of a poll while the permission lasts.
fn carry_out<P: Platform>(
    shared: &Arc<Shared<P>>,
    answers: &Sender<(u64, Answer)>,
    epoch: u64,
    permit: Permit,
    orders: Vec<Order>,
) {
    for Order { id, command } in orders {
        let (shared, answers) = (Arc::clone(shared), answers.clone());
        task::spawn(async move {
            let answer = if is_valid(&shared, permit) {
                execute(&shared, command).await
            } else {
                log::warn!(epoch, id; "carry: command is too old to be carried out");
                not_sent(&command)
            };
            if let Some(answer) = answer {
                // Fails only once this term of the carrier is over.
                let _ = answers.send((id, answer)).await;
            }
        });
    }
}

fn is_valid<P: Platform>(shared: &Shared<P>, permit: Permit) -> bool {
    let known = shared.cell().ledger.leader().map_or(0, |claim| claim.epoch);
    permit.is_valid(shared.clock.now(), known)
}

/// Returns the answer to a command that was not carried out.
fn not_sent(command: &Command) -> Option<Answer> {
    match command {
        Command::Start(_) => Some(Answer::Start(StartAnswer::Refused(Refusal::Late))),
        Command::Stop { .. } => Some(Answer::Stop(false)),
        Command::Hold { .. } => Some(Answer::Hold(HoldAnswer::Failed)),
        Command::AskAdvice { .. } => None,
    }
}

async fn execute<P: Platform>(shared: &Shared<P>, command: Command) -> Option<Answer> {
    match commands::execute(shared, command).await {
        Event::StartAnswered(_, _, _, answer) => Some(Answer::Start(answer)),
        Event::StopAnswered(_, _, _, answered) => Some(Answer::Stop(answered)),
        Event::HoldAnswered(_, _, answer) => Some(Answer::Hold(answer)),
        _ => None,
    }
}
