//! Passes inputs to the core and executes its outputs.
//!
//! The connection modules depend on this module and not the other way round. The server needs them for one purpose
//! only, to start the task of a node connection, and receives a function for it ([`ConnectNode`]).

mod journaling;
mod outputs;

use crate::client_registry::ClientRegistry;
use crate::input_recorder::InputRecorder;
use crate::job_ids::JobIds;
use crate::job_report;
use crate::journal::Journal;
use crate::metrics::ControllerMetrics;
use crate::node_queues::NodeQueues;
use crate::start_error::StartError;
use peppercove::{Micros, NodeId, Scheduler};
use peppercove_config::Config;
use peppercove_core::attempt_log::JournalEntry;
use peppercove_core::recording::RecordingHeader;
use peppercove_core::{Answer, Control, Core, Input, Job, JobId, Output, Rejection, Submission};
use peppercove_exchange::core_limits;
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_metrics::MetricPoint;
use peppercove_protocol::node::ToNode;
use peppercove_protocol::rpc::{JobInfo, PlacementResult};
use peppercove_runtime::{Clock, Timer};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;

/// Interval and maximum number of checks whether all lines queued for clients have been written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_FLUSH_CHECKS: usize = 100;

/// Starts the task that maintains the connection to a node.
pub(crate) type ConnectNode = fn(Rc<Server>, NodeEndpoint) -> AbortHandle;

/// A node and the address on which it listens.
pub(crate) struct NodeEndpoint {
    pub(crate) id: NodeId,
    pub(crate) address: SocketAddrV4,
    /// The name that the node must report in the handshake.
    pub(crate) name: String,
}

/// The core's reply to a call.
enum CallReply {
    Accepted { ticket: u64, job: JobId },
    ControlAccepted,
    Rejected { ticket: u64, reason: Rejection },
}

/// State of a controller, shared by all its connection tasks.
pub(crate) struct Server {
    pub(crate) config: Config,
    /// Identifies this run of the controller.
    pub(crate) incarnation: u64,
    pub(crate) clock: Clock,
    pub(crate) core: RefCell<Core<SubsetScheduler>>,
    pub(crate) nodes: NodeQueues,
    pub(crate) clients: RefCell<ClientRegistry>,
    pub(crate) metrics: ControllerMetrics,
    /// Notified when the scheduler requests the node list.
    pub(crate) list_requested: Notify,
    /// Notified when a placement request is answered.
    pub(crate) request_answered: Notify,
    /// Queue of messages to other controllers; `None` if no peers are configured.
    peer_messages: RefCell<Option<mpsc::Sender<Vec<u8>>>>,
    job_ids: JobIds,
    timer: Timer,
    last_ticket: Cell<u64>,
    recorder: Option<InputRecorder>,
    journal: Option<RefCell<Journal>>,
    connect_node: ConnectNode,
    /// Reference to the server itself, for the tasks that it starts.
    weak_self: Weak<Server>,
}

impl Server {
    /// Creates the core and restores its state from the journal.
    pub(crate) fn new(config: Config, connect_node: ConnectNode) -> Result<Rc<Server>, StartError> {
        let clock = Clock::start();
        let seed = config.seed.unwrap_or_else(|| fastrand::u64(..));
        let incarnation = new_incarnation(&clock);
        let limits = core_limits(&config, incarnation);
        let started_at = clock.now();
        let scheduler = Scheduler::new(config.scheduler.clone(), seed);
        let mut core = Core::new(NodeSubset::new(scheduler, &config.scheduler), limits);
        let (journal, entries) = journaling::recover(&config, &mut core, started_at)?;
        let header = RecordingHeader {
            seed,
            incarnation,
            schedulers: (config.scheduler.schedulers, config.scheduler.own_index),
            started_at,
            journal: entries,
        };
        let recorder = start_recorder(&config, &header)?;
        Ok(Rc::new_cyclic(|weak_self| Server {
            job_ids: JobIds::new(&config.name, incarnation),
            config,
            incarnation,
            clock,
            core: RefCell::new(core),
            nodes: NodeQueues::default(),
            clients: RefCell::default(),
            metrics: ControllerMetrics::new(started_at),
            list_requested: Notify::new(),
            request_answered: Notify::new(),
            peer_messages: RefCell::default(),
            timer: Timer::default(),
            last_ticket: Cell::new(0),
            recorder,
            journal: journal.map(RefCell::new),
            connect_node,
            weak_self: weak_self.clone(),
        }))
    }

    /// Passes an input to the core and executes its outputs.
    pub(crate) fn handle(&self, input: Input) {
        self.handle_call(input);
    }

    /// Submits a job. Returns `None` if the core gives no reply, which is a bug.
    pub(crate) fn submit(&self, submission: Submission) -> Option<Result<JobId, Rejection>> {
        let own_ticket = self.next_ticket();
        let submission = Box::new(submission);
        let replies = self.handle_call(Input::Submit {
            ticket: own_ticket,
            submission,
        });
        replies.into_iter().find_map(|reply| match reply {
            CallReply::Accepted { ticket, job } => (ticket == own_ticket).then_some(Ok(job)),
            CallReply::Rejected { ticket, reason } => (ticket == own_ticket).then_some(Err(reason)),
            CallReply::ControlAccepted => None,
        })
    }

