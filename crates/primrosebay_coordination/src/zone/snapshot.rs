//! Snapshots of the zone's live jobs.

use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::record::{JobSnapshotPart, SnapshotItem};
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::{Job, State};

impl Coordinator {
    /// Returns the items that a reader needs if the records of the zone's live jobs, and of the
    /// ended jobs that these wait for, have been dropped from the log before it starts. Jobs that
    /// are not in the log yet are left out, because their own records will follow.
    #[must_use]
    pub fn snapshot(&self) -> Vec<SnapshotItem> {
        let terms = self
            .recorded_epochs
            .iter()
            .map(|(zone, epoch)| SnapshotItem::Opened {
                zone: zone.clone(),
                epoch: *epoch,
            });
        // A job that is being moved is included: if the record of the move precedes the snapshot
        // in the log, readers apply it to the job of the snapshot.
        let live = |job: &Job| job.logged && job.home == self.zone && !job.is_ended();
        // An ended job that a live one waits for is included, because the live one starts only if
        // the outcome of the other is known.
        let jobs = self.jobs.all.iter().map(|(_, job)| job);
        let mut awaited: Vec<JobId> = jobs
            .filter(|job| live(job) && !job.spec.after.is_empty())
            .filter_map(|job| self.jobs.id_by_name(&job.spec.team, &job.spec.after))
            .collect();
        awaited.sort_unstable();
        let included = self.jobs.all.iter().filter(|(id, job)| {
            let is_awaited = job.logged && job.is_ended() && awaited.binary_search(id).is_ok();
            live(job) || is_awaited
        });
        let jobs = included.map(|(id, job)| {
            let mut ended = Vec::new();
            let mut starting = Vec::new();
            for (index, task) in (0..).zip(&job.tasks) {
                match &task.state {
                    State::Ended { outcome, .. } => ended.push((index, *outcome)),
                    // The record may be in the log before the snapshot although its append is not
                    // acknowledged yet.
                    State::Recording(_) => starting.push(index),
                    _ if task.start_recorded => starting.push(index),
                    _ => {}
                }
            }
            SnapshotItem::Job {
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

    /// Applies the terms of a part of a snapshot and its jobs that are unknown here. A known job
    /// is skipped, because all its records have been read. Each item is complete in itself, so the
    /// parts need not be assembled.
    pub(super) fn apply_snapshot(&mut self, now: Time, part: &JobSnapshotPart) {
        for item in &part.items {
            match item {
                SnapshotItem::Opened { zone, epoch } => {
                    let latest = self.recorded_epochs.or_insert(zone.clone(), *epoch);
                    *latest = (*latest).max(*epoch);
                }
                SnapshotItem::Job {
                    job,
                    zone,
                    spec,
                    ended,
                    starting,
                    cancelled,
                } if self.job(*job).is_none() => {
                    self.apply_accepted(now, *job, zone, spec);
                    for index in starting {
                        let task = self.jobs.task_mut(TaskId {
                            job: *job,
                            index: *index,
                        });
                        if let Some(task) = task {
                            task.start_recorded = true;
                        }
                    }
                    for (index, outcome) in ended {
                        let task = TaskId {
                            job: *job,
                            index: *index,
                        };
                        self.apply_finished(now, task, *outcome);
                    }
                    if *cancelled {
                        self.apply_cancelled(now, *job);
                    }
                    self.apply_early(now, *job);
                }
                SnapshotItem::Job { .. } => {}
            }
        }
    }
}
