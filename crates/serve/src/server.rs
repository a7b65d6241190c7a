//! The server: passes inputs to the engine and executes its outputs.

use crate::connection::Connection;
use peppercove::{Micros, Scheduler};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_platform::config::Config;
use peppercove_platform::endpoint_watch::{EndpointEvent, max_line_bytes};
use peppercove_platform::wire::Message;
use peppercove_platform::{
    Bounds, ClientId, Counters, Input, NodeConnectionId, Output, PlatformEngine,
};
use peppercove_runtime::{Clock, ReceiveBudget, SendBudget, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;

mod connection_limits;
mod notifications;

pub(crate) use connection_limits::sweep_connections;
pub(crate) use notifications::send_notifications;

/// Spawns the task that handles a connection to a node.
pub(crate) type ConnectToNode = fn(Rc<Server>, NodeConnectionId, SocketAddr, Rc<Connection>);

/// The state of the controller, shared by its tokio tasks.
pub(crate) struct Server {
    engine: RefCell<PlatformEngine<SubsetScheduler>>,
    pub(crate) clock: Clock,
    timer: Timer,
    bounds: Bounds,
    /// Memory budget of all send buffers.
    send_budget: Rc<SendBudget>,
    /// Memory budget of the incomplete messages of clients.
    pub(crate) client_receive_budget: Rc<ReceiveBudget>,
    /// Memory budget of the incomplete messages of nodes, which clients must not use up.
    pub(crate) node_receive_budget: Rc<ReceiveBudget>,
    /// Notified when a request is queued.
    request_queued: Notify,
    /// Notified when there may be notifications that client connections have not been sent.
    notifications_pending: Notify,
    /// How long queued requests are admitted before the sockets are polled again.
    admission_slice: Duration,
    /// Timeout for establishing a connection.
    pub(crate) dial_timeout: Duration,
    /// Maximum length of a line of the journal service, in bytes.
    pub(crate) max_line_bytes: usize,
    /// Whether the journal service is followed from the start, without waiting for a request of the scheduler.
    pub(crate) is_list_pushed: bool,
    /// Address of the journal service.
    pub(crate) journal_address: Cell<SocketAddr>,
    /// Number of the last journal service event that was handled.
    pub(crate) journal_position: Cell<u64>,
    /// Notified when the scheduler requests the node list.
    pub(crate) watch_requested: Notify,
    /// Notified when the address of the journal service changes.
    pub(crate) journal_address_changed: Notify,
    /// Journal service events up to the start.
    initial_events: RefCell<Vec<EndpointEvent>>,
    clients: RefCell<BTreeMap<ClientId, Rc<Connection>>>,
    next_client: Cell<u64>,
    /// Number of client connections accepted and of reads from them.
    activity: Cell<u64>,
    /// Whether clients used descriptors of node connections at the last report to the engine.
    clients_used_node_descriptors: Cell<bool>,
    node_connections: RefCell<BTreeMap<NodeConnectionId, Rc<Connection>>>,
    connect_to_node: ConnectToNode,
    /// Reference to itself, for the tasks that it spawns.
    weak_self: Weak<Server>,
}

impl Server {
    /// Creates a server that has not handled any input yet.
    pub(crate) fn new(config: Config, connect_to_node: ConnectToNode) -> Rc<Server> {
        let bounds = Bounds::for_config(&config);
        let dial_timeout = Duration::from_micros(config.dial_timeout());
        let admission_slice = Duration::from_micros(config.settings.tick.max(1));
        let is_list_pushed = !config.settings.is_list_polled;
        let scheduler = Scheduler::new(config.settings.clone(), config.seed);
        let subset = NodeSubset::new(scheduler, &config.settings);
        let engine =
            PlatformEngine::new(subset, config.settings, config.schema, bounds, config.seed);
        Rc::new_cyclic(|weak_self| Server {
            engine: RefCell::new(engine),
            clock: Clock::start(),
            timer: Timer::default(),
            bounds,
            send_budget: SendBudget::new(bounds.send_buffer_bytes),
            client_receive_budget: ReceiveBudget::new(bounds.receive_buffer_bytes),
            node_receive_budget: ReceiveBudget::new(bounds.receive_buffer_bytes),
            request_queued: Notify::new(),
            notifications_pending: Notify::new(),
            admission_slice,
            dial_timeout,
            max_line_bytes: max_line_bytes(config.limits.memory_mb),
            is_list_pushed,
            journal_address: Cell::new(config.journal),
            journal_position: Cell::new(config.initial_endpoints.pos),
            watch_requested: Notify::new(),
            journal_address_changed: Notify::new(),
            initial_events: RefCell::new(config.initial_endpoints.entries),
            clients: RefCell::default(),
            next_client: Cell::new(1),
            activity: Cell::new(0),
            clients_used_node_descriptors: Cell::new(false),
            node_connections: RefCell::default(),
            connect_to_node,
            weak_self: weak_self.clone(),
        })
    }

    /// Passes the journal service events up to the start to the engine.
    pub(crate) fn start(&self) {
        self.handle(Input::Start(self.initial_events.take()));
    }

    /// Passes an input to the engine and executes its outputs.
    pub(crate) fn handle(&self, input: Input) {
        let outputs = self.engine.borrow_mut().handle(self.clock.now(), input);
        let mut recipients = BTreeSet::new();
        for output in outputs {
            if let Output::SendToClient(client, _) | Output::SendNotifications(client, _) = &output
            {
                recipients.insert(*client);
            }
            self.execute(output);
        }
        // Answers are flushed now, once per connection. If this were left to the connections' own tasks, answers would
        // wait until all other sockets have been read. Messages to nodes have already been sent.
        for client in recipients {
            if let Some(connection) = self.clients.borrow().get(&client) {
                connection.send_buffer.flush();
            }
        }
        if self.engine.borrow().has_queued_requests() {
            self.request_queued.notify_one();
        }
        self.timer.reschedule(self.engine.borrow().next_wake());
    }

    fn execute(&self, output: Output) {
        tracing::trace!(?output, "executing output");
        match output {
            Output::SendToClient(client, frame) => {
                self.with_client(client, |connection| connection.push_answer(&frame));
            }
            Output::SendNotifications(client, frame) => {
                self.with_client(client, |connection| {
                    connection.send_buffer.push(&frame);
                });
            }
            Output::NotificationsPending => self.notifications_pending.notify_one(),
            Output::SendToNode(id, frame) => {
                self.with_node_connection(id, |connection| {
                    connection.send(&frame);
                });
            }
            Output::Cancel(id, frame) => {
                self.with_node_connection(id, |connection| connection.send_cancel(&frame));
            }
            Output::Connect(id, address) => self.open_node_connection(id, address),
            Output::Close(id) => {
                self.with_node_connection(id, |connection| connection.send_buffer.close());
            }
            Output::CloseUnlessWritten(id, bytes) => {
                self.with_node_connection(id, |connection| connection.close_unless_written(bytes));
            }
            Output::WatchEndpoints => self.watch_requested.notify_one(),
            Output::Log(line) => tracing::info!(target: "peppercove::module", "{line}"),
        }
    }

    fn with_client(&self, id: ClientId, act: impl FnOnce(&Connection)) {
        if let Some(connection) = self.clients.borrow().get(&id) {
            act(connection);
        }
    }

    fn with_node_connection(&self, id: NodeConnectionId, act: impl FnOnce(&Connection)) {
        if let Some(connection) = self.node_connections.borrow().get(&id) {
            act(connection);
        }
    }

    fn open_node_connection(&self, id: NodeConnectionId, address: SocketAddr) {
        let Some(server) = self.weak_self.upgrade() else {
            return;
        };
        let connection = Connection::new(self.clock.now(), &self.send_budget);
        self.node_connections
            .borrow_mut()
            .insert(id, connection.clone());
        (self.connect_to_node)(server, id, address, connection);
    }

    /// Removes a connection to a node that has ended.
    pub(crate) fn remove_node_connection(&self, id: NodeConnectionId) {
        self.node_connections.borrow_mut().remove(&id);
    }

    /// Handles a message from a client.
    ///
    /// Race: a request that arrives while its idle connection is being closed must still be answered on that
    /// connection, since clients resend a request only if it was sent just before the close.
    pub(crate) fn on_client_message(
        &self,
        id: ClientId,
        connection: &Connection,
        message: Message,
    ) {
        self.handle(Input::ClientMessage(id, message));
        if connection.send_buffer.is_closing() && self.engine.borrow().has_open_requests(id) {
            connection.send_buffer.cancel_close();
        }
    }

    /// Records that a client has connected or sent something.
    pub(crate) fn record_activity(&self) {
        self.activity.set(self.activity.get() + 1);
    }

    /// A counter that changes whenever a client connects or sends something.
    pub(crate) fn activity(&self) -> u64 {
        self.activity.get()
    }

    /// Follows the journal service at this address from now on.
    pub(crate) fn set_journal_address(&self, address: SocketAddr) {
        self.journal_address.set(address);
        self.journal_address_changed.notify_one();
        tracing::info!(journal = %address, "configuration reloaded");
    }

    /// Number of requests without an answer.
    pub(crate) fn open_requests(&self) -> usize {
        self.engine.borrow().open_requests()
    }

    /// The maximum delay with which timers have fired recently.
    pub(crate) fn timer_lag(&self) -> Duration {
        Duration::from_micros(self.engine.borrow().timer_lag())
    }

    /// The engine's counters.
    pub(crate) fn counters(&self) -> Counters {
        self.engine.borrow().counters()
    }

    /// Whether all send buffers are empty.
    pub(crate) fn is_flushed(&self) -> bool {
        let is_empty = |connection: &Rc<Connection>| connection.send_buffer.is_empty();
        self.is_flushed_to_clients() && self.node_connections.borrow().values().all(is_empty)
    }

    /// Whether all answers, and all notifications that clients read, are written.
    pub(crate) fn is_flushed_to_clients(&self) -> bool {
        let has_unsent_answers = |connection: &Rc<Connection>| connection.has_unsent_answers();
        !self.clients.borrow().values().any(has_unsent_answers)
            && self.clients_ready_for_notifications().is_empty()
    }
}

/// Calls the engine whenever its next timer is due. Never returns.
pub(crate) async fn run_timer(server: Rc<Server>) {
    let next = || server.engine.borrow().next_wake();
    let tick = |at: Micros| server.handle(Input::Tick(at));
    server.timer.run(&server.clock, next, tick).await;
}

/// Admits queued requests in time slices, with input that arrived in the meantime handled after each slice. Never
/// returns.
pub(crate) async fn admit_queued_requests(server: Rc<Server>) {
    let slice = u64::try_from(server.admission_slice.as_micros()).unwrap_or(0);
    loop {
        server.request_queued.notified().await;
        let slice_end = server.clock.now() + slice;
        loop {
            server.handle(Input::AdmitNext);
            let is_slice_over = server.clock.now() >= slice_end;
            if is_slice_over || !server.engine.borrow().has_queued_requests() {
                break;
            }
        }
        // The runtime polls the sockets during the yield.
        tokio::task::yield_now().await;
    }
}
