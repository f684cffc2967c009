//! The bounded queue of requests that wait for a slot, fair between accounts.

use std::collections::VecDeque;

use primrosebay_state::Name;
use primrosebay_state::time::Time;

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueRules {
    /// Most requests that wait.
    pub count: usize,
    /// Most bytes of bodies that are held, of requests that wait or run.
    pub bytes: u64,
    /// Largest part of the bytes that one account may hold, in percent.
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

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub ticket: u64,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The minion of the last attempt, which the next attempt should avoid.
    pub avoid: Option<Name>,
}

#[derive(Debug)]
struct Account {
    name: Name,
    waiting: VecDeque<Waiting>,
    running: u32,
    bytes: u64,
    served: u64,
}

impl Account {
    fn idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0 && self.bytes == 0
    }
}

/// Returns the team of an account, whose name has the form `team/account`.
fn team(account: &str) -> &str {
    account.split_once('/').map_or(account, |(team, _)| team)
}

/// Requests that wait for a slot, by account.
#[derive(Debug)]
pub struct Queue {
    rules: QueueRules,
    /// Accounts with requests, by name.
    accounts: Vec<Account>,
    count: usize,
    bytes: u64,
    turn: u64,
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
            turn: 0,
        }
    }

    /// Holds `bytes` for a body of `account` and returns whether they were free.
    pub fn reserve_bytes(&mut self, account: &Name, bytes: u64) -> bool {
        let share = self.rules.bytes * self.rules.account_percent / 100;
        if self.bytes + bytes > self.rules.bytes {
            return false;
        }
        let entry = self.entry(account);
        if entry.bytes + bytes > share {
            return false;
        }
        entry.bytes += bytes;
        self.bytes += bytes;
        true
    }

    /// Gives back bytes that were held.
    pub fn release_bytes(&mut self, account: &Name, bytes: u64) {
        let entry = self.entry(account);
        entry.bytes = entry.bytes.saturating_sub(bytes);
        self.bytes = self.bytes.saturating_sub(bytes);
        self.forget(account);
    }

    /// Counts a request of `account` as running.
    pub fn started(&mut self, account: &Name) {
        self.turn += 1;
        let turn = self.turn;
        let entry = self.entry(account);
        entry.running += 1;
        entry.served = turn;
    }

    /// Counts a request of `account` as no longer running.
    pub fn ended(&mut self, account: &Name) {
        let entry = self.entry(account);
        entry.running = entry.running.saturating_sub(1);
        self.forget(account);
    }

    /// Adds a request, in front of its account's others if it was sent before. Returns the request
    /// that has to go because the queue is full: the newest of the account that has most waiting.
    pub fn push(&mut self, account: &Name, request: Waiting, again: bool) -> Option<u64> {
        let entry = self.entry(account);
        if again {
            entry.waiting.push_front(request);
        } else {
            entry.waiting.push_back(request);
        }
        self.count += 1;
        if self.count <= self.rules.count {
            return None;
        }
        let own = self.entry(account).waiting.len();
        let longest = self.accounts.iter().map(|a| a.waiting.len()).max()?;
        // Between equals the newcomer goes.
        let from = if own == longest {
            self.position(account).ok()?
        } else {
            self.accounts
                .iter()
                .position(|a| a.waiting.len() == longest)?
        };
        self.count -= 1;
        self.accounts[from].waiting.pop_back().map(|w| w.ticket)
    }

    /// Takes the first request of the team that has the fewest running and, within the team, of
    /// the account that has the fewest; of equals, the one that was served longest ago.
    ///
    /// A caller chooses the account's name within its team, so accounts alone would let a team
    /// raise its part by inventing names.
    pub fn pop(&mut self) -> Option<(Name, Waiting)> {
        let mut best: Option<((u32, u32, u64), usize)> = None;
        let mut start = 0;
        for members in self
            .accounts
            .chunk_by(|a, b| team(&a.name) == team(&b.name))
        {
            let total: u32 = members.iter().map(|a| a.running).sum();
            for (i, member) in members.iter().enumerate() {
                let rank = (total, member.running, member.served);
                if !member.waiting.is_empty() && best.is_none_or(|(least, _)| rank < least) {
                    best = Some((rank, start + i));
                }
            }
            start += members.len();
        }
        let entry = &mut self.accounts[best?.1];
        let request = entry.waiting.pop_front()?;
        self.count -= 1;
        Some((entry.name.clone(), request))
    }

    /// Removes a waiting request and returns whether it was waiting.
    pub fn cancel(&mut self, account: &Name, ticket: u64) -> bool {
        let waiting = &mut self.entry(account).waiting;
        let at = waiting.iter().position(|w| w.ticket == ticket);
        let found = at.and_then(|i| waiting.remove(i)).is_some();
        self.count -= usize::from(found);
        self.forget(account);
        found
    }

    /// Returns how many requests of `account` wait.
    #[must_use]
    pub fn waiting(&self, account: &str) -> usize {
        self.position(account)
            .map_or(0, |i| self.accounts[i].waiting.len())
    }

    /// Returns how many of `capacity` slots `account` can expect while others wait as well.
    #[must_use]
    pub fn share(&self, account: &str, capacity: u32) -> u32 {
        let (mut backlogged, mut others) = (1, 0);
        for entry in self.accounts.iter().filter(|a| &*a.name != account) {
            if entry.waiting.is_empty() {
                others += entry.running;
            } else {
                backlogged += 1;
            }
        }
        (capacity.saturating_sub(others) / backlogged).max(1)
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns how many bytes of bodies are held.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn position(&self, account: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|entry| (*entry.name).cmp(account))
    }

    fn entry(&mut self, account: &Name) -> &mut Account {
        let at = self.position(account).unwrap_or_else(|i| {
            let entry = Account {
                name: account.clone(),
                waiting: VecDeque::new(),
                running: 0,
                bytes: 0,
                served: 0,
            };
            self.accounts.insert(i, entry);
            i
        });
        &mut self.accounts[at]
    }

    /// Removes an account without requests, so that names do not pile up.
    fn forget(&mut self, account: &str) {
        if let Ok(i) = self.position(account)
            && self.accounts[i].idle()
        {
            self.accounts.remove(i);
        }
    }
}
