//! Runs the leader of the cell while this instance leads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded, unbounded};
use async_std::task::{self, JoinHandle};
use primrosebay_cell::job::{JobKey, StepKey, TaskKey};
use primrosebay_cell::leader::{
    Advice, Batch, DirectoryChange, Entry, HoldAnswer, Leader, Now, StartAnswer,
};
use primrosebay_cell::record::{Claim, Member, Record};
use primrosebay_state::Name;
use primrosebay_state::time::Time;

use crate::commands;
use crate::peer;
use crate::platform::{AppendError, AppendId, Platform, ReadError, Stream};
use crate::shared::Shared;
use crate::submit::ForwardResult;

/// Most bytes of one append. The platform's limit is above it.
const MAX_APPEND_BYTES: usize = 1_000_000;

/// How often the leader reports what it knows, in numbers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Something that the leader is told.
#[derive(Debug)]
pub(crate) enum Event {
    /// Jobs were submitted or cancelled.
    JobsChanged(Vec<JobKey>),
    /// A leader's record was read.
    ClaimRead(Claim),
    /// Instances have announced themselves.
    MembersChanged,
    /// Operators have changed something.
    OperatorsChanged,
    DirectoryChanged(DirectoryChange),
    DirectoryLoaded(Vec<Entry>),
    StartAnswered(Name, TaskKey, u32, StartAnswer),
    StopAnswered(Name, TaskKey, u32, bool),
    HoldAnswered(Name, Time, HoldAnswer),
    AdviceAnswered(Name, StepKey, Option<Advice>),
    /// A batch is durable; its append was sent at the time.
    Committed(u64, Time),
    /// Another term has begun.
    Fenced,
    /// Records of callers that are to be appended. Whoever waits is told when they are durable.
    Append(Vec<Record>, Sender<()>),
}

/// Has the leader append records, if this instance leads.
pub(crate) async fn append<P: Platform>(
    shared: &Shared<P>,
    records: Vec<Record>,
    timeout: Duration,
) -> ForwardResult {
    if !shared.is_leading() {
        return ForwardResult::Not;
    }
    let (durable, receiver) = bounded(1);
    shared.notify_leader(|| Event::Append(records, durable));
    // A term that ends drops the sender, after which the records may be in the log or not.
    match async_std::future::timeout(timeout, receiver.recv()).await {
        Ok(Ok(())) => ForwardResult::Durable,
        Ok(Err(_)) | Err(_) => ForwardResult::Unknown,
    }
}

/// Records of callers on their way into the log.
#[derive(Debug, Default)]
struct CallerRecords {
    /// Those for the next batch.
    pending: Vec<(Vec<Record>, Sender<()>)>,
    /// Those in the batch in flight.
    in_flight: Vec<(Vec<Record>, Sender<()>)>,
}

/// What belongs to one term of this instance.
#[derive(Debug)]
struct TermLeader<P> {
    shared: Arc<Shared<P>>,
    leader: Leader,
    epoch: u64,
    events: Sender<Event>,
    sequence: u64,
    /// The last batch that is durable, for the task that appends.
    durable: Arc<AtomicU64>,
    append_task: Option<JoinHandle<()>>,
    last_append: Time,
    caller_records: CallerRecords,
    /// Whether an instance that is much larger can lead.
    handover: Arc<AtomicBool>,
    started: Time,
    /// When the last summary was reported.
    last_summary: Time,
}

/// Leads until another instance does or this one stops. `sequence` is the number of the term's next
/// append.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, epoch: u64) {
    let (events, receiver) = unbounded();
    shared.set_leader_events(Some(events.clone()));
    log::info!(epoch; "lead: term begins");
    let now = shared.now();
    let settings = shared.settings.leader.clone();
    let name = shared.settings.name.clone();
    let leader = Leader::new(epoch, name, now, &shared.cell().ledger, settings);
    let directory = task::spawn(follow_directory(Arc::clone(&shared), events.clone()));
    let mut term = TermLeader {
        shared: Arc::clone(&shared),
        leader,
        epoch,
        events,
        // The claim of the term was its append number 0.
        sequence: 1,
        durable: Arc::new(AtomicU64::new(0)),
        append_task: None,
        last_append: now.time,
        last_summary: now.time,
        caller_records: CallerRecords::default(),
        handover: Arc::new(AtomicBool::new(false)),
        started: now.time,
    };
    term.apply_operators();
    term.apply_members();
    term.process_events(&receiver).await;
    shared.set_leader_events(None);
    directory.cancel().await;
    if let Some(task) = term.append_task.take() {
        task.cancel().await;
    }
    log::info!(epoch; "lead: term ends");
}

