//! Crowds on the addresses of an entry instance, `primrosebay serve`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use primrosebay_protocol::api::{JobView, ListPage};
use primrosebay_state::job::MAX_TASKS;
use rstest::rstest;

use super::beside::{count_open, gather};
use super::support::{Cell, Process, TEAM_KEY, batch};
use super::{KB, MAX_OTHER_DESCRIPTORS, MB, Sender, WAIT, chunk, lock, process};

/// Memory that a node may use for control, in kB.
pub const MAX_MEMORY_KB: u64 = 256 * 1_024;

/// Largest body that the default settings allow, in bytes.
const BODY_BYTES: usize = MB;

/// Number of jobs with the largest number of tasks, of 0.5 MB each in answers.
const LARGE_JOBS: usize = 16;

/// Number of clients that do not read a list.
const UNREAD_LISTS: usize = 100;

/// A way in which clients are outside the limits.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// Bodies of the largest size.
    WholeBodies,
    /// Bodies that are one byte short of their end.
    ShortBodies,
    /// Bodies in small pieces, short of their end.
    BodyPieces,
    /// Chunks of 16 KB without a last one, below the largest size of a body.
    LargeChunks,
    /// Chunks of 8 bytes without a last one, below the largest size of a body.
    SmallChunks,
    /// Heads without an end.
    EndlessHeads,
}

impl Kind {
    /// Returns what a client sends.
    fn sender(self) -> Sender {
        let (head, bytes) = (head(), BODY_BYTES);
        let length = format!("{head}Content-Length: {bytes}\r\n\r\n").into_bytes();
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        let endless = format!("{head}X-Long: ").into_bytes();
        let piece = chunk(16 * KB);
        let (start, piece, bytes) = match self {
            Self::WholeBodies => (length, vec![b'x'; 16 * KB], bytes),
            Self::ShortBodies => (length, vec![b'x'; 16 * KB], bytes - 1),
            Self::BodyPieces => (length, vec![b'x'; 2 * KB], bytes / 4 * 3),
            Self::LargeChunks => {
                let count = bytes / (16 * KB) - 1;
                (chunked, piece.clone(), count * piece.len())
            }
            Self::SmallChunks => {
                let (count, piece) = (bytes / 4 * 3 / (8 * KB), chunk(8).repeat(KB));
                (chunked, piece.clone(), count * piece.len())
            }
            Self::EndlessHeads => (endless, vec![b'x'; 16 * KB], 2 * MB),
        };
        Sender {
            start,
            piece,
            bytes,
        }
    }
}

/// Submits ordinary jobs until one is accepted.
pub async fn submit_until_accepted(cell: &mut Cell) {
    let deadline = Instant::now() + WAIT;
    loop {
        cell.reconnect();
        let answer = cell.submit(0, &batch("ordinary", 1, 10)).await;
        if answer.is_ok() {
            return;
        }
        assert!(cell.entries[0].is_running(), "the entry instance ended");
        assert!(Instant::now() < deadline, "no job is accepted: {answer:?}");
        task::sleep(Duration::from_millis(50)).await;
    }
}

fn http(entry: &Process) -> SocketAddr {
    entry.address
}

fn head() -> String {
    format!("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TEAM_KEY}\r\n")
}

/// Runs a crowd of clients against an entry instance. Asserts that it survives within its bounds and
/// serves an ordinary caller beside the crowd and after it.
async fn assert_survives(clients: usize, sender: Sender) {
    assert_cell_survives(Cell::start(1, 1).await, clients, sender).await;
}

async fn assert_cell_survives(mut cell: Cell, clients: usize, sender: Sender) -> Cell {
    let address = http(&cell.entries[0]);
    let id = cell.entries[0].id();
    let before = process::peak_kb(id);
    let held = gather(address, clients, |_| sender.clone()).await;
    process::settle(id, &[address]).await;
    let (peak, descriptors) = (process::peak_kb(id), process::descriptors(id));
    println!("{before} kB before, peak {peak} kB, {descriptors} descriptors");
    submit_until_accepted(&mut cell).await;
    drop(held);
    process::wait_for_descriptors(id).await;
    submit_until_accepted(&mut cell).await;
    let peak = process::peak_kb(id);
    assert!(peak <= MAX_MEMORY_KB, "{peak} kB");
    let most = clients + MAX_OTHER_DESCRIPTORS;
    assert!(descriptors <= most, "{descriptors} descriptors");
    assert!(cell.entries[0].is_running(), "the entry instance ended");
    cell
}

/// Returns the number of jobs on all pages of the list of an ordinary caller.
async fn count_listed(cell: &Cell) -> usize {
    let (mut count, mut after) = (0, String::new());
    loop {
        let path = format!("/v1/jobs{after}");
        let page: ListPage<JobView> = cell.get(0, TEAM_KEY, &path).await.unwrap();
        count += page.items.len();
        let Some(next) = page.next else {
            return count;
        };
        after = format!("?after={next}");
    }
}

/// Guards against an entry instance whose clients fill the memory.
#[rstest]
#[case::whole_bodies(Kind::WholeBodies, 500)]
#[case::short_bodies(Kind::ShortBodies, 500)]
#[case::body_pieces(Kind::BodyPieces, 500)]
#[case::large_chunks(Kind::LargeChunks, 500)]
#[case::small_chunks(Kind::SmallChunks, 500)]
#[case::endless_heads(Kind::EndlessHeads, 200)]
fn crowds_do_not_fill_the_memory_of_an_entry_instance(#[case] kind: Kind, #[case] clients: usize) {
    let _lock = lock();
    task::block_on(assert_survives(clients, kind.sender()));
}

/// Guards against answers that their clients do not read and that fill the memory together.
#[test]
fn unread_lists_do_not_fill_the_memory_of_an_entry_instance() {
    let _lock = lock();
    task::block_on(async {
        let cell = Cell::start(1, 1).await;
        for i in 0..LARGE_JOBS {
            let job = batch(&format!("large-{i}"), MAX_TASKS, 60_000);
            let id = cell.submit(0, &job).await.unwrap().id;
            cell.wait_for_job(0, id, |_| true).await;
        }
        let head =
            format!("GET /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TEAM_KEY}\r\n");
        let sender = Sender {
            start: format!("{head}\r\n").into_bytes(),
            piece: Vec::new(),
            bytes: 0,
        };
        let cell = assert_cell_survives(cell, UNREAD_LISTS, sender).await;
        assert!(count_listed(&cell).await > LARGE_JOBS);
    });
}

/// Guards against connections without a request that keep out callers and operators at the limit.
#[test]
fn idle_connections_do_not_keep_out_callers_of_an_entry_instance() {
    let _lock = lock();
    task::block_on(async {
        let mut cell = Cell::start_with("limits: {connections: 64}", 1, 1).await;
        let nothing = |_| Sender {
            start: Vec::new(),
            piece: Vec::new(),
            bytes: 0,
        };
        cell.reconnect();
        let held: Vec<TcpStream> = gather(http(&cell.entries[0]), 100, nothing).await;
        submit_until_accepted(&mut cell).await;
        let open = count_open(&held).await;
        assert!(open > 32, "{open} held");
        assert!(cell.entries[0].is_running(), "the entry instance ended");
    });
}
