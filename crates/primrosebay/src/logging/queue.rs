//! Writes log lines to standard output without ever blocking those who log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::append::Append;
use logforth::record::Record;

/// Lines that may wait to be written. A line has a few hundred bytes, so that a full queue takes
/// about a megabyte.
const QUEUED_LINES: usize = 4_096;

/// How long lines are collected before they are written, so that a busy leader, which logs thousands
/// of lines a second, does not wake the thread for each of them.
const COLLECT: Duration = Duration::from_millis(20);

/// Longest wait for the lines that are left when the process ends.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

/// Most bytes that are written at once. A pipe takes that many in one piece, so that lines of
/// several writers do not mix.
const WRITE_BYTES: usize = 4_096;

/// An appender that hands lines to a thread. Lines that do not fit into its queue are dropped and
/// counted; the count is written once there is room again.
#[derive(Debug)]
pub struct Queue {
    layout: Box<dyn Layout>,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Lines that were dropped since that was last reported.
    dropped: AtomicU64,
    /// Lines that are not written yet.
    waiting: AtomicU64,
}

impl Queue {
    /// Starts the thread that writes.
    pub fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (lines, receiver) = sync_channel(QUEUED_LINES);
        let counts = Arc::new(Counts::default());
        let counted = Arc::clone(&counts);
        thread::spawn(move || write_lines(&receiver, &counted));
        Self {
            layout: layout.into(),
            lines,
            counts,
        }
    }
}

/// Writes lines until the process ends. Lines that wait together are written together.
fn write_lines(lines: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut stdout = std::io::stdout();
    let mut next: Option<Vec<u8>> = None;
    while let Some(mut bytes) = next.take().or_else(|| lines.recv().ok()) {
        let mut count = 1;
        while let Ok(more) = lines.try_recv() {
            if bytes.len() + more.len() > WRITE_BYTES {
                next = Some(more);
                break;
            }
            bytes.extend(more);
            count += 1;
        }
        let lost = counts.dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"message\":\"log: {lost} lines dropped\"}}\n");
            bytes.extend(line.into_bytes());
        }
        // Nothing can be done if standard output is closed, and logging must not end the process.
        let _ = stdout.write_all(&bytes).and_then(|()| stdout.flush());
        counts.waiting.fetch_sub(count, Ordering::Release);
        if next.is_none() {
            thread::sleep(COLLECT);
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut bytes = self.layout.format(record, diags)?;
        bytes.push(b'\n');
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(bytes) {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until all lines are written, for at most [`FLUSH_WAIT`].
    fn flush(&self) -> Result<(), Error> {
        let until = Instant::now() + FLUSH_WAIT;
        while self.counts.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(COLLECT / 4);
        }
        Ok(())
    }
}
