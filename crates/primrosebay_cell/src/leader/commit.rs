//! Batches of records and the actions deferred until these are durable.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::{Batch, Command, Now, Start};
use super::minion::Phase;
use crate::job::{JobKey, StepKey, TaskKey};
use crate::record::Record;

/// An action that waits until a batch is durable.
#[derive(Debug)]
pub(super) enum Deferred {
    /// Sends the start of a run, unless the task or the minion is no longer eligible.
    Start {
        minion: Name,
        task: TaskKey,
        run: u32,
        ticket: Option<Name>,
    },
    /// Acknowledges the ended runs of a minion up to this sequence number, so that the minion may
    /// forget them. A later incarnation of the minion numbers its ended runs anew.
    Ack {
        minion: Name,
        started_ms: u64,
        sequence: u64,
    },
}

impl Leader {
    /// Returns the next batch to append, or none while a batch is in flight. If nothing has
    /// changed, returns an empty batch if `due` or if the lease waits have to be durable soon, and
    /// none otherwise.
    pub fn take_batch(&mut self, due: bool) -> Option<Batch> {
        if self.in_flight.is_some() {
            return None;
        }
        let mut records = self.take_changed();
        records.extend(self.take_changed_queues());
        let removed: Vec<String> = std::mem::take(&mut self.purged)
            .into_iter()
            .flat_map(|job| ["j", "c", "p", "w"].map(|kind| format!("{kind}{job}")))
            .chain(self.withdrawals.take_expired().map(|job| format!("w{job}")))
            .collect();
        let is_empty = records.is_empty() && removed.is_empty() && self.deferred.is_empty();
        if is_empty && !due && !self.waits_due {
            return None;
        }
        records.extend(self.take_models());
        self.last_batch += 1;
        let id = self.last_batch;
        self.in_flight = Some((id, std::mem::take(&mut self.deferred)));
        let waits = self.report_waits(id);
        Some(Batch {
            id,
            records,
            removed,
            waits,
        })
    }

    /// Carries out the actions deferred until batch `id` was durable; `sent` is the time at which
    /// its append was sent. Returns whether the batch was in flight.
    pub fn on_committed(&mut self, id: u64, sent: Time, now: Now) -> bool {
        let Some((_, deferred)) = self.in_flight.take_if(|(current, _)| *current == id) else {
            return false;
        };
        self.confirmed_at = self.confirmed_at.max(sent);
        self.release_leases(id, now);
        let broken = self.broken_gangs(&deferred, now);
        for action in deferred {
            match action {
                Deferred::Ack {
                    minion,
                    started_ms,
                    sequence,
                } => {
                    let found = self.minions.get_mut(&minion);
                    if let Some(found) = found.filter(|m| m.started_ms == started_ms) {
                        found.acked_end = found.acked_end.max(sequence);
                        if found.acked_end == found.applied_end {
                            found.next_hold = now.time;
                            self.hold_next.push(minion);
                        }
                    }
                }
                Deferred::Start {
                    minion,
                    task,
                    run,
                    ticket,
                } => {
                    if broken.contains(&task.step) {
                        self.stop_run(&minion, task, run, now);
                    } else {
                        self.send_start(&minion, task, run, ticket, now);
                    }
                }
            }
        }
        true
    }

    /// Returns the gangs with a task that can no longer be started.
    fn broken_gangs(&self, deferred: &[Deferred], now: Now) -> Vec<StepKey> {
        let mut broken = Vec::new();
        for action in deferred {
            let Deferred::Start {
                minion,
                task,
                run,
                ticket,
            } = action
            else {
                continue;
            };
            let job = self.jobs.get(&task.step.job);
            let gang = job.and_then(|j| j.step(task.step)).is_some_and(|s| s.gang);
            let sendable = self.is_sendable(minion, *task, *run, ticket.as_ref(), now);
            if gang && !sendable && !broken.contains(&task.step) {
                broken.push(task.step);
            }
        }
        broken
    }

    fn is_sendable(
        &self,
        name: &Name,
        task: TaskKey,
        run: u32,
        ticket: Option<&Name>,
        now: Now,
    ) -> bool {
        let Some(minion) = self.minions.get(name) else {
            return false;
        };
        let ticket = ticket.is_none_or(|t| self.advice.is_valid(task.step, name, t, now.time));
        self.is_current(name, task, run)
            && self.may_send_starts(now)
            && minion.is_usable(now.time, &self.settings)
            && self.evacuated.binary_search(&minion.entry.zone).is_err()
            && ticket
    }

