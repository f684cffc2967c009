//! Member processes over a store with records of other writers: no process ends, the members stay
//! ready, and accepted jobs complete on the good minions.

mod members;

use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use primrosebay_cell::record::Record;
use primrosebay_platform_standin::{
    API_KEY, HOST, Minion, PATH_PREFIX, RunMonitor, Store, boot_file, config, job_body,
};
use primrosebay_transport::http_client::Client;

use members::Member;

const MEMBERS: usize = 3;

/// Maximum time until a member is ready or a job has completed. Covers the election of a leader and
/// the lease of a minion on a busy machine.
const WAIT: Duration = Duration::from_secs(40);

/// Topics of the store that members follow.
const TOPICS: [&str; 4] = ["keyed.servers", "keyed.op", "keyed.cell", "keyed.members"];

/// Maximum number of lines about records that cannot be decoded in the log of one member: 10 in 10 s
/// for each stream, and the test takes less than 100 s.
const MAX_ODD_LINES: usize = 300;

struct Cell {
    store: Store,
    members: Vec<Member>,
    directory: PathBuf,
    client: Client,
    jobs: u64,
}

impl Cell {
    /// Starts a store. `name` is unique among the tests of this file.
    async fn start(name: &str) -> Self {
        let directory = format!("primrosebay-{name}-{}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory).unwrap();
        Self {
            store: Store::start().await.unwrap(),
            members: Vec::new(),
            directory,
            client: Client::new(),
            jobs: 0,
        }
    }

    /// Starts the members with the numbers from `first` on.
    fn start_members(&mut self, first: usize) {
        for number in first..first + MEMBERS {
            let store = self.store.address();
            let member = Member::start(&self.directory, number, store, boot_file);
            self.members.push(member);
        }
    }

    async fn is_ready(&self, member: usize) -> bool {
        let address = self.members[member].addresses.ready;
        let (path, timeout) = ("/api/readyz", Duration::from_secs(1));
        let call = self
            .client
            .bytes(address, Method::Get, path, &[], None, timeout);
        call.await.is_ok_and(|(status, _)| status.is_success())
    }

    /// Waits until all members are ready.
    async fn wait_ready(&mut self) {
        let deadline = Instant::now() + WAIT;
        for member in 0..self.members.len() {
            while !self.is_ready(member).await {
                assert!(Instant::now() < deadline, "member {member} is not ready");
                self.assert_running();
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Asserts that no process has ended or panicked.
    fn assert_running(&mut self) {
        for (i, member) in self.members.iter_mut().enumerate() {
            let status = member.child.try_wait().unwrap();
            assert!(status.is_none(), "member {i} ended: {status:?}");
            let errors = member.output("err");
            assert!(!errors.contains("panicked"), "member {i}: {errors}");
        }
    }

    async fn call(&self, method: Method, job: u64, body: Option<Vec<u8>>) -> Option<String> {
        let member = usize::try_from(job).unwrap_or(0) % self.members.len();
        let address = self.members[member].addresses.front;
        let path = format!("{PATH_PREFIX}{job:016x}");
        let headers = [("Host", HOST), ("Credential", API_KEY)];
        let call = self.client.bytes(
            address,
            method,
            &path,
            &headers,
            body,
            Duration::from_secs(4),
        );
        let (status, bytes) = call.await.ok()?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        status.is_success().then_some(text)
    }

    /// Submits jobs with odd bodies, each of which has to be answered with its status.
    async fn submit_odd_jobs(&mut self) {
        for (i, (body, expected)) in odd_jobs().into_iter().enumerate() {
            let address = self.members[i % MEMBERS].addresses.front;
            let path = format!("{PATH_PREFIX}{:016x}", 0xf000 + i);
            let headers = [("Host", HOST), ("Credential", API_KEY)];
            let shown = body[..body.len().min(200)].to_string();
            let body = Some(body.into_bytes());
            let timeout = Duration::from_secs(4);
            let call = self
                .client
                .bytes(address, Method::Post, &path, &headers, body, timeout);
            let status = call.await.map(|(status, _)| u16::from(status));
            assert!(
                matches!(status, Ok(s) if s == expected),
                "{shown}: {status:?}"
            );
        }
        self.assert_running();
    }

    /// Submits jobs to all members and waits until they are completed. Asserts meanwhile that no
    /// process ends and, if `stays_ready`, that the members stay ready.
    async fn complete_jobs(&mut self, stays_ready: bool) {
        let deadline = Instant::now() + WAIT;
        let first = self.jobs + 1;
        self.jobs += 2 * MEMBERS as u64;
        for job in first..=self.jobs {
            let body = job_body(2, 200, 500).into_bytes();
            while self
                .call(Method::Post, job, Some(body.clone()))
                .await
                .is_none()
            {
                assert!(Instant::now() < deadline, "job {job} is not accepted");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        for job in first..=self.jobs {
            loop {
                let state = self.call(Method::Get, job, None).await;
                if state.as_ref().is_some_and(|s| s.contains("completed")) {
                    break;
                }
                assert!(Instant::now() < deadline, "job {job} is {state:?}");
                self.assert_running();
                for member in 0..self.members.len() {
                    let is_ready = !stays_ready || self.is_ready(member).await;
                    assert!(is_ready, "member {member} is not ready");
                }
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Writes all odd records to all topics. The names of the keys begin with `prefix`.
    fn write_odd_records(&self, prefix: &str) {
        for topic in TOPICS {
            for (i, value) in odd_values().iter().enumerate() {
                let key = format!("{prefix}-{i}");
                self.store.put_bytes(topic, key.as_bytes(), value);
            }
            for key in odd_keys() {
                self.store.put_bytes(topic, &key, b"{\"a\":1}");
                self.store.put_bytes(topic, &key, GOOD_ENTRY.as_bytes());
            }
        }
        for zone in odd_keys() {
            let key = [b"evacuate/", &zone[..zone.len().min(200)]].concat();
            self.store.put_bytes("keyed.op", &key, b"[[[");
        }
    }
}

/// An entry that is good but for its address, at which nothing listens.
const GOOD_ENTRY: &str = r#"{"service":"service","address":"127.0.0.1:1","zone":"zone-a",
  "state":"ready","capacity":{"cpu":4000,"memMb":100000},"labels":["kind","rack"],"born":1}"#;

fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

fn odd_values() -> Vec<Vec<u8>> {
    let numbers = [
        "1e400",
        "-1",
        "1.5",
        "18446744073709551615",
        "18446744073709551616",
        "9223372036854775808",
        "1000000000000000000000000000000",
        "\"1\"",
        "null",
    ];
    let mut values: Vec<Vec<u8>> = Vec::new();
    for number in numbers {
        values.push(GOOD_ENTRY.replace("4000", number).into_bytes());
        values.push(
            GOOD_ENTRY
                .replace("\"born\":1", &format!("\"born\":{number}"))
                .into_bytes(),
        );
        let draining = format!("\"draining\",\"drainRemainingMs\":{number}");
        values.push(GOOD_ENTRY.replace("\"ready\"", &draining).into_bytes());
        values.push(format!("{{\"version\":{number},\"routes\":[]}}").into_bytes());
    }
    for port in ["0", "65536", "99999", "-1", ""] {
        values.push(
            GOOD_ENTRY
                .replace(":1\"", &format!(":{port}\""))
                .into_bytes(),
        );
    }
    for address in [
        "0.0.0.0:1",
        "[::]:1",
        "224.0.0.1:1",
        "host.example:1",
        "[::1]:1",
        "",
    ] {
        values.push(GOOD_ENTRY.replace("127.0.0.1:1", address).into_bytes());
    }
    for levels in [100, 130, 10_000, 100_000] {
        values.push(nested(levels).into_bytes());
        values.push(GOOD_ENTRY.replace("4000", &nested(levels)).into_bytes());
        values.push(
            GOOD_ENTRY
                .replacen('{', &format!("{{\"a\":{},", nested(levels)), 1)
                .into_bytes(),
        );
        values.push("{\"a\":".repeat(levels).into_bytes());
    }
    values.push(GOOD_ENTRY.replace("ready", "asleep").into_bytes());
    values.push(
        GOOD_ENTRY
            .replace("\"service\",", "\"other\",")
            .into_bytes(),
    );
    values.push(
        GOOD_ENTRY
            .replace("kind", &"x".repeat(100_000))
            .into_bytes(),
    );
    values.push(
        GOOD_ENTRY
            .replace("\"ready\"", &format!("\"{}\"", "x".repeat(100_000)))
            .into_bytes(),
    );
    values.push(vec![b'['; 262_144]);
    values.push(vec![0xff; 262_144]);
    values.push(vec![1; 1_000]);
    values.push(vec![0xff, 0xfe]);
    // The first bytes of records of the cell's own stream, in the current encoding.
    values.extend((0..6).map(|kind| [&[1, kind][..], &[0xff; 12]].concat()));
    values
}

/// Returns bodies of jobs with the status with which each is answered.
fn odd_jobs() -> Vec<(String, u16)> {
    let step = |fields: &str| {
        format!("{{\"spec\":\"1 1\",\"steps\":[{{\"count\":1,\"cpu\":1,{fields}}}]}}")
    };
    let repeated = |count: u32, times: u32| {
        let step = format!("{{\"count\":{count}}}");
        format!(
            "{{\"steps\":[{step},{step}],\"repeatCount\":{times},\"firstMs\":1e300,\"intervalMs\":1e300}}"
        )
    };
    vec![
        (step("\"memMb\":9223372036854775808"), 200),
        (step("\"estimateMs\":1e300"), 200),
        (step("\"estimateMs\":18446744073709551615"), 200),
        (step("\"estimateMs\":-1e300"), 200),
        (step("\"maxPerServer\":4294967295"), 200),
        (repeated(1, 2_000), 200),
        (repeated(1 << 31, 1 << 31), 400),
        (repeated(u32::MAX, u32::MAX), 400),
        (step("\"estimateMs\":1e400"), 400),
        (step("\"gpu\":18446744073709551616"), 400),
        (step("\"dependsOn\":[4294967295]"), 400),
        (step(&format!("\"dependsOn\":{}", nested(10_000))), 400),
        (step(&format!("\"other\":{}", nested(10_000))), 400),
        (nested(100_000), 400),
        (String::new(), 400),
    ]
}

fn odd_keys() -> Vec<Vec<u8>> {
    let keys: [&[u8]; 16] = [
        b"",
        b"a&b",
        b"a#b",
        b"a b",
        b"a%zz",
        b"a\r\nX-Other: 1",
        b"a\"b",
        b"a/../b",
        b"a\0b",
        "\u{e9}".as_bytes(),
        "m\u{1f600}".as_bytes(),
        b"\xff\xfe",
        b"m\xff",
        b"config2",
        b"leader2",
        &[b'k'; 255],
    ];
    keys.map(<[u8]>::to_vec).into()
}

/// Guards against a member that ends, is no longer ready, or stops following a stream because of a
/// record of another writer, and against a log that is flooded by such records.
#[test]
fn odd_entries_do_not_disturb_the_cell() {
    task::block_on(async {
        let mut cell = Cell::start("odd").await;
        // Odd entries are there alone before the members start.
        cell.store
            .put_bytes("keyed.op", b"config", &vec![b'['; 200_000]);
        cell.write_odd_records("early");
        cell.store.put_operator_record("config", &config(1));
        cell.start_members(0);
        cell.wait_ready().await;
        let monitor = Arc::new(Mutex::new(RunMonitor::default()));
        let mut minions = Vec::new();
        for i in 0..2 {
            let name = format!("minion-{i}");
            let minion = Minion::start(&name, &cell.store, Arc::clone(&monitor)).await;
            minions.push(minion.unwrap());
        }
        cell.complete_jobs(true).await;
        // Callers submit odd jobs. Those that are accepted stay active, and later leaders add them.
        cell.submit_odd_jobs().await;
        cell.complete_jobs(true).await;
        // Odd entries arrive while the members follow the streams.
        cell.write_odd_records("late");
        cell.store
            .put_bytes("keyed.op", b"config", b"{\"version\":1e400}");
        for i in 0..1_000 {
            let key = format!("many-{i}");
            cell.store
                .put_bytes("keyed.servers", key.as_bytes(), b"{\"a\":");
        }
        cell.complete_jobs(true).await;
        // Odd entries replace a good one, which then returns.
        for value in odd_values() {
            cell.store.put_bytes("keyed.servers", b"minion-0", &value);
            for topic in TOPICS {
                cell.store.put_bytes(topic, b"rewritten", &value);
            }
            task::sleep(Duration::from_millis(30)).await;
        }
        cell.store.put_bytes("keyed.servers", b"minion-0", b"\xff");
        cell.complete_jobs(true).await;
        minions[0].announce(&cell.store);
        cell.complete_jobs(true).await;
        // New processes read all of it, and one of them leads.
        cell.store.put_operator_record("config", &config(2));
        cell.members.clear();
        cell.start_members(MEMBERS);
        cell.wait_ready().await;
        cell.complete_jobs(true).await;
        let violations = monitor.lock().unwrap().violations.clone();
        assert!(violations.is_empty(), "{violations:?}");
        for i in 0..2 * MEMBERS {
            let log = cell
                .directory
                .join(format!("member-{i}"))
                .with_extension("log");
            let text = fs::read_to_string(log).unwrap();
            let is_odd = |l: &&str| l.contains("undecodable") || l.contains("malformed");
            let lines = text.lines().filter(is_odd).count();
            assert!(lines <= MAX_ODD_LINES, "{lines} lines of member {i}");
            let longest = text.lines().map(str::len).max().unwrap_or(0);
            assert!(longest <= 2_000, "a line of {longest} bytes of member {i}");
        }
        fs::remove_dir_all(&cell.directory).unwrap();
    });
}

/// Paths on which members call each other.
const PEER_PATHS: [&str; 5] = [
    "/v1/advice",
    "/v1/records",
    "/v1/relay",
    "/v1/carry",
    "/v1/orders",
];

/// Guards against a member that ends, or stops serving, because of a message from another one that it
/// cannot decode, and against one that answers whoever does not know its secret.
#[test]
fn odd_messages_between_members_do_not_end_them() {
    task::block_on(async {
        let mut cell = Cell::start("messages").await;
        cell.store.put_operator_record("config", &config(1));
        cell.start_members(0);
        cell.wait_ready().await;
        let monitor = Arc::new(Mutex::new(RunMonitor::default()));
        let minion = Minion::start("minion-0", &cell.store, Arc::clone(&monitor));
        let _minion = minion.await.unwrap();
        cell.complete_jobs(true).await;
        let record = cell.store.cell_record("mmember-0");
        let record = record.expect("the member has announced itself");
        let Ok(Record::Member(_, member)) = Record::read("mmember-0", &record) else {
            panic!("not an announcement");
        };
        let address = member.address.parse().unwrap();
        for path in PEER_PATHS {
            for body in odd_values() {
                for (secret, expected) in [(&*member.secret, 400), ("another", 401)] {
                    let headers = [("primrosebay-secret", secret)];
                    let timeout = Duration::from_secs(4);
                    let body = Some(body.clone());
                    let answer = cell
                        .client
                        .bytes(address, Method::Post, path, &headers, body, timeout)
                        .await;
                    let status = answer.map(|(status, _)| u16::from(status)).ok();
                    assert_eq!(status, Some(expected), "{path}");
                }
            }
        }
        cell.complete_jobs(true).await;
        cell.assert_running();
        assert!(monitor.lock().unwrap().violations.is_empty());
        fs::remove_dir_all(&cell.directory).unwrap();
    });
}

/// Number of large odd entries: a quarter of 1,000, since the stand-in takes a tenth of a second for
/// a page of four in a debug build.
const LARGE_ENTRIES: usize = 250;

/// Maximum memory of a member with this many large odd entries, in kB: a quarter of the 260 MB above
/// which the platform ends a small instance.
const MAX_MEMORY_KB: u64 = 65_000;

/// Guards against a member that ends because large records of other writers fill its memory.
#[test]
fn large_odd_entries_do_not_fill_the_memory() {
    task::block_on(async {
        let mut cell = Cell::start("large").await;
        cell.store.put_operator_record("config", &config(1));
        let value = vec![b'['; 262_144];
        for i in 0..LARGE_ENTRIES {
            let key = format!("large-{i}");
            cell.store
                .put_bytes("keyed.servers", key.as_bytes(), &value);
        }
        for i in 0..20 {
            let key = format!("evacuate/zone-{i}");
            cell.store.put_bytes("keyed.op", key.as_bytes(), &value);
        }
        cell.start_members(0);
        cell.wait_ready().await;
        let monitor = Arc::new(Mutex::new(RunMonitor::default()));
        let _minion = Minion::start("minion-0", &cell.store, monitor).await;
        // The stand-in answers no other call while it encodes a page of large records, so that the
        // members may lose their readiness.
        cell.complete_jobs(false).await;
        for member in &cell.members {
            let path = format!("/proc/{}/status", member.child.id());
            let status = fs::read_to_string(path).unwrap();
            let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
            let memory: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
            println!("peak memory: {memory} kB");
            assert!(memory <= MAX_MEMORY_KB, "{memory} kB");
        }
        fs::remove_dir_all(&cell.directory).unwrap();
    });
}
