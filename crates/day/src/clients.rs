//! Clients of a scenario on sockets: they submit jobs, receive outcomes, and retry as the client model decides.

mod connection;
pub mod misbehaving;

use peppercove::Idempotency;
use peppercove_kernel::client_model::{ClientPolicy, ClientTally, NextStep};
use peppercove_kernel::scenario::{JobArrival, Scenario};
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::PlacementOutcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// A submitted job whose outcome is pending.
struct JobRequest {
    job: JobArrival,
    /// Number of the task, unique in the run.
    task: u64,
    /// Number of earlier submissions.
    retries: u32,
    /// Time of the last submission.
    submitted: Instant,
    /// The first controller that it was submitted to, which may have started it, if the request has failed over and is
    /// keyed or non-idempotent.
    first_controller: Option<usize>,
}

/// State that all clients of a run share.
struct Shared {
    policy: ClientPolicy,
    idempotent_classes: BTreeSet<String>,
    /// No request is retried after this.
    end: Instant,
    tally: Rc<RefCell<ClientTally>>,
}

/// The clients of one controller. They share one connection, which is opened again when it breaks.
pub struct ClientGroup {
    /// Index of the controller.
    controller: usize,
    address: SocketAddrV4,
    session: String,
    shared: Rc<Shared>,
    rng: RefCell<fastrand::Rng>,
    /// Requests for the task that owns the connection.
    queue: mpsc::UnboundedSender<JobRequest>,
    /// Number of unfinished requests.
    open_requests: Cell<usize>,
    /// Number of calls so far; also the id of the last one.
    calls: Cell<u64>,
    /// Client groups of the other controllers, to which requests fail over when the connection to this one breaks.
    others: RefCell<Vec<Weak<ClientGroup>>>,
}

/// All clients of a run.
pub struct Clients {
    /// The clients of each controller, by its index.
    pub groups: Vec<Rc<ClientGroup>>,
    /// Counters over all clients.
    pub tally: Rc<RefCell<ClientTally>>,
}

impl Clients {
    /// Starts the clients of the controller at each address. Must be called within a `LocalSet`. No request is retried
    /// after `end`.
    pub fn start(
        scenario: &Scenario,
        addresses: &[SocketAddrV4],
        end: Instant,
        seed: u64,
    ) -> Clients {
        let tally = Rc::new(RefCell::new(ClientTally::default()));
        let settings = &scenario.config.scheduler;
        let shared = Rc::new(Shared {
            policy: ClientPolicy {
                ambiguous_retry_delay: Duration::from_micros(settings.ambiguous_retry_delay),
                failover_share: scenario.client_failover_share,
            },
            idempotent_classes: idempotent_classes(scenario),
            end,
            tally: tally.clone(),
        });
        let addresses = addresses.iter().enumerate();
        let groups: Vec<Rc<ClientGroup>> = addresses
            .map(|(index, address)| ClientGroup::start(index, *address, seed, shared.clone()))
            .collect();
        for group in &groups {
            let others = groups.iter().filter(|other| !Rc::ptr_eq(other, group));
            *group.others.borrow_mut() = others.map(Rc::downgrade).collect();
        }
        Clients { groups, tally }
    }

    /// Number of unfinished requests.
    pub fn open_requests(&self) -> usize {
        let groups = self.groups.iter();
        groups.map(|group| group.open_requests.get()).sum()
    }
}

fn idempotent_classes(scenario: &Scenario) -> BTreeSet<String> {
    let names = scenario.config.classes.iter();
    let classes = names.zip(&scenario.config.scheduler.classes);
    classes
        .filter(|(_, class)| class.idempotency == Idempotency::Idempotent)
        .map(|(name, _)| name.clone())
        .collect()
}

impl ClientGroup {
    fn start(
        controller: usize,
        address: SocketAddrV4,
        seed: u64,
        shared: Rc<Shared>,
    ) -> Rc<ClientGroup> {
        let (queue, requests) = mpsc::unbounded_channel();
        let group = Rc::new(ClientGroup {
            controller,
            address,
            session: format!("owners-{seed}-{controller}"),
            shared,
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ controller as u64)),
            queue,
            open_requests: Cell::new(0),
            calls: Cell::new(0),
            others: RefCell::default(),
        });
        spawn_local(connection::run(group.clone(), requests));
        group
    }

    /// Submits a new job.
    pub fn submit(&self, job: JobArrival, task: u64) {
        self.shared.tally.borrow_mut().jobs += 1;
        self.add_open_request();
        let request = JobRequest {
            job,
            task,
            retries: 0,
            submitted: Instant::now(),
            first_controller: None,
        };
        let _ = self.queue.send(request);
    }

    fn add_open_request(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    fn remove_open_request(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
    }

    fn on_outcome(self: &Rc<Self>, request: JobRequest, outcome: PlacementOutcome) {
        let delay = request.submitted.elapsed().as_micros() as u64;
        let class = &request.job.class;
        let mut tally = self.shared.tally.borrow_mut();
        tally.record_outcome(request.task, class, outcome, delay);
        drop(tally);
        let is_idempotent = self.is_idempotent(&request);
        let policy = &self.shared.policy;
        let next = policy.after_outcome(outcome, is_idempotent, &mut self.rng.borrow_mut());
        self.apply_next_step(request, next);
    }

    fn on_rejected(
        self: &Rc<Self>,
        request: JobRequest,
        errno: Errno,
        retry_after_ms: Option<u64>,
    ) {
        let mut tally = self.shared.tally.borrow_mut();
        tally.record_rejection(errno.name());
        drop(tally);
        let next = ClientPolicy::after_rejection(retry_after_ms, &mut self.rng.borrow_mut());
        self.apply_next_step(request, next);
    }

    /// Handles a request whose connection broke while it was open.
    fn on_disconnected(self: &Rc<Self>, request: JobRequest) {
        let is_idempotent = self.is_idempotent(&request);
        let has_others = !self.others.borrow().is_empty();
        let policy = &self.shared.policy;
        let next = policy.after_disconnect(is_idempotent, has_others, &mut self.rng.borrow_mut());
        self.apply_next_step(request, next);
    }

    fn is_idempotent(&self, request: &JobRequest) -> bool {
        let classes = &self.shared.idempotent_classes;
        classes.contains(&request.job.class)
    }

    fn apply_next_step(self: &Rc<Self>, request: JobRequest, next: NextStep) {
        match next {
            NextStep::Finish => self.remove_open_request(),
            NextStep::Retry(delay) => self.retry(request, delay),
            NextStep::FailOver => self.fail_over(request),
        }
    }

    /// Submits the request to another controller, chosen at random.
    fn fail_over(&self, mut request: JobRequest) {
        if !self.is_idempotent(&request) {
            request.first_controller = request.first_controller.or(Some(self.controller));
        }
        let others = self.others.borrow();
        let index = self.rng.borrow_mut().usize(0..others.len());
        if let Some(other) = others[index].upgrade() {
            self.remove_open_request();
            other.add_open_request();
            other.retry(request, Duration::ZERO);
        }
    }

    /// Submits the request again after a delay. It is dropped if it has used up its retries or the run ends before the
    /// delay is over.
    fn retry(self: &Rc<Self>, mut request: JobRequest, delay: Duration) {
        request.retries += 1;
        let is_late = Instant::now() + delay > self.shared.end;
        if !ClientPolicy::may_retry(request.retries) || is_late {
            return self.remove_open_request();
        }
        self.shared.tally.borrow_mut().retries += 1;
        let group = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            request.submitted = Instant::now();
            let _ = group.queue.send(request);
        });
    }
}
