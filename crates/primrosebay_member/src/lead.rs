//! Runs a term of leadership: feeds events to the scheduler, executes its commands and appends its
//! batches.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::channel::{Receiver, Sender, bounded, unbounded};
use async_std::task::{self, JoinHandle};
use primrosebay_cell::carriers::Instance;
use primrosebay_cell::job::{JobKey, StepKey, TaskKey};
use primrosebay_cell::leader::{
    Advice, Batch, DirectoryChange, DirectoryEntry, HoldAnswer, IdleCounts, Leader, Now,
    StartAnswer,
};
use primrosebay_cell::record::{Claim, LeaseWaits, Member, Record};
use primrosebay_cell::terms::Term;
use primrosebay_state::Name;
use primrosebay_state::time::Time;

use crate::commands;
use crate::log_limit::LogLimit;
use crate::peer::{self, CarryRequest, TermQuestion};
use crate::platform::{AppendError, AppendId, Platform, ReadError, Stream};
use crate::shared::{CellState, Shared};
use crate::submit::ForwardResult;

/// Maximum size of one append in bytes, below the limit of the platform.
const MAX_APPEND_BYTES: usize = 1_000_000;

/// Interval of the summary in log and metrics.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the lines about run times, in milliseconds. They change slowly.
const DURATIONS_MS: u64 = 10_000;

/// Maximum number of idle jobs that are logged with each summary.
const MAX_IDLE_JOBS: usize = 20;

/// Interval at which the links to carriers are checked, in milliseconds.
const LINK_CHECK_MS: u64 = 100;

/// Interval at which instances that led earlier terms are asked whether these have ended, in
/// milliseconds.
const TERM_CHECK_MS: u64 = 250;

/// Timeout of such a question.
const TERM_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which minions that have left are removed from the links, in milliseconds.
const LINK_CLEANUP_MS: u64 = 60_000;

/// Minimum time between two polls of a carrier, in milliseconds.
const MIN_POLL_GAP_MS: u64 = 5;

/// Timeout of the request to carry commands.
const CARRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Input of the leader.
#[derive(Debug)]
pub(crate) enum Event {
    /// Submissions or cancellations of these jobs were read from the log.
    JobsChanged(Vec<JobKey>),
    /// A claim, of this term or another, was read from the log.
    ClaimRead(Claim),
    /// Announcements of instances were read from the log.
    MembersChanged,
    /// The configuration or the set of evacuated zones may have changed.
    OperatorsChanged,
    /// A minion was added, changed or removed in the directory.
    DirectoryChanged(DirectoryChange),
    /// The whole directory was read; it replaces the known one.
    DirectoryLoaded(Vec<DirectoryEntry>),
    /// The start of a run, given by minion, task and run number, was answered or timed out.
    StartAnswered(Name, TaskKey, u32, StartAnswer),
    /// The stop of a run was sent to its minion; the last field tells whether it was acknowledged.
    StopAnswered(Name, TaskKey, u32, bool),
    /// A hold, sent to a minion at the given time, was answered or failed.
    HoldAnswered(Name, Time, HoldAnswer),
    /// A call of an instance to the advice service for a step was answered; `None` if it failed.
    AdviceAnswered(Name, StepKey, Option<Advice>),
    /// The leader of an earlier term sends no more commands.
    TermEnded(u64),
    /// Another instance has the durable claim of this higher term.
    Superseded(u64),
    /// A batch is durable; its append was sent at the given time.
    Committed(u64, Time),
    /// The log rejected an append of this term.
    Fenced,
    /// Records of callers to append with the next batch. The sender is notified once they are
    /// durable, and dropped if the term ends before.
    Append(Vec<Record>, Sender<()>),
}

