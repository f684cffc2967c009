//! Requests to workers.

use primrosebay_protocol::worker::{Command as Order, Request, Start, Term};
use primrosebay_state::Name;
use primrosebay_state::id::TaskId;
use primrosebay_state::time::{Time, WorkerTime};

use rand::Rng;

use super::jobs::{Active, Excess, State};
use super::member::Member;
use super::term::Phase;
use super::{Command, Coordinator};

/// Most starts in one request, so that it stays within about 64 KB.
const MAX_STARTS: usize = 256;

/// What all requests of one moment have in common.
struct Basis {
    term: Term,
    may_renew: bool,
}

impl Coordinator {
    /// Sends what is due.
    pub(super) fn send_all(&mut self, now: Time) {
        match self.terms.phase {
            Phase::Watching => self.probe(now),
            Phase::Claiming => self.renew(now),
            Phase::Stopping => self.finish_stop(now),
            Phase::Stopped => {}
        }
    }

    /// Reads the state of a few workers, or of all once a lease was seen free.
    fn probe(&mut self, now: Time) {
        if self.rank.is_none() {
            return;
        }
        let heartbeat = self.settings.heartbeat;
        let due = |member: &Member| member.listed && member.is_due(now, heartbeat);
        let names: Vec<_> = if self.terms.alarmed.is_some() {
            let due = self.members.iter().filter(|(_, member)| due(member));
            due.map(|(name, _)| name.clone()).collect()
        } else if now.since(self.probed) >= heartbeat || self.probed == Time(0) {
            self.probed = now;
            let listed = self.members.iter().filter(|(_, member)| member.listed);
            let listed: Vec<_> = listed.map(|(name, _)| name.clone()).collect();
            let probes = self.settings.max_probes.min(listed.len());
            let first = self.rng.random_range(0..listed.len().max(1));
            (0..probes)
                .map(|i| listed[(first + i) % listed.len()].clone())
                .collect()
        } else {
            Vec::new()
        };
        let basis = self.basis(now);
        for name in names {
            let request = self.request(now, &name, &basis, false);
            self.send(now, name, request);
        }
    }

