//! A limit of the tasks that do the same work at the same time.

use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;

/// Permits for work that takes much memory while it is done.
#[derive(Debug)]
pub struct Permits {
    /// Holds an item for each permit in use.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Permits {
    /// Creates `count` permits.
    ///
    /// # Panics
    /// Panics if `count` is zero.
    #[must_use]
    pub fn new(count: usize) -> Self {
        let (sender, receiver) = bounded(count);
        Self { sender, receiver }
    }

    /// Waits for a permit for at most `wait`. Returns `None` if none is free until then.
    pub async fn acquire(&self, wait: Duration) -> Option<Permit<'_>> {
        let acquired = timeout(wait, self.sender.send(())).await;
        acquired.ok()?.ok().map(|()| Permit { permits: self })
    }
}

/// A permit, which is released when it is dropped.
#[derive(Debug)]
pub struct Permit<'a> {
    permits: &'a Permits,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let _ = self.permits.receiver.try_recv();
    }
}
