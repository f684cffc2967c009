//! The log publisher: batches, retries and the append rate.
//!
//! The publisher decides what to append and when; the caller does the I/O. Each stream has at most
//! one append in flight, which preserves the order of its records. A record stays queued until the
//! log has confirmed it, unless its caller withdraws it. Readers apply each record identifier only
//! once, so an append may be repeated.

mod bucket;
mod copies;
mod seen;
mod snapshot;

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use primrosebay_state::Name;
use primrosebay_state::id::RecordId;
use primrosebay_state::record::Record;
use primrosebay_state::time::Time;

pub use bucket::{TOTAL_RATE, TokenBucket};
pub use copies::{Copies, CopyLimits};
pub use seen::SeenRecords;
pub use snapshot::{SnapshotSchedule, split_snapshot};

/// Limits of a publisher's batches, queue and retries.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Milliseconds that a record waits for further records to share its append.
    pub batch_ms: u64,
    /// Largest size of one append in bytes; a larger record is appended alone.
    pub batch_bytes: usize,
    /// Largest total size of the queued records in bytes.
    pub queue_bytes: usize,
    /// Largest number of queued records.
    pub queue_count: usize,
    /// Milliseconds without confirmation after which peers are asked to hold a copy of a record.
    pub hold_ms: u64,
    /// Upper bounds of the first and of the longest pause after a failed append, in milliseconds.
    /// The pause doubles with each failure; jitter shortens it by up to half.
    pub retry_ms: (u64, u64),
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            batch_ms: 5,
            batch_bytes: 256 << 10,
            queue_bytes: 48 << 20,
            queue_count: 200_000,
            hold_ms: 500,
            retry_ms: (100, 2_000),
        }
    }
}

/// A record would exceed the limit of records or bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the limit of queued records or bytes is reached")]
pub struct QueueFull;

/// Identifies a step, so that a late result is not taken for that of another step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// The next step for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Append the records in one append and report the result.
    Append {
        /// Stream to append to.
        stream: Name,
        /// Identifies the step in the report of its result.
        ticket: Ticket,
        /// Records to append, in order.
        records: Vec<Record>,
    },
    /// Read the stream from the offset to its end and report the records found.
    ReadBack {
        /// Stream to read.
        stream: Name,
        /// Identifies the step in the report of its result.
        ticket: Ticket,
        /// First offset to read.
        from: u64,
    },
    /// Wait until the given time, or until a record is queued or a result is reported. `None` means
    /// that no time is set.
    Wait(Option<Time>),
}

/// A record that is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Durable {
    /// Identifier of the record.
    pub id: RecordId,
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Whether peers were asked to hold copies, which they may release now.
    pub held: bool,
}

/// Result of withdrawing a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawn {
    /// The record is not in the log and will not be appended.
    Yes,
    /// The record may be in the log or may still be appended.
    MaybeAppended,
    /// The record is not queued: it is in the log, was withdrawn before, or was never queued.
    Gone,
}

/// Whether a queued record may be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// The record was not sent, or every append that contained it was refused.
    No,
    /// The record is part of the append in flight.
    InFlight,
    /// The answer to an append that contained the record was lost. That append may still take
    /// effect later.
    Unknown,
}

#[derive(Debug)]
struct Queued {
    record: Record,
    /// Size of the encoded record.
    bytes: usize,
    /// When the record was queued.
    since: Time,
    sent: Sent,
    /// Whether peers were asked to hold a copy of the record.
    held: bool,
    /// Whether peers may be asked to hold a copy of the record.
    copies: bool,
}

/// State of the appends to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendState {
    /// No append is in flight.
    Idle,
    /// An append is in flight.
    Appending(Ticket),
    /// The answer to the last append was lost; the stream has to be read back.
    Unknown,
    /// The stream is being read back.
    Reading(Ticket),
}

