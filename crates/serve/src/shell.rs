//! The desk, and what is around it: where inputs come in and outputs go out.

use crate::connection::Connection;
use peppercove::{Micros, Scheduler};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_platform::config::Config;
use peppercove_platform::endpoint_watch::max_line_bytes;
use peppercove_platform::wire::Message;
use peppercove_platform::{
    Bounds, ClientId, Counters, Input, NodeConnectionId, Output, PlatformEngine,
};
use peppercove_runtime::{Budget, Clock, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;

/// A message whose first bytes came and whose rest does not within this time never comes.
const HALF_A_MESSAGE: Micros = 1_000_000;
/// A connection that has said nothing since it came up is of no use after this.
const SILENT: Micros = 2_000_000;
/// How often connections are looked over.
const SWEEP: Duration = Duration::from_millis(100);

/// Starts what keeps a connection to a host.
pub(crate) type Dial = fn(Rc<Shell>, NodeConnectionId, SocketAddr, Rc<Connection>);

pub(crate) struct Shell {
    desk: RefCell<PlatformEngine<SubsetScheduler>>,
    pub(crate) clock: Clock,
    timer: Timer,
    bounds: Bounds,
    /// What may wait for readers.
    budget: Rc<Budget>,
    /// A set-up waits for its turn.
    waiting: Notify,
    /// How long set-ups have their turns before what arrived meanwhile is looked at.
    slice: Duration,
    pub(crate) dial_timeout: Duration,
    /// Longest line of the journal service, bytes.
    pub(crate) longest_line: usize,
    /// The list comes by itself, without a call of the module.
    pub(crate) pushed: bool,
    /// Where the journal service is, and the last of its events that is held.
    pub(crate) journal: Cell<SocketAddr>,
    pub(crate) pos: Cell<u64>,
    /// The module calls for the list.
    pub(crate) watch: Notify,
    /// The journal service has another address.
    pub(crate) moved: Notify,
    known: RefCell<Vec<peppercove_platform::endpoint_watch::EndpointEvent>>,
    owners: RefCell<BTreeMap<ClientId, Rc<Connection>>>,
    next_owner: Cell<u64>,
    /// Connections taken and reads from them, as a count that only a quiet front leaves alone.
    activity: Cell<u64>,
    /// As the desk was told last.
    crowded: Cell<bool>,
    links: RefCell<BTreeMap<NodeConnectionId, Rc<Connection>>>,
    dial: Dial,
    me: Weak<Shell>,
}

impl Shell {
    pub(crate) fn new(config: Config, dial: Dial) -> Shell {
        let bounds = Bounds::for_config(&config);
        let dial_timeout = Duration::from_micros(config.dial_timeout());
        let slice = Duration::from_micros(config.settings.tick.max(1));
        let pushed = !config.settings.is_list_polled;
        let module = Scheduler::new(config.settings.clone(), config.seed);
        let module = NodeSubset::new(module, &config.settings);
        let desk = PlatformEngine::new(module, config.settings, config.shape, bounds, config.seed);
        Shell {
            desk: RefCell::new(desk),
            clock: Clock::start(),
            timer: Timer::default(),
            bounds,
            budget: Budget::new(bounds.send_buffer_bytes),
            waiting: Notify::new(),
            slice,
            dial_timeout,
            longest_line: max_line_bytes(config.limits.memory_mb),
            pushed,
            journal: Cell::new(config.journal),
            pos: Cell::new(config.known.pos),
            watch: Notify::new(),
            moved: Notify::new(),
            known: RefCell::new(config.known.entries),
            owners: RefCell::default(),
            next_owner: Cell::new(1),
            activity: Cell::new(0),
            crowded: Cell::new(false),
            links: RefCell::default(),
            dial,
            me: Weak::new(),
        }
    }

    /// Hands the desk the list of the start.
    pub(crate) fn begin(&self) {
        self.input(Input::Start(self.known.take()));
    }

    /// Hands an input to the desk and carries its outputs out.
    pub(crate) fn input(&self, input: Input) {
        let outputs = self.desk.borrow_mut().handle(self.clock.now(), input);
        let mut told = BTreeSet::new();
        for output in outputs {
            if let Output::SendToClient(owner, _) = &output {
                told.insert(*owner);
            }
            self.carry_out(output);
        }
        // Danger: left to its connection's turn, an answer waits behind all that is read meanwhile. What goes to hosts is
        // out by now.
        for owner in told {
            if let Some(connection) = self.owners.borrow().get(&owner) {
                connection.outbox.write();
            }
        }
        if self.desk.borrow().has_queued_requests() {
            self.waiting.notify_one();
        }
        self.timer.changed(self.desk.borrow().next_wake());
    }

    fn carry_out(&self, output: Output) {
        tracing::trace!(?output, "out");
        match output {
            Output::SendToClient(owner, frame) => {
                if let Some(connection) = self.owners.borrow().get(&owner) {
                    connection.outbox.push(&frame);
                }
            }
            Output::SendToNode(link, frame) => {
                if let Some(connection) = self.links.borrow().get(&link) {
                    connection.send(&frame);
                }
            }
            Output::Cancel(link, frame) => {
                if let Some(connection) = self.links.borrow().get(&link) {
                    connection.take_back(&frame);
                }
            }
            Output::Connect(link, address) => {
                let Some(shell) = self.me.upgrade() else {
                    return;
                };
                let connection = Connection::new(self.clock.now(), &self.budget);
                self.links.borrow_mut().insert(link, connection.clone());
                (self.dial)(shell, link, address, connection);
            }
            Output::Close(link) => {
                if let Some(connection) = self.links.borrow().get(&link) {
                    connection.outbox.close();
                }
            }
            Output::WatchEndpoints => self.watch.notify_one(),
            Output::Log(line) => tracing::info!(target: "peppercove::module", "{line}"),
        }
    }

    pub(crate) fn drop_link(&self, link: NodeConnectionId) {
        self.links.borrow_mut().remove(&link);
    }

    /// A connection of owners, numbered; `None` where there is no descriptor to spare for it.
    pub(crate) fn admit(&self) -> Option<(ClientId, Rc<Connection>)> {
        if self.owners.borrow().len() >= self.bounds.client_connections && !self.make_room() {
            return None;
        }
        self.is_active();
        let id = ClientId(self.next_owner.get());
        self.next_owner.set(id.0 + 1);
        let connection = Connection::new(self.clock.now(), &self.budget);
        self.owners.borrow_mut().insert(id, connection.clone());
        self.count_owners();
        Some((id, connection))
    }

    pub(crate) fn drop_owner(&self, owner: ClientId) {
        self.owners.borrow_mut().remove(&owner);
        self.count_owners();
    }

    /// Owners have taken descriptors that connections to hosts use while they are free.
    pub(crate) fn is_crowded(&self) -> bool {
        self.owners.borrow().len() > self.bounds.client_connections / 2
    }

    fn count_owners(&self) {
        let crowded = self.is_crowded();
        if crowded || self.crowded.get() {
            self.crowded.set(crowded);
            self.input(Input::ClientCount(self.owners.borrow().len()));
        }
    }

    /// Closes the connection that has been silent longest, those that never brought a task first, and never one on
    /// which an answer is waited for, or that has something left to write.
    fn make_room(&self) -> bool {
        let desk = self.desk.borrow();
        let owners = self.owners.borrow();
        let unused =
            |id: ClientId, c: &Connection| c.outbox.is_empty() && !desk.has_open_requests(id);
        let idle = owners
            .iter()
            .filter(|(id, c)| !c.outbox.is_ending() && unused(**id, c));
        let rank = |id: &ClientId, c: &Connection| {
            (
                desk.has_sent_request(*id),
                c.heard_at.get().unwrap_or(c.since),
            )
        };
        let Some((_, connection)) = idle.min_by_key(|(id, c)| rank(id, c)) else {
            return false;
        };
        // It is looked at once more before it ends, and is known here until then.
        connection.outbox.finish();
        true
    }

    /// Something was taken in from an owner.
    pub(crate) fn is_active(&self) {
        self.activity.set(self.activity.get() + 1);
    }

    pub(crate) fn activity(&self) -> u64 {
        self.activity.get()
    }

    /// A message of an owner. Danger: one that crosses the end of its idle connection is owed its answer there, for its owner
    /// sends it again only where it came just before the close.
    pub(crate) fn take_in(&self, owner: ClientId, connection: &Connection, message: Message) {
        self.input(Input::ClientMessage(owner, message));
        if connection.outbox.is_ending() && self.desk.borrow().has_open_requests(owner) {
            connection.outbox.stay();
        }
    }

    pub(crate) fn move_feed(&self, journal: SocketAddr) {
        self.journal.set(journal);
        self.moved.notify_one();
        tracing::info!(%journal, "configuration read anew");
    }

    pub(crate) fn open(&self) -> usize {
        self.desk.borrow().open_requests()
    }

    pub(crate) fn counters(&self) -> Counters {
        self.desk.borrow().counters()
    }

    /// Nothing waits to be written, to owners or to hosts.
    pub(crate) fn is_flushed(&self) -> bool {
        let empty = |c: &Rc<Connection>| c.outbox.is_empty();
        self.owners.borrow().values().all(empty) && self.links.borrow().values().all(empty)
    }

    /// Looks connections over once.
    fn look_over(&self) {
        let now = self.clock.now();
        let late = |since: Option<Micros>, most: Micros| since.is_some_and(|at| at + most <= now);
        for connection in self.links.borrow().values() {
            // What a host began and does not end swallows all that follows on that connection.
            if late(connection.half_since.get(), HALF_A_MESSAGE) {
                connection.outbox.close();
            }
        }
        let desk = self.desk.borrow();
        for (owner, connection) in self.owners.borrow().iter() {
            let half = connection.half_since.get();
            let silent =
                connection.heard_at.get().is_none() && late(Some(connection.since), SILENT);
            if late(half, HALF_A_MESSAGE * 2) && !desk.has_open_requests(*owner) {
                connection.outbox.close();
            } else if silent || late(half, HALF_A_MESSAGE) && !desk.has_open_requests(*owner) {
                // Danger: what it asked before is owed an answer, whatever it begins and does not end; and so is what it
                // asked for while nobody looked.
                connection.outbox.finish();
            }
        }
    }
}

impl Shell {
    /// Gives the shell its own handle, for the tasks that it starts.
    pub(crate) fn shared(self) -> Rc<Shell> {
        Rc::new_cyclic(|me| Shell {
            me: me.clone(),
            ..self
        })
    }
}

/// Calls the desk when it wants to be called.
pub(crate) async fn keep_time(shell: Rc<Shell>) {
    let next = || shell.desk.borrow().next_wake();
    shell
        .timer
        .keep(&shell.clock, next, |at| shell.input(Input::Tick(at)))
        .await;
}

/// Gives the set-ups that wait their turns, for a slice of time, and lets all that arrived meanwhile come first then.
pub(crate) async fn take_turns(shell: Rc<Shell>) {
    loop {
        shell.waiting.notified().await;
        let until = shell.clock.now() + u64::try_from(shell.slice.as_micros()).unwrap_or(0);
        loop {
            shell.input(Input::AdmitNext);
            if shell.clock.now() >= until || !shell.desk.borrow().has_queued_requests() {
                break;
            }
        }
        // The runtime looks for what has arrived before this goes on.
        tokio::task::yield_now().await;
    }
}

/// Looks connections over again and again.
pub(crate) async fn sweep(shell: Rc<Shell>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        shell.look_over();
    }
}