/// Passes records to the local leader for appending and waits for the result. Returns
/// [`ForwardResult::Not`] if this instance does not lead.
pub(crate) async fn append<P: Platform>(
    shared: &Shared<P>,
    records: Vec<Record>,
    timeout: Duration,
) -> ForwardResult {
    if !shared.is_leading() {
        return ForwardResult::Not;
    }
    let (ack, receiver) = bounded(1);
    shared.notify_leader(|| Event::Append(records, ack));
    // If the term ends, the sender is dropped and the records may or may not be in the log.
    match async_std::future::timeout(timeout, receiver.recv()).await {
        Ok(Ok(())) => ForwardResult::Durable,
        Ok(Err(_)) | Err(_) => ForwardResult::Unknown,
    }
}

/// Records of callers that are not yet durable, each group with the channel that acknowledges it.
#[derive(Debug, Default)]
struct CallerRecords {
    /// Records for the next batch.
    pending: Vec<(Vec<Record>, Sender<()>)>,
    /// Records of the batch in flight.
    in_flight: Vec<(Vec<Record>, Sender<()>)>,
}

/// What the leader has done since the last summary.
#[derive(Debug, Default)]
struct Work {
    /// Number of events handled.
    events: u64,
    /// Time spent on events.
    handling: Duration,
    /// Number of passes.
    passes: u64,
    /// Time spent in passes.
    passing: Duration,
    /// Number of durable batches.
    batches: u64,
    /// Time from the sending of an append until the leader knew that it was durable, summed over
    /// batches, in milliseconds.
    append_ms: u64,
    /// Number of callers' records that became durable.
    records: u64,
}

/// The leader's state during one term of this instance.
#[derive(Debug)]
struct TermLeader<P> {
    shared: Arc<Shared<P>>,
    leader: Leader,
    epoch: u64,
    events: Sender<Event>,
    /// The sequence number of the next append.
    sequence: u64,
    /// The number of the last durable batch. The append task retries only later batches.
    durable_batch: Arc<AtomicU64>,
    append_task: Option<JoinHandle<()>>,
    last_append: Time,
    caller_records: CallerRecords,
    /// Whether to hand over to a larger instance.
    handover: Arc<AtomicBool>,
    started: Time,
    /// When the last summary was logged.
    last_summary: Time,
    /// When the run times of the queues were last logged.
    last_durations: Time,
    work: Work,
    /// When the links to carriers are checked next.
    link_check: Time,
    /// When the minions that have left are removed from the links next.
    link_cleanup: Time,
    /// When the instances that led earlier terms are asked next.
    term_check: Time,
}

/// Leads the cell until a higher term is seen, a larger instance can take over or this instance
/// stops. The claim of the term was sent at `claimed`.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, epoch: u64, claimed: Time) {
    let (events, receiver) = unbounded();
    shared.links.begin(epoch, &shared.settings);
    shared.set_leader_events(Some(events.clone()));
    log::info!(epoch; "lead: term started");
    let now = shared.now();
    let settings = shared.settings.leader.clone();
    let name = shared.settings.name.clone();
    let leader = {
        let cell = shared.cell();
        let mut leader = Leader::new(epoch, name, now, &cell.ledger, settings);
        leader.inherit(claimed, earlier_terms(&shared, &cell, epoch, now.time));
        leader
    };
    let counts = leader.counts(now);
    log::info!(
        epoch, jobs = counts.jobs, runs = counts.runs, minions = counts.minions,
        lease_wait_ms = counts.lease_wait_ms;
        "lead: jobs taken over"
    );
    let directory = task::spawn(follow_directory(Arc::clone(&shared), events.clone()));
    let mut term = TermLeader {
        shared: Arc::clone(&shared),
        leader,
        epoch,
        events,
        // The claim was append 0 of the term.
        sequence: 1,
        durable_batch: Arc::new(AtomicU64::new(0)),
        append_task: None,
        last_append: now.time,
        last_summary: now.time,
        last_durations: now.time,
        work: Work::default(),
        caller_records: CallerRecords::default(),
        handover: Arc::new(AtomicBool::new(false)),
        started: now.time,
        link_check: now.time,
        link_cleanup: now.time + LINK_CLEANUP_MS,
        term_check: now.time,
    };
    term.apply_operators();
    if shared.operators().caught_up.is_none() {
        log::warn!(epoch; "lead: no configuration read yet, tasks start after that");
    }
    term.apply_members();
    term.process_events(&receiver).await;
    shared.links.end();
    shared.set_leader_events(None);
    shared.metrics.record_idle(&IdleCounts::default());
    directory.cancel().await;
    if let Some(task) = term.append_task.take() {
        task.cancel().await;
    }
    log::info!(epoch; "lead: term ended");
}