    /// Applies a control action to a job.
    pub(crate) fn control(&self, job: JobId, control: Control) -> Result<(), Rejection> {
        let own_ticket = self.next_ticket();
        let replies = self.handle_call(Input::Control {
            ticket: own_ticket,
            job,
            control,
        });
        let rejection = replies.into_iter().find_map(|reply| match reply {
            CallReply::Rejected { ticket, reason } => (ticket == own_ticket).then_some(reason),
            CallReply::Accepted { .. } | CallReply::ControlAccepted => None,
        });
        rejection.map_or(Ok(()), Err)
    }

    /// Returns a new ticket, which identifies the reply to a call among the outputs of the core.
    fn next_ticket(&self) -> u64 {
        self.last_ticket.set(self.last_ticket.get() + 1);
        self.last_ticket.get()
    }

    /// Passes an input to the core and executes its outputs; then does the same for every input that results from them.
    fn handle_call(&self, input: Input) -> Vec<CallReply> {
        let mut inputs = VecDeque::from([input]);
        let mut replies = Vec::new();
        while let Some(input) = inputs.pop_front() {
            let now = self.clock.now();
            if let Some(recorder) = &self.recorder {
                recorder.record(now, &input);
            }
            let outputs = self.core.borrow_mut().handle(now, input);
            for output in outputs {
                self.execute(output, &mut inputs, &mut replies);
            }
        }
        self.maintain_journal();
        self.timer.reschedule(self.core.borrow().next_wake());
        replies
    }

    /// Queues a message for a node. Returns `false` if the node is not connected or its queue is full.
    pub(crate) fn send_to_node(&self, node: NodeId, message: ToNode) -> bool {
        self.nodes.send(node, message)
    }

    /// Sets the queue for messages to other controllers.
    pub(crate) fn set_peer_queue(&self, queue: mpsc::Sender<Vec<u8>>) {
        *self.peer_messages.borrow_mut() = Some(queue);
    }

    /// Returns the configured name of a class.
    pub(crate) fn class_name(&self, class: u16) -> &str {
        self.config
            .classes
            .get(usize::from(class))
            .map_or("unknown", String::as_str)
    }

    /// Returns the id that clients use for a job.
    pub(crate) fn job_id(&self, job: JobId) -> String {
        self.job_ids.format(job)
    }

    /// Returns the job with this id if it belongs to this incarnation.
    pub(crate) fn parse_job_id(&self, id: &str) -> Option<JobId> {
        self.job_ids.parse(id)
    }

    /// Builds the placement result that is sent to clients.
    pub(crate) fn placement_result(&self, job: &Job, answer: Answer) -> PlacementResult {
        let core = self.core.borrow();
        job_report::placement_result(job, self.job_id(job.id), answer, core.nodes())
    }

    /// Builds the description of a finished job that is sent to clients.
    pub(crate) fn job_info(&self, job: &Job) -> JobInfo {
        job_report::job_info(job, self.job_id(job.id))
    }

    /// Returns the current values of all metrics.
    pub(crate) fn gather_metrics(&self) -> Vec<MetricPoint> {
        let client_connections = self.clients.borrow().connections();
        self.metrics.gather(&self.core.borrow(), client_connections)
    }

    /// Waits until all lines queued for clients have been written, for half a second at most.
    pub(crate) async fn flush_clients(&self) {
        for _ in 0..MAX_FLUSH_CHECKS {
            if self.clients.borrow().is_flushed() {
                break;
            }
            tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }

    /// Closes the connections to nodes and clients, and flushes the recording.
    pub(crate) fn close(&self) {
        self.nodes.clear();
        self.clients.borrow().close_all();
        if let Some(recorder) = &self.recorder {
            recorder.flush();
        }
    }
}

/// Sends the core a tick at each wake-up time that it requests.
pub(crate) async fn run_timer(server: Rc<Server>) {
    let next = || server.core.borrow().next_wake();
    let tick = |_| server.handle(Input::Tick);
    server.timer.run(&server.clock, next, tick).await;
}

/// Returns the identifier of this run: the start time, with random upper bits. Incarnations only have to be unique; the
/// random bits distinguish controllers that start within the same microsecond.
fn new_incarnation(clock: &Clock) -> u64 {
    clock.now() ^ (fastrand::u64(..) & 0xfff) << 52
}

fn start_recorder(
    config: &Config,
    header: &RecordingHeader,
) -> Result<Option<InputRecorder>, StartError> {
    let Some(path) = &config.record_path else {
        return Ok(None);
    };
    match InputRecorder::create(path, header) {
        Ok(recorder) => Ok(Some(recorder)),
        Err(source) => Err(StartError::Recording {
            path: path.clone(),
            source,
        }),
    }
}
