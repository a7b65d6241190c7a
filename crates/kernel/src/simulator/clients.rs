//! Owners, and what passes between them and their controllers.

use super::{Happens, World};
use crate::client_model::{Next, after_answer, after_door, after_loss, may_try};
use crate::scenario::JobArrival;
use peppercove::{Idempotency, Micros, ServiceId, TaskKey};
use peppercove_audit::Observation;
use peppercove_core::{Answer, Input, JobId, Program, Rejection, Submission};
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::node;
use peppercove_protocol::rpc::PlacementOutcome;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A job that somebody waits for.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    arrival: Rc<JobArrival>,
    task: u64,
    tries: u32,
    since: Micros,
    key: String,
    /// The controller that may have started it.
    asked: Option<usize>,
}

/// What a controller tells an owner.
#[derive(Debug)]
pub(super) enum Reply {
    Taken {
        key: String,
        job: String,
    },
    TurnedAway {
        key: String,
        errno: Errno,
        retry_after: Option<u64>,
    },
    Settled {
        key: String,
        job: String,
        outcome: PlacementOutcome,
    },
}

/// The owners of one controller, on one connection at a time.
pub(super) struct Desk {
    session: String,
    rng: fastrand::Rng,
    /// Life of the controller that it is connected to.
    connected: Option<u64>,
    queue: Vec<Ask>,
    sent: BTreeMap<String, Ask>,
    taken: BTreeMap<String, Ask>,
    early: BTreeMap<String, PlacementOutcome>,
    calls: u64,
    /// When the last message each way arrives: at the controller, at the owner.
    last: [Micros; 2],
    pub(super) open: usize,
}

impl Desk {
    pub(super) fn new(seed: u64, i: usize) -> Desk {
        Desk {
            session: format!("owners-{seed}-{i}"),
            rng: fastrand::Rng::with_seed(seed ^ i as u64),
            connected: None,
            queue: Vec::new(),
            sent: BTreeMap::new(),
            taken: BTreeMap::new(),
            early: BTreeMap::new(),
            calls: 0,
            last: [0; 2],
            open: 0,
        }
    }
}

