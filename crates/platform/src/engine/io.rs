//! What goes into the engine and what comes out of it.

use crate::endpoint_watch::EndpointEvent;
use crate::wire::Message;
use bytes::Bytes;
use peppercove::Micros;
use std::net::SocketAddr;

/// A client's connection. The server numbers them; a later connection has a greater number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A connection to a node. The engine numbers them from 1 in the order in which it opens them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeConnectionId(pub u64);

/// How a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// The connection was refused: no process listens there.
    Refused,
    /// The connection was not established, in time or at all.
    ConnectFailed,
    /// An established connection broke, was closed, or brought bytes that could not be decoded.
    Broken {
        /// Bytes that the operating system had taken for sending.
        bytes_written: u64,
        /// The peer closed it after a complete message, and all that it had sent was read.
        is_clean: bool,
    },
}

/// An event that the engine is to handle.
#[derive(Debug)]
pub enum Input {
    /// The start, with the events of the journal service up to then.
    Start(Vec<EndpointEvent>),
    /// Events of the journal service that follow the last one handled; none where a call was answered with nothing new.
    EndpointEvents(Vec<EndpointEvent>),
    /// The journal service closed the connection, stopped sending, or could not be reached.
    EndpointWatchFailed,
    /// A message of a client. A request is queued; its deadline counts from now on.
    ClientMessage(ClientId, Message),
    /// The next queued request is to be admitted.
    AdmitNext,
    /// A client's connection is closed.
    ClientDisconnected(ClientId),
    /// The number of client connections that are open.
    ClientCount(usize),
    /// A connection to a node is established.
    NodeConnected(NodeConnectionId),
    /// A message of a node.
    NodeMessage(NodeConnectionId, Message),
    /// A connection to a node is closed, or was never established.
    NodeDisconnected(NodeConnectionId, Disconnect),
    /// All that arrived before this time has been handled.
    ///
    /// Invariant: time-outs are concluded from this input alone. An event loop that is late sees the clock before it
    /// sees what has arrived meanwhile.
    Tick(Micros),
}

/// An action that the engine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send to a client.
    SendToClient(ClientId, Bytes),
    /// Open a connection to a node.
    Connect(NodeConnectionId, SocketAddr),
    /// Send to a node.
    SendToNode(NodeConnectionId, Bytes),
    /// Send a message to a node that cancels an attempt.
    ///
    /// Invariant: nothing is sent for a request after its final answer. Where this message cannot be written at once,
    /// the connection must be closed together with all that is buffered on it.
    Cancel(NodeConnectionId, Bytes),
    /// Close a connection to a node.
    Close(NodeConnectionId),
    /// Call the journal service again.
    WatchEndpoints,
    /// A log line of the decision module.
    Log(String),
}
