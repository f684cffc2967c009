//! Snapshots of the zone's live jobs.

use primrosebay_state::id::TaskId;
use primrosebay_state::record::{Item, Piece};
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::State;

impl Coordinator {
    /// Returns what a reader needs that starts after the records of the zone's live jobs have been
    /// dropped. Jobs that are not in the log yet are left out; their own records are still to come.
    #[must_use]
    pub fn snapshot(&self) -> Vec<Item> {
        let terms = self.opened.iter().map(|(zone, epoch)| Item::Opened {
            zone: zone.clone(),
            epoch: *epoch,
        });
        let live = self.jobs.all.iter().filter(|(_, job)| {
            job.logged && job.home == self.zone && job.moving.is_none() && !job.is_ended()
        });
        let jobs = live.map(|(id, job)| {
            let mut ended = Vec::new();
            let mut starting = Vec::new();
            for (index, task) in (0..).zip(&job.tasks) {
                match &task.state {
                    State::Ended { outcome, .. } => ended.push((index, *outcome)),
                    // The record may be before the snapshot although its answer is not here yet.
                    State::Recording(_) => starting.push(index),
                    _ if task.started => starting.push(index),
                    _ => {}
                }
            }
            Item::Job {
                job: *id,
                zone: job.home.clone(),
                spec: Box::new(job.spec.clone()),
                ended,
                starting,
                cancelled: job.cancelled.is_some(),
            }
        });
        terms.chain(jobs).collect()
    }

    /// Takes what the snapshot knows and this reader does not. A job that is known was read with all
    /// its records. Each item is complete in itself, so pieces need not be put together.
    pub(super) fn read_snapshot(&mut self, now: Time, piece: &Piece) {
        for item in &piece.items {
            match item {
                Item::Opened { zone, epoch } => {
                    let latest = self.opened.or_insert(zone.clone(), *epoch);
                    *latest = (*latest).max(*epoch);
                }
                Item::Job {
                    job,
                    zone,
                    spec,
                    ended,
                    starting,
                    cancelled,
                } if self.job(*job).is_none() => {
                    self.read_accepted(now, *job, zone, spec);
                    for index in starting {
                        let task = self.jobs.task_mut(TaskId {
                            job: *job,
                            index: *index,
                        });
                        if let Some(task) = task {
                            task.started = true;
                        }
                    }
                    for (index, outcome) in ended {
                        let task = TaskId {
                            job: *job,
                            index: *index,
                        };
                        self.read_finished(now, task, *outcome);
                    }
                    if *cancelled {
                        self.read_cancelled(now, *job);
                    }
                }
                Item::Job { .. } => {}
            }
        }
    }
}
