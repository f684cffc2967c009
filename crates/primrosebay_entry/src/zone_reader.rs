//! Feeds log records to the coordinator of a zone.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_coordination::zone::{Coordinator, Event};
use primrosebay_protocol::log::{JOBS_STREAM, LogEntry};
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_state::record::Body;

use crate::log_reader::StreamReader;
use crate::shared::Shared;
use crate::zones::{Zone, tasks_stream};

/// Longest time for which a read of the jobs stream waits for new records.
const JOBS_WAIT: Duration = Duration::from_secs(1);
/// Pause before a failed read is retried.
const READ_RETRY: Duration = Duration::from_millis(200);

/// Reads the jobs stream and the zone's tasks stream for one coordinator.
///
/// A task record can be applied only after the record of its job, which was appended earlier. The
/// tasks stream is therefore read first, and its records are applied after the jobs stream has been
/// read to its end. The same holds for the tasks streams of other zones, which are read only while
/// a job of this zone waits for one of theirs.
#[derive(Debug)]
struct ZoneReader {
    zone: Arc<Zone>,
    jobs: StreamReader,
    tasks: StreamReader,
    /// The tasks streams of other zones with jobs that jobs of this zone wait for.
    awaited: Vec<(Name, StreamReader)>,
    /// The number of records of all streams fed so far, which the coordinator takes as the offset
    /// of the next one.
    position: u64,
}

/// Feeds the coordinator of `zone` until the instance is dropped.
pub async fn follow(zone: Arc<Zone>) {
    let mut reader = ZoneReader {
        jobs: StreamReader::new(JOBS_STREAM),
        tasks: StreamReader::new(&tasks_stream(&zone.name)),
        awaited: Vec::new(),
        zone,
        position: 0,
    };
    while let Some(shared) = reader.zone.shared() {
        let succeeded = reader.read_streams(&shared).await;
        drop(shared);
        if !succeeded {
            reader.zone.handle(Event::LogDown);
            task::sleep(READ_RETRY).await;
        }
    }
}

impl ZoneReader {
    /// Reads the streams to their ends once and feeds their records. Returns whether the reads of
    /// the zone's own streams succeeded.
    async fn read_streams(&mut self, shared: &Shared) -> bool {
        self.read_awaited(shared).await;
        let succeeded = self.tasks.read_to_end(shared, Duration::ZERO).await
            && self.jobs.read_to_end(shared, JOBS_WAIT).await;
        if !succeeded {
            return false;
        }
        let next = self.jobs.next_offset();
        let jobs = self.jobs.take();
        let opening = jobs
            .iter()
            .rposition(|entry| is_opening(entry, shared.incarnation));
        match opening {
            None => {
                self.feed(jobs);
                let tasks = self.tasks.take();
                self.feed(tasks);
            }
            Some(opening) => self.feed_opening(shared, jobs, opening).await,
        }
        self.feed_awaited();
        self.zone.set_jobs_read(next);
        self.zone.handle(Event::LogEnd {
            offset: self.position,
        });
        true
    }

    /// Reads the tasks streams of the zones with jobs that jobs of this zone wait for. A failed read
    /// is repeated in the next round.
    async fn read_awaited(&mut self, shared: &Shared) {
        let zones = self.zone.read(Coordinator::awaited_zones);
        self.awaited
            .retain(|(name, _)| zones.binary_search(name).is_ok());
        for name in zones {
            if !self.awaited.iter().any(|(known, _)| *known == name) {
                let reader = StreamReader::new(&tasks_stream(&name));
                self.awaited.push((name, reader));
            }
        }
        for (_, reader) in &mut self.awaited {
            reader.read_to_end(shared, Duration::ZERO).await;
        }
    }

    /// Feeds the ends of tasks of other zones. Records of jobs that have moved away from their
    /// stream's zone are left out, since the record of the move has their ends.
    fn feed_awaited(&mut self) {
        let mut ends = Vec::new();
        for (name, reader) in &mut self.awaited {
            let mut entries = reader.take();
            self.zone.read(|coordinator| {
                entries.retain(|entry| match &entry.record.body {
                    Body::Finished { task, .. } => coordinator.home(task.job) == Some(&*name),
                    _ => false,
                });
            });
            ends.extend(entries);
        }
        self.feed(ends);
    }

    /// Feeds job records that have this instance's own `Opened` record at index `opening`.
    ///
    /// Once that record is applied, the coordinator assumes that it knows everything that its
    /// predecessors did. Before the record is fed, the tasks stream is therefore read to its end
    /// again.
    async fn feed_opening(&mut self, shared: &Shared, mut jobs: Vec<LogEntry>, opening: usize) {
        let after = jobs.split_off(opening);
        self.feed(jobs);
        while !self.tasks.read_to_end(shared, Duration::ZERO).await {
            self.zone.handle(Event::LogDown);
            task::sleep(READ_RETRY).await;
        }
        let tasks = self.tasks.take();
        self.feed(tasks.clone());
        self.feed(after);
        // Some of these tasks may belong to jobs recorded after the `Opened` record. Applying a
        // task record twice has no effect.
        self.feed(tasks);
    }

    /// Feeds records to the coordinator, numbered by their position over both streams.
    fn feed(&mut self, records: Vec<LogEntry>) {
        let position = &mut self.position;
        let events = records.into_iter().map(|entry| {
            let offset = *position;
            *position += 1;
            Event::Record {
                offset,
                record: entry.record,
            }
        });
        self.zone.handle_all(events);
    }
}

/// Returns whether the record opens a term of the process `own`.
fn is_opening(entry: &LogEntry, own: Incarnation) -> bool {
    matches!(&entry.record.body, Body::Opened { holder, .. } if *holder == own)
}
