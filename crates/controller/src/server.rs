//! The core, and what is around it: where inputs come in and outputs go out.

use crate::StartError;
use crate::client_session::Sessions;
use crate::journal::Journal;
use crate::metrics::ControllerMetrics;
use crate::node_connection;
use peppercove::{NodeId, Scheduler};
use peppercove_config::Config;
use peppercove_core::attempt_log::JournalEntry;
use peppercove_core::{Answer, Core, Input, Job, JobId, JobState, Output, TaskEnd, recording};
use peppercove_exchange::{core_limits, encode_output};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_metrics as names;
use peppercove_protocol::node::ToNode;
use peppercove_protocol::rpc;
use peppercove_runtime::{Clock, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local};

/// A link's task, and its queue while it is up.
pub(crate) struct LinkHandle {
    pub(crate) queue: Option<mpsc::Sender<ToNode>>,
    task: AbortHandle,
}

pub(crate) struct Server {
    pub(crate) config: Config,
    pub(crate) life: u64,
    pub(crate) clock: Clock,
    pub(crate) core: RefCell<Core<SubsetScheduler>>,
    pub(crate) links: RefCell<BTreeMap<NodeId, LinkHandle>>,
    pub(crate) sessions: RefCell<Sessions>,
    /// The module asked for the list.
    pub(crate) watch: Notify,
    /// An ask was answered.
    pub(crate) settled: Notify,
    timer: Timer,
    tickets: Cell<u64>,
    /// Messages to other controllers, where the settings name any.
    pub(crate) peers: RefCell<Option<mpsc::Sender<Vec<u8>>>>,
    record: Option<RefCell<BufWriter<File>>>,
    journal: Option<RefCell<Journal>>,
    pub(crate) figures: ControllerMetrics,
    me: RefCell<std::rc::Weak<Server>>,
}

impl Server {
    pub(crate) fn new(config: Config) -> Result<Server, StartError> {
        let clock = Clock::start();
        let seed = config.seed.unwrap_or_else(|| fastrand::u64(..));
        // Lives only have to differ: the time of the start, scattered so that two in one microsecond do as well.
        let life = clock.now() ^ (fastrand::u64(..) & 0xfff) << 52;
        let (limits, began) = (core_limits(&config, life), clock.now());
        let mut core = Core::new(
            NodeSubset::new(
                Scheduler::new(config.scheduler.clone(), seed),
                &config.scheduler,
            ),
            limits,
        );
        let mut recovered = Vec::new();
        let journal = match &config.journal_path {
            Some(path) => {
                let wrong = |source| StartError::Journal {
                    path: path.clone(),
                    source,
                };
                let (mut journal, entries) =
                    Journal::open(path, &config.name, config.journal_sync).map_err(wrong)?;
                core.recover(began, &entries);
                // What is settled is left out of the new file.
                journal.replace(&core.snapshot()).map_err(wrong)?;
                tracing::info!(
                    entries = entries.len(),
                    open = core.ambiguous_tasks(),
                    "journal read"
                );
                recovered = entries;
                Some(RefCell::new(journal))
            }
            None => None,
        };
        let record = match &config.record_path {
            Some(path) => {
                let file = File::create(path).map_err(|source| StartError::Record {
                    path: path.clone(),
                    source,
                })?;
                let mut file = BufWriter::new(file);
                let schedulers = (config.scheduler.schedulers, config.scheduler.own_index);
                let head = recording::RecordingHeader {
                    seed,
                    incarnation: life,
                    schedulers,
                    started_at: began,
                    journal: recovered,
                };
                let _ = writeln!(file, "{}", serde_json::to_string(&head).unwrap_or_default());
                Some(RefCell::new(file))
            }
            None => None,
        };
        Ok(Server {
            config,
            life,
            clock,
            core: RefCell::new(core),
            links: RefCell::default(),
            sessions: RefCell::default(),
            watch: Notify::new(),
            settled: Notify::new(),
            timer: Timer::default(),
            tickets: Cell::new(0),
            peers: RefCell::default(),
            record,
            journal,
            figures: ControllerMetrics::new(began),
            me: RefCell::default(),
        })
    }

    /// A number for a call whose answer comes among the outputs.
    pub(crate) fn ticket(&self) -> u64 {
        self.tickets.set(self.tickets.get() + 1);
        self.tickets.get()
    }

