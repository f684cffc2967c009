//! Record identifiers that a log reader has applied, to skip records that were appended twice.

use primrosebay_state::id::{Incarnation, RecordId};

#[derive(Debug)]
struct Process {
    incarnation: Incarnation,
    /// Sorted, disjoint, inclusive ranges of sequence numbers.
    ranges: Vec<(u64, u64)>,
    /// Highest offset of a record of the process.
    last: u64,
}

/// The record identifiers seen in one stream, stored as ranges. A process numbers its records in
/// order, so it has few ranges.
#[derive(Debug, Default)]
pub struct SeenRecords {
    /// Processes whose records were read and have not expired, sorted by incarnation.
    processes: Vec<Process>,
}

impl SeenRecords {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the record that was read at `offset` and returns whether it was not seen before.
    pub fn insert(&mut self, offset: u64, id: RecordId) -> bool {
        let position = self
            .processes
            .binary_search_by_key(&id.incarnation, |process| process.incarnation);
        let i = position.unwrap_or_else(|i| {
            let process = Process {
                incarnation: id.incarnation,
                ranges: Vec::new(),
                last: offset,
            };
            self.processes.insert(i, process);
            i
        });
        let process = &mut self.processes[i];
        process.last = process.last.max(offset);
        insert(&mut process.ranges, id.sequence)
    }

    /// Removes the processes whose records all have offsets below `oldest`, the oldest offset that
    /// retention keeps. No record of them is appended again: publishers stop retrying long before.
    pub fn expire(&mut self, oldest: u64) {
        self.processes.retain(|process| process.last >= oldest);
    }

    /// Returns the number of stored ranges, a measure of the memory used.
    #[must_use]
    pub fn ranges(&self) -> usize {
        self.processes
            .iter()
            .map(|process| process.ranges.len())
            .sum()
    }
}

/// Adds `sequence` to the ranges and returns whether it was missing.
fn insert(ranges: &mut Vec<(u64, u64)>, sequence: u64) -> bool {
    let i = ranges.partition_point(|(first, _)| *first <= sequence);
    let left_end = i.checked_sub(1).map(|left| ranges[left].1);
    if left_end.is_some_and(|last| last >= sequence) {
        return false;
    }
    let joins_left = left_end.is_some_and(|last| last + 1 == sequence);
    let joins_right = ranges
        .get(i)
        .is_some_and(|(first, _)| *first == sequence + 1);
    match (joins_left, joins_right) {
        (true, true) => ranges[i - 1].1 = ranges.remove(i).1,
        (true, false) => ranges[i - 1].1 = sequence,
        (false, true) => ranges[i].0 = sequence,
        (false, false) => ranges.insert(i, (sequence, sequence)),
    }
    true
}
