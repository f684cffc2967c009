//! The budget with a logger that formats all fields, as in a process.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use primrosebay_transport::budget::Budget;

/// A logger that evaluates the fields of each line.
#[derive(Debug)]
struct Evaluate;

impl Log for Evaluate {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let _ = record.key_values().visit(&mut Self);
    }

    fn flush(&self) {}
}

impl<'kvs> VisitSource<'kvs> for Evaluate {
    fn visit_pair(&mut self, _: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let _ = value.to_string();
        Ok(())
    }
}

/// Guards against a process that hangs for ever when it refuses the first job for lack of memory: the
/// line about it needs the lock that is held.
#[test]
fn refused_job_is_logged() {
    log::set_logger(&Evaluate).unwrap();
    log::set_max_level(LevelFilter::Trace);
    let (sender, refused) = channel();
    thread::spawn(move || {
        let budget = Arc::new(Budget::new(1_000));
        let request = budget.open(Instant::now());
        request.finish().unwrap();
        sender.send(!request.hold(800)).unwrap();
    });
    assert_eq!(refused.recv_timeout(Duration::from_secs(40)), Ok(true));
}
