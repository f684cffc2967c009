//! Follows the operators' stream: configuration and evacuated availability zones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;

use crate::lead::Event;
use crate::platform::{LogRecord, OperatorChange, Platform, ReadError, Stream};
use crate::shared::{OperatorState, Shared};

/// Follows the operators' stream until the task is cancelled.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut next: Option<u64> = None;
    let mut unreachable = false;
    loop {
        let sent = shared.clock.now();
        // Calls with API keys are refused until a read has reached the end of the stream, so reads
        // before that do not wait.
        let confirmed = shared.operators().caught_up.is_some();
        let wait = if confirmed {
            shared.settings.read_wait * 2
        } else {
            Duration::ZERO
        };
        let read = match next {
            Some(from) => shared.platform.read(Stream::Operators, from, wait).await,
            None => shared.platform.read_newest(Stream::Operators).await,
        };
        match read {
            Ok(read) => {
                if std::mem::take(&mut unreachable) {
                    log::info!("operators: log is readable again");
                }
                let is_snapshot = next.is_none();
                next = Some(read.next.max(next.unwrap_or(0)));
                let mut changed = !read.records.is_empty();
                {
                    let mut operators = shared.operators();
                    if is_snapshot {
                        operators.evacuated.clear();
                    }
                    for record in &read.records {
                        apply(&shared, &mut operators, record);
                    }
                    if !is_snapshot && read.next >= read.end {
                        changed |= operators.caught_up.replace(sent).is_none();
                    }
                }
                if changed {
                    shared.notify_leader(|| Event::OperatorsChanged);
                }
            }
            Err(ReadError::Expired) => next = None,
            Err(ReadError::Unavailable(reason)) => {
                if !std::mem::replace(&mut unreachable, true) {
                    log::warn!(reason:% = reason; "operators: cannot read log");
                }
                task::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

/// Applies a record. Configurations that are not newer than the current one are ignored.
fn apply<P: Platform>(shared: &Shared<P>, operators: &mut OperatorState, record: &LogRecord) {
    match shared.platform.operator_change(record) {
        Ok(OperatorChange::Config(config)) => {
            let known = operators.config.as_ref().map_or(0, |c| c.version);
            if config.version <= known {
                return;
            }
            log::info!(
                version = config.version, offset = record.offset, queues = config.queues.len(),
                accounts = config.accounts.len(), keys = config.keys.len();
                "operators: configuration applied"
            );
            let scheduling = match &operators.scheduling {
                Some(earlier) => config.with_removed(earlier),
                None => config.clone(),
            };
            operators.scheduling = Some(scheduling);
            operators.config = Some(Arc::new(config));
        }
        Ok(OperatorChange::Evacuated(zone)) => {
            if let Err(at) = operators.evacuated.binary_search(&zone) {
                log::info!(zone:% = zone, offset = record.offset; "operators: zone taken out of service");
                operators.evacuated.insert(at, zone);
            }
        }
        Ok(OperatorChange::Returned(zone)) => {
            log::info!(zone:% = zone, offset = record.offset; "operators: zone back in service");
            operators.evacuated.retain(|z| *z != zone);
        }
        Ok(OperatorChange::Other) => {}
        Err(e) => {
            if let Some(left_out) = operators.odd_records.admit(Instant::now()) {
                log::warn!(key:% = record.key, offset = record.offset, reason:% = e, left_out; "operators: undecodable record skipped");
            }
        }
    }
}
