//! Which step is served next, and where its tasks are started.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Leader;
use super::allowance::Allowances;
use super::command::Now;
use super::minion::{Minion, fitting};
use crate::config::AdviceTiming;
use crate::job::{StepKey, TaskKey};
use crate::record::Placement;

/// By how many standard deviations the number of allowed minions may fall short of what is expected
/// for a gang still to find enough: one call in twenty turns out too small. A gang starts only if
/// all its tasks find room, so such a call was in vain.
const GANG_DEVIATIONS: f64 = 1.65;

/// A call names as many minions as this part of its fixed time pays for. More names give
/// more choice for little; the fixed time bounds how many calls the cell can make.
const NAMING_PART: f64 = 0.25;

/// Added to the priority of jobs that cannot meet their objective any more, so that work which still
/// can goes first.
const LATE_CLASS: u32 = 1_000;

/// Added to the priority of jobs that are worth nothing any more.
const WORTHLESS_CLASS: u32 = 2_000;

/// How many objectives a job may take before it is worth nothing.
const LATE_OBJECTIVES: u64 = 3;

/// Added to the time after which an answer is expected, in milliseconds, while room is kept for it:
/// the answer travels over two hops and waits for the next pass.
const ANSWER_MS: u64 = 300;

/// The order in which steps are served: the lowest first.
type Order = (u32, bool, u64);

/// A minion on which a step's tasks may find room.
#[derive(Debug)]
struct Room {
    /// How many tasks fit if less urgent runs give way.
    slots: u32,
    /// How many fit once what is already being stopped has stopped.
    stopped: u32,
    name: Name,
}

/// What is to be placed for a step.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) step: StepKey,
    pub(super) amount: Resources,
    pub(super) gang: bool,
    pub(super) one_rack: bool,
    pub(super) rack: Option<Name>,
    pub(super) priority: u32,
    /// Whether the job cannot meet its objective any more.
    late: bool,
    per_minion: u32,
    pub(super) account: Option<Name>,
    /// Tasks to start.
    pub(super) pending: Vec<u32>,
    /// Minions on which a task of the step has failed.
    pub(super) failed_on: Vec<Name>,
}

impl Request {
    /// Returns how many more tasks of the step a minion may run.
    pub(super) fn limit_on(&self, minion: &Minion) -> u32 {
        if self.per_minion == 0 {
            return u32::MAX;
        }
        self.per_minion.saturating_sub(minion.count_of(self.step))
    }

    /// Returns what has to be free for the step to start: all tasks of a gang, or one task.
    pub(super) fn least(&self) -> Resources {
        let tasks = if self.gang { self.pending.len() } else { 1 };
        self.amount.times(tasks as u64)
    }

    pub(super) fn slots(&self, minion: &Minion) -> u32 {
        fitting(&self.amount, &minion.free(self.step)).min(self.limit_on(minion))
    }
}

impl Leader {
    /// Starts what can be started, the most urgent first.
    pub(super) fn schedule(&mut self, now: Now) {
        let mut ready = self.ready_steps(now);
        ready.sort_unstable();
        ready.truncate(self.settings.max_steps);
        let mut allowances = self.allowances();
        self.blocked = super::BlockedSteps::default();
        self.usable = self.usable_minions(now.time);
        for ((class, ..), step) in ready {
            self.place_step(step, class >= LATE_CLASS, &mut allowances, now);
        }
    }

    fn ready_steps(&self, now: Now) -> Vec<(Order, StepKey)> {
        let mut ready = Vec::new();
        for (_, job) in self.jobs.iter() {
            let Some(queue) = self.queues.get(&job.queue) else {
                continue;
            };
            let objective = job.objective_ms(queue);
            for step in job.ready(now, self.settings.early_start_ms) {
                let deadline = job.deadline_ms(queue, step.occurrence);
                let last = deadline + (LATE_OBJECTIVES - 1) * objective;
                let class = if now.wall_ms > last {
                    WORTHLESS_CLASS
                } else if job.expected_end_ms(step, now) > deadline {
                    LATE_CLASS
                } else {
                    0
                };
                ready.push(((class + queue.priority, job.excess, deadline), step));
            }
        }
        ready
    }

    fn request(&self, step: StepKey, late: bool) -> Option<Request> {
        let job = self.jobs.get(&step.job)?;
        let queue = self.queues.get(&job.queue)?;
        let spec = job.step(step)?;
        let places = job.places(step);
        let task = |index| TaskKey { step, index };
        let pending: Vec<u32> = (0..spec.count)
            .filter(|i| job.tasks[places.start + *i as usize].placement == Placement::Pending)
            .filter(|i| !self.strays.contains(&task(*i)))
            .collect();
        if pending.is_empty() || spec.gang && pending.len() != spec.count as usize {
            return None;
        }
        let here = |place: &usize| places.contains(place);
        let failed = job.failed_on.iter().filter(|(place, _)| here(place));
        Some(Request {
            step,
            amount: job.amount(step),
            gang: spec.gang,
            one_rack: spec.one_rack,
            rack: spec.rack.clone(),
            priority: queue.priority,
            late,
            per_minion: spec.per_minion,
            account: job.account.clone(),
            pending,
            failed_on: failed.map(|(_, name)| name.clone()).collect(),
        })
    }

