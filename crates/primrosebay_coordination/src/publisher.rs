//! The log publisher: batches, retries and the append rate.
//!
//! The publisher decides what to append and when; the caller does the I/O. Each stream has at most
//! one append under way, which keeps the order of its records. A record leaves the queue only when
//! the log confirmed it. Readers apply a record identifier once, so an append may be repeated.

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
pub use snapshot::{SnapshotPlan, split_snapshot};

/// Limits of a publisher.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Milliseconds that a record waits for others to share its append.
    pub batch_ms: u64,
    /// Bytes of one append; a longer record is appended alone.
    pub batch_bytes: usize,
    /// Bytes that may wait.
    pub queue_bytes: usize,
    /// Records that may wait.
    pub queue_count: usize,
    /// Milliseconds without confirmation after which peers are asked to hold a copy.
    pub hold_ms: u64,
    /// Shortest and longest pause after a failed append, in milliseconds.
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

/// The queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the queue of records for the log is full")]
pub struct QueueFull;

/// Ties an answer to the step that it belongs to, so that late answers are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Append the records as one append and report the result.
    Append {
        /// The stream.
        stream: Name,
        /// Names the step in the report.
        ticket: Ticket,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// Read the stream from the offset to its end and report what was found.
    ReadBack {
        /// The stream.
        stream: Name,
        /// Names the step in the report.
        ticket: Ticket,
        /// The first offset to read.
        from: u64,
    },
    /// Nothing until the time, or until a record is queued.
    Wait(Option<Time>),
}

/// A record that is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Durable {
    /// The record.
    pub id: RecordId,
    /// Its offset.
    pub offset: u64,
    /// Whether peers hold copies that they may drop now.
    pub held: bool,
}

/// Whether a record could be taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawn {
    /// The record never reached the log and never will.
    Yes,
    /// The record may be in the log or get there.
    MaybeAppended,
    /// The record is not queued.
    Gone,
}

/// Whether a record may be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// It was not sent, or each append with it was refused.
    No,
    /// It is part of the append under way.
    Now,
    /// The answer to an append with it was lost. The append may still take effect later.
    Maybe,
}

#[derive(Debug)]
struct Queued {
    record: Record,
    bytes: usize,
    since: Time,
    sent: Sent,
    /// Whether peers were asked to hold the record.
    held: bool,
    /// Whether peers may be asked.
    copies: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flight {
    Idle,
    Sent(Ticket),
    Unknown,
    Reading(Ticket),
}

#[derive(Debug)]
struct Lane {
    stream: Name,
    queue: VecDeque<Queued>,
    bytes: usize,
    flight: Flight,
    /// The records of the append under way, in its order.
    batch: Vec<RecordId>,
    /// The end of the stream as known before the append under way.
    from: u64,
    end: u64,
    attempts: u32,
    retry: Time,
}

/// The queue of one entry instance towards the log.
#[derive(Debug)]
pub struct Publisher {
    limits: Limits,
    bucket: TokenBucket,
    lanes: Vec<Lane>,
    bytes: usize,
    count: usize,
    tickets: u64,
    failing: Option<Time>,
    random: SmallRng,
}

impl Lane {
    fn new(stream: &Name) -> Self {
        Self {
            stream: stream.clone(),
            queue: VecDeque::new(),
            bytes: 0,
            flight: Flight::Idle,
            batch: Vec::new(),
            from: 0,
            end: 0,
            attempts: 0,
            retry: Time(0),
        }
    }

    /// Returns when the next step is due, apart from the rate limit.
    fn due(&self, limits: &Limits) -> Option<Time> {
        let first = self.queue.front()?;
        let full = self.bytes >= limits.batch_bytes;
        let ready = match self.flight {
            Flight::Sent(_) | Flight::Reading(_) => return None,
            Flight::Unknown => self.retry,
            Flight::Idle if full => first.since,
            Flight::Idle => first.since + limits.batch_ms,
        };
        Some(ready.max(self.retry))
    }

