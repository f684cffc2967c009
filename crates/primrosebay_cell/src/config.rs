//! Cell configuration as set by the operators.

use std::fmt;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use serde::{Deserialize, Serialize};

/// Timing of a queue's advice service, which decides which minions may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Fixed duration of a call, in milliseconds.
    pub fixed_ms: f64,
    /// Additional duration for each minion named in the call, in milliseconds.
    pub per_minion_ms: f64,
    /// Validity of an answer, in milliseconds.
    pub valid_ms: u64,
}

impl AdviceTiming {
    /// Returns the duration of a call that names `minions` minions, in milliseconds, rounded up.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a call lasts at most seconds and names at most 100 minions"
    )]
    pub fn call_ms(&self, minions: usize) -> u64 {
        (self.fixed_ms + self.per_minion_ms * minions as f64)
            .ceil()
            .max(0.0) as u64
    }
}

/// A queue: a route on which callers submit jobs and the rules by which these run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue, unique in the configuration. Submissions refer to it.
    pub name: Name,
    /// Host that callers address.
    pub host: Name,
    /// Path prefix of the queue's requests.
    pub prefix: Name,
    /// Service whose minions run the tasks.
    pub service: Name,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Part of a job's latency objective that does not depend on its run time, in milliseconds.
    pub target_ms: u64,
    /// Priority; a lower value is more urgent and may preempt higher ones. 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task or gang after which its job fails.
    pub attempts: u32,
    /// Factor by which the critical path of a job counts toward its latency objective.
    pub stretch: f64,
    /// Timing of the advice service; none if the queue does not need advice.
    pub advice: Option<AdviceTiming>,
    /// Whether callers need no API key.
    pub public: bool,
}

/// An API key. Debug output omits its text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(pub Name);

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// A client account with its share of the cell and its limit.
#[derive(Debug, Clone)]
pub struct Account {
    /// Name of the account, unique in the configuration. API keys and jobs refer to it.
    pub name: Name,
    /// Relative share of a full cell. Also taken as the submission rate, in jobs per second, up to
    /// which the account's jobs are not ranked behind others; 0 for no rate limit.
    pub weight: u32,
    /// Limit on the resources of running tasks; 0 in a dimension for no limit.
    pub limit: Resources,
}

/// One version of the cell configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version number; increases with every change.
    pub version: u64,
    /// Queues, in no particular order.
    pub queues: Vec<Queue>,
    /// Client accounts, sorted by name.
    pub accounts: Vec<Account>,
    /// API keys and the accounts that own them, sorted by key.
    pub keys: Vec<(ApiKey, Name)>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

impl Config {
    /// Returns the queue for a request: the one on `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |q: &&Queue| &*q.host == host && path.starts_with(&*q.prefix);
        let queues = self.queues.iter().filter(matching);
        queues.max_by_key(|q| q.prefix.len())
    }

    /// Returns this version with the queues and accounts of an earlier one that it lacks. Jobs that
    /// were accepted on a queue since removed are scheduled by it.
    #[must_use]
    pub fn with_removed(&self, earlier: &Self) -> Self {
        let mut config = self.clone();
        let removed = earlier.queues.iter();
        let removed = removed.filter(|queue| self.queue(&queue.name).is_none());
        config.queues.extend(removed.cloned());
        let removed = earlier.accounts.iter();
        let removed = removed.filter(|account| self.account(&account.name).is_none());
        config.accounts.extend(removed.cloned());
        config.accounts.sort_by(|a, b| a.name.cmp(&b.name));
        config
    }

    /// Returns the queue with this name, if any.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// Returns the account with this name, if any.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        let found = self.accounts.binary_search_by(|a| (*a.name).cmp(name));
        found.ok().map(|i| &self.accounts[i])
    }

    /// Returns the account that owns this API key, if any.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&Name> {
        let found = self.keys.binary_search_by(|(k, _)| (*k.0).cmp(key));
        found.ok().map(|i| &self.keys[i].1)
    }
}