    fn renew(&mut self, now: Time) {
        let heartbeat = self.settings.heartbeat;
        let placed = self.members.iter().any(|(_, m)| !m.placed.is_empty());
        let starts = placed && self.may_send_starts(now);
        let ttl = self.settings.control_ttl;
        let wanted = |member: &Member| {
            member.is_due(now, heartbeat)
                || (member.is_idle(now, heartbeat)
                    && member.is_held(now, ttl)
                    && ((starts && !member.placed.is_empty()) || member.stops))
        };
        let voters = &self.terms.voters.names;
        let names: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| wanted(member))
            .filter(|(name, member)| {
                (member.listed || voters.binary_search(name).is_ok()) && !self.lost.contains(name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        if names.is_empty() {
            return;
        }
        let basis = self.basis(now);
        for name in names {
            let mut request = self.request(now, &name, &basis, true);
            if request.deadline.is_some() {
                self.add_stops(&name, &mut request);
                if starts {
                    self.add_starts(&name, &mut request);
                }
            }
            self.send(now, name, request);
        }
    }

    /// Returns whether starts may be sent to any worker.
    pub(super) fn may_send_starts(&self, now: Time) -> bool {
        self.may_start
            && self.zone_state == primrosebay_state::config::ZoneState::In
            && self.has_authority(now)
    }

    fn basis(&self, now: Time) -> Basis {
        let may_renew = self.may_renew(now);
        Basis {
            term: self.request_term(may_renew),
            may_renew,
        }
    }

    /// Returns a request without commands: a claim, or a renewal with a deadline if the lease is
    /// held. A process that pauses after this point sends a request that the worker rejects.
    fn request(&mut self, now: Time, worker: &Name, basis: &Basis, claim: bool) -> Request {
        self.sequence += 1;
        let mut request = Request {
            term: basis.term.clone(),
            run: 0,
            sequence: self.sequence,
            deadline: None,
            lease_ms: if claim { self.settings.control_ttl } else { 0 },
            tasks_until: WorkerTime(0),
            acknowledged: 0,
            commands: Vec::new(),
            release: false,
        };
        let Some(member) = self.members.get::<Name>(worker) else {
            return request;
        };
        if member.told >= request.term.epoch {
            request.term.voters.clear();
        }
        request.acknowledged = self.acknowledged(member);
        if claim
            && member.is_held(now, self.settings.control_ttl)
            && let Some(reading) = member.reading
        {
            let clock = reading.earliest(now);
            request.run = member.run;
            request.deadline = Some(clock + self.settings.control_ttl);
            if basis.may_renew {
                request.tasks_until = clock + self.settings.task_ttl;
            }
        }
        request
    }

    /// Returns the highest report up to which no result can get lost.
    fn acknowledged(&self, member: &Member) -> u64 {
        let open = |entry: &&(u64, TaskId)| {
            let id = entry.1;
            let job = self.jobs.all.get(&id.job);
            job.is_none_or(|job| !job.is_durable(id.index))
        };
        let first = member.ended.iter().filter(open).map(|entry| entry.0).min();
        first.map_or(member.handled, |first| first - 1)
    }

    fn add_stops(&mut self, worker: &Name, request: &mut Request) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        if !std::mem::take(&mut member.stops) && !member.stopping {
            return;
        }
        for id in &member.tasks {
            let Some((_, task)) = self.jobs.task(*id) else {
                continue;
            };
            if let State::Active(Active {
                stop: Some(checkpoint),
                ..
            }) = task.state
            {
                request.commands.push(Order::Stop {
                    attempt: self.jobs.attempt(*id),
                    checkpoint,
                });
            } else if let State::Active(Active {
                excess: Excess::Throttled(_),
                ..
            }) = task.state
            {
                request.commands.push(Order::Throttle {
                    attempt: self.jobs.attempt(*id),
                });
            }
        }
        for attempt in &member.strays {
            request.commands.push(Order::Stop {
                attempt: *attempt,
                checkpoint: false,
            });
        }
        member.stopping = !request.commands.is_empty();
    }

    fn add_starts(&mut self, worker: &Name, request: &mut Request) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        let many = member.placed.len().min(MAX_STARTS);
        let placed: Vec<_> = member.placed.drain(..many).collect();
        member.tasks.extend(&placed);
        for id in placed {
            let Some(task) = self.jobs.task_mut(id) else {
                continue;
            };
            task.attempts += 1;
            task.state = State::Active(Active {
                worker: worker.clone(),
                attempt: task.attempts,
                request: request.sequence,
                running: false,
                stop: None,
                excess: Excess::None,
            });
            let attempt = self.jobs.attempt(id);
            if let Some((job, _)) = self.jobs.task(id) {
                request.commands.push(Order::Start(Start {
                    attempt,
                    resources: job.spec.resources,
                    repeat: job.spec.repeat,
                    run_ms: job.spec.run_ms,
                    team: job.spec.team.clone(),
                    trace: job.spec.trace.clone(),
                }));
            }
        }
    }

    fn send(&mut self, now: Time, worker: Name, request: Request) {
        if let Some(member) = self.members.get_mut(&worker) {
            member.asked = (request.sequence, now);
            member.waiting = true;
            member.hurried = false;
            member.ended.retain(|entry| entry.0 > request.acknowledged);
            if request.tasks_until > WorkerTime(0) {
                member.renewed = Some(now);
            }
        }
        self.out.push(Command::Send { worker, request });
    }

    /// Gives the leases of all workers back.
    pub(super) fn release_all(&mut self, now: Time) {
        let held: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.granted.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        let basis = self.basis(now);
        for name in held {
            let mut request = self.request(now, &name, &basis, true);
            request.release = true;
            self.send(now, name, request);
        }
    }

    pub(super) fn stop(&mut self, now: Time) {
        if matches!(self.terms.phase, Phase::Stopping | Phase::Stopped) {
            return;
        }
        for (_, member) in self.members.iter_mut() {
            member.waiting = false;
        }
        if self.terms.phase == Phase::Claiming {
            self.release_all(now);
        }
        self.terms.phase = Phase::Stopping;
        self.terms.claimed_at = now;
    }

    /// Reports the end of a stop once every worker has answered, or its lease has expired.
    fn finish_stop(&mut self, now: Time) {
        let waiting = self.members.iter().any(|(_, member)| member.waiting);
        if !waiting || now.since(self.terms.claimed_at) >= self.settings.control_ttl {
            self.terms.phase = Phase::Stopped;
            self.out.push(Command::Stopped);
        }
    }
}