/// Returns the terms before that of `epoch`. Those that this process or an earlier one at the same
/// address led have ended.
fn earlier_terms<P: Platform>(
    shared: &Shared<P>,
    cell: &CellState,
    epoch: u64,
    now: Time,
) -> Vec<Term> {
    let own = shared.own_process();
    let mut terms = cell.terms.before(epoch);
    for term in &mut terms {
        let process = &term.claim.process;
        let is_own = process.id != 0
            && (process.id == own.id
                || process.address == own.address && term.claim.node == shared.settings.name);
        if is_own && term.ended.is_none() {
            term.ended = Some(now);
        }
    }
    terms
}

/// Rounds a number for the log.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

impl<P: Platform> TermLeader<P> {
    /// Handles events and runs scheduling passes until the term ends.
    async fn process_events(&mut self, receiver: &Receiver<Event>) {
        loop {
            let tick = self.shared.settings.tick_interval;
            let first = async_std::future::timeout(tick, receiver.recv()).await;
            if let Ok(Ok(event)) = first {
                self.handle_all([event]);
                // Collects events that arrive shortly after, to handle them in one pass.
                task::sleep(self.shared.settings.batch_delay).await;
            }
            self.handle_all(std::iter::from_fn(|| receiver.try_recv().ok()));
            if self.leader.is_deposed() {
                return;
            }
            if self.shared.is_stopping() || self.handover.load(Ordering::SeqCst) {
                self.resign().await;
                return;
            }
            let begin = Instant::now();
            self.run_pass();
            self.work.passes += 1;
            self.work.passing += begin.elapsed();
        }
    }

    fn handle_all(&mut self, events: impl IntoIterator<Item = Event>) {
        let begin = Instant::now();
        for event in events {
            self.handle(event);
            self.work.events += 1;
        }
        self.work.handling += begin.elapsed();
    }

    /// Runs one scheduling pass: executes the resulting commands, appends a batch if one is due and
    /// logs the summary once per interval.
    fn run_pass(&mut self) {
        let now = self.shared.now();
        if now.time >= self.link_check {
            self.check_links(now);
        }
        if now.time >= self.term_check {
            self.check_terms(now);
        }
        for command in self.leader.tick(now) {
            let (links, settings) = (&self.shared.links, &self.shared.settings);
            if let Some(command) = links.send(command, now.time, settings) {
                commands::spawn(&self.shared, &self.events, command);
            }
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
            let cell = self.shared.cell();
            self.leader.prune_withdrawn(&cell.ledger, now);
            drop(cell);
            if now.time.since(self.started) >= millis(self.shared.settings.handover_delay) {
                self.probe_larger();
            }
        }
    }

