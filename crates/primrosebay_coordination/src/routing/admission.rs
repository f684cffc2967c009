//! Admission queue: a bounded queue of requests that wait for a slot, fair between teams and
//! between their accounts.

use std::collections::VecDeque;

use primrosebay_state::Name;
use primrosebay_state::time::Time;

/// Limits of an admission queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueRules {
    /// Largest number of waiting requests.
    pub count: usize,
    /// Largest total size in bytes of the bodies held for waiting and running requests.
    pub bytes: u64,
    /// Largest share of `bytes` that one account may hold, in percent.
    pub account_percent: u64,
}

impl Default for QueueRules {
    fn default() -> Self {
        Self {
            count: 4096,
            bytes: 32 << 20,
            account_percent: 50,
        }
    }
}

/// A request for a slot of a minion. It is queued if no slot is free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Identifier of the request, chosen by the caller of the queue.
    pub ticket: u64,
    /// When the client stops waiting for the answer.
    pub deadline: Time,
    /// Minion of the last attempt, which the next attempt should avoid; `None` before the first
    /// attempt.
    pub avoid: Option<Name>,
}

/// The requests of one account.
#[derive(Debug)]
struct Account {
    name: Name,
    waiting: VecDeque<SlotRequest>,
    running: u32,
    /// Bytes reserved for the bodies of the account's requests.
    bytes: u64,
    /// Number of the latest start of a request, see [`Queue::starts`]; 0 if there was none.
    last_start: u64,
}

impl Account {
    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0 && self.bytes == 0
    }
}

/// Returns the team of an account whose name has the form `team/account`, otherwise the whole name.
fn team(account: &str) -> &str {
    account.split_once('/').map_or(account, |(team, _)| team)
}

/// The requests that wait for a slot, by account.
#[derive(Debug)]
pub struct Queue {
    rules: QueueRules,
    /// Accounts with requests or reserved bytes, sorted by name.
    accounts: Vec<Account>,
    /// Number of waiting requests.
    count: usize,
    /// Reserved bytes of all accounts.
    bytes: u64,
    /// Number of requests started so far.
    starts: u64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(rules: QueueRules) -> Self {
        Self {
            rules,
            accounts: Vec::new(),
            count: 0,
            bytes: 0,
            starts: 0,
        }
    }

    /// Reserves `bytes` for a body of `account`. Returns whether the limits allowed it.
    pub fn reserve_bytes(&mut self, account: &Name, bytes: u64) -> bool {
        let share = self.rules.bytes * self.rules.account_percent / 100;
        if self.bytes + bytes > self.rules.bytes {
            return false;
        }
        let state = self.account_mut(account);
        if state.bytes + bytes > share {
            return false;
        }
        state.bytes += bytes;
        self.bytes += bytes;
        true
    }

    /// Releases bytes that were reserved for a body of `account`.
    pub fn release_bytes(&mut self, account: &Name, bytes: u64) {
        let state = self.account_mut(account);
        state.bytes = state.bytes.saturating_sub(bytes);
        self.bytes = self.bytes.saturating_sub(bytes);
        self.remove_idle(account);
    }

    /// Counts a request of `account` as running.
    pub fn started(&mut self, account: &Name) {
        self.starts += 1;
        let starts = self.starts;
        let state = self.account_mut(account);
        state.running += 1;
        state.last_start = starts;
    }

    /// Counts a request of `account` as no longer running.
    pub fn ended(&mut self, account: &Name) {
        let state = self.account_mut(account);
        state.running = state.running.saturating_sub(1);
        self.remove_idle(account);
    }

    /// Adds a request; a retried one goes before the other requests of its account. If the queue is
    /// full, evicts the newest request of the account with the most waiting requests and returns
    /// its ticket.
    pub fn push(&mut self, account: &Name, request: SlotRequest, retried: bool) -> Option<u64> {
        let state = self.account_mut(account);
        if retried {
            state.waiting.push_front(request);
        } else {
            state.waiting.push_back(request);
        }
        self.count += 1;
        if self.count <= self.rules.count {
            return None;
        }
        let own_count = self.account_mut(account).waiting.len();
        let longest = self.accounts.iter().map(|a| a.waiting.len()).max()?;
        // On a tie, a request of `account` is evicted.
        let evicted = if own_count == longest {
            self.position(account).ok()?
        } else {
            self.accounts
                .iter()
                .position(|a| a.waiting.len() == longest)?
        };
        self.count -= 1;
        self.accounts[evicted].waiting.pop_back().map(|w| w.ticket)
    }

    /// Removes and returns the first request of the account that is next: of the team with the
    /// fewest running requests, the account with the fewest. On a tie, the account whose last start
    /// is the oldest is next.
    ///
    /// A client chooses the account name within its team, so fairness between accounts alone would
    /// let a team raise its share by inventing accounts.
    pub fn pop(&mut self) -> Option<(Name, SlotRequest)> {
        let mut best: Option<((u32, u32, u64), usize)> = None;
        let mut start = 0;
        for accounts in self
            .accounts
            .chunk_by(|a, b| team(&a.name) == team(&b.name))
        {
            let total: u32 = accounts.iter().map(|a| a.running).sum();
            for (i, account) in accounts.iter().enumerate() {
                let rank = (total, account.running, account.last_start);
                if !account.waiting.is_empty() && best.is_none_or(|(least, _)| rank < least) {
                    best = Some((rank, start + i));
                }
            }
            start += accounts.len();
        }
        let state = &mut self.accounts[best?.1];
        let request = state.waiting.pop_front()?;
        self.count -= 1;
        Some((state.name.clone(), request))
    }

    /// Removes a waiting request. Returns whether the request was waiting.
    pub fn cancel(&mut self, account: &Name, ticket: u64) -> bool {
        let waiting = &mut self.account_mut(account).waiting;
        let position = waiting.iter().position(|w| w.ticket == ticket);
        let found = position.and_then(|i| waiting.remove(i)).is_some();
        self.count -= usize::from(found);
        self.remove_idle(account);
        found
    }

    /// Returns the number of waiting requests of `account`.
    #[must_use]
    pub fn waiting(&self, account: &str) -> usize {
        self.position(account)
            .map_or(0, |i| self.accounts[i].waiting.len())
    }

    /// Returns the number of slots, out of `capacity`, that `account` can expect while other
    /// accounts wait as well; at least 1.
    #[must_use]
    pub fn share(&self, account: &str, capacity: u32) -> u32 {
        let (mut backlogged, mut occupied) = (1, 0);
        for other in self.accounts.iter().filter(|a| &*a.name != account) {
            if other.waiting.is_empty() {
                occupied += other.running;
            } else {
                backlogged += 1;
            }
        }
        (capacity.saturating_sub(occupied) / backlogged).max(1)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the reserved bytes of all accounts.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn position(&self, account: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|entry| (*entry.name).cmp(account))
    }

    /// Returns the state of an account, which is added if it is missing.
    fn account_mut(&mut self, account: &Name) -> &mut Account {
        let i = self.position(account).unwrap_or_else(|i| {
            let state = Account {
                name: account.clone(),
                waiting: VecDeque::new(),
                running: 0,
                bytes: 0,
                last_start: 0,
            };
            self.accounts.insert(i, state);
            i
        });
        &mut self.accounts[i]
    }

    /// Removes an account without requests and reserved bytes, so that unused accounts do not
    /// accumulate.
    fn remove_idle(&mut self, account: &str) {
        if let Ok(i) = self.position(account)
            && self.accounts[i].is_idle()
        {
            self.accounts.remove(i);
        }
    }
}
