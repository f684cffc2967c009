//! Crowds beside other trouble: without the store, on all members at once, on a small machine, and
//! while a member stops.

use std::time::{Duration, Instant};

use async_std::task;
use rustix::process::{Pid, Signal, kill_process};

use super::beside::gather;
use super::{
    BODY_BYTES, Instance, KB, MAX_MEMORY_KB, Sender, Setup, WAIT, head, hold, lock, process,
};
use primrosebay_platform_standin::job_body;

/// Returns a client whose body is one byte short of its end.
fn short_body(i: usize) -> Sender {
    Sender {
        start: head(i, &format!("Content-Length: {BODY_BYTES}\r\n\r\n")),
        piece: vec![b'x'; 16 * KB],
        bytes: BODY_BYTES - 1,
    }
}

/// Returns a client that submits a job whose body has nearly the largest size.
fn large_job(i: usize) -> Sender {
    let note = "x".repeat(BODY_BYTES - 1_000);
    let job = job_body(1, 200, 500);
    let body = format!("{{\"note\":\"{note}\",{}", &job[1..]).into_bytes();
    Sender {
        start: head(i, &format!("Content-Length: {}\r\n\r\n", body.len())),
        bytes: body.len(),
        piece: body,
    }
}

/// Guards against requests received completely that wait for the store and fill the memory.
#[test]
fn complete_requests_do_not_fill_the_memory_without_the_store() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = Instance::start("away").await;
        let address = instance.member.addresses.front;
        instance.store.set_unavailable(true);
        let crowd: Vec<_> = (0..400)
            .map(|i| task::spawn(hold(address, large_job(i))))
            .collect();
        let mut held = Vec::new();
        for client in crowd {
            held.push(client.await);
        }
        instance.settle().await;
        instance.store.set_unavailable(false);
        instance.submit_until_accepted().await;
        drop(held);
        instance.wait_for_descriptors().await;
        instance.submit_until_accepted().await;
        instance.assert_running();
        let peak = instance.peak_kb();
        assert!(peak <= MAX_MEMORY_KB, "{peak} kB");
        instance.close();
    });
}

/// Guards against a cell whose members all end because of a crowd on each of them, one of which leads.
#[test]
fn crowds_on_all_members_do_not_fill_their_memory() {
    let _lock = lock();
    task::block_on(async {
        let mut first = Instance::start("all-0").await;
        let mut members = Vec::new();
        for (number, name) in [(1, "all-1"), (2, "all-2")] {
            let setup = Setup {
                name,
                number,
                ..Setup::default()
            };
            members.push(Instance::join(&setup, &first.store).await);
        }
        first.submit_until_accepted().await;
        members.push(first);
        let crowds: Vec<_> = members
            .iter()
            .map(|m| task::spawn(gather(m.member.addresses.front, 300, short_body)))
            .collect();
        let mut held = Vec::new();
        for crowd in crowds {
            held.push(crowd.await);
        }
        for member in &mut members {
            member.settle().await;
            member.submit_until_accepted().await;
        }
        drop(held);
        for mut member in members {
            member.wait_for_descriptors().await;
            member.submit_until_accepted().await;
            member.assert_running();
            let peak = member.peak_kb();
            assert!(peak <= MAX_MEMORY_KB, "{peak} kB");
            member.close();
        }
    });
}

/// Guards against a budget that leaves too little of the smallest machine.
#[test]
fn bodies_short_of_their_end_do_not_fill_the_smallest_machine() {
    let _lock = lock();
    task::block_on(async {
        let setup = Setup {
            name: "smallest",
            memory_mb: 160,
            ..Setup::default()
        };
        let mut instance = Instance::start_with(&setup).await;
        let held = gather(instance.member.addresses.front, 1_200, short_body).await;
        instance.settle().await;
        instance.submit_until_accepted().await;
        drop(held);
        instance.wait_for_descriptors().await;
        instance.submit_until_accepted().await;
        instance.assert_running();
        let peak = instance.peak_kb();
        assert!(peak <= 160 * 1_024, "{peak} kB");
        instance.close();
    });
}

/// Guards against a member that does not end because of clients that hold their connections.
#[test]
fn member_stops_beside_a_crowd() {
    let _lock = lock();
    task::block_on(async {
        let mut instance = Instance::start("stop").await;
        let held = gather(instance.member.addresses.front, 400, short_body).await;
        let id = Pid::from_child(&instance.member.child);
        assert!(process::peak_kb(instance.member.child.id()) <= MAX_MEMORY_KB);
        kill_process(id, Signal::TERM).unwrap();
        let deadline = Instant::now() + WAIT;
        let status = loop {
            if let Some(status) = instance.member.child.try_wait().unwrap() {
                break status;
            }
            assert!(Instant::now() < deadline, "the member has not ended");
            task::sleep(Duration::from_millis(50)).await;
        };
        assert!(status.success(), "{status:?}");
        drop(held);
        instance.close();
    });
}
