//! Validated settings of an entry instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use crate::options::Options;
use crate::problem::SettingsError;
use crate::reader::{Field, Reader};

/// Declares a group of numeric options with their defaults, ranges and documentation.
macro_rules! numbers {
    ($(#[$meta:meta])* $group:ident, $prefix:literal, {
        $($name:ident = $default:expr, $range:expr, $doc:literal;)*
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub struct $group {
            $(#[doc = $doc] pub $name: u64,)*
        }

        impl Default for $group {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        impl $group {
            fn read(reader: &mut Reader) -> Self {
                Self {
                    $($name: reader.number(
                        concat!($prefix, ".", stringify!($name)), $default, &$range, $doc,
                    ),)*
                }
            }
        }
    };
}

/// Part of the memory that the largest body may take: half of the budget for unfinished requests.
const BODY_FRACTION: u64 = 16;

numbers! {
    /// Limits that keep the memory of an instance below 256 MB.
    Limits, "limits", {
        memory_bytes = 256 << 20, 64 << 20..=1 << 40, "Memory of the machine for the process, in bytes; an eighth of it is the budget for unfinished requests.";
        body_bytes = 1 << 20, 1024..=64 << 20, "Largest body of a request, in bytes.";
        header_bytes = 8191, 1024..=8191, "Largest head of a request with the empty lines before it, in bytes.";
        connections = 4096, 16..=65_536, "Open HTTP connections; a further one takes the place of the one without progress for the longest time.";
        watchers = 256, 1..=16_384, "Open watches of the configuration; further ones are refused.";
        watch_events = 4096, 16..=65_536, "Changes of the configuration that are kept for watches.";
        page_items = 500, 1..=5000, "Most items on one page of a list.";
        page_bytes = 1 << 20, 64 << 10..=4 << 20, "Most bytes of the items on one page of a list; a longer item has a page of its own.";
        list_requests = 2, 1..=64, "Lists of jobs that are collected at the same time; further ones wait for a second and are then refused.";
        queue_requests = 4096, 1..=1 << 20, "Requests that wait for a minion.";
        queue_bytes = 32 << 20, 64 << 10..=1 << 30, "Bytes of requests that wait for a minion.";
        queue_records = 65_536, 256..=1 << 20, "Records that wait to be appended to the log.";
        append_bytes = 256 << 10, 4096..=1 << 20, "Largest append to the log, in bytes.";
        append_rate = 240, 1..=300, "Appends a second by all entry instances together.";
    }
}

numbers! {
    /// Timeouts and periods, in milliseconds.
    Timeouts, "timeouts", {
        header_ms = 5000, 100..=60_000, "Time in which the head of a request must arrive.";
        body_ms = 30_000, 100..=600_000, "Time in which the body of a request must arrive.";
        idle_ms = 60_000, 1000..=3_600_000, "Time after which an idle connection is closed.";
        accept_ms = 5000, 0..=60_000, "Time for which a change waits for its acceptance before the answer says that it is pending.";
        append_ms = 2000, 100..=60_000, "Time after which the outcome of an append is unknown.";
        bookmark_ms = 5000, 100..=60_000, "Longest time between two lines of a watch.";
        stop_ms = 30_000, 0..=600_000, "Time for requests in flight at a planned stop.";
        control_ms = 1200, 300..=60_000, "`CONTROL_TTL`: duration of a control lease.";
        heartbeat_ms = 400, 50..=10_000, "Period of heartbeats to peers and workers.";
        rank_ms = 300, 10..=10_000, "Delay of a candidate's claim for each rank.";
        task_ms = 20_000, 1000..=3_600_000, "`TASK_TTL`: time after which a worker stops a task whose lease was not renewed.";
        suspect_ms = 1200, 100..=60_000, "Time without a heartbeat after which a peer is suspected.";
        drop_ms = 2400, 100..=60_000, "Time without a heartbeat after which nothing is forwarded to a peer.";
        batch_ms = 5, 0..=1000, "Time for which records are collected into one append.";
        poll_ms = 1000, 50..=3000, "Longest wait of one read of the log; below the 4 s after which an instance is not fresh.";
        list_ms = 1000, 50..=60_000, "Period of reads of the live list.";
    }
}

/// The name and the location of the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The unique name of the instance.
    pub name: Arc<str>,
    /// The availability zone in which the instance runs.
    pub zone: Arc<str>,
    /// The region of the zone; its zones form the quorum for operation without the log.
    pub region: Arc<str>,
}

impl Default for Identity {
    fn default() -> Self {
        Self {
            name: Arc::from("entry"),
            zone: Arc::from("zone"),
            region: Arc::from("region"),
        }
    }
}

/// Addresses on which the instance listens, and those of the services that it calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// The address on which callers and operators are served over HTTP.
    pub http: SocketAddr,
    /// The address on which other entry instances are served.
    pub peers: SocketAddr,
    /// The address of the log service.
    pub log: SocketAddr,
    /// The address of the list service, which lists the live instances.
    pub list: SocketAddr,
}

impl Default for Addresses {
    /// Returns loopback addresses with port 0, which tests replace.
    fn default() -> Self {
        let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            http: unset,
            peers: unset,
            log: unset,
            list: unset,
        }
    }
}