/// The queued records of one stream.
#[derive(Debug)]
struct StreamQueue {
    name: Name,
    records: VecDeque<Queued>,
    /// Total size of the queued records.
    bytes: usize,
    state: AppendState,
    /// Records of the append in flight, in order.
    batch: Vec<RecordId>,
    /// Known end of the stream when the last append was sent; a read-back starts here.
    from: u64,
    /// Known end of the stream.
    end: u64,
    /// Failures since the last success.
    attempts: u32,
    /// Earliest time of the next step.
    retry: Time,
}

/// The records that one entry instance has queued for the log.
#[derive(Debug)]
pub struct Publisher {
    limits: Limits,
    bucket: TokenBucket,
    streams: Vec<StreamQueue>,
    /// Total size of the queued records.
    bytes: usize,
    /// Number of queued records.
    count: usize,
    /// Number of the last ticket.
    tickets: u64,
    /// When the first failure since the last success occurred.
    failing: Option<Time>,
    rng: SmallRng,
}

impl StreamQueue {
    fn new(stream: &Name) -> Self {
        Self {
            name: stream.clone(),
            records: VecDeque::new(),
            bytes: 0,
            state: AppendState::Idle,
            batch: Vec::new(),
            from: 0,
            end: 0,
            attempts: 0,
            retry: Time(0),
        }
    }

    /// Returns when the next step of the stream is due, disregarding the rate limit; `None` if no
    /// record is queued or a step is in flight.
    fn due(&self, limits: &Limits) -> Option<Time> {
        let first = self.records.front()?;
        let full = self.bytes >= limits.batch_bytes;
        let ready = match self.state {
            AppendState::Appending(_) | AppendState::Reading(_) => return None,
            AppendState::Unknown => self.retry,
            AppendState::Idle if full => first.since,
            AppendState::Idle => first.since + limits.batch_ms,
        };
        Some(ready.max(self.retry))
    }

    /// Returns the next batch of at most `limit` bytes, but at least one record, and marks it as in
    /// flight.
    fn take_batch(&mut self, limit: usize) -> Vec<Record> {
        let mut bytes = 0;
        let mut records = Vec::new();
        for queued in &mut self.records {
            bytes += queued.bytes;
            if bytes > limit && !records.is_empty() {
                break;
            }
            if queued.sent == Sent::No {
                queued.sent = Sent::InFlight;
            }
            records.push(queued.record.clone());
        }
        self.batch = records.iter().map(|record| record.id).collect();
        self.from = self.end;
        records
    }

    /// Removes a record from the queue. Records are usually confirmed in queue order, so the search
    /// usually ends at the front.
    fn remove(&mut self, id: RecordId) -> Option<Queued> {
        let i = self
            .records
            .iter()
            .position(|queued| queued.record.id == id)?;
        let queued = self.records.remove(i)?;
        self.bytes -= queued.bytes;
        Some(queued)
    }
}

impl Publisher {
    /// Creates a publisher without records. `seed` determines the jitter of the retries.
    #[must_use]
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            bucket: TokenBucket::new(1),
            streams: Vec::new(),
            bytes: 0,
            count: 0,
            tickets: 0,
            failing: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the number of entry instances, this one included, that share the append rate.
    pub fn set_instances(&mut self, now: Time, instances: usize) {
        self.bucket.set_instances(now, instances);
    }

    /// Queues a record whose encoding has `bytes` bytes. If `copies` is set, peers are asked to
    /// hold copies of the record when the log does not confirm it in time.
    ///
    /// # Errors
    /// Returns [`QueueFull`] if the record would exceed a limit of the queue.
    pub fn push(
        &mut self,
        now: Time,
        stream: &str,
        record: Record,
        bytes: usize,
        copies: bool,
    ) -> Result<(), QueueFull> {
        let limits = &self.limits;
        if self.count >= limits.queue_count || self.bytes + bytes > limits.queue_bytes {
            return Err(QueueFull);
        }
        let position = self.streams.iter().position(|queue| *queue.name == *stream);
        let i = position.unwrap_or_else(|| {
            self.streams.push(StreamQueue::new(&stream.into()));
            self.streams.len() - 1
        });
        let queue = &mut self.streams[i];
        queue.records.push_back(Queued {
            record,
            bytes,
            since: now,
            sent: Sent::No,
            held: false,
            copies,
        });
        queue.bytes += bytes;
        self.bytes += bytes;
        self.count += 1;
        Ok(())
    }

