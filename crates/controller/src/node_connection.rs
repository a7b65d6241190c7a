//! The connection to one node: connect, handshake, exchange messages, and reconnect with growing, randomized delays.

use crate::server::{NodeEndpoint, Server};
use futures_util::{SinkExt, StreamExt};
use peppercove::NodeId;
use peppercove_core::Input;
use peppercove_exchange::{
    Backoff, DecodedMessage, Handshake, HandshakeError, HandshakeProgress, decode_message,
    request_id_of,
};
use peppercove_protocol::codec::{FrameError, MAX_NODE_FRAME_BYTES, MessageCodec};
use peppercove_protocol::node::{FromNode, ToNode};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use tokio_util::codec::Framed;

type Frames = Framed<TcpStream, MessageCodec<FromNode, ToNode>>;

/// A connection after the handshake, and the queue of messages to be written to it.
struct EstablishedConnection {
    frames: Frames,
    queue: mpsc::Receiver<ToNode>,
}

/// Why a connection to a node failed or ended.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    #[error("the node did not respond or read within the timeout")]
    TimedOut,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("connection closed by the node")]
    Closed,
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
}

/// Sleeps for the next delay of a backoff.
pub(crate) async fn back_off(backoff: &mut Backoff) {
    tokio::time::sleep(backoff.next_delay(fastrand::f64())).await;
}

/// Starts the task that maintains the connection to a node.
pub(crate) fn spawn(server: Rc<Server>, endpoint: NodeEndpoint) -> AbortHandle {
    spawn_local(run(server, endpoint)).abort_handle()
}

/// Maintains the connection to a node until the task is aborted.
async fn run(server: Rc<Server>, endpoint: NodeEndpoint) {
    let network = &server.config.network;
    let mut backoff = Backoff::new(network.min_backoff, network.max_backoff);
    loop {
        let established = timeout(network.connect_timeout, establish(&server, &endpoint)).await;
        let error = match established {
            Ok(Ok(connection)) => {
                backoff.reset();
                tracing::debug!(node = endpoint.name, "node connected");
                let error = exchange(&server, endpoint.id, connection).await;
                server.handle(Input::NodeDisconnected(endpoint.id));
                error
            }
            Ok(Err(error)) => error,
            Err(_) => ConnectionError::TimedOut,
        };
        tracing::debug!(node = endpoint.name, %error, "node disconnected");
        back_off(&mut backoff).await;
    }
}

/// Connects and completes the handshake, in which the node reports all tasks that it holds.
async fn establish(
    server: &Server,
    endpoint: &NodeEndpoint,
) -> Result<EstablishedConnection, ConnectionError> {
    let stream = TcpStream::connect(endpoint.address)
        .await
        .map_err(ConnectionError::Connect)?;
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, MessageCodec::new(MAX_NODE_FRAME_BYTES));
    frames
        .send(&Handshake::hello(&server.config, server.incarnation))
        .await?;
    let mut replies = Vec::new();
    let connected = complete_handshake(server, endpoint, &mut frames, &mut replies).await?;
    let (sender, queue) = mpsc::channel(server.config.limits.node_queue);
    server.nodes.set_queue(endpoint.id, Some(sender));
    for reply in replies {
        server.send_to_node(endpoint.id, reply);
    }
    server.handle(connected);
    Ok(EstablishedConnection { frames, queue })
}

/// Handles the node's messages until the handshake is complete; returns the input that reports the node as connected.
/// Replies are collected in `replies`, because they can be sent only after the handshake.
async fn complete_handshake(
    server: &Server,
    endpoint: &NodeEndpoint,
    frames: &mut Frames,
    replies: &mut Vec<ToNode>,
) -> Result<Input, ConnectionError> {
    let mut handshake = Handshake::new(endpoint.id, &endpoint.name, server.config.limits.jobs);
    loop {
        let message = frames.next().await.ok_or(ConnectionError::Closed)??;
        let (decoded, connected) = match handshake.on_message(message)? {
            HandshakeProgress::Pending(decoded) => (decoded, None),
            HandshakeProgress::Complete(decoded, connected) => (decoded, Some(connected)),
        };
        if let Some(decoded) = decoded {
            replies.extend(handle_message(server, decoded));
        }
        if let Some(connected) = connected {
            return Ok(connected);
        }
    }
}

/// Passes a message to the core; returns the reply to the node, if any.
fn handle_message(server: &Server, message: DecodedMessage) -> Option<ToNode> {
    if let Some(input) = message.input {
        server.handle(input);
    }
    // The end of a task that is not in the journal is not acknowledged, so the node sends it again.
    message.reply.filter(|_| server.is_journal_intact())
}

/// Exchanges messages until the connection ends; returns the reason.
async fn exchange(
    server: &Server,
    node: NodeId,
    connection: EstablishedConnection,
) -> ConnectionError {
    let EstablishedConnection {
        mut frames,
        mut queue,
    } = connection;
    let error = loop {
        tokio::select! {
            message = frames.next() => match message {
                Some(Ok(message)) => on_message(server, node, message),
                Some(Err(error)) => break error.into(),
                None => break ConnectionError::Closed,
            },
            message = queue.recv() => {
                let Some(message) = message else {
                    break ConnectionError::Closed;
                };
                if let Err(error) = write_queued(server, &mut frames, message, &mut queue).await {
                    break error;
                }
            }
        }
    };
    server.nodes.set_queue(node, None);
    report_unsent(server, node, queue);
    error
}

fn on_message(server: &Server, node: NodeId, message: FromNode) {
    if let Some(reply) = handle_message(server, decode_message(node, message)) {
        server.send_to_node(node, reply);
    }
}

/// Writes a message and all messages queued behind it, with a single flush. If the node does not read in time its
/// connection is closed; other nodes are not affected.
async fn write_queued(
    server: &Server,
    frames: &mut Frames,
    first: ToNode,
    queue: &mut mpsc::Receiver<ToNode>,
) -> Result<(), ConnectionError> {
    let write = async {
        frames.feed(&first).await?;
        while let Ok(message) = queue.try_recv() {
            frames.feed(&message).await?;
        }
        frames.flush().await
    };
    match timeout(server.config.network.connect_timeout, write).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(ConnectionError::TimedOut),
    }
}

/// Reports the dispatches that are still queued to the core: they were never sent.
fn report_unsent(server: &Server, node: NodeId, mut queue: mpsc::Receiver<ToNode>) {
    queue.close();
    while let Ok(message) = queue.try_recv() {
        if let ToNode::Offer { attempt, .. } = message {
            let request = request_id_of(attempt);
            let attempt = attempt.number;
            server.handle(Input::DispatchFailed {
                node,
                request,
                attempt,
            });
        }
    }
}
