//! Inputs and outputs of the engine.

use crate::endpoint_watch::EndpointEvent;
use crate::wire::Message;
use bytes::Bytes;
use peppercove::Micros;
use std::net::SocketAddr;

/// Id of a client connection. The server assigns increasing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// Id of a connection to a node. The engine numbers connections from 1 in the order in which it opens them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeConnectionId(pub u64);

impl NodeConnectionId {
    /// The id of an attempt's connection before one is selected.
    pub(super) const NONE: NodeConnectionId = NodeConnectionId(0);
}

/// How a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The connection could not be established, or not in time.
    ConnectFailed,
    /// An established connection broke, was closed, or received bytes that could not be decoded.
    Broken {
        /// Number of bytes that the operating system accepted for sending.
        bytes_written: u64,
        /// Whether the peer closed the connection after a complete message, and everything it sent was read.
        is_clean: bool,
    },
}

/// An input to the engine.
#[derive(Debug)]
pub enum Input {
    /// The controller starts, with the events of the journal service up to now.
    Start(Vec<EndpointEvent>),
    /// Events of the journal service that follow the last one handled. Empty if a call was answered and nothing is new.
    EndpointEvents(Vec<EndpointEvent>),
    /// The journal service closed the connection, stopped sending, or could not be reached.
    EndpointWatchFailed,
    /// A message from a client. A request is queued; its deadline counts from now.
    ClientMessage(ClientId, Message),
    /// Admit the next queued request.
    AdmitNext,
    /// A client has closed its connection, on which messages are left to read.
    ClientLeaving(ClientId),
    /// A client connection is open, on which nothing has been received yet.
    ClientSilent(ClientId),
    /// A client connection can take more bytes: send the notifications that it has not been sent yet.
    SendNotifications(ClientId),
    /// A client connection was closed.
    ClientDisconnected(ClientId),
    /// A client connection broke, or was closed before everything sent on it was written.
    ClientBroken(ClientId),
    /// The number of open client connections.
    ClientCount(usize),
    /// A connection to a node was established.
    NodeConnected(NodeConnectionId),
    /// A message from a node.
    NodeMessage(NodeConnectionId, Message),
    /// A connection to a node was closed, or could not be established.
    NodeDisconnected(NodeConnectionId, Disconnect),
    /// A shutdown has begun: requests received from now on must be answered by this time.
    LimitAnswers(Micros),
    /// The process is about to end: all open requests must be answered now.
    AnswerAll,
    /// Everything that arrived before this time has been handled.
    ///
    /// Invariant: timers fire on this input only. A late event loop reads the clock before it reads the messages that
    /// arrived in the meantime.
    Tick(Micros),
}

/// An action that the caller of the engine must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a client.
    SendToClient(ClientId, Bytes),
    /// Send logged notifications, one message after the other, to a client. They are sent on other connections, too, so
    /// that the connection may be closed before they are written.
    SendNotifications(ClientId, Bytes),
    /// Call [`PlatformEngine::clients_to_notify`](super::PlatformEngine::clients_to_notify): there may be notifications
    /// that client connections have not been sent.
    NotificationsPending,
    /// Open a connection to a node.
    Connect(NodeConnectionId, SocketAddr),
    /// Send a message to a node.
    SendToNode(NodeConnectionId, Bytes),
    /// Send a message that cancels an attempt to a node.
    ///
    /// Invariant: nothing is sent to nodes for a request after its final answer. If this message cannot be written
    /// immediately, the connection must be closed and everything buffered on it discarded.
    Cancel(NodeConnectionId, Bytes),
    /// Close a connection to a node.
    Close(NodeConnectionId),
    /// Close a connection to a node, unless the operating system has accepted at least this many bytes sent on it.
    CloseUnlessWritten(NodeConnectionId, u64),
    /// Call the journal service again.
    WatchEndpoints,
    /// Write a log line of the scheduler.
    Log(String),
}
