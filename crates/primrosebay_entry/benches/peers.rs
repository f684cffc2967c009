//! Control traffic of heartbeats over loopback, and records through publishers.
//!
//! Bytes are those of UDP payloads plus 28 bytes of IP and UDP headers for each packet. Each run is
//! bounded in time and number of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task::{self, block_on};

use primrosebay_coordination::membership::{Listed, Membership};
use primrosebay_coordination::publisher::{Copies, CopyLimits};
use primrosebay_entry::peers::{ConfirmedHeartbeat, LocalInstance, Peers, Report};
use primrosebay_entry::publisher::Publisher;
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::{LogEntry, Page};
use primrosebay_protocol::peer::{Demand, Request, Response, Summary, ZoneResources, ZoneTerm};
use primrosebay_standin::log::{Faults, LogService, Settings as LogSettings};
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, JobId};
use primrosebay_state::record::Body;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use primrosebay_transport::http_server::{Limits, Server};
use primrosebay_transport::log::HttpLog;
use primrosebay_transport::peer::{DevAuthority, Settings, Traffic};

const WARM_UP: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(12);
/// Bytes of the IPv4 and UDP headers of a packet.
const HEADERS: u64 = 28;
/// Clock ticks a second of `/proc/self/stat`.
const TICKS: f64 = 100.0;

/// An instance whose coordinated zone changes with each heartbeat, as at the peak of task starts.
struct Source {
    started: Instant,
    zone: Option<Name>,
    turn: AtomicU64,
}

impl LocalInstance for Source {
    fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn report(&self) -> Option<Report> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let amount = |scale: u64| Resources {
            cores_milli: scale * 1_000 - turn % 1_000,
            memory_mib: scale * 2_048 - turn % 1_000,
            accelerators: scale / 50,
        };
        let summary = self.zone.as_ref().map(|zone| Summary {
            zones: vec![ZoneTerm {
                zone: zone.clone(),
                epoch: 40,
            }],
            free: vec![ZoneResources {
                zone: zone.clone(),
                free: amount(1_700),
                total: amount(7_100),
                wanted: amount(300),
            }],
            demand: (0..3)
                .map(|team| Demand {
                    team: format!("team-{team}").into(),
                    zone: zone.clone(),
                    amount: amount(100),
                })
                .collect(),
        });
        Some(Report {
            config: 70_000,
            log_age: Some(turn % 1_000),
            current: true,
            summary: summary.unwrap_or_default(),
        })
    }

    fn heartbeat_confirmed(&self, _: ConfirmedHeartbeat<'_>) {}

    fn config_records(&self, _: u64) -> Page {
        Page::default()
    }

    fn apply_config(&self, _: Vec<LogEntry>) {}

    fn handle_call<'a>(
        &'a self,
        _: &'a Name,
        _: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(async { Response::Refused(Code::INTERNAL) })
    }
}

struct Node {
    name: Name,
    region: usize,
    peers: Arc<Peers>,
}

async fn cell(zones: usize, per_zone: usize) -> Vec<Node> {
    let authority = DevAuthority::new().expect("an authority");
    let zone = |i: usize| Name::from(format!("zone-{i}"));
    let regions: Vec<_> = (0..zones)
        .map(|i| (zone(i), format!("region-{}", i / 3).into()))
        .collect();
    let mut nodes = Vec::new();
    let mut list = Vec::new();
    for i in 0..zones * per_zone {
        let name = Name::from(format!("entry-{i:02}"));
        let home = zone(i % zones);
        let settings = Settings {
            name: name.clone(),
            incarnation: Incarnation(0x9e37_79b9_7f4a_7c15 ^ i as u64),
            ..Settings::default()
        };
        let identity = authority.issue(&name).expect("a certificate");
        let source = Source {
            started: Instant::now(),
            zone: (i < zones).then(|| home.clone()),
            turn: AtomicU64::new(0),
        };
        let mut membership = Membership::new(name.clone(), home.clone());
        membership.set_regions(regions.clone());
        let copies = Copies::new(CopyLimits::default());
        let peers = Peers::start(settings, identity, membership, copies, Arc::new(source));
        let peers = peers.expect("a free port");
        list.push(Listed {
            name: name.clone(),
            zone: home,
            address: peers
                .net()
                .address()
                .expect("an address")
                .to_string()
                .into(),
            leaving: false,
        });
        nodes.push(Node {
            name,
            region: i % zones / 3,
            peers,
        });
    }
    for node in &nodes {
        node.peers.update_list(&list);
    }
    let linked = |node: &Node| node.peers.net().connected().len() == nodes.len() - 1;
    while !nodes.iter().all(linked) {
        task::sleep(Duration::from_millis(50)).await;
    }
    nodes
}

