//! The operators' configuration as the cell uses it.

use std::fmt;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

/// What the advice service of a queue takes to decide which minions may run a step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdviceTiming {
    /// Milliseconds for each call.
    pub decide_ms: f64,
    /// Milliseconds for each minion named in the call.
    pub each_ms: f64,
    /// Milliseconds for which an answer may be used.
    pub valid_ms: u64,
}

impl AdviceTiming {
    /// Returns how long a call that names `minions` takes, in milliseconds.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a call takes at most seconds and names at most 100 minions"
    )]
    pub fn call_ms(&self, minions: usize) -> u64 {
        (self.decide_ms + self.each_ms * minions as f64)
            .ceil()
            .max(0.0) as u64
    }
}

/// A queue: where callers submit jobs and how these are run.
#[derive(Debug, Clone)]
pub struct Queue {
    /// The name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The beginning of the paths of its jobs.
    pub prefix: Name,
    /// The service whose minions run its tasks.
    pub service: Name,
    /// How long a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Milliseconds that a job may take in addition to its stretched run time.
    pub target_ms: u64,
    /// The order among queues; 0 comes first and may preempt others.
    pub priority: u32,
    /// How often a task may fail before its job fails.
    pub attempts: u32,
    /// How many times its run time a job may take.
    pub stretch: f64,
    /// Whether the advice service has to be asked, and what that takes.
    pub advice: Option<AdviceTiming>,
    /// Whether no key is needed.
    pub public: bool,
}

/// An API key. Its text never appears in debugging output.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(pub Name);

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// A client account.
#[derive(Debug, Clone)]
pub struct Account {
    /// The name.
    pub name: Name,
    /// The share when the cell is full; also the jobs a second that the account is promised.
    pub weight: u32,
    /// What the account may have running; 0 in a dimension for no limit.
    pub limit: Resources,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// The version; a later one is higher.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The accounts, sorted by name.
    pub accounts: Vec<Account>,
    /// The keys with the accounts that they belong to, sorted.
    pub keys: Vec<(ApiKey, Name)>,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
}

impl Config {
    /// Returns the queue that a request selects: the one with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |q: &&Queue| &*q.host == host && path.starts_with(&*q.prefix);
        let queues = self.queues.iter().filter(matching);
        queues.max_by_key(|q| q.prefix.len())
    }

    /// Returns the queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// Returns the account of this name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        let at = self.accounts.binary_search_by(|a| (*a.name).cmp(name));
        at.ok().map(|i| &self.accounts[i])
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&Name> {
        let at = self.keys.binary_search_by(|(k, _)| (*k.0).cmp(key));
        at.ok().map(|i| &self.keys[i].1)
    }
}
