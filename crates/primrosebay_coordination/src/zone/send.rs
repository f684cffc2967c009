//! Requests to workers: lease claims and renewals, starts and stops of tasks.

use primrosebay_protocol::worker::{Command as WorkerCommand, Request, Start, Term};
use primrosebay_state::Name;
use primrosebay_state::id::TaskId;
use primrosebay_state::time::{Time, WorkerTime};

use rand::Rng;

use super::jobs::{Active, Overuse, State};
use super::member::Member;
use super::term::Phase;
use super::{Command, Coordinator};

/// Maximum number of starts in one request, which keeps requests within about 64 KB.
const MAX_STARTS: usize = 256;

/// Fields that all requests sent at the same time share.
struct RequestBase {
    term: Term,
    /// Whether running tasks may be renewed.
    may_renew: bool,
}

impl Coordinator {
    /// Sends the requests that are due in the current phase.
    pub(super) fn send_due(&mut self, now: Time) {
        match self.terms.phase {
            Phase::Watching => self.probe(now),
            Phase::Claiming => self.renew(now),
            Phase::Stopping => self.finish_stop(now),
            Phase::Stopped => {}
        }
    }

    /// Reads the lease state of a few workers, or of all workers once a free lease has been seen.
    fn probe(&mut self, now: Time) {
        if self.rank.is_none() {
            return;
        }
        let heartbeat = self.settings.heartbeat;
        let due = |member: &Member| member.listed && member.is_due(now, heartbeat);
        let names: Vec<_> = if self.terms.free_seen_at.is_some() {
            let due = self.members.iter().filter(|(_, member)| due(member));
            due.map(|(name, _)| name.clone()).collect()
        } else if now.since(self.last_probe) >= heartbeat || self.last_probe == Time(0) {
            self.last_probe = now;
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
        let base = self.request_base(now);
        for name in names {
            let request = self.build_request(now, &name, &base, false);
            self.send(now, name, request);
        }
    }

    /// Sends due lease claims and renewals, with the commands for each worker whose lease is held.
    fn renew(&mut self, now: Time) {
        let heartbeat = self.settings.heartbeat;
        let placed = self.members.iter().any(|(_, m)| !m.placed.is_empty());
        let starts = placed && self.may_send_starts(now);
        let ttl = self.settings.control_ttl;
        let due = |member: &Member| {
            member.is_due(now, heartbeat)
                || (member.may_send(now, heartbeat)
                    && member.is_held(now, ttl)
                    && ((starts && !member.placed.is_empty()) || member.stops_due))
        };
        let voters = &self.terms.voters.names;
        let names: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| due(member))
            .filter(|(name, member)| {
                (member.listed || voters.binary_search(name).is_ok())
                    && !self.lost_workers.contains(name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        if names.is_empty() {
            return;
        }
        let base = self.request_base(now);
        for name in names {
            let mut request = self.build_request(now, &name, &base, true);
            if request.deadline.is_some() {
                self.add_stops(&name, &mut request);
                if starts {
                    self.add_starts(&name, &mut request);
                }
            }
            self.send(now, name, request);
        }
    }

    /// Returns whether this instance may start tasks in the zone now.
    pub(super) fn may_send_starts(&self, now: Time) -> bool {
        self.may_start
            && self.zone_state == primrosebay_state::config::ZoneState::In
            && self.has_authority(now)
    }

    fn request_base(&self, now: Time) -> RequestBase {
        let may_renew = self.may_renew(now);
        RequestBase {
            term: self.request_term(may_renew),
            may_renew,
        }
    }

    /// Returns a request without commands: a renewal with a deadline if the lease is held, a claim
    /// without a deadline if it is not, and a read of the lease state if `claim` is false. If the
    /// process pauses before it sends a renewal, the worker rejects the renewal by its deadline.
    fn build_request(
        &mut self,
        now: Time,
        worker: &Name,
        base: &RequestBase,
        claim: bool,
    ) -> Request {
        self.last_sequence += 1;
        let mut request = Request {
            term: base.term.clone(),
            run: 0,
            sequence: self.last_sequence,
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
        if member.known_epoch >= request.term.epoch {
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
            if base.may_renew {
                request.tasks_until = clock + self.settings.task_ttl;
            }
        }
        request
    }

    /// Returns the sequence number up to which all reports may be acknowledged: each of them is
    /// handled and the result in it is durable.
    fn acknowledged(&self, member: &Member) -> u64 {
        let pending = |entry: &&(u64, TaskId)| {
            let id = entry.1;
            let job = self.jobs.all.get(&id.job);
            job.is_none_or(|job| !job.is_end_durable(id.index))
        };
        let first = member
            .unacknowledged
            .iter()
            .filter(pending)
            .map(|entry| entry.0)
            .min();
        first.map_or(member.last_report, |first| first - 1)
    }

    fn add_stops(&mut self, worker: &Name, request: &mut Request) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        if !std::mem::take(&mut member.stops_due) && !member.stops_sent {
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
                request.commands.push(WorkerCommand::Stop {
                    attempt: self.jobs.attempt(*id),
                    checkpoint,
                });
            } else if let State::Active(Active {
                overuse: Overuse::Throttled(_),
                ..
            }) = task.state
            {
                request.commands.push(WorkerCommand::Throttle {
                    attempt: self.jobs.attempt(*id),
                });
            }
        }
        for attempt in &member.stale_attempts {
            request.commands.push(WorkerCommand::Stop {
                attempt: *attempt,
                checkpoint: false,
            });
        }
        member.stops_sent = !request.commands.is_empty();
    }

    fn add_starts(&mut self, worker: &Name, request: &mut Request) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        let count = member.placed.len().min(MAX_STARTS);
        let placed: Vec<_> = member.placed.drain(..count).collect();
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
                overuse: Overuse::None,
            });
            let attempt = self.jobs.attempt(id);
            if let Some((job, _)) = self.jobs.task(id) {
                request.commands.push(WorkerCommand::Start(Start {
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
            member.last_request = (request.sequence, now);
            member.in_flight = true;
            member.due_now = false;
            member
                .unacknowledged
                .retain(|entry| entry.0 > request.acknowledged);
            if request.tasks_until > WorkerTime(0) {
                member.renewed_at = Some(now);
            }
        }
        self.commands.push(Command::Send { worker, request });
    }

    /// Releases the leases of all workers.
    pub(super) fn release_all(&mut self, now: Time) {
        let held: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.granted_at.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        let base = self.request_base(now);
        for name in held {
            let mut request = self.build_request(now, &name, &base, true);
            request.release = true;
            self.send(now, name, request);
        }
    }

    pub(super) fn stop(&mut self, now: Time) {
        if matches!(self.terms.phase, Phase::Stopping | Phase::Stopped) {
            return;
        }
        for (_, member) in self.members.iter_mut() {
            member.in_flight = false;
        }
        if self.terms.phase == Phase::Claiming {
            self.release_all(now);
        }
        self.terms.phase = Phase::Stopping;
        self.terms.claimed_at = now;
    }

    /// Emits `Command::Stopped` once no release is in flight, or one lease duration after the stop
    /// began.
    fn finish_stop(&mut self, now: Time) {
        let waiting = self.members.iter().any(|(_, member)| member.in_flight);
        if !waiting || now.since(self.terms.claimed_at) >= self.settings.control_ttl {
            self.terms.phase = Phase::Stopped;
            self.commands.push(Command::Stopped);
        }
    }
}
