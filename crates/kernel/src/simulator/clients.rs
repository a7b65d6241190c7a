//! Clients: their submissions, and their reactions to messages of the controllers.

use super::events::{ProcessId, SimEvent};
use super::{Simulator, class_index, micros};
use crate::client_model::{ClientPolicy, NextStep};
use crate::scenario::{JobArrival, Workload};
use peppercove::{Idempotency, Micros};
use peppercove_audit::Observation;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::node;
use peppercove_protocol::rpc::PlacementOutcome;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Bit in the task numbers of jobs at fixed times, which keeps them distinct from those of workloads.
const FIXED_TIME_JOB: u64 = 1 << 56;

/// Position of the workload's index in a task number, in bits.
const WORKLOAD_SHIFT: u32 = 40;

/// A job that a client has submitted or is about to submit.
#[derive(Clone, Debug)]
pub(super) struct JobRequest {
    pub(super) job: Rc<JobArrival>,
    /// Number of its task, unique in the run.
    pub(super) task: u64,
    /// Number of earlier submissions.
    pub(super) retries: u32,
    /// When it was last submitted.
    submitted: Micros,
    /// Submission key.
    pub(super) key: String,
    /// Index of the controller to which it was first submitted, if a client with a keyed or non-idempotent task failed
    /// over. That controller may have started the task.
    pub(super) first_controller: Option<usize>,
}

/// A message of a controller to its clients.
#[derive(Debug)]
pub(super) enum Reply {
    /// The submission was accepted as this job.
    Accepted { key: String, job: String },
    /// The submission was rejected at admission. `retry_after` is in milliseconds.
    Rejected {
        key: String,
        errno: Errno,
        retry_after: Option<u64>,
    },
    /// The job was answered with an outcome.
    Outcome {
        key: String,
        job: String,
        outcome: PlacementOutcome,
    },
}

/// The clients of one controller. They share one connection.
pub(super) struct ClientGroup {
    pub(super) session: String,
    rng: fastrand::Rng,
    /// Incarnation of the controller process to which they are connected.
    connected_to: Option<u64>,
    /// Requests that wait for a connection.
    waiting: Vec<JobRequest>,
    /// Submissions without a reply, by key.
    pub(super) sent: BTreeMap<String, JobRequest>,
    /// Accepted requests without an outcome, by key.
    accepted: BTreeMap<String, JobRequest>,
    /// Outcomes that arrived before the acceptance of their request, by key.
    early_outcomes: BTreeMap<String, PlacementOutcome>,
    /// Number of calls so far.
    calls: u64,
    /// Arrival time of the last message that was sent to the controller: messages arrive in order.
    last_arrival_at_controller: Micros,
    /// Arrival time of the last message that was sent to the clients: messages arrive in order.
    last_arrival_at_clients: Micros,
    /// Number of requests that are not finished.
    pub(super) open_requests: usize,
}

impl ClientGroup {
    pub(super) fn new(seed: u64, controller: usize) -> ClientGroup {
        ClientGroup {
            session: format!("owners-{seed}-{controller}"),
            rng: fastrand::Rng::with_seed(seed ^ controller as u64),
            connected_to: None,
            waiting: Vec::new(),
            sent: BTreeMap::new(),
            accepted: BTreeMap::new(),
            early_outcomes: BTreeMap::new(),
            calls: 0,
            last_arrival_at_controller: 0,
            last_arrival_at_clients: 0,
            open_requests: 0,
        }
    }

    /// Closes the connection and returns the requests that were unanswered on it.
    fn disconnect(&mut self) -> Vec<JobRequest> {
        let sent = std::mem::take(&mut self.sent).into_values();
        let mut lost: Vec<JobRequest> = sent.collect();
        lost.extend(std::mem::take(&mut self.accepted).into_values());
        self.early_outcomes.clear();
        lost
    }
}