/// PEM files for mutual TLS between entry instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// The instance's certificate chain.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// The certificates of the trusted authorities.
    pub authorities: PathBuf,
}

/// The settings of an entry instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// The name and the location of the instance.
    pub instance: Identity,
    /// The addresses to listen on, and those of the services that the instance calls.
    pub addresses: Addresses,
    /// The TLS files; `None` is allowed only if the address for peers is a loopback address.
    pub tls: Option<Tls>,
    /// SHA-256 of each operator's key, as 64 lower-case hexadecimal digits.
    pub operators: Vec<Arc<str>>,
    /// Limits of memory and rates.
    pub limits: Limits,
    /// Timeouts and periods, in milliseconds.
    pub timeouts: Timeouts,
}

impl Settings {
    /// Validates `options` and fills in the defaults.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every invalid, unknown or missing option.
    pub fn resolve(options: &Options) -> Result<Self, SettingsError> {
        let mut reader = Reader::new(options);
        let settings = Self::read(&mut reader);
        settings.check_relations(&mut reader);
        reader.reject_unknown();
        SettingsError::ensure_none(reader.problems)?;
        Ok(settings)
    }

    /// Returns the documentation of all options.
    #[must_use]
    pub fn fields() -> Vec<Field> {
        let options = Options::default();
        let mut reader = Reader::new(&options);
        Self::read(&mut reader);
        reader.fields
    }

    fn read(reader: &mut Reader) -> Self {
        Self {
            instance: Identity {
                name: reader.name("instance.name", "Unique name of the instance."),
                zone: reader.name("instance.zone", "Availability zone of the instance."),
                region: reader.name("instance.region", "Region of the instance."),
            },
            addresses: read_addresses(reader),
            tls: read_tls(reader),
            operators: reader.hashes("operators.keys", "SHA-256 of each operators' key."),
            limits: Limits::read(reader),
            timeouts: Timeouts::read(reader),
        }
    }

    /// Checks the rules that involve several options.
    fn check_relations(&self, reader: &mut Reader) {
        if self.tls.is_none() && !self.addresses.peers.ip().is_loopback() {
            let rule = "all three files unless addresses.peers is a loopback address";
            reader.add_problem("tls", rule);
        }
        let limits = &self.limits;
        let most = limits.memory_bytes / BODY_FRACTION;
        if limits.body_bytes > most {
            let rule = format!("at most {most}, a sixteenth of limits.memory_bytes");
            reader.add_problem("limits.body_bytes", rule);
        }
        let timeouts = &self.timeouts;
        let control = timeouts.control_ms;
        if timeouts.heartbeat_ms * 2 > control {
            let rule = format!("at most half of timeouts.control_ms ({control})");
            reader.add_problem("timeouts.heartbeat_ms", rule);
        }
        if timeouts.task_ms < control {
            let rule = format!("at least timeouts.control_ms ({control})");
            reader.add_problem("timeouts.task_ms", rule);
        }
        if timeouts.drop_ms < timeouts.suspect_ms {
            let rule = format!("at least timeouts.suspect_ms ({})", timeouts.suspect_ms);
            reader.add_problem("timeouts.drop_ms", rule);
        }
    }
}

fn read_addresses(reader: &mut Reader) -> Addresses {
    let local = |port| Some(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let unset = Addresses::default();
    let http = "Address on which callers and operators are served.";
    let peers = "Address on which other entry instances are served, over UDP.";
    Addresses {
        http: reader
            .address("addresses.http", local(8080), http)
            .unwrap_or(unset.http),
        peers: reader
            .address("addresses.peers", local(8081), peers)
            .unwrap_or(unset.peers),
        log: reader
            .address("addresses.log", None, "The log service.")
            .unwrap_or(unset.log),
        list: reader
            .address("addresses.list", None, "The live list.")
            .unwrap_or(unset.list),
    }
}

fn read_tls(reader: &mut Reader) -> Option<Tls> {
    let certificate = reader.file("tls.certificate", "Certificate chain of the instance.");
    let key = reader.file("tls.key", "Private key of the certificate.");
    let authorities = reader.file("tls.authorities", "Authorities of the peers' certificates.");
    match (certificate, key, authorities) {
        (Some(certificate), Some(key), Some(authorities)) => Some(Tls {
            certificate,
            key,
            authorities,
        }),
        (None, None, None) => None,
        _ => {
            reader.add_problem("tls", "all three files or none");
            None
        }
    }
}