    /// Sends the start of a run again that had no answer, or stops the run after
    /// [`start_attempts`](super::Settings::start_attempts).
    ///
    /// The minion carries out one of the starts, so the task needs no run on another minion beside
    /// which a late start might begin.
    pub(super) fn repeat_start(&mut self, name: &Name, task: TaskKey, run: u32, now: Now) {
        let known_run = self.minions.get(name).and_then(|m| m.run(task, run));
        let Some((attempts, ticket)) = known_run.map(|r| (r.attempts, r.ticket.clone())) else {
            return;
        };
        if attempts.count < self.settings.start_attempts && self.may_repeat(name, task.step.job) {
            self.send_start(name, task, run, ticket, now);
        } else {
            self.stop_run(name, task, run, now);
        }
    }

    /// Returns whether the configuration still lets tasks of the job start on the minion.
    fn may_repeat(&self, name: &Name, job: JobKey) -> bool {
        let Some((minion, job)) = self.minions.get(name).zip(self.jobs.get(&job)) else {
            return false;
        };
        let queue = self.queues.get(&job.queue);
        queue.is_some_and(|q| q.service == minion.entry.service)
            && job.account.as_ref().is_none_or(|a| !self.exceeds_limit(a))
    }

    fn send_start(&mut self, name: &Name, task: TaskKey, run: u32, ticket: Option<Name>, now: Now) {
        if !self.is_sendable(name, task, run, ticket.as_ref(), now) {
            log::info!(task:% = task, run, minion:% = name; "leader: start abandoned, task or minion no longer eligible");
            self.stop_run(name, task, run, now);
            return;
        }
        let checkpoint = self.checkpoint(task);
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let payload = job.spec.payload.clone();
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let clock = minion.min_clock(now.time).unwrap_or(0);
        let until_ms = clock.saturating_add(self.settings.start_ttl_ms);
        let expiry = now.time + self.settings.upper_ms(self.settings.start_ttl_ms);
        minion.expiry = minion.expiry.max(expiry);
        let address = minion.entry.address.clone();
        let (token, generation) = (minion.token(self.epoch), minion.generations.current());
        minion.generations.bind();
        let late_until = now.time + self.settings.late_start_ms;
        let Some(known_run) = minion.find_run(task, run) else {
            return;
        };
        known_run.phase = Phase::Sent;
        known_run.attempts.send(late_until);
        known_run.updated_at = now.time;
        known_run.until_ms = until_ms;
        known_run.generation = generation;
        known_run.resumed = !checkpoint.is_empty();
        let attempt = known_run.attempts.count;
        log::info!(
            task:% = task, run, minion:% = name, epoch = self.epoch, attempt,
            resumed = !checkpoint.is_empty();
            "leader: start sent"
        );
        self.commands.push(Command::Start(Start {
            minion: name.clone(),
            address,
            token,
            task,
            run,
            payload,
            until_ms,
            ticket,
            checkpoint,
        }));
    }

    fn checkpoint(&self, task: TaskKey) -> Name {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return Name::default();
        };
        if job.step(task.step).is_some_and(|s| s.gang) {
            return job.gang_checkpoint(task.step);
        }
        let position = job.spec.position(task);
        position
            .and_then(|position| job.tasks.get(position))
            .map(|t| t.checkpoint.clone())
            .unwrap_or_default()
    }

    /// Returns the records of queues with jobs that differ from those in the log.
    fn take_changed_queues(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for name in std::mem::take(&mut self.unsaved_queues) {
            let Some(queue) = self.queues.get(&name) else {
                continue;
            };
            if self.saved_queues.get(&name) != Some(queue) {
                self.saved_queues.insert(name, queue.clone());
                records.push(Record::Queue(queue.clone()));
            }
        }
        records
    }

    /// Returns the records of changed jobs, and removes jobs that have ended from the active ones.
    fn take_changed(&mut self) -> Vec<Record> {
        let mut unsaved = std::mem::take(&mut self.changes.unsaved);
        unsaved.sort_unstable();
        let mut records = Vec::with_capacity(unsaved.len());
        let mut ended = Vec::new();
        for key in unsaved {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            job.is_dirty = false;
            records.push(Record::Progress(key, job.progress(self.epoch)));
            if job.outcome.is_some() && !job.has_placed_tasks() {
                ended.push(key);
            }
        }
        for key in ended {
            self.jobs.remove(&key);
            self.ready.remove_job(key);
            self.advice.remove_job(key);
            self.ended_jobs.insert(key, ());
        }
        records
    }
}