    /// Gives up commands that carriers have not answered in time, and replaces lost carriers.
    fn check_links(&mut self, now: Now) {
        self.link_check = now.time + LINK_CHECK_MS;
        if now.time >= self.link_cleanup {
            self.link_cleanup = now.time + LINK_CLEANUP_MS;
            let links = &self.shared.links;
            links.retain_minions(|name| self.leader.has_minion(name));
        }
        let (events, lost, chosen) = self.shared.links.sweep(now.time);
        if !events.is_empty() {
            log::info!(epoch = self.epoch, commands = events.len(); "lead: commands given up that carriers have not answered");
        }
        for event in events {
            self.handle(event);
        }
        for (carrier, loss) in lost {
            log::warn!(epoch = self.epoch, carrier:% = carrier, reason:? = loss; "lead: carrier lost, its minions go to others");
        }
        if chosen.is_empty() {
            return;
        }
        let (carriers, _) = self.shared.links.counts();
        let gap_ms = millis(self.shared.settings.poll_gap) * carriers as u64;
        let request = CarryRequest {
            epoch: self.epoch,
            leader: self.shared.own_member(),
            gap_ms: gap_ms.max(MIN_POLL_GAP_MS),
        };
        let members: Vec<(Name, Member)> = {
            let cell = self.shared.cell();
            let members = cell.ledger.members();
            members.map(|(n, m)| (n.clone(), m.clone())).collect()
        };
        for name in chosen {
            let found = members.binary_search_by(|(n, _)| n.cmp(&name));
            let Ok(target) = found.map(|index| members[index].1.clone()) else {
                continue;
            };
            log::info!(epoch = self.epoch, carrier:% = name, zone:% = target.zone, cores_milli = target.cores_milli; "lead: carrier chosen");
            let (shared, request) = (Arc::clone(&self.shared), request.clone());
            task::spawn(async move {
                let client = &shared.peer_client;
                let asked = peer::ask_to_carry(client, &target, &request, CARRY_TIMEOUT).await;
                if let Err(reason) = asked {
                    log::warn!(epoch = request.epoch, carrier:% = name, reason:% = reason; "lead: carrier does not answer");
                }
            });
        }
    }

    /// Asks the instances that led earlier terms whether these have ended, while tasks of silent
    /// minions wait for it.
    fn check_terms(&mut self, now: Now) {
        self.term_check = now.time + TERM_CHECK_MS;
        for (earlier, node, process) in self.leader.unproven_terms(now) {
            let secret = {
                let cell = self.shared.cell();
                let mut members = cell.ledger.members();
                let member = members.find(|(name, _)| **name == node);
                member.map(|(_, m)| m.secret.clone())
            };
            let Some(secret) = secret.filter(|_| process.id != 0) else {
                continue;
            };
            let (shared, events, epoch) =
                (Arc::clone(&self.shared), self.events.clone(), self.epoch);
            let question = TermQuestion {
                epoch: earlier,
                successor: epoch,
            };
            task::spawn(async move {
                let client = &shared.peer_client;
                let leader = (node, process);
                let asked = peer::has_term_ended(client, &leader, secret, question, TERM_TIMEOUT);
                match asked.await {
                    Ok(true) => {
                        // Sending fails only after the term has ended.
                        let _ = events.send(Event::TermEnded(earlier)).await;
                    }
                    Ok(false) => {}
                    Err(reason) => {
                        log::debug!(epoch, earlier, node:% = leader.0, reason:% = reason; "lead: leader of an earlier term does not answer");
                    }
                }
            });
        }
    }