    fn take_batch(&mut self, limit: usize) -> Vec<Record> {
        let mut bytes = 0;
        let mut records = Vec::new();
        for queued in &mut self.queue {
            bytes += queued.bytes;
            if bytes > limit && !records.is_empty() {
                break;
            }
            if queued.sent == Sent::No {
                queued.sent = Sent::Now;
            }
            records.push(queued.record.clone());
        }
        self.batch = records.iter().map(|record| record.id).collect();
        self.from = self.end;
        records
    }

    /// Removes a record that is in the log. Records are confirmed in queue order, so the search
    /// ends at the front in general.
    fn remove(&mut self, id: RecordId) -> Option<Queued> {
        let at = self
            .queue
            .iter()
            .position(|queued| queued.record.id == id)?;
        let queued = self.queue.remove(at)?;
        self.bytes -= queued.bytes;
        Some(queued)
    }
}

impl Publisher {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            bucket: TokenBucket::new(1),
            lanes: Vec::new(),
            bytes: 0,
            count: 0,
            tickets: 0,
            failing: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the number of entry instances that share the append rate.
    pub fn set_instances(&mut self, now: Time, instances: usize) {
        self.bucket.set_instances(now, instances);
    }

    /// Queues a record whose encoding has `bytes` bytes. Peers are asked for `copies` of it when the
    /// log does not confirm it in time.
    ///
    /// # Errors
    /// Returns an error if the queue is full.
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
        let known = self.lanes.iter().position(|lane| *lane.stream == *stream);
        let at = known.unwrap_or_else(|| {
            self.lanes.push(Lane::new(&stream.into()));
            self.lanes.len() - 1
        });
        let lane = &mut self.lanes[at];
        lane.queue.push_back(Queued {
            record,
            bytes,
            since: now,
            sent: Sent::No,
            held: false,
            copies,
        });
        lane.bytes += bytes;
        self.bytes += bytes;
        self.count += 1;
        Ok(())
    }

    /// Returns the records and bytes that wait.
    #[must_use]
    pub fn waiting(&self) -> (usize, usize) {
        (self.count, self.bytes)
    }

    /// Returns for how many milliseconds the log has refused or not answered appends.
    #[must_use]
    pub fn failing(&self, now: Time) -> Option<u64> {
        self.failing.map(|since| now.since(since))
    }

    /// Returns the next step.
    pub fn poll(&mut self, now: Time) -> Step {
        let mut wake: Option<Time> = None;
        // The stream whose first record has waited longest goes first, so that none starves when
        // there are too few tokens.
        let oldest = |lane: &Lane| lane.queue.front().map(|queued| queued.since);
        self.lanes
            .sort_by_key(|lane| (oldest(lane).is_none(), oldest(lane)));
        for lane in &mut self.lanes {
            let Some(mut due) = lane.due(&self.limits) else {
                continue;
            };
            if due <= now && lane.flight == Flight::Unknown {
                self.tickets += 1;
                let ticket = Ticket(self.tickets);
                lane.flight = Flight::Reading(ticket);
                return Step::ReadBack {
                    stream: lane.stream.clone(),
                    ticket,
                    from: lane.from,
                };
            }
            if due <= now && self.bucket.take(now) {
                self.tickets += 1;
                let ticket = Ticket(self.tickets);
                lane.flight = Flight::Sent(ticket);
                return Step::Append {
                    stream: lane.stream.clone(),
                    ticket,
                    records: lane.take_batch(self.limits.batch_bytes),
                };
            }
            if lane.flight != Flight::Unknown {
                due = due.max(self.bucket.ready(now));
            }
            wake = Some(wake.map_or(due, |earlier| earlier.min(due)));
        }
        Step::Wait(wake)
    }

    /// Takes the acknowledgement of an append whose first record got the offset `first`.
    pub fn appended(&mut self, ticket: Ticket, first: u64) -> Vec<Durable> {
        let Some(lane) = self.lane(Flight::Sent(ticket)) else {
            return Vec::new();
        };
        let batch = std::mem::take(&mut lane.batch);
        let last = first + batch.len() as u64;
        lane.end = lane.end.max(last);
        lane.flight = Flight::Idle;
        lane.attempts = 0;
        let stream = lane.stream.clone();
        self.failing = None;
        let placed = (first..).zip(batch);
        placed
            .filter_map(|(offset, id)| self.observed(&stream, offset, id))
            .collect()
    }