    /// Returns the number of queued records and their total size in bytes.
    #[must_use]
    pub fn waiting(&self) -> (usize, usize) {
        (self.count, self.bytes)
    }

    /// Returns for how many milliseconds appends or read-backs have failed; `None` if the last one
    /// succeeded.
    #[must_use]
    pub fn failing(&self, now: Time) -> Option<u64> {
        self.failing.map(|since| now.since(since))
    }

    /// Returns the next step and, unless it is a wait, counts it as in flight.
    pub fn poll(&mut self, now: Time) -> Step {
        let mut wake: Option<Time> = None;
        // The stream whose first record has waited longest goes first, so that no stream starves
        // when there are too few tokens.
        let oldest = |queue: &StreamQueue| queue.records.front().map(|queued| queued.since);
        self.streams
            .sort_by_key(|queue| (oldest(queue).is_none(), oldest(queue)));
        for queue in &mut self.streams {
            let Some(mut due) = queue.due(&self.limits) else {
                continue;
            };
            if due <= now && queue.state == AppendState::Unknown {
                self.tickets += 1;
                let ticket = Ticket(self.tickets);
                queue.state = AppendState::Reading(ticket);
                return Step::ReadBack {
                    stream: queue.name.clone(),
                    ticket,
                    from: queue.from,
                };
            }
            if due <= now && self.bucket.take(now) {
                self.tickets += 1;
                let ticket = Ticket(self.tickets);
                queue.state = AppendState::Appending(ticket);
                return Step::Append {
                    stream: queue.name.clone(),
                    ticket,
                    records: queue.take_batch(self.limits.batch_bytes),
                };
            }
            if queue.state != AppendState::Unknown {
                due = due.max(self.bucket.ready(now));
            }
            wake = Some(wake.map_or(due, |earlier| earlier.min(due)));
        }
        Step::Wait(wake)
    }

    /// Handles the acknowledgement of an append whose first record has the offset `first`, and
    /// returns the appended records that were still queued. A ticket that is not in flight is
    /// ignored.
    pub fn appended(&mut self, ticket: Ticket, first: u64) -> Vec<Durable> {
        let Some(queue) = self.stream(AppendState::Appending(ticket)) else {
            return Vec::new();
        };
        let batch = std::mem::take(&mut queue.batch);
        let end = first + batch.len() as u64;
        queue.end = queue.end.max(end);
        queue.state = AppendState::Idle;
        queue.attempts = 0;
        let name = queue.name.clone();
        self.failing = None;
        let appended = (first..).zip(batch);
        appended
            .filter_map(|(offset, id)| self.observed(&name, offset, id))
            .collect()
    }

    /// Handles the refusal of an append, which will not take effect.
    pub fn refused(&mut self, now: Time, ticket: Ticket) {
        self.fail(now, AppendState::Appending(ticket), AppendState::Idle);
    }

    /// Handles the loss of the answer to an append, which may have taken effect.
    pub fn answer_lost(&mut self, now: Time, ticket: Ticket) {
        self.fail(now, AppendState::Appending(ticket), AppendState::Unknown);
    }

    /// Handles a failed read-back.
    pub fn read_failed(&mut self, now: Time, ticket: Ticket) {
        self.fail(now, AppendState::Reading(ticket), AppendState::Unknown);
    }

    /// Handles a read-back that reached the end of the stream, after the caller has passed all
    /// records found to [`Self::observed`]. Records of the lost append that were not found are sent
    /// again.
    pub fn read_back(&mut self, ticket: Ticket) {
        if let Some(queue) = self.stream(AppendState::Reading(ticket)) {
            queue.state = AppendState::Idle;
            queue.attempts = 0;
            self.failing = None;
        }
    }

