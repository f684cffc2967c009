//! What waits until a change is durable.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::{Batch, Command, Now, Start};
use super::minion::Phase;
use crate::job::{StepKey, TaskKey};
use crate::record::Record;

/// Something that is done once a batch is durable.
#[derive(Debug)]
pub(super) enum Gate {
    /// Send a start.
    Start {
        minion: Name,
        task: TaskKey,
        run: u32,
        ticket: Option<Name>,
    },
    /// Let the minion forget its ends up to this one.
    Ack { minion: Name, number: u64 },
}

impl Leader {
    /// Returns the records to append next, or nothing while a batch is in flight. If all is durable
    /// there is a batch, without records, only if `due`.
    pub fn take_batch(&mut self, due: bool) -> Option<Batch> {
        if self.in_flight.is_some() {
            return None;
        }
        let records = self.changed();
        let removed: Vec<String> = std::mem::take(&mut self.removed)
            .into_iter()
            .flat_map(|job| [format!("j{job}"), format!("c{job}"), format!("p{job}")])
            .collect();
        let nothing = records.is_empty() && removed.is_empty() && self.gates.is_empty();
        if nothing && !due {
            return None;
        }
        self.batches += 1;
        let id = self.batches;
        self.in_flight = Some((id, std::mem::take(&mut self.gates)));
        Some(Batch {
            id,
            records,
            removed,
        })
    }

    /// Goes on with what waited for a batch, whose append was sent at `sent`. Returns whether the
    /// batch was in flight.
    pub fn on_committed(&mut self, id: u64, sent: Time, now: Now) -> bool {
        let Some((_, gates)) = self.in_flight.take_if(|(known, _)| *known == id) else {
            return false;
        };
        self.confirmed = self.confirmed.max(sent);
        let broken = self.broken_steps(&gates, now);
        for gate in gates {
            match gate {
                Gate::Ack { minion, number } => {
                    if let Some(minion) = self.minions.get_mut(&minion) {
                        minion.acked = minion.acked.max(number.min(minion.noted));
                        if minion.acked == minion.noted {
                            minion.next_hold = now.time;
                        }
                    }
                }
                Gate::Start {
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

    /// Returns the gangs of which a member can no longer be started.
    fn broken_steps(&self, gates: &[Gate], now: Now) -> Vec<StepKey> {
        let mut broken = Vec::new();
        for gate in gates {
            let Gate::Start {
                minion,
                task,
                run,
                ticket,
            } = gate
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
        let ticket = ticket.is_none_or(|t| self.advisers.is_valid(task.step, name, t, now.time));
        self.is_current(name, task, run)
            && minion.is_usable(now.time, &self.settings)
            && self.evacuated.binary_search(&minion.entry.zone).is_err()
            && ticket
    }

    fn send_start(&mut self, name: &Name, task: TaskKey, run: u32, ticket: Option<Name>, now: Now) {
        if !self.is_sendable(name, task, run, ticket.as_ref(), now) {
            log::info!(task:% = task, run, minion:% = name; "leader: start is no longer possible");
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
        let until = minion.clock_at(now.time).unwrap_or(0) + self.settings.start_ttl_ms;
        let lapse = now.time + self.settings.upper_ms(self.settings.start_ttl_ms);
        minion.lapse = minion.lapse.max(lapse);
        let address = minion.entry.address.clone();
        let Some(known) = minion.find(task, run) else {
            return;
        };
        known.phase = Phase::Sent;
        known.since = now.time;
        log::info!(
            task:% = task, run, minion:% = name, epoch = self.epoch, resumed = !checkpoint.is_empty();
            "leader: start sent"
        );
        self.commands.push(Command::Start(Start {
            minion: name.clone(),
            address,
            task,
            run,
            payload,
            until,
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
        let at = job.spec.position(task);
        at.and_then(|at| job.tasks.get(at))
            .map(|t| t.checkpoint.clone())
            .unwrap_or_default()
    }

    /// Returns the records of jobs whose state has changed, and drops those that have ended.
    fn changed(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        let mut ended = Vec::new();
        for (key, job) in self.jobs.iter_mut() {
            if !job.dirty {
                continue;
            }
            job.dirty = false;
            records.push(Record::Progress(*key, job.progress(self.epoch)));
            if job.outcome.is_some() && !job.is_placed() {
                ended.push(*key);
            }
        }
        for key in ended {
            self.jobs.remove(&key);
            self.advisers.forget(key);
            self.ended.insert(key, ());
        }
        records
    }
}
