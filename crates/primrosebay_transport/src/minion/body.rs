//! The body of a minion's answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use futures_lite::AsyncReadExt;
use http_types::Body;

use super::pool::Connection;
use super::tap::Tally;
use super::{CHUNK, MinionError, lost};

/// A body that is read in pieces. Its connection is used again only after the whole body was read.
#[derive(Debug)]
pub struct ResponseBody {
    reader: Body,
    length: Option<u64>,
    read: u64,
    connection: Option<Connection>,
    tally: Arc<Tally>,
    until: Instant,
}

impl ResponseBody {
    pub(super) fn new(
        reader: Body,
        length: Option<u64>,
        connection: Connection,
        tally: Arc<Tally>,
        until: Instant,
    ) -> Self {
        Self {
            reader,
            length,
            read: 0,
            connection: Some(connection),
            tally,
            until,
        }
    }

    /// Returns the length in bytes, if the minion declared it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the time until the answer must be complete.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Reads the next piece; nothing at the end of the body.
    ///
    /// # Errors
    /// Returns [`MinionError::Lost`] if the rest does not arrive in time or the connection breaks.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, MinionError> {
        let result = self.read_chunk().await;
        match &result {
            Ok(Some(_)) => {}
            Ok(None) => self.release(),
            Err(_) => self.connection = None,
        }
        result
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// Returns [`MinionError::Lost`] as [`Self::next_chunk`] does, and for a body of more than `limit`
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
                return Err(lost("the answer is too large"));
            }
        }
        Ok(bytes)
    }

    async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, MinionError> {
        let left = self.length.map(|length| length - self.read);
        if left == Some(0) {
            return Ok(None);
        }
        let size = left
            .and_then(|left| usize::try_from(left).ok())
            .map_or(CHUNK, |left| left.min(CHUNK));
        let mut buffer = vec![0; size];
        let count = timeout(self.time_left(), self.reader.read(&mut buffer))
            .await
            .map_err(|_| MinionError::TimedOut)?
            .map_err(|e| lost(&e))?;
        if count == 0 {
            return match self.length {
                // The reader reports a broken connection like the end of the body.
                Some(_) => Err(lost("the answer ended early")),
                None => Ok(None),
            };
        }
        self.read += count as u64;
        buffer.truncate(count);
        Ok(Some(buffer))
    }

    /// Gives the connection back, unless bytes arrived that belong to no request. For a chunked
    /// answer this cannot be seen, so its connection is closed.
    fn release(&mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.keep &= self.length == Some(self.tally.body());
            connection.release();
        }
    }
}
