//! Subscription to the node list.

use crate::node_connection::back_off;
use crate::server::Server;
use futures_util::{SinkExt, StreamExt};
use peppercove_core::Input;
use peppercove_exchange::{Backoff, node_list_input};
use peppercove_metrics as names;
use peppercove_protocol::codec::{FrameError, MAX_LIST_FRAME_BYTES, MessageCodec};
use peppercove_protocol::list::{FromList, ToList};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

type Frames = Framed<TcpStream, MessageCodec<FromList, ToList>>;

/// Why a subscription to the node list failed or ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("no response within the timeout")]
    TimedOut,
    #[error("connection closed by the node list")]
    Closed,
    #[error("the node list rejected the poll")]
    Rejected,
    #[error("the node list does not support protocol version {expected}")]
    WrongVersion { expected: u16 },
}

/// Subscribes to the node list and forwards its updates to the core. A polled list is subscribed to when the
/// scheduler requests it, a list that pushes its updates immediately.
pub(crate) async fn run(server: Rc<Server>) {
    let network = &server.config.network;
    let is_polled = server.config.scheduler.is_list_polled;
    let mut backoff = Backoff::new(network.min_backoff, network.max_backoff);
    loop {
        if is_polled {
            server.list_requested.notified().await;
        }
        let error = match timeout(network.list_timeout, subscribe(&server)).await {
            Ok(Ok((frames, first))) => {
                backoff.reset();
                forward_update(&server, first);
                forward_updates(&server, frames).await
            }
            Ok(Err(error)) => error,
            Err(_) => WatchError::TimedOut,
        };
        tracing::warn!(%error, "node list out of reach");
        server.metrics.add(names::LIST_FAILURES, &[], 1.0);
        server.handle(Input::NodeListFailed);
        if !is_polled {
            back_off(&mut backoff).await;
        }
    }
}

/// Connects, completes the handshake and makes the first poll.
async fn subscribe(server: &Server) -> Result<(Frames, FromList), WatchError> {
    let stream = TcpStream::connect(server.config.network.node_list).await?;
    let mut frames: Frames = Framed::new(stream, MessageCodec::new(MAX_LIST_FRAME_BYTES));
    let expected = peppercove_protocol::VERSION;
    let controller = server.config.name.clone();
    frames
        .send(&ToList::Hello {
            version: expected,
            controller,
        })
        .await?;
    match frames.next().await.ok_or(WatchError::Closed)?? {
        FromList::Welcome { version } if version == expected => {}
        FromList::Welcome { .. } | FromList::Update { .. } | FromList::Failed => {
            return Err(WatchError::WrongVersion { expected });
        }
    }
    let first = poll(server, &mut frames).await?;
    Ok((frames, first))
}

/// Requests the changes since the current version of the list.
async fn poll(server: &Server, frames: &mut Frames) -> Result<FromList, WatchError> {
    let generation = server.core.borrow().nodes().generation;
    let after = (generation > 0).then_some(generation);
    frames.send(&ToList::Watch { after }).await?;
    match frames.next().await.ok_or(WatchError::Closed)?? {
        FromList::Failed => Err(WatchError::Rejected),
        message @ (FromList::Welcome { .. } | FromList::Update { .. }) => Ok(message),
    }
}

/// Forwards updates until the subscription ends; returns the reason.
async fn forward_updates(server: &Server, mut frames: Frames) -> WatchError {
    loop {
        tokio::select! {
            message = frames.next() => match message {
                Some(Ok(message)) => forward_update(server, message),
                Some(Err(error)) => return error.into(),
                None => return WatchError::Closed,
            },
            () = server.list_requested.notified() => {
                let list_timeout = server.config.network.list_timeout;
                match timeout(list_timeout, poll(server, &mut frames)).await {
                    Ok(Ok(message)) => forward_update(server, message),
                    Ok(Err(error)) => return error,
                    Err(_) => return WatchError::TimedOut,
                }
            }
        }
    }
}

fn forward_update(server: &Server, message: FromList) {
    if let Some(input) = node_list_input(message) {
        let now = server.clock.now() as f64 / 1e6;
        server.metrics.set(names::LIST_LAST_CONTACT, &[], now);
        server.handle(input);
    }
}