    /// Returns the minions on which the step's tasks may be started as far as the cell knows.
    fn eligible(&self, request: &Request) -> Vec<Name> {
        let Some(job) = self.jobs.get(&request.step.job) else {
            return Vec::new();
        };
        let Some(queue) = self.queues.get(&job.queue) else {
            return Vec::new();
        };
        let label = job.step(request.step).and_then(|s| s.label.clone());
        let allowed = |m: &&Minion| {
            m.entry.service == queue.service
                && label.as_ref().is_none_or(|l| m.has_label(l))
                && request.amount.fits(&m.entry.capacity)
        };
        let usable = self.usable.iter().filter_map(|name| self.minions.get(name));
        usable
            .filter(allowed)
            .map(|m| m.entry.name.clone())
            .collect()
    }

    /// Returns the minions on which tasks may be started at all.
    fn usable_minions(&self, now: Time) -> Vec<Name> {
        let usable = |m: &Minion| {
            m.is_usable(now, &self.settings) && self.evacuated.binary_search(&m.entry.zone).is_err()
        };
        let minions = self.minions.iter().filter(|(_, m)| usable(m));
        minions.map(|(name, _)| name.clone()).collect()
    }

    fn place_step(&mut self, step: StepKey, late: bool, allowances: &mut Allowances, now: Now) {
        let Some(mut request) = self.request(step, late) else {
            return;
        };
        let allowed = self.allowed(&request, allowances);
        let count = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        if allowed == 0 || request.gang && allowed < count {
            self.blocked.limit += 1;
            if !late {
                self.make_allowance(&request, allowances, now);
                allowances.reserve(&request);
            }
            return;
        }
        request.pending.truncate(allowed as usize);
        let terms = self
            .jobs
            .get(&step.job)
            .and_then(|j| self.queues.get(&j.queue))
            .and_then(|q| q.advice);
        // Most waiting steps wait for an answer, which is known without a look at the minions.
        let known = self.advisers.get(step);
        if terms.is_some() && known.is_some_and(super::advice::Known::is_asking) {
            self.blocked.advice += 1;
            if !late {
                allowances.reserve(&request);
            }
            return;
        }
        let has_tickets = known.is_some_and(|k| k.has_tickets(now.time));
        if let Some(terms) = terms.filter(|_| !has_tickets)
            && !self
                .advisers
                .has_free(terms.call_ms(1), late, now.time, &self.settings)
        {
            self.blocked.advice_client += 1;
            return;
        }
        let eligible = self.eligible(&request);
        if eligible.is_empty() {
            return;
        }
        match terms {
            None => {
                self.start_on(&mut request, &eligible, allowances, now);
                self.room_for_rest(&request, &eligible, now);
            }
            Some(terms) => self.place_advised(&mut request, terms, eligible, allowances, now),
        }
    }

    /// Places tasks of a queue whose advice service has to be asked.
    fn place_advised(
        &mut self,
        request: &mut Request,
        terms: AdviceTiming,
        eligible: Vec<Name>,
        allowances: &mut Allowances,
        now: Now,
    ) {
        let known = self.advisers.get(request.step);
        let good = known.map(|k| k.good.clone()).unwrap_or_default();
        let named = known.map(|k| k.named.clone()).unwrap_or_default();
        let good: Vec<Name> = eligible
            .iter()
            .filter(|n| good.contains(n))
            .cloned()
            .collect();
        let has_ticket = |n: &&Name| known.is_some_and(|k| k.ticket(n, now.time).is_some());
        let ticketed: Vec<Name> = good.iter().filter(has_ticket).cloned().collect();
        self.start_on(request, &ticketed, allowances, now);
        if request.pending.is_empty() || self.room_for_rest(request, &ticketed, now) {
            return;
        }
        if self.ask_again(request, terms, &good, &ticketed, now) {
            return;
        }
        let unnamed: Vec<Name> = eligible
            .into_iter()
            .filter(|n| named.binary_search(n).is_err())
            .collect();
        self.ask_more(request, terms, &good, &unnamed, now);
    }

    /// Asks for new tickets on minions that are known to be allowed and have or can get room.
    fn ask_again(
        &mut self,
        request: &Request,
        terms: AdviceTiming,
        good: &[Name],
        ticketed: &[Name],
        now: Now,
    ) -> bool {
        let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        let rooms = self.rooms(request, good, now.time);
        let least = if request.gang { u64::from(want) } else { 1 };
        // A ticket that is still valid is of no use without room, so it is not asked for again.
        let new = rooms.iter().any(|room| !ticketed.contains(&room.name));
        if slots_of(&rooms) < least || !new {
            return false;
        }
        let names: Vec<Name> = rooms.into_iter().map(|room| room.name).collect();
        self.ask_for(request, terms, &names, &names, now);
        true
    }

