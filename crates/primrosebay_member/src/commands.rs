//! Executes the commands of the leader.

use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::task;
use primrosebay_cell::job::StepKey;
use primrosebay_cell::leader::{Advice, Command};
use primrosebay_state::Name;

use crate::lead::Event;
use crate::peer;
use crate::platform::{Platform, Target};
use crate::shared::Shared;

/// Executes a command in a background task, which sends the result to the leader as an event.
pub(crate) fn spawn<P: Platform>(
    shared: &Arc<Shared<P>>,
    events: &Sender<Event>,
    command: Command,
) {
    let (shared, events) = (Arc::clone(shared), events.clone());
    task::spawn(async move {
        let event = execute(&shared, command).await;
        // Sending fails only after the term has ended, when the result is no longer needed.
        let _ = events.send(event).await;
    });
}

/// Executes a command and returns its result as an event.
pub(crate) async fn execute<P: Platform>(shared: &Shared<P>, command: Command) -> Event {
    match command {
        Command::Start(start) => {
            let answer = shared.platform.start(&start).await;
            Event::StartAnswered(start.minion, start.task, start.run, answer)
        }
        Command::Stop {
            minion,
            address,
            token,
            task,
            run,
        } => {
            let target = Target {
                minion: &minion,
                address: &address,
                token,
            };
            let answered = shared.platform.stop(target, task, run).await;
            Event::StopAnswered(minion, task, run, answered)
        }
        Command::Hold {
            minion,
            address,
            token,
            until_ms,
            acked,
            wait_ms,
        } => {
            let target = Target {
                minion: &minion,
                address: &address,
                token,
            };
            let sent = shared.clock.now();
            let wait = Duration::from_millis(wait_ms);
            let answer = shared.platform.hold(target, until_ms, acked, wait).await;
            Event::HoldAnswered(minion, sent, answer)
        }
        Command::AskAdvice {
            node,
            step,
            minions,
            timeout_ms,
        } => {
            let timeout = Duration::from_millis(timeout_ms);
            let advice = request_advice(shared, &node, step, &minions, timeout).await;
            let advice = advice.map_err(|e| {
                log::warn!(node:% = node, step:% = step, reason:% = e; "lead: advice service call failed");
            });
            Event::AdviceAnswered(node, step, advice.ok())
        }
    }
}

/// Calls the advice service, through another instance if `node` is not this one.
async fn request_advice<P: Platform>(
    shared: &Shared<P>,
    node: &Name,
    step: StepKey,
    minions: &[Name],
    timeout: Duration,
) -> Result<Advice, String> {
    if *node == shared.settings.name {
        return shared.platform.advise(step, minions, timeout).await;
    }
    let member = {
        let cell = shared.cell();
        let mut members = cell.ledger.members();
        members
            .find(|(name, _)| *name == node)
            .map(|(_, m)| m.clone())
    };
    let member = member.ok_or("the instance has not announced an address")?;
    peer::request_advice(&shared.peer_client, &member, step, minions, timeout).await
}