    /// Hands an input to the core and carries its outputs out; what answers calls is given back.
    pub(crate) fn input(&self, input: Input) -> Vec<Output> {
        let mut inputs = VecDeque::from([input]);
        let mut answers = Vec::new();
        while let Some(input) = inputs.pop_front() {
            let now = self.clock.now();
            if let Some(record) = &self.record {
                let _ = writeln!(
                    record.borrow_mut(),
                    "{}",
                    recording::format_line(now, &input)
                );
            }
            let outputs = self.core.borrow_mut().handle(now, input);
            for output in outputs {
                self.carry_out(output, &mut inputs, &mut answers);
            }
        }
        self.tend_journal();
        self.timer.changed(self.core.borrow().next_wake());
        answers
    }

    fn carry_out(&self, output: Output, inputs: &mut VecDeque<Input>, answers: &mut Vec<Output>) {
        match output {
            Output::Accepted { .. } | Output::ControlAccepted { .. } | Output::Rejected { .. } => {
                answers.push(output)
            }
            Output::Answered { job, answer } => {
                self.settled.notify_one();
                let core = self.core.borrow();
                if let Some(j) = core.jobs().get(job) {
                    let after = self.clock.now().saturating_sub(j.requested_at);
                    let class = self.class_name(j.submission.class);
                    self.figures
                        .answered(class, answer, (j.requested_at > 0).then_some(after));
                    let settled = self.settled_of(j, answer);
                    self.sessions
                        .borrow_mut()
                        .settled(&j.submission.session, job, settled);
                }
            }
            Output::Finished(job) => {
                let core = self.core.borrow();
                if let Some(j) = core.jobs().get(job) {
                    self.sessions
                        .borrow_mut()
                        .finished(&j.submission.session, job);
                }
            }
            Output::Connect {
                node,
                address,
                name,
            } => {
                let Some(shell) = self.me.borrow().upgrade() else {
                    return;
                };
                let task =
                    spawn_local(node_connection::keep(shell, node, address, name)).abort_handle();
                let old = self
                    .links
                    .borrow_mut()
                    .insert(node, LinkHandle { queue: None, task });
                if let Some(old) = old {
                    old.task.abort();
                    inputs.push_back(Input::NodeDisconnected(node));
                }
            }
            Output::Disconnect(node) => {
                if let Some(link) = self.links.borrow_mut().remove(&node) {
                    link.task.abort();
                }
            }
            Output::Journal(entries) => self.write_down(&entries),
            Output::Dispatch {
                node,
                request,
                attempt,
                ..
            } => {
                self.figures.add(names::ATTEMPTS, &[], 1.0);
                // What is not written down does not leave: it would be unknown to the next life.
                if !self.is_written() || !self.send_output(&output) {
                    inputs.push_back(Input::DispatchFailed {
                        node,
                        request,
                        attempt,
                    });
                }
            }
            Output::CancelAttempt { .. }
            | Output::ControlTask { .. }
            | Output::Adopt { .. }
            | Output::DiscardOrphan { .. }
            | Output::Probe(_) => {
                self.send_output(&output);
            }
            Output::Watch => self.watch.notify_one(),
            Output::Broadcast(message) => {
                if let Some(peers) = self.peers.borrow().as_ref() {
                    let _ = peers.try_send(message);
                }
            }
            Output::Log(line) => tracing::warn!(target: "peppercove::module", "{line}"),
        }
    }

    fn write_down(&self, entries: &[JournalEntry]) {
        let Some(journal) = &self.journal else { return };
        let mut journal = journal.borrow_mut();
        if let Err(error) = journal.write(entries) {
            tracing::error!(%error, "the journal cannot be written: nothing is offered until it can");
        }
    }

    /// All that was to be written down is.
    pub(crate) fn is_written(&self) -> bool {
        self.journal
            .as_ref()
            .is_none_or(|journal| journal.borrow().is_whole())
    }

    /// A journal that has grown is written anew with what still counts; one that failed is tried again.
    fn tend_journal(&self) {
        let Some(journal) = &self.journal else { return };
        let mut journal = journal.borrow_mut();
        if !journal.is_whole() || journal.is_long() {
            let snapshot = self.core.borrow().snapshot();
            if let Err(error) = journal.replace(&snapshot) {
                tracing::error!(%error, "the journal cannot be written anew");
            }
        }
    }

    /// Queues the frame that an output is; false where there is no link or its queue is full.
    fn send_output(&self, output: &Output) -> bool {
        let core = self.core.borrow();
        let frame = encode_output(&self.config, self.clock.now(), output, |job| {
            core.jobs().get(job)
        });
        frame.is_some_and(|(node, message)| self.send(node, message))
    }

    /// Queues a message for a node; false where there is no link or its queue is full.
    pub(crate) fn send(&self, node: NodeId, message: ToNode) -> bool {
        let links = self.links.borrow();
        let queue = links.get(&node).and_then(|l| l.queue.as_ref());
        queue.is_some_and(|q| q.try_send(message).is_ok())
    }