    /// Takes the answer that an append did not take effect.
    pub fn refused(&mut self, now: Time, ticket: Ticket) {
        self.fail(now, Flight::Sent(ticket), Flight::Idle);
    }

    /// Takes the loss of an answer: the append may have taken effect.
    pub fn answer_lost(&mut self, now: Time, ticket: Ticket) {
        self.fail(now, Flight::Sent(ticket), Flight::Unknown);
    }

    /// Takes the failure to read back.
    pub fn read_failed(&mut self, now: Time, ticket: Ticket) {
        self.fail(now, Flight::Reading(ticket), Flight::Unknown);
    }

    /// Takes the end of a read that reached the end of the stream, after each record that it found
    /// was passed to [`Self::observed`]. Records of the lost append that were not found are sent
    /// again.
    pub fn read_back(&mut self, ticket: Ticket) {
        if let Some(lane) = self.lane(Flight::Reading(ticket)) {
            lane.flight = Flight::Idle;
            lane.attempts = 0;
            self.failing = None;
        }
    }

    /// Takes a record that was read from the log, by the reader or by a read back.
    pub fn observed(&mut self, stream: &str, offset: u64, id: RecordId) -> Option<Durable> {
        let lane = self.lanes.iter_mut().find(|lane| *lane.stream == *stream)?;
        lane.end = lane.end.max(offset + 1);
        let queued = lane.remove(id)?;
        self.bytes -= queued.bytes;
        self.count -= 1;
        Some(Durable {
            id,
            offset,
            held: queued.held,
        })
    }

    /// Returns records that wait for longer than the limit and of which peers have no copies yet,
    /// oldest first, up to the bytes of one batch, and counts them as held.
    pub fn overdue(&mut self, now: Time) -> Vec<(Name, Record)> {
        let mut bytes = 0;
        let mut found = Vec::new();
        for lane in &mut self.lanes {
            for queued in &mut lane.queue {
                if bytes >= self.limits.batch_bytes || now.since(queued.since) < self.limits.hold_ms
                {
                    break;
                }
                if queued.copies && !queued.held {
                    queued.held = true;
                    bytes += queued.bytes;
                    found.push((lane.stream.clone(), queued.record.clone()));
                }
            }
        }
        found
    }

    /// Takes back that peers hold the records, so that they are offered again.
    pub fn clear_held(&mut self, ids: &[RecordId]) {
        for lane in &mut self.lanes {
            for queued in &mut lane.queue {
                if ids.contains(&queued.record.id) {
                    queued.held = false;
                }
            }
        }
    }

    /// Takes a record out of the queue whose caller has given up. One that the log or a peer may
    /// have stays queued, because it may be accepted; one without copies is not sent again, so that
    /// it does not take effect long after its caller was told that its fate is unknown.
    pub fn withdraw(&mut self, id: RecordId) -> Withdrawn {
        for lane in &mut self.lanes {
            let found = lane.queue.iter().find(|queued| queued.record.id == id);
            let Some(queued) = found else {
                continue;
            };
            let unsent = queued.sent == Sent::No && !queued.held;
            if !unsent && queued.copies {
                return Withdrawn::MaybeAppended;
            }
            if let Some(queued) = lane.remove(id) {
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

    fn lane(&mut self, flight: Flight) -> Option<&mut Lane> {
        self.lanes.iter_mut().find(|lane| lane.flight == flight)
    }

    fn fail(&mut self, now: Time, from: Flight, to: Flight) {
        let (shortest, longest) = self.limits.retry_ms;
        let jitter = self.random.random_range(0.5..=1.0);
        let Some(lane) = self.lane(from) else {
            return;
        };
        let doubled = shortest.saturating_mul(1 << lane.attempts.min(16));
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a pause is at most a few seconds"
        )]
        let pause = (doubled.min(longest) as f64 * jitter) as u64;
        lane.attempts += 1;
        lane.retry = now + pause;
        lane.flight = to;
        let outcome = match to {
            Flight::Idle => Sent::No,
            _ => Sent::Maybe,
        };
        for queued in &mut lane.queue {
            if queued.sent == Sent::Now {
                queued.sent = outcome;
            }
        }
        self.failing.get_or_insert(now);
    }
}