impl<P: Platform> TermLeader<P> {
    async fn process_events(&mut self, receiver: &Receiver<Event>) {
        loop {
            let tick = self.shared.settings.tick_interval;
            if let Ok(Ok(event)) = async_std::future::timeout(tick, receiver.recv()).await {
                self.handle(event);
                // Events that arrive together are decided together.
                task::sleep(self.shared.settings.batch_delay).await;
            }
            while let Ok(event) = receiver.try_recv() {
                self.handle(event);
            }
            if self.leader.is_deposed() {
                return;
            }
            if self.shared.is_stopping() || self.handover.load(Ordering::SeqCst) {
                self.resign().await;
                return;
            }
            self.run_pass();
        }
    }

    fn run_pass(&mut self) {
        let now = self.shared.now();
        for command in self.leader.step(now) {
            commands::spawn(&self.shared, &self.events, self.epoch, command);
        }
        let heartbeat_due =
            now.time.since(self.last_append) >= millis(self.shared.settings.heartbeat_interval);
        let due = heartbeat_due || !self.caller_records.pending.is_empty();
        if let Some(mut batch) = self.leader.take_batch(due) {
            self.caller_records.in_flight = std::mem::take(&mut self.caller_records.pending);
            for (records, _) in &self.caller_records.in_flight {
                batch.records.extend(records.iter().cloned());
            }
            self.append(&batch, now.time);
        }
        if now.time.since(self.last_summary) >= millis(SUMMARY_INTERVAL) {
            self.last_summary = now.time;
            self.summarize(now);
            if now.time.since(self.started) >= millis(self.shared.settings.handover_delay) {
                self.probe_larger();
            }
        }
    }

    /// Asks whether an instance that is at least twice as large can lead.
    fn probe_larger(&self) {
        let own = self.shared.settings.cores_milli;
        let members: Vec<Member> = {
            let cell = self.shared.cell();
            let members = cell.ledger.members().map(|(_, m)| m);
            members
                .filter(|m| m.cores_milli >= 2 * own)
                .cloned()
                .collect()
        };
        let (shared, handover) = (Arc::clone(&self.shared), Arc::clone(&self.handover));
        if members.is_empty() {
            return;
        }
        task::spawn(async move {
            for member in members {
                let timeout = shared.settings.probe_interval;
                if let Ok(true) = peer::can_reach_log(&shared.peer_client, &member, timeout).await {
                    log::info!(address:% = member.address, cores_milli = member.cores_milli; "lead: a larger instance can lead");
                    handover.store(true, Ordering::SeqCst);
                    return;
                }
            }
        });
    }