    /// Its own handle, for the tasks that it starts.
    pub(crate) fn set_self(self: &Rc<Server>) {
        *self.me.borrow_mut() = Rc::downgrade(self);
    }

    /// The name of a class, as the settings have it.
    pub(crate) fn class_name(&self, class: u16) -> &str {
        self.config
            .classes
            .get(usize::from(class))
            .map_or("unknown", String::as_str)
    }

    /// The text by which clients know a job.
    pub(crate) fn job_name(&self, job: JobId) -> String {
        format!("{}.{:x}.{}", self.config.name, self.life, job.0)
    }

    /// The job of a text, if it is one of this life.
    pub(crate) fn job_named(&self, text: &str) -> Option<JobId> {
        let own = text
            .strip_prefix(self.config.name.as_str())?
            .strip_prefix('.')?;
        let (life, number) = own.split_once('.')?;
        (u64::from_str_radix(life, 16).ok()? == self.life).then_some(JobId(number.parse().ok()?))
    }

    pub(crate) fn settled_of(&self, job: &Job, answer: Answer) -> rpc::PlacementResult {
        let (outcome, node, retry_after) = match answer {
            Answer::Placed(node) => (rpc::PlacementOutcome::Placed, Some(node), None),
            Answer::Rejected(after) => (rpc::PlacementOutcome::Refused, None, after),
            Answer::Failed => (rpc::PlacementOutcome::Failed, None, None),
            Answer::Cancelled => (rpc::PlacementOutcome::Withdrawn, None, None),
        };
        let name = |id: NodeId| {
            let known = self.core.borrow().nodes().get(id).map(|n| n.name.clone());
            known.unwrap_or_else(|| format!("{:x}", id.0))
        };
        rpc::PlacementResult {
            job_id: self.job_name(job.id),
            submission_key: job.submission.key.clone(),
            outcome,
            node: node.map(name),
            retry_after_ms: retry_after.map(|us| us.div_ceil(1000)),
        }
    }

    /// What `wait` tells of a finished job.
    pub(crate) fn finished_of(&self, job: &Job) -> rpc::JobInfo {
        let mut finished = rpc::JobInfo {
            job_id: self.job_name(job.id),
            ..rpc::JobInfo::default()
        };
        let mut usage = |name: &str, value: String| {
            finished.rusage.insert(name.into(), value);
        };
        let outcome = match job.answer {
            Some(Answer::Placed(_)) => "placed",
            Some(Answer::Rejected(after)) => {
                if let Some(after) = after {
                    usage("retry_after_ms", after.div_ceil(1000).to_string());
                }
                "refused"
            }
            Some(Answer::Failed) => "failed",
            Some(Answer::Cancelled) | None => "withdrawn",
        };
        usage("outcome", outcome.into());
        match job.end {
            Some(
                TaskEnd::Exited {
                    wall, cpu, memory, ..
                }
                | TaskEnd::Signalled {
                    wall, cpu, memory, ..
                },
            ) => {
                usage("wallclock_s", format!("{:.6}", wall as f64 / 1e6));
                usage("cpu_s", format!("{:.6}", cpu as f64 / 1e6));
                usage("memory", format!("{memory:.3}"));
            }
            Some(TaskEnd::GivenUp) => usage("end", "given-up".into()),
            Some(TaskEnd::Lost) => usage("end", "lost".into()),
            None => {}
        }
        match job.end {
            Some(TaskEnd::Exited { status, .. }) => finished.exit_status = Some(status),
            Some(TaskEnd::Signalled { signal, .. }) => finished.signal = Some(signal),
            Some(TaskEnd::GivenUp | TaskEnd::Lost) => {}
            None => finished.aborted = job.state == JobState::Failed,
        }
        finished
    }

    pub(crate) async fn flush_clients(&self) {
        for _ in 0..100 {
            if self.sessions.borrow().is_flushed() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub(crate) fn close(&self) {
        for (_, link) in std::mem::take(&mut *self.links.borrow_mut()) {
            link.task.abort();
        }
        self.sessions.borrow_mut().close();
        if let Some(record) = &self.record {
            let _ = record.borrow_mut().flush();
        }
    }
}

/// Calls the core when it wants to be called.
pub(crate) async fn keep_time(shell: Rc<Server>) {
    let next = || shell.core.borrow().next_wake();
    let tick = |_| {
        shell.input(Input::Tick);
    };
    shell.timer.keep(&shell.clock, next, tick).await;
}