impl World<'_> {
    pub(super) fn next_arrival(&mut self, load: usize, number: u64, from: Micros) {
        let rate = self.script.loads[load].rate * self.rate;
        let wait = -(1.0 - self.rng.f64()).ln() / rate;
        let at = from + (wait * 1e6) as Micros;
        if at < self.end {
            self.at(
                at,
                Happens::Arrives {
                    load,
                    number: number + 1,
                },
            );
        }
    }

    pub(super) fn arrives(&mut self, load: usize, number: u64) {
        let l = &self.script.loads[load];
        let desk = self.rng.usize(0..self.desks.len());
        let arrival = JobArrival {
            at: Duration::from_micros(self.now),
            class: l.class.clone(),
            service: format!("{}-{}", l.class, self.rng.u64(0..l.services)),
            life: l.life.mul_f64(0.3 - 0.7 * (1.0 - self.rng.f64()).ln()),
            cores: l.cores,
            memory: l.memory,
            tenant: l.tenant.clone(),
            controller: desk,
        };
        self.submit(desk, arrival, (load as u64) << 40 | number);
        self.next_arrival(load, number, self.now);
    }

    pub(super) fn submit(&mut self, desk: usize, arrival: JobArrival, task: u64) {
        self.tally.jobs += 1;
        self.desks[desk].open += 1;
        let ask = Ask {
            arrival: Rc::new(arrival),
            task,
            tries: 0,
            since: self.now,
            key: String::new(),
            asked: None,
        };
        self.ask(desk, ask);
    }

    pub(super) fn ask(&mut self, desk: usize, mut ask: Ask) {
        ask.since = self.now;
        let latency = self.latency();
        let now = self.now;
        let d = &mut self.desks[desk];
        let Some(life) = d.connected else {
            return d.queue.push(ask);
        };
        d.calls += 1;
        ask.key = format!("{:x}-{}-{}", ask.task, ask.tries, d.calls);
        d.sent.insert(ask.key.clone(), ask.clone());
        d.last[0] = (now + latency).max(d.last[0] + 1);
        let at = d.last[0];
        self.at(
            at,
            Happens::Call {
                seat: desk,
                life,
                ask: Box::new(ask),
            },
        );
    }

    pub(super) fn call(&mut self, seat: usize, life: u64, ask: Ask) {
        if self.process(seat, life).is_none() {
            return self.hazard("a controller dies before it reads a submission");
        }
        let config = &self.seats[seat].config;
        let a = &ask.arrival;
        let class = config
            .classes
            .iter()
            .position(|c| *c == a.class)
            .unwrap_or(0);
        let asks = config.class_defaults[class];
        let tenant = a
            .tenant
            .as_ref()
            .and_then(|t| config.tenants.iter().position(|n| n == t))
            .unwrap_or(0);
        let submission = Submission {
            session: self.desks[seat].session.clone(),
            key: ask.key.clone(),
            task: TaskKey(xxh3_64(format!("task {:x}", ask.task).as_bytes())),
            service: ServiceId(xxh3_64(
                format!("{class} {tenant} {}", a.service).as_bytes(),
            )),
            class: class as u16,
            tenant: tenant as u32,
            cores: a.cores.unwrap_or(asks.0),
            memory: a.memory.unwrap_or(asks.1),
            deadline_in: config.scheduler.classes[class].deadline,
            expected_duration: None,
            is_retry: ask.tries > 0,
            requested_elsewhere: ask.asked.is_some_and(|asked| asked != seat),
            on_hold: false,
            program: Program {
                command: "sleep".into(),
                env: vec![format!("PEPPERCOVE_LIFE_US={}", a.life.as_micros())],
                ..Program::default()
            },
        };
        // The same key again is the same job: the core looks it up. The number of the call finds its answer.
        let ticket = ticket(&ask.key);
        self.input(
            seat,
            Input::Submit {
                ticket,
                submission: Box::new(submission),
            },
        );
    }

    fn tell(&mut self, seat: usize, life: u64, reply: Reply) {
        let latency = self.latency();
        let now = self.now;
        let d = &mut self.desks[seat];
        if d.connected != Some(life) {
            return;
        }
        d.last[1] = (now + latency).max(d.last[1] + 1);
        let at = d.last[1];
        self.at(
            at,
            Happens::Reply {
                desk: seat,
                life,
                reply: Box::new(reply),
            },
        );
    }

    fn key_of(&self, seat: usize, ticket_: u64) -> Option<String> {
        self.desks[seat]
            .sent
            .keys()
            .find(|k| ticket(k) == ticket_)
            .cloned()
    }

    fn job_name(&self, seat: usize, life: u64, job: JobId) -> String {
        format!("{}.{life:x}.{}", self.seats[seat].config.name, job.0)
    }

    pub(super) fn accepted(&mut self, seat: usize, life: u64, ticket: u64, job: JobId) {
        if let Some(key) = self.key_of(seat, ticket) {
            let job = self.job_name(seat, life, job);
            self.tell(seat, life, Reply::Taken { key, job });
        }
    }

    pub(super) fn turned_away(&mut self, seat: usize, life: u64, ticket: u64, why: Rejection) {
        let Some(key) = self.key_of(seat, ticket) else {
            return;
        };
        let (errno, after) = match why {
            Rejection::LimitReached(after)
            | Rejection::ShuttingDown(after)
            | Rejection::OutcomeAmbiguous(after) => (Errno::TryLater, Some(after.div_ceil(1000))),
            Rejection::AlreadyRan
            | Rejection::OutcomeUnknown
            | Rejection::RequestedElsewhere
            | Rejection::TaskInUse(_) => (Errno::DeniedByDrm, None),
            Rejection::NoSuchJob | Rejection::InvalidState(_) => (Errno::InvalidJob, None),
        };
        self.tell(
            seat,
            life,
            Reply::TurnedAway {
                key,
                errno,
                retry_after: after,
            },
        );
    }

    pub(super) fn settled(&mut self, seat: usize, life: u64, job: JobId, answer: Answer) {
        let process = self.seats[seat].process.as_ref();
        let Some(j) = process.and_then(|p| p.core.jobs().get(job)) else {
            return;
        };
        let outcome = match answer {
            Answer::Placed(_) => PlacementOutcome::Placed,
            Answer::Rejected(_) => PlacementOutcome::Refused,
            Answer::Failed => PlacementOutcome::Failed,
            Answer::Cancelled => PlacementOutcome::Withdrawn,
        };
        if j.submission.session == self.desks[seat].session {
            let key = j.submission.key.clone();
            let job = self.job_name(seat, life, job);
            self.tell(seat, life, Reply::Settled { key, job, outcome });
        }
    }

    pub(super) fn reply(&mut self, desk: usize, life: u64, reply: Reply) {
        if self.process(desk, life).is_none() && matches!(reply, Reply::Settled { .. }) {
            self.hazard("a controller dies between an answer and its reading");
        }
        if self.desks[desk].connected != Some(life) {
            return;
        }
        let session = self.desks[desk].session.clone();
        match reply {
            Reply::Taken { key, job } => {
                let Some(ask) = self.desks[desk].sent.remove(&key) else {
                    return;
                };
                let controller = self.seats[desk].config.name.clone();
                let config = &self.seats[desk].config;
                let class = config
                    .classes
                    .iter()
                    .position(|c| *c == ask.arrival.class)
                    .unwrap_or(0);
                let class = &config.scheduler.classes[class];
                let (deadline, repeat) = (class.deadline, repeat_of(class.idempotency));
                self.see(Observation::Taken {
                    controller,
                    session,
                    key: key.clone(),
                    job,
                    deadline,
                    repeat,
                });
                match self.desks[desk].early.remove(&key) {
                    Some(outcome) => self.answered(desk, ask, outcome),
                    None => {
                        self.desks[desk].taken.insert(key, ask);
                    }
                }
            }
            Reply::TurnedAway {
                key,
                errno,
                retry_after,
            } => {
                self.see(Observation::TurnedAway { errno });
                *self.tally.turned_away.entry(errno.name()).or_insert(0) += 1;
                let Some(ask) = self.desks[desk].sent.remove(&key) else {
                    return;
                };
                let next = after_door(retry_after, &mut self.desks[desk].rng);
                self.go_on(desk, ask, next);
            }
            Reply::Settled { key, job, outcome } => {
                self.see(Observation::Settled {
                    session,
                    key: key.clone(),
                    job,
                    outcome,
                });
                match self.desks[desk].taken.remove(&key) {
                    Some(ask) => self.answered(desk, ask, outcome),
                    None => {
                        self.desks[desk].early.insert(key, outcome);
                    }
                }
            }
        }
    }

    fn answered(&mut self, desk: usize, ask: Ask, outcome: PlacementOutcome) {
        self.tally
            .answered(ask.task, &ask.arrival.class, outcome, self.now - ask.since);
        let settle = Duration::from_micros(self.script.config.scheduler.ambiguous_retry_delay);
        let safe = self.is_safe(&ask);
        let next = after_answer(outcome, safe, settle, &mut self.desks[desk].rng);
        self.go_on(desk, ask, next);
    }

    fn is_safe(&self, ask: &Ask) -> bool {
        let config = &self.script.config;
        let class = config
            .classes
            .iter()
            .position(|c| *c == ask.arrival.class)
            .unwrap_or(0);
        config.scheduler.classes[class].idempotency == Idempotency::Idempotent
    }

    fn go_on(&mut self, desk: usize, ask: Ask, next: Next) {
        match next {
            Next::Done => self.desks[desk].open -= 1,
            Next::Again(after) => self.again(desk, ask, after.as_micros() as Micros),
            Next::Elsewhere => {
                let others = self.desks.len() - 1;
                let i = self.desks[desk].rng.usize(0..others);
                let other = if i >= desk { i + 1 } else { i };
                let mut ask = ask;
                if !self.is_safe(&ask) {
                    self.hazard("an owner of a keyed or unsafe task asks at another controller");
                    ask.asked = ask.asked.or(Some(desk));
                }
                self.hazard("an owner asks at another controller");
                self.desks[desk].open -= 1;
                self.desks[other].open += 1;
                self.again(other, ask, 0);
            }
        }
    }

    fn again(&mut self, desk: usize, mut ask: Ask, after: Micros) {
        ask.tries += 1;
        if !may_try(ask.tries) || self.now + after > self.end {
            self.desks[desk].open -= 1;
            return;
        }
        self.tally.again += 1;
        self.after(
            after,
            Happens::Again {
                desk,
                ask: Box::new(ask),
            },
        );
    }

    /// An owner looks for its controller: it finds it, or finds that the connection is gone.
    pub(super) fn reach(&mut self, desk: usize) {
        let life = self.seats[desk].process.as_ref().map(|p| p.life);
        if self.desks[desk].connected == life {
            return;
        }
        let d = &mut self.desks[desk];
        let mut lost: Vec<Ask> = std::mem::take(&mut d.sent).into_values().collect();
        lost.extend(std::mem::take(&mut d.taken).into_values());
        d.early.clear();
        d.connected = life;
        let queued = std::mem::take(&mut d.queue);
        let settle = Duration::from_micros(self.script.config.scheduler.ambiguous_retry_delay);
        for ask in lost {
            let (safe, others) = (self.is_safe(&ask), self.desks.len() > 1);
            let next = after_loss(
                safe,
                others,
                self.script.owners_move,
                settle,
                &mut self.desks[desk].rng,
            );
            self.go_on(desk, ask, next);
        }
        for ask in queued {
            self.ask(desk, ask);
        }
    }
}

fn ticket(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

fn repeat_of(repeat: Idempotency) -> node::Idempotency {
    match repeat {
        Idempotency::Idempotent => node::Idempotency::Idempotent,
        Idempotency::Keyed { .. } => node::Idempotency::Keyed,
        Idempotency::NonIdempotent => node::Idempotency::NonIdempotent,
    }
}