    /// Reports what the leader knows, in numbers.
    fn summarize(&self, now: Now) {
        let counts = self.leader.counts(now);
        self.shared.metrics.record_leader(&counts);
        let waits = counts.waits;
        log::info!(
            epoch = self.epoch, jobs = counts.jobs, runs = counts.runs, usable = counts.usable,
            minions = counts.minions, unsure = counts.unsure, asking = counts.asking,
            used_cores = counts.used_cores / 1000, all_cores = counts.all_cores / 1000,
            wait_limit = waits.limit, wait_advice = waits.advice, wait_adviser = waits.adviser,
            wait_room = waits.room;
            "lead: summary"
        );
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::JobsChanged(jobs) => {
                let cell = self.shared.cell();
                for job in jobs {
                    self.leader.sync(job, now, &cell.ledger);
                }
            }
            Event::ClaimRead(claim) if claim.epoch == self.epoch => {
                // The batch was read back, so it is durable even if its append is not answered.
                self.commit(claim.batch, self.last_append, now);
            }
            Event::ClaimRead(claim) if claim.epoch > self.epoch => {
                log::warn!(epoch = self.epoch, other = claim.epoch, node:% = claim.node; "lead: another instance leads");
                self.leader.depose();
            }
            Event::ClaimRead(_) => {}
            Event::MembersChanged => self.apply_members(),
            Event::OperatorsChanged => self.apply_operators(),
            Event::DirectoryChanged(change) => self.leader.on_directory(change, now),
            Event::DirectoryLoaded(entries) => self.leader.on_whole_directory(entries, now),
            Event::StartAnswered(minion, task, run, answer) => {
                self.leader.on_start(&minion, task, run, answer, now);
            }
            Event::StopAnswered(minion, task, run, answered) => {
                self.leader.on_stop(&minion, task, run, answered, now);
            }
            Event::HoldAnswered(minion, sent, answer) => {
                self.leader.on_hold(&minion, sent, answer, now);
            }
            Event::AdviceAnswered(node, step, advice) => {
                self.leader.on_advice(&node, step, advice, now);
            }
            Event::Committed(batch, sent) => self.commit(batch, sent, now),
            Event::Append(records, durable) => self.caller_records.pending.push((records, durable)),
            Event::Fenced => {
                log::warn!(epoch = self.epoch; "lead: the log has seen a higher term");
                self.leader.depose();
            }
        }
    }

    fn commit(&mut self, batch: u64, sent: Time, now: Now) {
        self.durable.fetch_max(batch, Ordering::SeqCst);
        if !self.leader.on_committed(batch, sent, now) {
            return;
        }
        for (records, durable) in std::mem::take(&mut self.caller_records.in_flight) {
            for record in records {
                self.apply_record(record, now);
            }
            // Whoever waited may have left.
            let _ = durable.try_send(());
        }
    }

    /// Takes over a caller's record as soon as it is durable, before it is read back.
    fn apply_record(&mut self, record: Record, now: Now) {
        match record {
            Record::Submitted(job, submission) => {
                let cell = self.shared.cell();
                // A job that is known may have ended in an earlier term.
                if cell.ledger.submission(job).is_some() {
                    self.leader.sync(job, now, &cell.ledger);
                } else {
                    self.leader.submit(job, &submission, now);
                }
            }
            Record::Cancelled(job) => self.leader.cancel(job, now),
            Record::Progress(..) | Record::Leader(_) | Record::Member(..) => {}
        }
    }

    fn apply_operators(&mut self) {
        let operators = self.shared.operators();
        if let Some(config) = &operators.config {
            self.leader.set_config(config);
        }
        self.leader.set_evacuated(operators.evacuated.clone());
    }

    fn apply_members(&mut self) {
        let cell = self.shared.cell();
        let members = cell.ledger.members();
        self.leader
            .set_members(members.map(|(name, _)| name.clone()).collect());
    }

    /// Appends a batch in the background, again and again until it is known to be durable.
    fn append(&mut self, batch: &Batch, now: Time) {
        self.last_append = now;
        let claim = Record::Leader(self.claim(batch.id, false));
        let mut calls = split_appends(batch, &claim);
        let first = self.sequence;
        self.sequence += calls.len() as u64;
        let (shared, events) = (Arc::clone(&self.shared), self.events.clone());
        let (epoch, durable) = (self.epoch, Arc::clone(&self.durable));
        let batch_id = batch.id;
        self.append_task = Some(task::spawn(async move {
            for (sequence, records) in (first..).zip(calls.drain(..)) {
                let id = AppendId { epoch, sequence };
                if !append_until_durable(&shared, &records, id, || {
                    durable.load(Ordering::SeqCst) >= batch_id
                })
                .await
                {
                    let _ = events.send(Event::Fenced).await;
                    return;
                }
            }
            let _ = events.send(Event::Committed(batch_id, now)).await;
        }));
    }

    fn claim(&self, batch: u64, resigned: bool) -> Claim {
        Claim {
            epoch: self.epoch,
            node: self.shared.settings.name.clone(),
            batch,
            resigned,
        }
    }

    /// Tells the others that they may take over at once.
    async fn resign(&mut self) {
        if let Some(task) = self.append_task.take() {
            let grace = Duration::from_millis(500);
            let _ = async_std::future::timeout(grace, task).await;
        }
        let claim = Record::Leader(self.claim(0, true));
        let Ok(bytes) = claim.encode() else { return };
        let id = AppendId {
            epoch: self.epoch,
            sequence: self.sequence,
        };
        let records = [(claim.key(), bytes)];
        let result = self.shared.platform.append(&records, Some(id)).await;
        log::info!(epoch = self.epoch, result:? = result; "lead: resigned");
    }
}

