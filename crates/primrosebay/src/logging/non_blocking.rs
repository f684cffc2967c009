//! Writes log lines to standard output without blocking the threads that log.

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

/// Maximum number of queued lines. A line has a few hundred bytes, a full queue about 1 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are collected between writes. A busy leader logs thousands of lines per
/// second, and the writer thread must not wake up for each of them.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time to wait for queued lines to be written when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of a write of several lines, in bytes. A write of this size to a pipe is atomic, so
/// lines of several processes do not interleave.
const MAX_WRITE_BYTES: usize = 4_096;

/// A log appender that queues lines for a writer thread. While the queue is full, lines are dropped
/// and counted; the next write reports their number.
#[derive(Debug)]
pub struct NonBlockingStdout {
    layout: Box<dyn Layout>,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Dropped lines that are not reported yet.
    dropped: AtomicU64,
    /// Queued lines that are not written yet.
    pending: AtomicU64,
}

impl NonBlockingStdout {
    /// Starts the writer thread.
    pub fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::new(Counts::default());
        let writer_counts = Arc::clone(&counts);
        thread::spawn(move || write_lines(&receiver, &writer_counts));
        Self {
            layout: layout.into(),
            lines,
            counts,
        }
    }
}

/// Writes queued lines until the process exits, as many per write as [`MAX_WRITE_BYTES`] permits.
fn write_lines(lines: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut stdout = std::io::stdout();
    let mut next: Option<Vec<u8>> = None;
    while let Some(mut bytes) = next.take().or_else(|| lines.recv().ok()) {
        let mut line_count = 1;
        while let Ok(line_bytes) = lines.try_recv() {
            if bytes.len() + line_bytes.len() > MAX_WRITE_BYTES {
                next = Some(line_bytes);
                break;
            }
            bytes.extend(line_bytes);
            line_count += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"message\":\"log: {dropped} lines dropped\"}}\n");
            bytes.extend(line.into_bytes());
        }
        // A closed standard output must not end the process, and there is nowhere to report it.
        let _ = stdout.write_all(&bytes).and_then(|()| stdout.flush());
        counts.pending.fetch_sub(line_count, Ordering::Release);
        if next.is_none() {
            thread::sleep(WRITE_INTERVAL);
        }
    }
}

impl Append for NonBlockingStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut bytes = self.layout.format(record, diags)?;
        bytes.push(b'\n');
        self.counts.pending.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(bytes) {
            self.counts.pending.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until all queued lines are written, for at most [`FLUSH_TIMEOUT`].
    fn flush(&self) -> Result<(), Error> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.counts.pending.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(WRITE_INTERVAL / 4);
        }
        Ok(())
    }
}
