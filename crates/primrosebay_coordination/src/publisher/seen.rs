//! Record identifiers that a reader has applied.

use primrosebay_state::id::{Incarnation, RecordId};

#[derive(Debug)]
struct Process {
    incarnation: Incarnation,
    /// Sorted, disjoint ranges of sequences, both ends included.
    ranges: Vec<(u64, u64)>,
    /// The offset of the latest record.
    last: u64,
}

/// The identifiers seen in one stream, kept as ranges. A process numbers its records in order, so
/// there are few ranges for each.
#[derive(Debug, Default)]
pub struct SeenRecords {
    processes: Vec<Process>,
}

impl SeenRecords {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record that was read at `offset`, and returns whether it is new.
    pub fn insert(&mut self, offset: u64, id: RecordId) -> bool {
        let found = self
            .processes
            .binary_search_by_key(&id.incarnation, |process| process.incarnation);
        let at = found.unwrap_or_else(|at| {
            let process = Process {
                incarnation: id.incarnation,
                ranges: Vec::new(),
                last: offset,
            };
            self.processes.insert(at, process);
            at
        });
        let process = &mut self.processes[at];
        process.last = process.last.max(offset);
        insert(&mut process.ranges, id.sequence)
    }

    /// Forgets processes whose records have all been dropped by the log's retention before
    /// `oldest`. Nothing of them can be appended again, because publishers stop long before that.
    pub fn expire(&mut self, oldest: u64) {
        self.processes.retain(|process| process.last >= oldest);
    }

    /// Returns the number of ranges that are kept.
    #[must_use]
    pub fn ranges(&self) -> usize {
        self.processes
            .iter()
            .map(|process| process.ranges.len())
            .sum()
    }
}

fn insert(ranges: &mut Vec<(u64, u64)>, sequence: u64) -> bool {
    let at = ranges.partition_point(|(first, _)| *first <= sequence);
    let left = at.checked_sub(1).map(|i| ranges[i].1);
    if left.is_some_and(|last| last >= sequence) {
        return false;
    }
    let joins_left = left.is_some_and(|last| last + 1 == sequence);
    let joins_right = ranges
        .get(at)
        .is_some_and(|(first, _)| *first == sequence + 1);
    match (joins_left, joins_right) {
        (true, true) => ranges[at - 1].1 = ranges.remove(at).1,
        (true, false) => ranges[at - 1].1 = sequence,
        (false, true) => ranges[at].0 = sequence,
        (false, false) => ranges.insert(at, (sequence, sequence)),
    }
    true
}
