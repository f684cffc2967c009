//! What the leader learns of the duration of runs.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::active::ActiveJob;
use super::command::Now;
use super::durations::{
    ChangedModel, Durations, FinishedRun, LearnDurations, QueueDurations, StepRuns,
};
use super::minion::{Phase, Run};
use crate::job::{StepKey, TaskKey};
use crate::ledger::Ledger;
use crate::record::{Placement, Record};

/// Longest time between the sending of a start and its confirmation for which the start time counts
/// as known, in milliseconds. Usual confirmations take less than 100 ms; a report of a running task
/// may come a second late, which is as long as the whole run of many tasks.
const MAX_START_MS: u64 = 300;

impl Leader {
    /// Returns how long a run took that has just ended, in milliseconds; none if the leader does not
    /// know it or learns nothing. Only a part of the work of a run that resumed is known.
    pub(super) fn ran_ms(&self, name: &Name, task: TaskKey, number: u32, now: Now) -> Option<u64> {
        if self.settings.learn_durations == LearnDurations::Off {
            return None;
        }
        let is_it = |r: &&Run| r.task == task && r.number == number;
        let run = self.minions.get(name)?.runs.iter().find(is_it)?;
        let Phase::Running(since) = run.phase else {
            return None;
        };
        // Runs that earlier leaders placed have no such time. Of several starts any may have been
        // carried out.
        let is_started_here = run.until_ms > 0 && run.attempts.count == 1;
        let is_known = is_started_here && since.since(run.updated_at) <= MAX_START_MS;
        (is_known && !run.resumed).then(|| now.time.since(since))
    }

    /// Returns whether decisions use the learned durations.
    pub(super) fn uses_durations(&self) -> bool {
        self.settings.learn_durations == LearnDurations::Use
    }

    /// Returns the duration that is expected on a minion of tasks that take `duration` milliseconds
    /// on a usual one.
    pub(super) fn duration_on(&self, minion: &Name, duration: Option<u64>) -> Option<u64> {
        let duration = duration?;
        if !self.uses_durations() {
            return Some(duration);
        }
        Some(self.durations.on_minion_ms(minion, duration))
    }

    /// Returns the time at which a run is expected to end; none if its task lasts.
    pub(super) fn expected_end(&self, run: &Run, now: Time) -> Option<Time> {
        if matches!(run.phase, Phase::Stopping(..)) {
            return Some(now);
        }
        let end = Time(run.updated_at.0.saturating_add(run.duration?));
        if now < end || !self.uses_durations() {
            return Some(end.max(now));
        }
        Some(now + self.remaining_ms(run, now))
    }

    /// Returns the expected remaining time of a run that has taken longer than expected, in
    /// milliseconds; 0 if nothing is known.
    fn remaining_ms(&self, run: &Run, now: Time) -> u64 {
        let step = run.task.step;
        let job = self.jobs.get(&step.job);
        let Some((job, spec)) = job.and_then(|job| Some((job, job.step(step)?))) else {
            return 0;
        };
        let runs = job.runs.get(step.step as usize).copied();
        let elapsed = now.since(run.updated_at);
        let runs = runs.unwrap_or_default();
        self.durations
            .remaining_in_step_ms(&job.queue, spec.estimate_ms, runs, elapsed)
    }

    /// Takes over what earlier leaders have learned.
    pub(super) fn restore_durations(&mut self, ledger: &Ledger, now: Time) {
        if self.settings.learn_durations == LearnDurations::Off {
            return;
        }
        let (mut queues, mut skipped) = (0, 0);
        for (queue, saved) in ledger.durations() {
            if self.durations.restore(queue, saved, now) {
                queues += 1;
            } else {
                skipped += 1;
            }
        }
        log::info!(epoch = self.epoch, queues, skipped; "leader: run times restored");
    }