/// Packs the records of a batch into appends. The claim ends the last one, so that whoever reads it
/// knows that all are there.
fn split_appends(batch: &Batch, claim: &Record) -> Vec<Vec<(String, Vec<u8>)>> {
    let mut calls = vec![Vec::new()];
    let mut bytes = 0;
    let removed = batch.removed.iter().map(|key| (key.clone(), Vec::new()));
    let records = batch.records.iter().chain([claim]);
    let encoded = records.filter_map(|record| match record.encode() {
        Ok(value) => Some((record.key(), value)),
        Err(e) => {
            log::error!(key:% = record.key(), reason:% = e; "lead: record cannot be encoded");
            None
        }
    });
    for (key, value) in removed.chain(encoded) {
        bytes += key.len() + value.len();
        if bytes > MAX_APPEND_BYTES {
            calls.push(Vec::new());
            bytes = 0;
        }
        if let Some(call) = calls.last_mut() {
            call.push((key, value));
        }
    }
    calls
}

/// Appends until the records are known to be in the log. Returns whether they are; if not, another
/// term has begun.
async fn append_until_durable<P: Platform>(
    shared: &Shared<P>,
    records: &[(String, Vec<u8>)],
    id: AppendId,
    is_durable: impl Fn() -> bool,
) -> bool {
    let mut failed = false;
    while !is_durable() {
        let result = shared.platform.append(records, Some(id)).await;
        shared.metrics.record_append("lead", &result);
        match result {
            Ok(()) => {
                if failed {
                    log::info!(sequence = id.sequence; "lead: append came through");
                }
                return true;
            }
            Err(AppendError::Fenced) => return false,
            // The log has gone beyond this append, so an earlier try was carried out.
            Err(AppendError::Sequence(expected)) if expected > id.sequence => return true,
            Err(AppendError::Sequence(expected)) => {
                log::error!(expected, sequence = id.sequence; "lead: an append of this term is missing");
                return false;
            }
            Err(AppendError::Rejected(reason) | AppendError::Unknown(reason)) => {
                if !std::mem::replace(&mut failed, true) {
                    log::warn!(reason:% = reason, sequence = id.sequence; "lead: append failed, it is tried again");
                }
                task::sleep(shared.settings.retry_pause).await;
            }
        }
    }
    true
}

/// Follows the directory for as long as the instance leads.
async fn follow_directory<P: Platform>(shared: Arc<Shared<P>>, events: Sender<Event>) {
    let mut next: Option<u64> = None;
    let mut failed = false;
    loop {
        let wait = Duration::from_secs(1);
        let read = match next {
            Some(from) => shared.platform.read(Stream::Directory, from, wait).await,
            None => shared.platform.read_newest(Stream::Directory).await,
        };
        match read {
            Ok(read) => {
                if std::mem::take(&mut failed) {
                    log::info!("lead: directory is back");
                }
                if next.is_none() {
                    let entries = shared.platform.directory(&read.records);
                    let _ = events.send(Event::DirectoryLoaded(entries)).await;
                } else {
                    for record in &read.records {
                        match shared.platform.directory_change(record) {
                            Ok(change) => drop(events.send(Event::DirectoryChanged(change)).await),
                            Err(e) => {
                                log::warn!(key:% = record.key, reason:% = e; "lead: directory record left out");
                            }
                        }
                    }
                }
                next = Some(read.next.max(next.unwrap_or(0)));
                task::sleep(shared.settings.directory_pause).await;
            }
            Err(ReadError::Expired) => next = None,
            Err(ReadError::Unavailable(reason)) => {
                if !std::mem::replace(&mut failed, true) {
                    log::warn!(reason:% = reason; "lead: directory cannot be read");
                }
                task::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
