//! Relaying of callers' requests by small instances of a large cell, which do not follow the log.
//!
//! Each instance announces itself in a stream of its own, from which all of them learn who is there.
//! A small instance asks a large one to answer its callers. It repeats a request at another one if
//! there is no answer, since submissions and cancellations of a job may be repeated.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_cell::follower::{self, Relay};
use primrosebay_cell::job::{JobKey, JobSpec};
use primrosebay_cell::record::{Member, Owner, Record};
use primrosebay_state::Name;
use primrosebay_state::table::Table;
use serde::{Deserialize, Serialize};

use crate::calls::{self, CancelResult, JobStatus, SubmitResult};
use crate::lead::millis;
use crate::peer::{self, RelayError};
use crate::platform::{Platform, Read, ReadError, Stream};
use crate::shared::Shared;

/// Time for which one large instance is asked before the request is repeated at the next one.
const TARGET_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time by which the answer of a large instance has to arrive before the caller's own time is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Interval at which a relaying instance checks that a large one can read the log.
const CONTACT_INTERVAL: Duration = Duration::from_millis(400);

/// Long-poll time of reads of the announcements.
const READ_WAIT: Duration = Duration::from_secs(5);

/// A request of a caller that another instance answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) queue: Name,
    pub(crate) account: Option<Name>,
    pub(crate) kind: CallKind,
}

/// What the caller asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum CallKind {
    Submit {
        job: JobKey,
        spec: JobSpec,
        within_ms: u64,
    },
    Cancel {
        job: JobKey,
        within_ms: u64,
    },
    /// The answer waits for up to `wait_ms` for the end of the job.
    Status {
        job: JobKey,
        wait_ms: u64,
    },
    Backlog,
}

/// The answer to a [`Call`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum Reply {
    Submit(SubmitResult),
    Cancel(CancelResult),
    Status(JobStatus),
    Backlog(Option<usize>),
}

/// How an instance knows the cell.
#[derive(Debug, Default)]
pub(crate) enum Role {
    /// The announcements have not been read yet.
    #[default]
    Undecided,
    /// The instance follows the log.
    Follower,
    /// The instance relays requests to others.
    Relaying(Relay),
}

/// What is known from the announcements.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    pub(crate) members: Table<Name, Member>,
    pub(crate) role: Role,
}

/// Follows the announcements and decides whether this instance relays, until the task is cancelled.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let contact = task::spawn(keep_contact(Arc::clone(&shared)));
    let mut next: Option<u64> = None;
    loop {
        let read = match next {
            Some(from) => shared.platform.read(Stream::Members, from, READ_WAIT).await,
            None => shared.platform.read_newest(Stream::Members).await,
        };
        match read {
            Ok(read) => {
                let from = next.unwrap_or(0);
                next = Some(read.next.max(from));
                apply(&shared, read);
                decide(&shared);
                task::sleep(shared.settings.directory_pause).await;
            }
            Err(ReadError::Expired) => next = None,
            Err(ReadError::Unavailable(reason)) => {
                log::debug!(reason:% = reason; "relay: cannot read announcements");
                task::sleep(shared.settings.retry_pause).await;
            }
        }
        if shared.is_stopping() {
            contact.cancel().await;
            return;
        }
    }
}

fn apply<P: Platform>(shared: &Shared<P>, read: Read) {
    let mut known = shared.announcements();
    for record in read.records {
        let Some(value) = record.value else {
            continue;
        };
        match Record::read(&record.key, &value) {
            Ok(Record::Member(name, member)) => drop(known.members.insert(name, member)),
            Ok(_) => {}
            Err(e) => {
                log::debug!(key:% = record.key, reason:% = e; "relay: undecodable announcement skipped");
            }
        }
    }
}

/// Decides whether this instance relays, by the announcements and by whether large instances answer.
fn decide<P: Platform>(shared: &Shared<P>) {
    let now = shared.clock.now();
    let name = &shared.settings.name;
    let settings = &shared.settings.follower;
    let is_leading = shared.is_leading();
    let mut known = shared.announcements();
    let own = shared.own_member();
    let targets = follower::relay_targets(name, &own, &known.members, settings);
    let role = match std::mem::take(&mut known.role) {
        _ if targets.is_empty() => Role::Follower,
        Role::Relaying(relay) if relay.is_abandoned(now) => {
            log::warn!("relay: no large instance answers, following the log");
            Role::Follower
        }
        Role::Relaying(mut relay) => {
            relay.set_targets(targets);
            Role::Relaying(relay)
        }
        Role::Follower if is_leading || !known_contact(shared) => Role::Follower,
        Role::Undecided | Role::Follower => {
            log::info!(targets = targets.len(); "relay: large instances answer for this one");
            Role::Relaying(Relay::new(name, targets, settings.clone(), now))
        }
    };
    let follows = matches!(role, Role::Follower);
    known.role = role;
    drop(known);
    if !follows {
        shared.forget_log();
    }
}