    /// Asks about minions, and keeps the room of those that are known to be allowed for a gang
    /// until the answer arrives.
    fn ask_for(
        &mut self,
        request: &Request,
        terms: AdviceTiming,
        names: &[Name],
        allowed: &[Name],
        now: Now,
    ) {
        let asked = self.ask(request.step, terms, names.to_vec(), request.late, now);
        let Some(wait_ms) = asked else {
            self.blocked.advice_client += 1;
            return;
        };
        if request.gang {
            let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
            let until = now.time + wait_ms + ANSWER_MS;
            self.reserve_slots(request, allowed, want, until, now.time);
        }
    }

    /// Keeps the room that a gang is going to use when its tickets arrive.
    fn reserve_slots(
        &mut self,
        request: &Request,
        names: &[Name],
        want: u32,
        until: Time,
        now: Time,
    ) {
        let mut left = want;
        for name in names {
            let Some(minion) = self.minions.get(name) else {
                continue;
            };
            let slots = self.slots_later(minion, request, now).0.min(left);
            if slots > 0 {
                left -= slots;
                self.reserve(request, name, slots, until);
            }
        }
    }

    /// Asks which of the minions that were not named yet may run the step. A call for a gang also
    /// names those that are known to be allowed, so that all its tickets are valid together.
    fn ask_more(
        &mut self,
        request: &Request,
        terms: AdviceTiming,
        good: &[Name],
        unnamed: &[Name],
        now: Now,
    ) {
        let known = if request.gang {
            self.rooms(request, good, now.time)
        } else {
            Vec::new()
        };
        let rooms = self.rooms(request, unnamed, now.time);
        let want = request.pending.len() as u64;
        let want = want.saturating_sub(slots_of(&known)).max(1);
        let least = if request.gang { want } else { 1 };
        if slots_of(&rooms) < least {
            self.blocked.capacity += 1;
            return;
        }
        let queue = self.jobs.get(&request.step.job).map(|j| j.queue.clone());
        let share = self.advisers.share(&queue.unwrap_or_default());
        let deviations = if request.gang { GANG_DEVIATIONS } else { 0.0 };
        let count = names_for_call(&rooms, want, terms, share, deviations);
        let allowed: Vec<Name> = known.into_iter().map(|room| room.name).collect();
        let new = rooms.into_iter().take(count).map(|room| room.name);
        let names: Vec<Name> = allowed.iter().cloned().chain(new).collect();
        self.ask_for(request, terms, &names, &allowed, now);
    }

    /// Returns the minions that have or can get room, those for most tasks first. Among equal ones
    /// each step has an order of its own, so that calls for different steps name different minions.
    fn rooms(&self, request: &Request, names: &[Name], now: Time) -> Vec<Room> {
        let mut rooms = Vec::new();
        for name in names {
            let Some(minion) = self.minions.get(name) else {
                continue;
            };
            let (stopped, slots) = self.slots_later(minion, request, now);
            if slots > 0 {
                rooms.push(Room {
                    slots,
                    stopped,
                    name: name.clone(),
                });
            }
        }
        let step = request.step;
        rooms.sort_by_cached_key(|r| (Reverse((r.slots, r.stopped)), spread(step, &r.name)));
        rooms
    }

    /// Makes room for what could not be started. Returns whether there will be room for it, so
    /// that there is nothing to do but wait.
    fn room_for_rest(&mut self, request: &Request, names: &[Name], now: Now) -> bool {
        let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        want == 0 || !names.is_empty() && self.make_room(request, names, want, now) >= want
    }
}

/// Returns for how many tasks these minions have or can get room.
fn slots_of(rooms: &[Room]) -> u64 {
    rooms.iter().map(|room| u64::from(room.slots)).sum()
}

/// Returns a number that orders minions in another way for each step.
fn spread(step: StepKey, name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (step.job.0, step.occurrence, step.step, name).hash(&mut hasher);
    hasher.finish()
}

/// Returns how many minions a call names: enough that those which turn out to be allowed, a part of
/// `share`, have room for all tasks, also if they are by `deviations` fewer than expected. Each
/// minion is allowed or not regardless of the others.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "there are at most thousands of minions"
)]
fn names_for_call(
    rooms: &[Room],
    want: u64,
    terms: AdviceTiming,
    share: f64,
    deviations: f64,
) -> usize {
    let mut slots = 0;
    let mut needed = 0;
    for room in rooms {
        if slots >= want {
            break;
        }
        slots += u64::from(room.slots);
        needed += 1;
    }
    let needed = f64::from(needed);
    // The mean of a binomial distribution that exceeds `needed` by that many of its deviations.
    let refused = 1.0 - share;
    let half = deviations * deviations * refused / 2.0;
    let mean = needed + half + (2.0 * half * needed + half * half).sqrt();
    let expected = (mean / share).ceil() as usize;
    let cheap = (terms.decide_ms * NAMING_PART / terms.each_ms.max(0.001)) as usize;
    expected.max(cheap)
}
