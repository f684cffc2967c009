//! What callers learn of the states of their jobs from a member process.

mod members;

use std::fs;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use primrosebay_platform_standin::{
    API_KEY, HOST, Minion, PATH_PREFIX, RunMonitor, Store, boot_file, config, job_body,
};
use primrosebay_transport::http_client::Client;

use members::Member;

/// Maximum time until the member is ready or the job has completed.
const WAIT: Duration = Duration::from_secs(40);

/// Time for which the answer about a running job waits for its end.
const END_WAIT: Duration = Duration::from_millis(200);

/// Guards against callers who are told that their job is running just before it ends, and who learn
/// of its end only when they ask again. The answer about a job whose tasks all run waits for the end
/// instead, so a caller who asks again at once gets few answers.
#[test]
fn answer_about_a_running_job_waits_for_its_end() {
    task::block_on(async {
        let directory = format!("primrosebay-states-{}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory).unwrap();
        let store = Store::start().await.unwrap();
        store.put_operator_record("config", &config(1));
        let monitor = Arc::new(Mutex::new(RunMonitor::default()));
        let minion = Minion::start("minion-0", &store, monitor).await.unwrap();
        let member = Member::start(&directory, 0, store.address(), boot_file);
        let client = Client::new();
        let call = async |method, body| {
            let headers = [("Host", HOST), ("Credential", API_KEY)];
            let path = format!("{PATH_PREFIX}{:016x}", 1);
            let timeout = Duration::from_secs(4);
            let address = member.addresses.front;
            let call = client.bytes(address, method, &path, &headers, body, timeout);
            let (status, bytes) = call.await.ok()?;
            let text = String::from_utf8_lossy(&bytes).into_owned();
            status.is_success().then_some(text)
        };
        let deadline = Instant::now() + WAIT;
        let body = job_body(2, 1_500, 200).into_bytes();
        while call(Method::Post, Some(body.clone())).await.is_none() {
            assert!(Instant::now() < deadline, "the job is not accepted");
            task::sleep(Duration::from_millis(50)).await;
        }
        let mut running: Vec<Instant> = Vec::new();
        loop {
            let state = call(Method::Get, None).await;
            match state.as_deref() {
                Some(s) if s.contains("completed") => break,
                Some(s) if s.contains("running") => running.push(Instant::now()),
                _ => task::sleep(Duration::from_millis(10)).await,
            }
            assert!(Instant::now() < deadline, "the job is {state:?}");
        }
        let (Some(first), Some(last)) = (running.first(), running.last()) else {
            panic!("the job was not seen running");
        };
        let waits = last.duration_since(*first).as_millis() / END_WAIT.as_millis();
        let answers = running.len() as u128;
        assert!(answers <= waits + 2, "{answers} answers in {waits} waits");
        assert!(!member.output("err").contains("panicked"));
        drop(minion);
        fs::remove_dir_all(&directory).unwrap();
    });
}
