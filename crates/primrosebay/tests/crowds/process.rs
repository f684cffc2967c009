//! What the operating system says about a process and its connections.

use std::fs;
use std::net::SocketAddr;
use std::time::Instant;

use async_std::task;

use super::{MAX_OTHER_DESCRIPTORS, QUIET, WAIT};

/// Returns the peak memory of a process in kB.
pub fn peak_kb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns the number of open descriptors of a process.
pub fn descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).unwrap().count()
}

/// Waits until a process has read what was sent to these addresses and its peak memory does not change
/// any more.
pub async fn settle(id: u32, addresses: &[SocketAddr]) {
    let deadline = Instant::now() + WAIT;
    let mut peak = peak_kb(id);
    loop {
        task::sleep(QUIET).await;
        let now = peak_kb(id);
        if now == peak && !has_unread(addresses) || Instant::now() > deadline {
            return;
        }
        peak = now;
    }
}

/// Returns whether connections to these addresses are not accepted or bytes sent there are not read.
pub fn has_unread(addresses: &[SocketAddr]) -> bool {
    let local = |address: &SocketAddr| {
        let SocketAddr::V4(v4) = address else {
            panic!("not an IPv4 address");
        };
        let ip = u32::from_le_bytes(v4.ip().octets());
        format!("{ip:08X}:{:04X}", v4.port())
    };
    let locals: Vec<String> = addresses.iter().map(local).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    // The fields are number, local and remote address, state, and "SENDING:UNREAD".
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let address = fields.next()?;
        let is_local = locals.iter().any(|l| l == address);
        is_local.then(|| fields.nth(2)).flatten()
    });
    queues.into_iter().any(|q| !q.ends_with(":00000000"))
}

/// Waits until a process has closed the connections of clients that have left.
pub async fn wait_for_descriptors(id: u32) {
    let deadline = Instant::now() + WAIT;
    while descriptors(id) > MAX_OTHER_DESCRIPTORS {
        assert!(Instant::now() < deadline, "{} open", descriptors(id));
        task::sleep(std::time::Duration::from_millis(50)).await;
    }
}