    /// Returns the records of models that have changed. They go with other records and never need an
    /// append of their own. Jobs that wait are put in order again after a large change.
    pub(super) fn take_models(&mut self) -> Vec<Record> {
        let changed = self.durations.take_changed(self.last_tick);
        let is_large = |name: &Name| changed.iter().any(|c| c.is_large && c.queue == *name);
        if self.uses_durations() && changed.iter().any(|c| c.is_large) {
            for (key, job) in self.jobs.iter_mut() {
                if !job.begun && !job.is_changed && is_large(&job.queue) {
                    job.is_changed = true;
                    self.changes.unsorted.push(*key);
                }
            }
        }
        let record = |c: ChangedModel| Record::Durations(c.queue, c.model);
        changed.into_iter().map(record).collect()
    }

    /// Returns what is known of the run times of each queue.
    #[must_use]
    pub fn durations(&self) -> Vec<QueueDurations> {
        self.durations.report()
    }
}

impl ActiveJob {
    /// Learns from a run that ended well.
    pub(super) fn learn(
        &mut self,
        durations: &mut Durations,
        minion: &Name,
        step: StepKey,
        ran_ms: u64,
    ) {
        let spec = self.spec.clone();
        let Some(step_spec) = spec.steps.get(step.step as usize) else {
            return;
        };
        self.runs.resize(spec.steps.len(), StepRuns::default());
        // The first end of a gang ends all its runs, and the slowest minion determines when.
        let gang = step_spec.gang;
        let run = FinishedRun {
            queue: &self.queue,
            estimate_ms: step_spec.estimate_ms,
            ran_ms,
            tasks: if gang { 1 } else { step_spec.count },
            minion: Some(minion).filter(|_| !gang),
        };
        durations.record(&run, &mut self.runs[step.step as usize]);
    }

    /// Notes how long the job is expected to take, unless it has begun.
    pub(super) fn plan(&mut self, durations: &Durations) {
        if self.planned.is_some() || self.begun {
            return;
        }
        let steps = self.spec.steps.iter();
        let expected: Vec<u64> = steps
            .map(|s| durations.expected_ms(&self.queue, s.estimate_ms))
            .collect();
        self.planned = Some(self.spec.critical_path_ms(&expected, 0));
    }

    /// Returns the mean run time of the longest chain of dependent steps, in milliseconds. Steps of
    /// which no run is known count as taking no time.
    pub(super) fn ran_ms(&self) -> u64 {
        let durations: Vec<u64> = self.runs.iter().map(StepRuns::mean_ms).collect();
        self.spec.critical_path_ms(&durations, 0)
    }

    /// Determines how long the tasks of each step are expected to take. The objective and the
    /// remaining paths both follow from it.
    pub(super) fn update_expected(&mut self, durations: &Durations) {
        for i in 0..self.spec.steps.len() {
            let step = &self.spec.steps[i];
            if !step.long_running {
                let runs = self.runs.get(i).copied().unwrap_or_default();
                let running = if runs.count() == 0 {
                    0
                } else {
                    self.running(i)
                };
                let estimate = step.estimate_ms;
                self.expected[i] =
                    durations.expected_in_step_ms(&self.queue, estimate, runs, running);
            }
        }
        self.remaining_paths = self.spec.remaining_paths_ms(&self.expected);
    }

    /// Returns the run time that a fraction `q` of the step's runs does not exceed, in milliseconds;
    /// none while there is little evidence.
    pub(super) fn quantile_ms(&self, durations: &Durations, step: StepKey, q: f64) -> Option<u64> {
        let index = step.step as usize;
        let runs = self.runs.get(index).copied().unwrap_or_default();
        let running = if runs.count() == 0 {
            0
        } else {
            self.running(index)
        };
        let estimate = self.spec.steps.get(index)?.estimate_ms;
        durations.quantile_in_step_ms(&self.queue, estimate, runs, running, q)
    }

    /// Returns the number of a step's tasks that are on a minion, in all occurrences.
    fn running(&self, step: usize) -> u32 {
        let step = u32::try_from(step).unwrap_or(u32::MAX);
        let tasks = (0..self.spec.occurrences()).flat_map(|occurrence| {
            let key = StepKey {
                job: self.key,
                occurrence,
                step,
            };
            &self.tasks[self.task_range(key)]
        });
        let placed = tasks.filter(|t| matches!(t.placement, Placement::Minion(_)));
        u32::try_from(placed.count()).unwrap_or(u32::MAX)
    }
}