    /// Removes a record that was found in the log, by the log reader or by a read-back. Returns
    /// `None` if the record was not queued.
    pub fn observed(&mut self, stream: &str, offset: u64, id: RecordId) -> Option<Durable> {
        let queue = self
            .streams
            .iter_mut()
            .find(|queue| *queue.name == *stream)?;
        queue.end = queue.end.max(offset + 1);
        let queued = queue.remove(id)?;
        self.bytes -= queued.bytes;
        self.count -= 1;
        Some(Durable {
            id,
            offset,
            held: queued.held,
        })
    }

    /// Returns records that have waited for [`Limits::hold_ms`] or longer and that peers are to
    /// hold but do not hold yet, and counts them as held. Each stream's records are in queue order.
    /// No further record is added once [`Limits::batch_bytes`] are reached.
    pub fn overdue(&mut self, now: Time) -> Vec<(Name, Record)> {
        let mut bytes = 0;
        let mut overdue = Vec::new();
        for queue in &mut self.streams {
            for queued in &mut queue.records {
                if bytes >= self.limits.batch_bytes || now.since(queued.since) < self.limits.hold_ms
                {
                    break;
                }
                if queued.copies && !queued.held {
                    queued.held = true;
                    bytes += queued.bytes;
                    overdue.push((queue.name.clone(), queued.record.clone()));
                }
            }
        }
        overdue
    }

    /// Marks records as not held by peers, so that [`Self::overdue`] returns them again.
    pub fn clear_held(&mut self, ids: &[RecordId]) {
        for queue in &mut self.streams {
            for queued in &mut queue.records {
                if ids.contains(&queued.record.id) {
                    queued.held = false;
                }
            }
        }
    }

    /// Withdraws a record whose caller has given up. A record that was queued with `copies` and
    /// that the log or a peer may have stays queued, because it may be accepted. A record queued
    /// without copies is removed even then: it is not sent again, so that it does not take effect
    /// long after its caller was told that the outcome is unknown.
    pub fn withdraw(&mut self, id: RecordId) -> Withdrawn {
        for queue in &mut self.streams {
            let record = queue.records.iter().find(|queued| queued.record.id == id);
            let Some(queued) = record else {
                continue;
            };
            let unsent = queued.sent == Sent::No && !queued.held;
            if !unsent && queued.copies {
                return Withdrawn::MaybeAppended;
            }
            if let Some(queued) = queue.remove(id) {
                self.bytes -= queued.bytes;
                self.count -= 1;
            }
            return if unsent {
                Withdrawn::Yes
            } else {
                Withdrawn::MaybeAppended
            };
        }
        Withdrawn::Gone
    }

    fn stream(&mut self, state: AppendState) -> Option<&mut StreamQueue> {
        self.streams.iter_mut().find(|stream| stream.state == state)
    }

    /// Moves the stream in state `from` to state `to` after a failed step and schedules the retry.
    fn fail(&mut self, now: Time, from: AppendState, to: AppendState) {
        let (shortest, longest) = self.limits.retry_ms;
        let jitter = self.rng.random_range(0.5..=1.0);
        let Some(queue) = self.stream(from) else {
            return;
        };
        let doubled = shortest.saturating_mul(1 << queue.attempts.min(16));
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a pause is at most a few seconds"
        )]
        let pause_ms = (doubled.min(longest) as f64 * jitter) as u64;
        queue.attempts += 1;
        queue.retry = now + pause_ms;
        queue.state = to;
        let sent = match to {
            AppendState::Idle => Sent::No,
            _ => Sent::Unknown,
        };
        for queued in &mut queue.records {
            if queued.sent == Sent::InFlight {
                queued.sent = sent;
            }
        }
        self.failing.get_or_insert(now);
    }
}
