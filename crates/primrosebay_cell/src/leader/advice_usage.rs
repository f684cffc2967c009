//! What the advice calls of each queue cost and bring.

use std::fmt;

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

/// Numbers of advice calls and of what followed from their answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls sent.
    pub calls: u64,
    /// Time that instances spent on calls that have ended, in milliseconds.
    pub call_ms: u64,
    /// Tickets received.
    pub tickets: u64,
    /// Tickets on which a task was placed.
    pub used: u64,
    /// Tasks placed on a ticket.
    pub starts: u64,
    /// Calls in vain: no task was placed on any of their tickets while these were valid.
    pub vain: u64,
}

/// Counts of calls by queue.
#[derive(Debug, Clone, Default)]
pub struct CallUsage {
    queues: Table<Name, CallCounts>,
}

impl CallUsage {
    /// Returns the counts of a queue, to be changed.
    pub(super) fn of(&mut self, queue: &Name) -> &mut CallCounts {
        self.queues.or_insert(queue.clone(), CallCounts::default())
    }

    /// Returns the queues with their counts, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &CallCounts)> {
        self.queues.iter()
    }
}

impl fmt::Display for CallUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (queue, counts) in self.queues.iter() {
            let CallCounts {
                calls,
                call_ms,
                tickets,
                used,
                starts,
                vain,
            } = counts;
            write!(
                f,
                "{separator}{queue}: calls={calls} call_ms={call_ms} tickets={tickets} \
                 used={used} starts={starts} vain={vain}"
            )?;
            separator = ", ";
        }
        Ok(())
    }
}

/// An answer whose tickets may still be used.
#[derive(Debug)]
struct Answer {
    /// Time until which the tickets are valid.
    until: Time,
    is_used: bool,
}

/// The answers to the calls for a step. Answers with the same validity are used together, since a
/// ticket does not tell from which of them it came.
#[derive(Debug, Default)]
pub(super) struct Answers {
    pending: Vec<Answer>,
    /// Number of calls in vain since the last one that was not.
    pub(super) vain: u32,
}

impl Answers {
    /// Notes an answer whose tickets are valid until `until`.
    pub(super) fn add(&mut self, until: Time) {
        let is_used = false;
        self.pending.push(Answer { until, is_used });
    }

    /// Notes that a ticket of the answer that is valid until `until` was used.
    pub(super) fn mark_used(&mut self, until: Time) {
        let answers = self.pending.iter_mut().filter(|a| a.until == until);
        answers.for_each(|a| a.is_used = true);
        self.vain = 0;
    }

    /// Notes a call that brought no ticket.
    pub(super) fn note_vain(&mut self) {
        self.vain = self.vain.saturating_add(1);
    }

    /// Forgets the answers whose tickets have expired. Returns how many of them were in vain.
    pub(super) fn settle(&mut self, now: Time) -> u64 {
        let mut vain = 0;
        for answer in self.pending.extract_if(.., |a| now >= a.until) {
            vain += u64::from(!answer.is_used);
        }
        self.vain = self
            .vain
            .saturating_add(u32::try_from(vain).unwrap_or(u32::MAX));
        vain
    }
}