/// Returns whether a large instance has lately answered that it can read the log.
fn known_contact<P>(shared: &Shared<P>) -> bool {
    let contact = *shared.large_contact();
    shared.is_fresh(contact, 3 * CONTACT_INTERVAL)
}

/// Asks large instances whether they can read the log, while there are any to relay to.
async fn keep_contact<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        task::sleep(CONTACT_INTERVAL).await;
        let targets = {
            let now = shared.clock.now();
            let known = shared.announcements();
            match &known.role {
                Role::Relaying(relay) => relay.targets(now),
                _ => follower::relay_targets(
                    &shared.settings.name,
                    &shared.own_member(),
                    &known.members,
                    &shared.settings.follower,
                ),
            }
        };
        for (name, member) in targets.iter().take(3) {
            let sent = shared.clock.now();
            let timeout = CONTACT_INTERVAL;
            let reached = peer::can_reach_log(&shared.peer_client, member, timeout).await;
            shared.record_contact(name, sent, reached == Ok(true));
            if reached == Ok(true) {
                break;
            }
        }
        let is_abandoned = match &shared.announcements().role {
            Role::Relaying(relay) => relay.is_abandoned(shared.clock.now()),
            _ => !targets.is_empty(),
        };
        if is_abandoned {
            decide(&shared);
        }
    }
}

/// Asks large instances, one after the other, to answer a request within `within`. Returns none if
/// this instance follows the log and has to answer itself.
pub(crate) async fn ask<P: Platform>(
    shared: &Shared<P>,
    call: &Call,
    within: Duration,
) -> Option<Asked> {
    let targets = match &shared.announcements().role {
        Role::Relaying(relay) => relay.targets(shared.clock.now()),
        Role::Follower | Role::Undecided => return None,
    };
    let begin = shared.clock.now();
    let mut maybe_taken = false;
    for (name, member) in targets {
        let elapsed = Duration::from_millis(shared.clock.now().since(begin));
        let timeout = within.saturating_sub(elapsed).min(TARGET_TIMEOUT);
        if timeout.is_zero() {
            break;
        }
        let sent = shared.clock.now();
        let call = call.limited(timeout.saturating_sub(ANSWER_MARGIN));
        match peer::relay(&shared.peer_client, &member, &call, timeout).await {
            Ok(reply) => {
                shared.record_contact(&name, sent, true);
                if !reply.is_refusal() {
                    return Some(Asked::Answered(reply));
                }
                // Another instance may be able to store or to look up what this one cannot.
                shared.record_contact(&name, sent, false);
            }
            Err(error) => {
                log::info!(target:% = name, reason:% = error; "relay: no answer of a large instance");
                shared.record_contact(&name, sent, false);
                maybe_taken |= matches!(error, RelayError::Lost(_));
            }
        }
    }
    Some(if maybe_taken {
        Asked::Unknown
    } else {
        Asked::Refused
    })
}

/// The result of asking large instances.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Asked {
    /// One of them has answered.
    Answered(Reply),
    /// None has taken the request.
    Refused,
    /// One may have taken the request and gave no answer.
    Unknown,
}

impl Call {
    /// Returns the call with at most `within` to be answered.
    fn limited(&self, within: Duration) -> Self {
        let mut call = self.clone();
        if let CallKind::Submit { within_ms, .. } | CallKind::Cancel { within_ms, .. } =
            &mut call.kind
        {
            *within_ms = (*within_ms).min(millis(within));
        }
        call
    }
}

impl Reply {
    /// Returns whether the instance could neither take the request nor answer it.
    fn is_refusal(&self) -> bool {
        matches!(
            self,
            Self::Submit(SubmitResult::Refused)
                | Self::Cancel(CancelResult::Refused)
                | Self::Status(JobStatus::Stale)
                | Self::Backlog(None)
        )
    }
}

/// Answers the request of a relaying instance. Returns none if this instance relays as well.
pub(crate) async fn answer<P: Platform>(shared: &Arc<Shared<P>>, call: Call) -> Option<Reply> {
    if !shared.follows_log() {
        return None;
    }
    let owner = Owner {
        queue: call.queue,
        account: call.account,
    };
    Some(match call.kind {
        CallKind::Submit {
            job,
            spec,
            within_ms,
        } => {
            // A job that readers of the log would skip must not count as accepted.
            if let Err(e) = spec.validate() {
                log::warn!(job:% = job, reason:% = e; "relay: invalid job refused");
                return Some(Reply::Submit(SubmitResult::Refused));
            }
            let within = Duration::from_millis(within_ms);
            Reply::Submit(calls::submit(shared, &owner, job, spec, within).await)
        }
        CallKind::Cancel { job, within_ms } => {
            let within = Duration::from_millis(within_ms);
            Reply::Cancel(calls::cancel(shared, &owner, job, within).await)
        }
        CallKind::Status { job, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(shared.settings.end_wait);
            Reply::Status(calls::status(shared, &owner, job, wait).await)
        }
        CallKind::Backlog => Reply::Backlog(calls::backlog(shared, &owner)),
    })
}
