//! The link to one node: connect, greet, carry messages both ways, and try again after scattered, growing waits.

use crate::server::Server;
use futures_util::{SinkExt, StreamExt};
use peppercove::NodeId;
use peppercove_core::Input;
use peppercove_exchange::{
    Backoff, DecodedMessage, Handshake, HandshakeError, HandshakeProgress, decode_message,
    request_id_of,
};
use peppercove_protocol::codec::{FrameError, MAX_NODE_FRAME_BYTES, MessageCodec};
use peppercove_protocol::node::{FromNode, ToNode};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

type Link = Framed<TcpStream, MessageCodec<FromNode, ToNode>>;

/// A link, and the queue of what is to be written to it.
type Greeted = (Link, mpsc::Receiver<ToNode>);

/// Why a link came to its end.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("nothing within the time-out")]
    TimedOut,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("closed by the node")]
    Closed,
    #[error(transparent)]
    Greet(#[from] HandshakeError),
}

/// Waits after a failure.
pub(crate) async fn wait(retry: &mut Backoff) {
    tokio::time::sleep(retry.next_delay(fastrand::f64())).await;
}

/// Keeps the link to a node until the task is ended.
pub(crate) async fn keep(shell: Rc<Server>, node: NodeId, address: SocketAddrV4, name: String) {
    let listen = &shell.config.network;
    let mut retry = Backoff::new(listen.retry_least, listen.retry_most);
    loop {
        let error = match timeout(listen.connect_timeout, greet(&shell, node, address, &name)).await
        {
            Ok(Ok((link, queue))) => {
                retry.reset();
                tracing::debug!(node = name, "link up");
                let error = carry(&shell, node, link, queue).await;
                shell.input(Input::NodeDisconnected(node));
                error
            }
            Ok(Err(error)) => error,
            Err(_) => LinkError::TimedOut,
        };
        tracing::debug!(node = name, %error, "link down");
        wait(&mut retry).await;
    }
}

/// Connects and greets; gives the link once the node has told all that it holds.
async fn greet(
    shell: &Server,
    node: NodeId,
    address: SocketAddrV4,
    name: &str,
) -> Result<Greeted, LinkError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(LinkError::Connect)?;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, MessageCodec::new(MAX_NODE_FRAME_BYTES));
    link.send(&Handshake::hello(&shell.config, shell.life))
        .await?;
    let mut greeting = Handshake::new(node, name, shell.config.limits.jobs);
    let mut replies = Vec::new();
    let up = loop {
        let (meanwhile, up) =
            match greeting.on_message(link.next().await.ok_or(LinkError::Closed)??)? {
                HandshakeProgress::Pending(meanwhile) => (meanwhile, None),
                HandshakeProgress::Complete(meanwhile, up) => (meanwhile, Some(up)),
            };
        if let Some(DecodedMessage { input, reply }) = meanwhile {
            if let Some(input) = input {
                shell.input(input);
            }
            replies.extend(reply.filter(|_| shell.is_written()));
        }
        if let Some(up) = up {
            break up;
        }
    };
    let (sender, queue) = mpsc::channel(shell.config.limits.node_queue);
    if let Some(handle) = shell.links.borrow_mut().get_mut(&node) {
        handle.queue = Some(sender);
    }
    replies.into_iter().for_each(|reply| {
        shell.send(node, reply);
    });
    shell.input(up);
    Ok((link, queue))
}

async fn carry(
    shell: &Server,
    node: NodeId,
    mut link: Link,
    mut queue: mpsc::Receiver<ToNode>,
) -> LinkError {
    let write_within = shell.config.network.connect_timeout;
    let error = loop {
        tokio::select! {
            message = link.next() => match message {
                Some(Ok(message)) => take(shell, node, decode_message(node, message)),
                Some(Err(error)) => break error.into(),
                None => break LinkError::Closed,
            },
            message = queue.recv() => {
                let Some(message) = message else { break LinkError::Closed };
                // A node that does not read loses its link, and holds up nobody else.
                match timeout(write_within, write(&mut link, message, &mut queue)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => break error.into(),
                    Err(_) => break LinkError::TimedOut,
                }
            }
        }
    };
    if let Some(handle) = shell.links.borrow_mut().get_mut(&node) {
        handle.queue = None;
    }
    // What is still queued never left.
    queue.close();
    while let Ok(message) = queue.try_recv() {
        if let ToNode::Offer { attempt, .. } = message {
            shell.input(Input::DispatchFailed {
                node,
                request: request_id_of(attempt),
                attempt: attempt.number,
            });
        }
    }
    error
}

/// Writes a message and those queued behind it in one go.
async fn write(
    link: &mut Link,
    first: ToNode,
    queue: &mut mpsc::Receiver<ToNode>,
) -> Result<(), FrameError> {
    link.feed(&first).await?;
    while let Ok(message) = queue.try_recv() {
        link.feed(&message).await?;
    }
    link.flush().await
}

/// Takes a message in, and answers it.
fn take(shell: &Server, node: NodeId, message: DecodedMessage) {
    if let Some(input) = message.input {
        shell.input(input);
    }
    // An end that is not written down is not acknowledged: its node tells it again.
    if let Some(reply) = message.reply.filter(|_| shell.is_written()) {
        shell.send(node, reply);
    }
}
