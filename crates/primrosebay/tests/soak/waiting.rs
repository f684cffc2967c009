//! A check that no task waits although it could run.
//!
//! From [`FINISH_TIME`] after the end of the traffic on, no job may have nothing running for
//! [`MAX_IDLE`] while there is room twice over for one of its tasks (for all, if they start
//! together) and under half of the capacity is in use. A task that lasts has to run again in the
//! same time, from [`LASTING_PAUSE`] after its last run on, whenever the cell is calm and there is
//! room for it twice over.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use primrosebay_cell::record::Record;
use primrosebay_platform_standin::{CORES_MILLI, Minion, RunMonitor, Store};
use primrosebay_state::table::Table;

use crate::callers::{Answer, Callers, Cancellation, Job};

/// Time after the end of the traffic from which on jobs are checked, `finish_s` of the platform.
pub const FINISH_TIME: Duration = Duration::from_secs(14);

/// Maximum time for which a task that could run has nothing running.
pub const MAX_IDLE: Duration = Duration::from_secs(3);

/// Time after the last run of a task that lasts from which on it is checked.
const LASTING_PAUSE: Duration = Duration::from_secs(6);

/// Time without disruption before [`MAX_IDLE`] for a task that lasts.
const CALM_BEFORE: Duration = Duration::from_secs(4);

/// Interval of the checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Parts of a cell that the check reads.
#[derive(Debug)]
pub struct Watch {
    pub store: Arc<Store>,
    pub minions: Arc<Vec<Minion>>,
    pub monitor: Arc<Mutex<RunMonitor>>,
    pub callers: Arc<Callers>,
    /// Time at which the last fault has ended and no further job is submitted; `None` before.
    pub quiet_from: Mutex<Option<Instant>>,
    pub stopping: AtomicBool,
    /// Directory of the members' logs.
    pub directory: PathBuf,
}

impl Watch {
    /// Checks all jobs until the check is stopped or a task has waited too long, which is recorded as
    /// a violation.
    pub async fn run(&self) {
        // Begin of the time for which each job, or task that lasts, could run and has not.
        let mut waiting: Table<String, Instant> = Table::default();
        while !self.stopping.load(Ordering::Relaxed) {
            let jobs = self.callers.jobs.lock().unwrap().clone();
            for job in jobs.iter().filter(|j| is_owed(j)) {
                for (name, idle_from) in self.idle(job) {
                    let Some(idle_from) = idle_from else {
                        waiting.remove(&name);
                        continue;
                    };
                    let since = *waiting.or_insert(name.clone(), Instant::now());
                    let waited = since.max(idle_from).elapsed();
                    if waited > MAX_IDLE {
                        self.add_violation(job, &name, idle_from, waited);
                        return;
                    }
                }
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the end of the traffic, if it has ended.
    pub fn traffic_end(&self) -> Option<Instant> {
        let quiet_from = (*self.quiet_from.lock().unwrap())?;
        Some(quiet_from.max(*self.callers.last_submission.lock().unwrap()))
    }

    /// Returns the job, or each of its tasks if they last, with the time from which on it counts as
    /// waiting; `None` if it need not run now.
    fn idle(&self, job: &Job) -> Vec<(String, Option<Instant>)> {
        let (places, in_use, capacity) = self.room(job.cores_milli);
        let monitor = self.monitor.lock().unwrap();
        let idle_from = |name: &String| monitor.idle_from(name, job.answered_at);
        let tasks = (0..job.tasks).map(|i| format!("{}.0.0.{i}", job.key));
        if job.lasts {
            let may_wait = places < 2 || !monitor.is_undisturbed_for(CALM_BEFORE);
            let from = |name: &String| Some(idle_from(name)? + LASTING_PAUSE);
            let due = |from: &Instant| !may_wait && *from < Instant::now();
            return tasks.map(|t| (t.clone(), from(&t).filter(due))).collect();
        }
        let checked_from = self.traffic_end().map(|end| end + FINISH_TIME);
        let checked_from = checked_from.filter(|from| *from < Instant::now());
        let has_room = places >= 2 * u64::from(job.at_once) && 2 * in_use < capacity;
        // One task that is running is enough.
        let all_idle = tasks
            .map(|t| idle_from(&t))
            .collect::<Option<Vec<Instant>>>();
        let latest = all_idle.and_then(|times| times.into_iter().max());
        let from = checked_from.filter(|_| has_room).zip(latest);
        vec![(job.key.clone(), from.map(|(a, b)| a.max(b)))]
    }

    /// Returns the number of places for tasks of a size, and the capacity in use and in total, on the
    /// minions that may get tasks. Sizes are in thousandths of a core.
    fn room(&self, cores_milli: u64) -> (u64, u64, u64) {
        let minions = self.minions.iter();
        let usable = minions.filter(|m| !m.is_lost() && !m.is_draining());
        usable.fold((0, 0, 0), |(places, in_use, capacity), minion| {
            let used = minion.used_milli();
            let free = CORES_MILLI.saturating_sub(used) / cores_milli.max(1);
            (places + free, in_use + used, capacity + CORES_MILLI)
        })
    }

    fn add_violation(&self, job: &Job, name: &str, idle_from: Instant, waited: Duration) {
        let read = |key: &str| Record::decode(&self.store.cell_record(key)?).ok();
        let (leader, progress) = (read("leader"), read(&format!("p{}", job.key)));
        let room = self.room(job.cores_milli);
        let end = self.traffic_end().map(|end| end.elapsed());
        let mut monitor = self.monitor.lock().unwrap();
        let done = monitor.done_count(&job.key);
        monitor.violations.push(format!(
            "{name} of {job:?} ({done} done) has nothing running for {waited:?}, checked from {:?} ago, {end:?} after the end of the traffic; places, use and capacity: {room:?}; leader: {leader:?}; record: {progress:?}; logs: {}",
            idle_from.elapsed(),
            self.directory.display()
        ));
    }
}

/// Returns whether the job was accepted, is not cancelled and has not ended.
fn is_owed(job: &Job) -> bool {
    job.answer == Answer::Accepted && job.cancellation == Cancellation::None && !job.ended
}
