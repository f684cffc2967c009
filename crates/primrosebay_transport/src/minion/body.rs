//! The body of a minion's response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use futures_lite::AsyncReadExt;
use http_types::Body;

use super::counting_reader::ByteCounter;
use super::pool::Connection;
use super::{CHUNK_SIZE, MinionError, lost};

/// A response body that is read in chunks. Its connection is reused only after the whole body has
/// been read.
#[derive(Debug)]
pub struct ResponseBody {
    reader: Body,
    /// The length in bytes, if the minion declared it.
    length: Option<u64>,
    /// Number of bytes that have been read.
    bytes_read: u64,
    /// The connection; `None` once it has been released or closed.
    connection: Option<Connection>,
    byte_counter: Arc<ByteCounter>,
    deadline: Instant,
}

impl ResponseBody {
    pub(super) fn new(
        reader: Body,
        length: Option<u64>,
        connection: Connection,
        byte_counter: Arc<ByteCounter>,
        deadline: Instant,
    ) -> Self {
        Self {
            reader,
            length,
            bytes_read: 0,
            connection: Some(connection),
            byte_counter,
            deadline,
        }
    }

    /// Returns the length in bytes, if the minion declared it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the time until the response must be complete.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Reads the next chunk. Returns `None` at the end of the body.
    ///
    /// # Errors
    /// Returns [`MinionError::TimedOut`] if the chunk does not arrive in time, and
    /// [`MinionError::Lost`] if the connection breaks.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, MinionError> {
        let result = self.read_chunk().await;
        match &result {
            Ok(Some(_)) => {}
            Ok(None) => self.release(),
            Err(_) => self.connection = None,
        }
        result
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// Returns the errors of [`Self::next_chunk`], and [`MinionError::Lost`] for more than `limit`
    /// bytes.
    pub async fn read_to_end(&mut self, limit: usize) -> Result<Vec<u8>, MinionError> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            if bytes.is_empty() {
                bytes = chunk;
            } else {
                bytes.extend_from_slice(&chunk);
            }
            if bytes.len() > limit {
                self.connection = None;
                return Err(lost("the response is too large"));
            }
        }
        Ok(bytes)
    }

    async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, MinionError> {
        let remaining = self.length.map(|length| length - self.bytes_read);
        if remaining == Some(0) {
            return Ok(None);
        }
        let size = remaining
            .and_then(|bytes| usize::try_from(bytes).ok())
            .map_or(CHUNK_SIZE, |bytes| bytes.min(CHUNK_SIZE));
        let mut buffer = vec![0; size];
        let count = timeout(self.time_left(), self.reader.read(&mut buffer))
            .await
            .map_err(|_| MinionError::TimedOut)?
            .map_err(|e| lost(&e))?;
        if count == 0 {
            return match self.length {
                // The reader reports a broken connection like the regular end of the body.
                Some(_) => Err(lost("the response ended early")),
                None => Ok(None),
            };
        }
        self.bytes_read += count as u64;
        buffer.truncate(count);
        Ok(Some(buffer))
    }

    /// Returns the connection to the pool, unless bytes beyond the end of the response have
    /// arrived. For a chunked response they cannot be detected, so its connection is closed.
    fn release(&mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.reusable &= self.length == Some(self.byte_counter.body_bytes());
            connection.release();
        }
    }
}
