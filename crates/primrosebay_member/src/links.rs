//! The leader's side of its links to carriers: commands that wait for a poll, and commands whose
//! answer is awaited.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use primrosebay_cell::carriers::{Carriers, Instance, Loss};
use primrosebay_cell::leader::{Command, HoldAnswer, Refusal, StartAnswer};
use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;
use serde::{Deserialize, Serialize};

use crate::lead::{Event, millis};
use crate::settings::Settings;

/// Maximum number of commands in the answer to one poll.
const MAX_ORDERS: usize = 500;

/// A command that a carrier fetches.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Order {
    pub(crate) id: u64,
    pub(crate) command: Command,
}

/// The answer to a command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Answer {
    Start(StartAnswer),
    Stop(bool),
    Hold(HoldAnswer),
}

/// A poll of a carrier, with its answers to earlier commands.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Poll {
    pub(crate) name: Name,
    pub(crate) epoch: u64,
    pub(crate) answers: Vec<(u64, Answer)>,
}

/// A command whose answer is awaited.
#[derive(Debug)]
struct Pending {
    carrier: Name,
    command: Command,
    sent: Time,
    /// Time at which the command counts as unanswered.
    due: Time,
    /// Whether the carrier has fetched the command, so that it may have been carried out.
    fetched: bool,
}

/// The commands for one carrier that it has not fetched.
#[derive(Debug)]
struct Outbox {
    orders: Vec<Order>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Default for Outbox {
    fn default() -> Self {
        let (wake, woken) = bounded(1);
        Self {
            orders: Vec::new(),
            wake,
            woken,
        }
    }
}

/// How long commands took since the last summary. Times are sums in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Delays {
    /// Number of starts and stops that carriers have fetched.
    pub(crate) fetched: u64,
    /// Time until these were fetched.
    pub(crate) fetch_ms: u64,
    /// Number of starts that minions have answered.
    pub(crate) started: u64,
    /// Time from the sending of these until their answer was known.
    pub(crate) start_ms: u64,
}

/// The links of one term of leadership.
#[derive(Debug)]
struct Term {
    epoch: u64,
    delays: Delays,
    carriers: Carriers,
    outboxes: Table<Name, Outbox>,
    /// By the number of the command, which increases.
    pending: Table<u64, Pending>,
    last_id: u64,
}

/// The links of the leader to carriers; without effect while this instance does not lead.
#[derive(Debug, Default)]
pub(crate) struct Links {
    term: Mutex<Option<Term>>,
}

/// The result of a poll.
#[derive(Debug)]
pub(crate) enum Polled {
    /// The instance is no carrier of this term.
    Rejected,
    /// The answers were taken. The carrier's next commands come once the receiver has an item.
    Taken(Vec<Event>, Receiver<()>),
}

impl Links {
    fn term(&self) -> MutexGuard<'_, Option<Term>> {
        self.term.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a term without carriers.
    pub(crate) fn begin(&self, epoch: u64, settings: &Settings) {
        *self.term() = Some(Term {
            epoch,
            delays: Delays::default(),
            carriers: Carriers::new(settings.name.clone(), settings.carriers.clone()),
            outboxes: Table::default(),
            pending: Table::default(),
            last_id: 0,
        });
    }

    /// Ends the term. Polls are rejected from now on, and no command leaves any more.
    pub(crate) fn end(&self) {
        *self.term() = None;
    }

    pub(crate) fn set_instances(&self, instances: Vec<Instance>) {
        if let Some(term) = &mut *self.term() {
            term.carriers.set_instances(instances);
        }
    }

    pub(crate) fn set_minion(&self, name: &Name, zone: &Name) {
        if let Some(term) = &mut *self.term() {
            term.carriers.set_minion(name, zone);
        }
    }

    /// Forgets the minions for which `keep` returns false.
    pub(crate) fn retain_minions(&self, keep: impl Fn(&Name) -> bool) {
        if let Some(term) = &mut *self.term() {
            term.carriers.retain_minions(keep);
        }
    }

    /// Passes a command to the carrier of its minion. Returns the command if the minion has none.
    pub(crate) fn send(&self, command: Command, now: Time, settings: &Settings) -> Option<Command> {
        let mut guard = self.term();
        let Some(term) = &mut *guard else {
            return Some(command);
        };
        let (minion, wait_ms) = match &command {
            Command::Start(start) => (&start.minion, 0),
            Command::Stop { minion, .. } => (minion, 0),
            Command::Hold {
                minion, wait_ms, ..
            } => (minion, *wait_ms),
            Command::AskAdvice { .. } => return Some(command),
        };
        let Some(carrier) = term.carriers.carrier(minion).cloned() else {
            return Some(command);
        };
        term.last_id += 1;
        let id = term.last_id;
        let outbox = match term.outboxes.get_mut(&carrier) {
            Some(outbox) => outbox,
            None => term.outboxes.or_insert(carrier.clone(), Outbox::default()),
        };
        outbox.orders.push(Order {
            id,
            command: command.clone(),
        });
        // The channel has an item already if the carrier is about to be woken.
        let _ = outbox.wake.try_send(());
        let pending = Pending {
            carrier,
            command,
            sent: now,
            due: now + wait_ms + millis(settings.order_timeout),
            fetched: false,
        };
        term.pending.insert(id, pending);
        None
    }