    /// Starts a background search for an instance that has at least twice the CPU share and can
    /// reach the log. If there is one, the leader hands over to it.
    fn probe_larger(&self) {
        let own = self.shared.settings.cores_milli;
        let members: Vec<Member> = {
            let cell = self.shared.cell();
            let members = cell.ledger.members().map(|(_, m)| m);
            members
                .filter(|m| m.cores_milli / 2 >= own)
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
                    log::info!(address:% = member.address, cores_milli = member.cores_milli; "lead: handing over to a larger instance");
                    handover.store(true, Ordering::SeqCst);
                    return;
                }
            }
        });
    }

    /// Logs a summary of the scheduler's state and updates the metrics.
    fn summarize(&mut self, now: Now) {
        let work = std::mem::take(&mut self.work);
        let delays = self.shared.links.take_delays();
        let counts = self.leader.counts(now);
        self.shared.metrics.record_leader(&counts);
        let idle = self.leader.report_idle(MAX_IDLE_JOBS, now);
        self.shared.metrics.record_idle(&idle.counts);
        let preempted = self.leader.take_preemptions();
        self.shared.metrics.record_preemptions(&preempted);
        let preempted_total = preempted.total();
        let waits = counts.blocked;
        let usage = self.leader.take_call_usage();
        self.shared.metrics.record_calls(&usage);
        let (carriers, carried) = self.shared.links.counts();
        log::info!(
            epoch = self.epoch, jobs = counts.jobs, runs = counts.runs, usable = counts.usable,
            minions = counts.minions, unsure = counts.unconfirmed, stopping = counts.stopping,
            unstopped = counts.unstopped, asking = counts.advice_calls,
            used_cores = counts.used_milli / 1000, all_cores = counts.total_milli / 1000,
            wait_limit = waits.limit, wait_advice = waits.advice, wait_adviser = waits.advice_client,
            wait_room = waits.capacity, unexamined = waits.unexamined, examined = waits.examined,
            charged_cores = waits.charged_milli / 1000, silent_runs = counts.silent_runs,
            lease_wait_ms = counts.lease_wait_ms, idle = idle.counts.jobs,
            idle_ms = idle.counts.longest_ms, idle_causes:% = idle.counts, carriers, carried,
            preempted = preempted_total.runs, preempted_at_limit = preempted_total.limited,
            preempted_again = preempted_total.repeated, preempted_by:% = preempted,
            preempted_work = preempted_total.lost_work,
            advice_usage:% = usage,
            events = work.events, event_ms = millis(work.handling), passes = work.passes,
            pass_ms = millis(work.passing), batches = work.batches,
            append_ms = work.append_ms / work.batches.max(1), records = work.records,
            fetch_ms = delays.fetch_ms / delays.fetched.max(1),
            start_ms = delays.start_ms / delays.started.max(1);
            "lead: summary"
        );
        idle.log(self.epoch);
        self.report_durations(now);
    }

    /// Reports what is known of the run times of each queue, if it is time.
    fn report_durations(&mut self, now: Now) {
        if now.time.since(self.last_durations) < DURATIONS_MS {
            return;
        }
        self.last_durations = now.time;
        for known in self.leader.durations() {
            self.shared.metrics.record_durations(&known);
            log::info!(
                epoch = self.epoch, queue:% = known.queue, factor = rounded(known.factor),
                slope = rounded(known.slope), spread = rounded(known.spread),
                steps = rounded(known.steps);
                "lead: run times"
            );
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::JobsChanged(jobs) => {
                let cell = self.shared.cell();
                for job in jobs {
                    self.leader.sync_job(job, now, &cell.ledger);
                }
            }
            Event::ClaimRead(claim) if claim.epoch == self.epoch => {
                // The claim ends its batch, so the batch is durable even without an answer to its
                // append.
                self.commit(claim.batch, self.last_append, now);
            }
            Event::ClaimRead(claim) if claim.epoch > self.epoch => {
                log::warn!(epoch = self.epoch, other = claim.epoch, node:% = claim.node; "lead: deposed by a claim of a higher term");
                self.leader.depose();
            }
            Event::ClaimRead(_) => {}
            Event::MembersChanged => self.apply_members(),
            Event::OperatorsChanged => self.apply_operators(),
            Event::DirectoryChanged(change) => {
                if let DirectoryChange::Listed(entry) = &change {
                    self.shared.links.set_minion(&entry.name, &entry.zone);
                }
                self.leader.on_directory(change, now);
            }
            Event::DirectoryLoaded(entries) => {
                for entry in &entries {
                    self.shared.links.set_minion(&entry.name, &entry.zone);
                }
                // Carriers are chosen before the first command to any of these minions.
                self.link_check = now.time;
                self.leader.on_directory_snapshot(entries, now);
            }
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
            Event::TermEnded(earlier) => self.leader.on_term_ended(earlier, now),
            Event::Superseded(epoch) => {
                if epoch > self.epoch {
                    log::warn!(epoch = self.epoch, other = epoch; "lead: deposed by the question of a successor");
                    self.leader.depose();
                }
            }
            Event::Committed(batch, sent) => self.commit(batch, sent, now),
            Event::Append(records, ack) => self.caller_records.pending.push((records, ack)),
            Event::Fenced => {
                log::warn!(epoch = self.epoch; "lead: append refused by the log, ending the term");
                self.leader.depose();
            }
        }
    }

    /// Completes a durable batch: passes its records to the scheduler and acknowledges the callers'
    /// records.
    fn commit(&mut self, batch: u64, sent: Time, now: Now) {
        self.durable_batch.fetch_max(batch, Ordering::SeqCst);
        if !self.leader.on_committed(batch, sent, now) {
            return;
        }
        self.work.batches += 1;
        self.work.append_ms += now.time.since(sent);
        for (records, ack) in std::mem::take(&mut self.caller_records.in_flight) {
            self.work.records += records.len() as u64;
            for record in records {
                self.apply_record(record, now);
            }
            // The caller may have stopped waiting.
            let _ = ack.try_send(());
        }
    }

    /// Passes a caller's durable record to the scheduler without waiting until it is read back.
    fn apply_record(&mut self, record: Record, now: Now) {
        match record {
            Record::Submitted(job, submission) => {
                let cell = self.shared.cell();
                // A job that is already in the ledger may have ended in an earlier term.
                if cell.ledger.submission(job).is_some() {
                    self.leader.sync_job(job, now, &cell.ledger);
                } else if !cell.ledger.is_withdrawn(job, &submission.owner()) {
                    self.leader.submit(job, &submission, now);
                }
            }
            Record::Cancelled(job) => self.leader.cancel(job, now),
            Record::Progress(..)
            | Record::Leader(_)
            | Record::Member(..)
            | Record::Queue(_)
            | Record::Durations(..)
            // The job is cancelled once its submission and this record have been read back.
            | Record::Withdrawn(..) => {}
        }
    }

    /// Passes the operators' records to the scheduler once all of them are known: a part of them may
    /// lack a zone that is out of service.
    fn apply_operators(&mut self) {
        let operators = self.shared.operators();
        if operators.caught_up.is_none() {
            return;
        }
        self.leader.set_evacuated(operators.evacuated.clone());
        if let Some(config) = &operators.scheduling {
            self.leader.set_config(config);
        }
    }

    fn apply_members(&mut self) {
        let cell = self.shared.cell();
        let members = cell.ledger.members();
        let instances = members.map(|(name, member)| Instance {
            name: name.clone(),
            zone: member.zone.clone(),
            cores_milli: member.cores_milli,
        });
        let instances: Vec<Instance> = instances.collect();
        let names = instances.iter().map(|i| i.name.clone());
        self.leader.set_members(names.collect());
        self.shared.links.set_instances(instances);
    }

    /// Appends a batch in the background, with retries until it is known to be durable.
    fn append(&mut self, batch: &Batch, now: Time) {
        self.last_append = now;
        let claim = Record::Leader(self.claim(batch.id, false, batch.waits.clone()));
        let mut calls = split_appends(batch, &claim);
        let first = self.sequence;
        self.sequence += calls.len() as u64;
        let (shared, events) = (Arc::clone(&self.shared), self.events.clone());
        let (epoch, durable_batch) = (self.epoch, Arc::clone(&self.durable_batch));
        let batch_id = batch.id;
        self.append_task = Some(task::spawn(async move {
            for (sequence, records) in (first..).zip(calls.drain(..)) {
                let id = AppendId { epoch, sequence };
                if !append_until_durable(&shared, &records, id, || {
                    durable_batch.load(Ordering::SeqCst) >= batch_id
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

    /// Returns the claim record that ends a batch.
    fn claim(&self, batch: u64, resigned: bool, waits: LeaseWaits) -> Claim {
        Claim {
            epoch: self.epoch,
            node: self.shared.settings.name.clone(),
            batch,
            resigned,
            process: self.shared.own_process(),
            waits,
        }
    }

    /// Appends a claim marked as resigned, so that another instance can claim the leadership at
    /// once. Before that, waits a short time for the append in flight.
    async fn resign(&mut self) {
        if let Some(task) = self.append_task.take() {
            let grace = Duration::from_millis(500);
            let _ = async_std::future::timeout(grace, task).await;
        }
        let waits = self.leader.last_waits();
        let claim = Record::Leader(self.claim(0, true, waits));
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

/// Splits the records of a batch into appends. The claim is the last record, so a reader of the
/// claim knows that the batch is complete.
fn split_appends(batch: &Batch, claim: &Record) -> Vec<Vec<(String, Vec<u8>)>> {
    let mut calls = vec![Vec::new()];
    let mut bytes = 0;
    let removed = batch.removed.iter().map(|key| (key.clone(), Vec::new()));
    let records = batch.records.iter().chain([claim]);
    let encoded = records.filter_map(|record| match record.encode() {
        Ok(value) => Some((record.key(), value)),
        Err(e) => {
            log::error!(key:% = record.key(), reason:% = e; "lead: cannot encode record");
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

/// Retries an append until its records are known to be durable. Returns false if the log rejects
/// the append because of its term or sequence.
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
                    log::info!(sequence = id.sequence; "lead: retried append succeeded");
                }
                return true;
            }
            Err(AppendError::Fenced) => return false,
            // The log expects a later append, so an earlier attempt has succeeded.
            Err(AppendError::Sequence(expected)) if expected > id.sequence => return true,
            Err(AppendError::Sequence(expected)) => {
                log::error!(expected, sequence = id.sequence; "lead: an earlier append of this term is missing");
                return false;
            }
            Err(AppendError::Rejected(reason) | AppendError::Unknown(reason)) => {
                if !std::mem::replace(&mut failed, true) {
                    log::warn!(reason:% = reason, sequence = id.sequence; "lead: append failed, retrying");
                }
                task::sleep(shared.settings.retry_pause).await;
            }
        }
    }
    true
}

/// Follows the directory of minions until the task is cancelled at the end of the term.
async fn follow_directory<P: Platform>(shared: Arc<Shared<P>>, events: Sender<Event>) {
    let mut next: Option<u64> = None;
    let mut unreachable = false;
    let mut log_limit = LogLimit::default();
    loop {
        let wait = Duration::from_secs(1);
        let read = match next {
            Some(from) => shared.platform.read(Stream::Directory, from, wait).await,
            None => shared.platform.read_newest(Stream::Directory).await,
        };
        match read {
            Ok(read) => {
                if std::mem::take(&mut unreachable) {
                    log::info!("lead: directory is readable again");
                }
                let platform = &shared.platform;
                let mut changes = platform.directory_changes(&read.records, &mut log_limit);
                if next.is_none() {
                    let listed =
                        changes.extract_if(.., |c| matches!(c, DirectoryChange::Listed(_)));
                    let entries = listed.filter_map(|change| match change {
                        DirectoryChange::Listed(entry) => Some(entry),
                        _ => None,
                    });
                    let entries = entries.collect();
                    let _ = events.send(Event::DirectoryLoaded(entries)).await;
                }
                for change in changes {
                    let _ = events.send(Event::DirectoryChanged(change)).await;
                }
                next = Some(read.next.max(next.unwrap_or(0)));
                task::sleep(shared.settings.directory_pause).await;
            }
            Err(ReadError::Expired) => next = None,
            Err(ReadError::Unavailable(reason)) => {
                if !std::mem::replace(&mut unreachable, true) {
                    log::warn!(reason:% = reason; "lead: cannot read directory");
                }
                task::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
