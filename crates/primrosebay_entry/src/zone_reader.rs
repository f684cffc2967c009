//! Feeds the log's streams to the coordinator of a zone.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_coordination::zone::Event;
use primrosebay_protocol::log::{JOBS_STREAM, LogEntry};
use primrosebay_state::id::Incarnation;
use primrosebay_state::record::Body;

use crate::log_reader::StreamReader;
use crate::shared::Shared;
use crate::zones::{Zone, tasks_stream};

/// How long a read waits for new jobs.
const WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// Reads the stream of jobs and the zone's stream of tasks for one coordinator.
///
/// A record of a task can only be applied after that of its job, which was appended earlier. So the
/// stream of tasks is read first, and what it gave is applied after the stream of jobs was read to
/// its end.
#[derive(Debug)]
struct Reader {
    zone: Arc<Zone>,
    jobs: StreamReader,
    tasks: StreamReader,
    /// Counts records over both streams, as the order in which the coordinator gets them.
    order: u64,
}

/// Follows the streams for as long as the instance exists.
pub async fn follow(zone: Arc<Zone>) {
    let mut reader = Reader {
        jobs: StreamReader::new(JOBS_STREAM),
        tasks: StreamReader::new(&tasks_stream(&zone.name)),
        zone,
        order: 0,
    };
    while let Some(shared) = reader.zone.shared() {
        let read = reader.step(&shared).await;
        drop(shared);
        if !read {
            reader.zone.handle(Event::LogDown);
            task::sleep(RETRY).await;
        }
    }
}

impl Reader {
    /// Reads both streams to their ends once and returns whether the log answered.
    async fn step(&mut self, shared: &Shared) -> bool {
        let read = self.tasks.read_to_end(shared, Duration::ZERO).await
            && self.jobs.read_to_end(shared, WAIT).await;
        if !read {
            return false;
        }
        let next = self.jobs.next_offset();
        let jobs = self.jobs.take();
        let opened = jobs
            .iter()
            .rposition(|placed| opens(placed, shared.incarnation));
        match opened {
            None => {
                self.feed(jobs);
                let tasks = self.tasks.take();
                self.feed(tasks);
            }
            Some(at) => self.open(shared, jobs, at).await,
        }
        self.zone.note_jobs_read(next);
        self.zone.handle(Event::LogEnd { offset: self.order });
        true
    }

    /// Feeds records of jobs with this instance's own `Opened` record at `at`.
    ///
    /// From that record on the coordinator trusts that it knows all that its predecessors did. So
    /// the stream of tasks is read to its end again before the record is applied.
    async fn open(&mut self, shared: &Shared, mut jobs: Vec<LogEntry>, at: usize) {
        let after = jobs.split_off(at);
        self.feed(jobs);
        while !self.tasks.read_to_end(shared, Duration::ZERO).await {
            self.zone.handle(Event::LogDown);
            task::sleep(RETRY).await;
        }
        let tasks = self.tasks.take();
        self.feed(tasks.clone());
        self.feed(after);
        // Some of these tasks may belong to jobs that were recorded after the opening. Applying a
        // record of a task twice changes nothing.
        self.feed(tasks);
    }

    fn feed(&mut self, records: Vec<LogEntry>) {
        let order = &mut self.order;
        let events = records.into_iter().map(|placed| {
            let offset = *order;
            *order += 1;
            Event::Record {
                offset,
                record: placed.record,
            }
        });
        self.zone.handle_all(events);
    }
}

fn opens(placed: &LogEntry, own: Incarnation) -> bool {
    matches!(&placed.record.body, Body::Opened { holder, .. } if *holder == own)
}