/// Returns the traffic of each link of each node: whether it is in one region, and the counters.
fn traffic(nodes: &[Node]) -> Vec<(bool, Traffic)> {
    let mut all = Vec::new();
    for node in nodes {
        for peer in nodes.iter().filter(|peer| peer.name != node.name) {
            let traffic = node.peers.net().traffic(&peer.name).unwrap_or_default();
            all.push((node.region == peer.region, traffic));
        }
    }
    all
}

/// Returns the processor time of this process in seconds.
fn processor() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: Vec<f64> = fields
        .skip(11)
        .take(2)
        .filter_map(|t| t.parse().ok())
        .collect();
    ticks.iter().sum::<f64>() / TICKS
}

#[expect(clippy::cast_precision_loss, reason = "figures need few digits")]
async fn bench_heartbeats(zones: usize, per_zone: usize) {
    let nodes = cell(zones, per_zone).await;
    task::sleep(WARM_UP).await;
    let (before, used, started) = (traffic(&nodes), processor(), Instant::now());
    task::sleep(MEASURED).await;
    let (after, seconds) = (traffic(&nodes), started.elapsed().as_secs_f64());
    let used = (processor() - used) / seconds / nodes.len() as f64 * 100.0;
    let count = nodes.len() as f64;
    let mut sums = [(0, 0, 0_u64), (0, 0, 0)];
    for ((near, before), (_, after)) in before.iter().zip(&after) {
        let sum = &mut sums[usize::from(!near)];
        let packets = after.sent_packets.saturating_sub(before.sent_packets);
        sum.0 += after.sent_bytes.saturating_sub(before.sent_bytes) + HEADERS * packets;
        sum.1 += packets;
        sum.2 += 1;
    }
    let rate = |bytes: u64, of: f64| bytes as f64 / seconds / of;
    println!(
        "{count:>3} instances: {:>6.0} B/s sent by a node, {:>5.1} packets/s, link in the region \
         {:>4.0} B/s, link to another region {:>4.0} B/s, {used:.2}% of a core for a node",
        rate(sums[0].0 + sums[1].0, count),
        rate(sums[0].1 + sums[1].1, count),
        rate(sums[0].0, (sums[0].2 as f64).max(1.0)),
        rate(sums[1].0, (sums[1].2 as f64).max(1.0)),
    );
    for node in nodes {
        node.peers.close().await;
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures need few digits")]
async fn bench_records(instances: usize) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let log = LogService::new(LogSettings::default()).app();
    let service = log.state().clone();
    service.set_faults(Faults {
        rate: 300,
        ..Faults::default()
    });
    let server = Server::start(any, log, Limits::default()).await;
    let server = server.expect("a free port");
    let stop = Arc::new(AtomicBool::new(false));
    let mut writers = Vec::new();
    for process in 0..instances {
        let log = Arc::new(HttpLog::new(server.address(), Duration::from_secs(2)));
        let publisher = Publisher::start(log, Incarnation(process as u64 + 1));
        publisher.set_instances(instances);
        for writer in 0..200 {
            let (publisher, stop) = (publisher.clone(), stop.clone());
            writers.push(task::spawn(async move {
                let mut sequence = 0;
                while !stop.load(Ordering::Relaxed) {
                    sequence += 1;
                    let job = JobId {
                        incarnation: Incarnation(writer),
                        sequence,
                    };
                    let _ = publisher
                        .append_without_timeout("jobs", Body::Cancelled { job })
                        .await;
                }
            }));
        }
    }
    task::sleep(Duration::from_secs(1)).await;
    let (before, started) = (service.counts(), Instant::now());
    task::sleep(Duration::from_secs(8)).await;
    let (after, seconds) = (service.counts(), started.elapsed().as_secs_f64());
    println!(
        "{instances:>3} publishers: {:.0} appends/s, {:.0} records/s, {} appends over the limit",
        (after.appends - before.appends) as f64 / seconds,
        (after.records - before.records) as f64 / seconds,
        after.limited,
    );
    stop.store(true, Ordering::Relaxed);
    for writer in writers {
        writer.await;
    }
    server.close().await;
}

fn main() {
    let only = |part: &str| std::env::args().any(|argument| argument == part);
    block_on(async {
        if !only("records") {
            for (zones, per_zone) in [(3, 2), (9, 2), (9, 3)] {
                bench_heartbeats(zones, per_zone).await;
            }
        }
        if !only("heartbeats") {
            bench_records(6).await;
        }
    });
}
