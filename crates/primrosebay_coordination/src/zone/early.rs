//! Records that precede the record of their job in the log.
//!
//! Peers that hold copies for an instance that has died append them in any order, and a snapshot
//! can reach the log after records that are newer than its contents. These records take effect once
//! the job is known.

use primrosebay_state::id::JobId;
use primrosebay_state::record::Body;
use primrosebay_state::table::Table;

/// Most jobs for which records are kept. Records of jobs that have left the log stay unused.
const MAX_EARLY_JOBS: usize = 16_384;

/// The kept records of each unknown job, with the offset of the first one.
#[derive(Debug, Default)]
pub(super) struct EarlyRecords {
    jobs: Table<JobId, (u64, Vec<Body>)>,
}

impl EarlyRecords {
    /// Keeps a record of the unknown job `id`. Drops the records of the job whose first record is
    /// the oldest if there are too many.
    pub fn add(&mut self, offset: u64, id: JobId, body: Body) {
        let (_, records) = self.jobs.or_insert(id, (offset, Vec::new()));
        records.push(body);
        if self.jobs.len() > MAX_EARLY_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, (offset, _))| *offset);
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.jobs.remove(&id);
            }
        }
    }

    /// Removes and returns the records of a job, in the order of the log.
    pub fn take(&mut self, id: JobId) -> Vec<Body> {
        self.jobs
            .remove(&id)
            .map(|(_, records)| records)
            .unwrap_or_default()
    }
}