impl Simulator<'_> {
    /// Draws the arrival time of the next job of a workload, and schedules it.
    pub(super) fn schedule_next_arrival(&mut self, workload: usize, number: u64, from: Micros) {
        let rate = self.scenario.workloads[workload].rate * self.rate_factor;
        let wait = -(1.0 - self.rng.f64()).ln() / rate;
        let at = from + (wait * 1e6) as Micros;
        if at < self.submissions_end {
            let number = number + 1;
            self.schedule_at(at, SimEvent::WorkloadArrival { workload, number });
        }
    }

    pub(super) fn on_workload_arrival(&mut self, index: usize, number: u64) {
        let workload = &self.scenario.workloads[index];
        // A different order of these draws would change the run of every seed.
        let controller = self.rng.usize(0..self.clients.len());
        let service = self.rng.u64(0..workload.services);
        let run_time_factor = Workload::draw_run_time_factor(&mut self.rng);
        let at = Duration::from_micros(self.now());
        let job = workload.job(at, service, run_time_factor, controller);
        self.submit_new(controller, job, (index as u64) << WORKLOAD_SHIFT | number);
        self.schedule_next_arrival(index, number, self.now());
    }

    pub(super) fn on_job_arrival(&mut self, index: usize) {
        let job = self.scenario.jobs[index].clone();
        let controller = job.controller % self.clients.len();
        self.submit_new(controller, job, FIXED_TIME_JOB | index as u64);
    }

    fn submit_new(&mut self, controller: usize, job: JobArrival, task: u64) {
        self.tally.jobs += 1;
        self.clients[controller].open_requests += 1;
        let request = JobRequest {
            job: Rc::new(job),
            task,
            retries: 0,
            submitted: self.now(),
            key: String::new(),
            first_controller: None,
        };
        self.submit(controller, request);
    }

    /// Sends a request to the controller, or stores it until the clients are connected.
    pub(super) fn submit(&mut self, controller: usize, mut request: JobRequest) {
        let latency = self.draw_latency();
        let now = self.now();
        request.submitted = now;
        let clients = &mut self.clients[controller];
        let Some(incarnation) = clients.connected_to else {
            return clients.waiting.push(request);
        };
        clients.calls += 1;
        request.key = format!("{:x}-{}-{}", request.task, request.retries, clients.calls);
        clients.sent.insert(request.key.clone(), request.clone());
        let at = (now + latency).max(clients.last_arrival_at_controller + 1);
        clients.last_arrival_at_controller = at;
        let process = ProcessId {
            controller,
            incarnation,
        };
        let request = Box::new(request);
        self.schedule_at(at, SimEvent::Submission { process, request });
    }

    /// Sends a reply to the clients of a controller, if they are connected to this process.
    pub(super) fn send_reply(&mut self, process: ProcessId, reply: Reply) {
        let latency = self.draw_latency();
        let now = self.now();
        let clients = &mut self.clients[process.controller];
        if clients.connected_to != Some(process.incarnation) {
            return;
        }
        let at = (now + latency).max(clients.last_arrival_at_clients + 1);
        clients.last_arrival_at_clients = at;
        let reply = Box::new(reply);
        self.schedule_at(at, SimEvent::Reply { process, reply });
    }

    pub(super) fn on_reply(&mut self, process: ProcessId, reply: Reply) {
        if !self.is_running(process) && matches!(reply, Reply::Outcome { .. }) {
            self.record_hazard("a controller dies between an answer and its reading");
        }
        let controller = process.controller;
        if self.clients[controller].connected_to != Some(process.incarnation) {
            return;
        }
        match reply {
            Reply::Accepted { key, job } => self.on_accepted(controller, key, job),
            Reply::Rejected {
                key,
                errno,
                retry_after,
            } => self.on_rejected(controller, &key, errno, retry_after),
            Reply::Outcome { key, job, outcome } => {
                self.record(Observation::Settled {
                    session: self.clients[controller].session.clone(),
                    key: key.clone(),
                    job,
                    outcome,
                });
                let clients = &mut self.clients[controller];
                match clients.accepted.remove(&key) {
                    Some(request) => self.on_outcome(controller, request, outcome),
                    None => {
                        clients.early_outcomes.insert(key, outcome);
                    }
                }
            }
        }
    }

    fn on_accepted(&mut self, controller: usize, key: String, job: String) {
        let Some(request) = self.clients[controller].sent.remove(&key) else {
            return;
        };
        let config = &self.controllers[controller].config;
        let class = &config.scheduler.classes[class_index(config, &request.job.class)];
        let observation = Observation::Taken {
            controller: config.name.clone(),
            session: self.clients[controller].session.clone(),
            key: key.clone(),
            job,
            deadline: class.deadline,
            repeat: wire_idempotency(class.idempotency),
        };
        self.record(observation);
        let clients = &mut self.clients[controller];
        match clients.early_outcomes.remove(&key) {
            Some(outcome) => self.on_outcome(controller, request, outcome),
            None => {
                clients.accepted.insert(key, request);
            }
        }
    }

    fn on_rejected(
        &mut self,
        controller: usize,
        key: &str,
        errno: Errno,
        retry_after: Option<u64>,
    ) {
        self.record(Observation::TurnedAway { errno });
        self.tally.record_rejection(errno.name());
        let clients = &mut self.clients[controller];
        let Some(request) = clients.sent.remove(key) else {
            return;
        };
        let next = ClientPolicy::after_rejection(retry_after, &mut clients.rng);
        self.take_step(controller, request, next);
    }

    fn on_outcome(&mut self, controller: usize, request: JobRequest, outcome: PlacementOutcome) {
        let delay = self.now() - request.submitted;
        let class = &request.job.class;
        self.tally
            .record_outcome(request.task, class, outcome, delay);
        let is_idempotent = self.is_idempotent(&request);
        let rng = &mut self.clients[controller].rng;
        let next = self
            .client_policy
            .after_outcome(outcome, is_idempotent, rng);
        self.take_step(controller, request, next);
    }

    fn is_idempotent(&self, request: &JobRequest) -> bool {
        let config = &self.scenario.config;
        let class = class_index(config, &request.job.class);
        config.scheduler.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Executes the next step of a client.
    fn take_step(&mut self, controller: usize, request: JobRequest, next: NextStep) {
        match next {
            NextStep::Finish => self.clients[controller].open_requests -= 1,
            NextStep::Retry(delay) => self.retry(controller, request, micros(delay)),
            NextStep::FailOver => self.fail_over(controller, request),
        }
    }

    /// Submits the request to another controller, which is drawn at random.
    fn fail_over(&mut self, controller: usize, mut request: JobRequest) {
        let others = self.clients.len() - 1;
        let drawn = self.clients[controller].rng.usize(0..others);
        let other = if drawn >= controller {
            drawn + 1
        } else {
            drawn
        };
        if !self.is_idempotent(&request) {
            self.record_hazard("an owner of a keyed or unsafe task asks at another controller");
            request.first_controller = request.first_controller.or(Some(controller));
        }
        self.record_hazard("an owner asks at another controller");
        self.clients[controller].open_requests -= 1;
        self.clients[other].open_requests += 1;
        self.retry(other, request, 0);
    }

    /// Submits the request again after a delay, unless it was submitted too often or the time for submissions ends
    /// before.
    fn retry(&mut self, controller: usize, mut request: JobRequest, delay: Micros) {
        request.retries += 1;
        if !ClientPolicy::may_retry(request.retries) || self.now() + delay > self.submissions_end {
            self.clients[controller].open_requests -= 1;
            return;
        }
        self.tally.retries += 1;
        let request = Box::new(request);
        self.schedule_after(
            delay,
            SimEvent::Retry {
                controller,
                request,
            },
        );
    }

    /// Connects the clients to the running process of their controller, or disconnects them if there is none.
    pub(super) fn reconnect_clients(&mut self, controller: usize) {
        let incarnation = self.controllers[controller].incarnation();
        let clients = &mut self.clients[controller];
        if clients.connected_to == incarnation {
            return;
        }
        let lost = clients.disconnect();
        clients.connected_to = incarnation;
        let waiting = std::mem::take(&mut clients.waiting);
        let has_others = self.clients.len() > 1;
        for request in lost {
            let is_idempotent = self.is_idempotent(&request);
            let rng = &mut self.clients[controller].rng;
            let next = self
                .client_policy
                .after_disconnect(is_idempotent, has_others, rng);
            self.take_step(controller, request, next);
        }
        for request in waiting {
            self.submit(controller, request);
        }
    }
}

fn wire_idempotency(idempotency: Idempotency) -> node::Idempotency {
    match idempotency {
        Idempotency::Idempotent => node::Idempotency::Idempotent,
        Idempotency::Keyed { .. } => node::Idempotency::Keyed,
        Idempotency::NonIdempotent => node::Idempotency::NonIdempotent,
    }
}
