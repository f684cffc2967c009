//! A platform whose log is in memory and which has neither minions nor an advice service.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use primrosebay_cell::config::{Config, Queue};
use primrosebay_cell::job::{StepKey, TaskKey};
use primrosebay_cell::leader::{Advice, DirectoryChange, HoldAnswer, Start, StartAnswer};
use primrosebay_cell::record::Record;
use primrosebay_member::ports::{
    AppendError, LogRecord, OperatorChange, Platform, Read, ReadError, Stream, Target, Term,
};
use primrosebay_state::Name;

/// How often a waiting read looks for a record.
const LOOK: Duration = Duration::from_millis(2);

/// The log, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<Vec<LogRecord>>>);

impl Memory {
    pub fn put(&self, record: &Record) {
        let bytes = record.encode().expect("records can be encoded");
        self.append_all(&[(record.key(), bytes)]);
    }

    fn append_all(&self, records: &[(String, Vec<u8>)]) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, value) in records {
            let offset = log.len() as u64;
            log.push(LogRecord {
                offset,
                key: key.clone(),
                value: (!value.is_empty()).then(|| value.clone()),
            });
        }
    }

    fn read_from(&self, stream: Stream, from: u64) -> Read {
        let log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match stream {
            Stream::Cell => {
                let records = log.iter().filter(|r| r.offset >= from).cloned();
                let end = log.len() as u64;
                Read {
                    records: records.collect(),
                    next: end,
                    end,
                }
            }
            Stream::Operators if from == 0 => Read {
                records: vec![LogRecord {
                    offset: 0,
                    key: "config".into(),
                    value: None,
                }],
                next: 1,
                end: 1,
            },
            Stream::Operators | Stream::Directory => Read {
                records: Vec::new(),
                next: from,
                end: from,
            },
        }
    }
}

impl Platform for Memory {
    fn latency(&self) -> Duration {
        Duration::ZERO
    }

    async fn read(&self, stream: Stream, from: u64, wait: Duration) -> Result<Read, ReadError> {
        let until = Instant::now() + wait;
        loop {
            let read = self.read_from(stream, from);
            if !read.records.is_empty() || Instant::now() >= until {
                return Ok(read);
            }
            task::sleep(LOOK).await;
        }
    }

    async fn newest(&self, stream: Stream) -> Result<Read, ReadError> {
        Ok(self.read_from(stream, 0))
    }

    async fn append(
        &self,
        records: &[(String, Vec<u8>)],
        _term: Option<Term>,
    ) -> Result<(), AppendError> {
        self.append_all(records);
        Ok(())
    }

    async fn start(&self, _start: &Start, _epoch: u64) -> StartAnswer {
        StartAnswer::Unknown
    }

    async fn stop(&self, _target: Target<'_>, _task: TaskKey, _run: u32) -> bool {
        false
    }

    async fn hold(
        &self,
        _target: Target<'_>,
        _until: Option<u64>,
        _acked: u64,
        _wait: Duration,
    ) -> HoldAnswer {
        HoldAnswer::Failed
    }

    async fn advise(
        &self,
        _step: StepKey,
        _minions: &[Name],
        _timeout: Duration,
    ) -> Result<Advice, String> {
        Err("there is no advice service".into())
    }

    fn operator_change(&self, _record: &LogRecord) -> Result<OperatorChange, String> {
        let queue = Queue {
            name: "queue".into(),
            host: "host.example".into(),
            prefix: "/queue/".into(),
            service: "service".into(),
            timeout_ms: 3_000,
            target_ms: 250,
            priority: 0,
            attempts: 3,
            stretch: 2.0,
            advice: None,
            public: true,
        };
        Ok(OperatorChange::Config(Config {
            version: 1,
            queues: vec![queue],
            ..Config::default()
        }))
    }

    fn directory_change(&self, record: &LogRecord) -> Result<DirectoryChange, String> {
        Ok(DirectoryChange::Removed(Name::from(record.key.as_str())))
    }
}