    /// Takes the answers of a poll.
    pub(crate) fn on_poll(&self, poll: Poll, now: Time) -> Polled {
        let mut guard = self.term();
        let Some(term) = guard.as_mut().filter(|t| t.epoch == poll.epoch) else {
            return Polled::Rejected;
        };
        if !term.carriers.on_poll(&poll.name, now) {
            return Polled::Rejected;
        }
        let mut events = Vec::new();
        for (id, answer) in poll.answers {
            // An answer after the command has timed out comes too late.
            let Some(pending) = term.pending.remove(&id) else {
                continue;
            };
            if let Answer::Start(_) = &answer {
                term.delays.started += 1;
                term.delays.start_ms += now.since(pending.sent);
            }
            if let Answer::Hold(hold) = &answer {
                let answered = *hold != HoldAnswer::Failed;
                term.carriers.on_hold(&pending.carrier, answered);
            }
            events.extend(answered(pending, answer));
        }
        let outbox = match term.outboxes.get_mut(&poll.name) {
            Some(outbox) => outbox,
            None => term.outboxes.or_insert(poll.name, Outbox::default()),
        };
        Polled::Taken(events, outbox.woken.clone())
    }

    /// Returns the commands for a carrier, which it has fetched with that.
    pub(crate) fn fetch(&self, carrier: &Name, epoch: u64, now: Time) -> Vec<Order> {
        let mut guard = self.term();
        let Some(term) = guard.as_mut().filter(|t| t.epoch == epoch) else {
            return Vec::new();
        };
        let Some(outbox) = term.outboxes.get_mut(carrier) else {
            return Vec::new();
        };
        let count = outbox.orders.len().min(MAX_ORDERS);
        let orders: Vec<Order> = outbox.orders.drain(..count).collect();
        if !outbox.orders.is_empty() {
            let _ = outbox.wake.try_send(());
        }
        for order in &orders {
            if let Some(pending) = term.pending.get_mut(&order.id) {
                pending.fetched = true;
                if !matches!(order.command, Command::Hold { .. }) {
                    term.delays.fetched += 1;
                    term.delays.fetch_ms += now.since(pending.sent);
                }
            }
        }
        orders
    }

    /// Gives up commands without an answer and carriers without a poll, and chooses new carriers.
    /// Returns the events of the commands that were given up, the lost carriers and the new ones.
    pub(crate) fn sweep(&self, now: Time) -> (Vec<Event>, Vec<(Name, Loss)>, Vec<Name>) {
        let mut guard = self.term();
        let Some(term) = &mut *guard else {
            return Default::default();
        };
        let lost = term.carriers.remove_lost(now);
        let is_lost = |name: &Name| lost.iter().any(|(lost, _)| lost == name);
        let mut events = Vec::new();
        let outboxes = &mut term.outboxes;
        term.pending.retain(|id, pending| {
            if now < pending.due && !is_lost(&pending.carrier) {
                return true;
            }
            if !pending.fetched
                && let Some(outbox) = outboxes.get_mut(&pending.carrier)
            {
                outbox.orders.retain(|order| order.id != *id);
            }
            events.push(given_up(pending));
            false
        });
        let chosen = term.carriers.choose(now);
        (events, lost, chosen)
    }

    /// Returns how long commands took since the last call.
    pub(crate) fn take_delays(&self) -> Delays {
        let mut guard = self.term();
        let term = guard.as_mut();
        term.map(|t| std::mem::take(&mut t.delays))
            .unwrap_or_default()
    }

    /// Returns the numbers of carriers and of commands whose answer is awaited.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let guard = self.term();
        let term = guard.as_ref();
        term.map_or((0, 0), |t| (t.carriers.len(), t.pending.len()))
    }
}

/// Returns the event for the answer to a command; none if the answer is of another kind.
fn answered(pending: Pending, answer: Answer) -> Option<Event> {
    match (pending.command, answer) {
        (Command::Start(start), Answer::Start(answer)) => Some(Event::StartAnswered(
            start.minion,
            start.task,
            start.run,
            answer,
        )),
        (
            Command::Stop {
                minion, task, run, ..
            },
            Answer::Stop(answered),
        ) => Some(Event::StopAnswered(minion, task, run, answered)),
        (Command::Hold { minion, .. }, Answer::Hold(answer)) => {
            Some(Event::HoldAnswered(minion, pending.sent, answer))
        }
        _ => None,
    }
}

/// Returns the event for a command without an answer. One that was not fetched was not carried out.
fn given_up(pending: &Pending) -> Event {
    match &pending.command {
        Command::Start(start) => {
            let answer = if pending.fetched {
                StartAnswer::Unknown
            } else {
                StartAnswer::Refused(Refusal::Late)
            };
            Event::StartAnswered(start.minion.clone(), start.task, start.run, answer)
        }
        Command::Stop {
            minion, task, run, ..
        } => Event::StopAnswered(minion.clone(), *task, *run, false),
        Command::Hold { minion, .. } => {
            Event::HoldAnswered(minion.clone(), pending.sent, HoldAnswer::Failed)
        }
        Command::AskAdvice { node, step, .. } => Event::AdviceAnswered(node.clone(), *step, None),
    }
}
