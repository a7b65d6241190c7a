//! The subscription to the node list.

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

/// Why a subscription to the node list ended or was not made.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("no answer within the time-out")]
    TimedOut,
    #[error("closed by the node list")]
    Closed,
    #[error("the poll was rejected")]
    Rejected,
    #[error("the node list does not speak version {expected}")]
    WrongVersion { expected: u16 },
}

/// Subscribes when the decision module wants the list, or by itself where the list pushes, and passes its updates on.
pub(crate) async fn run(server: Rc<Server>) {
    let network = &server.config.network;
    let is_polled = server.config.scheduler.is_list_polled;
    let mut backoff = Backoff::new(network.min_backoff, network.max_backoff);
    loop {
        if is_polled {
            server.list_wanted.notified().await;
        }
        let error = match timeout(network.list_timeout, subscribe(&server)).await {
            Ok(Ok((frames, first))) => {
                backoff.reset();
                pass_on(&server, first);
                follow(&server, frames).await
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

/// Connects and polls for the first time.
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

/// Asks for what has changed since the list that is held.
async fn poll(server: &Server, frames: &mut Frames) -> Result<FromList, WatchError> {
    let generation = server.core.borrow().nodes().generation;
    let after = (generation > 0).then_some(generation);
    frames.send(&ToList::Watch { after }).await?;
    match frames.next().await.ok_or(WatchError::Closed)?? {
        FromList::Failed => Err(WatchError::Rejected),
        message @ (FromList::Welcome { .. } | FromList::Update { .. }) => Ok(message),
    }
}

/// Passes updates on until the subscription ends; returns why it did.
async fn follow(server: &Server, mut frames: Frames) -> WatchError {
    loop {
        tokio::select! {
            message = frames.next() => match message {
                Some(Ok(message)) => pass_on(server, message),
                Some(Err(error)) => return error.into(),
                None => return WatchError::Closed,
            },
            () = server.list_wanted.notified() => {
                let list_timeout = server.config.network.list_timeout;
                match timeout(list_timeout, poll(server, &mut frames)).await {
                    Ok(Ok(message)) => pass_on(server, message),
                    Ok(Err(error)) => return error,
                    Err(_) => return WatchError::TimedOut,
                }
            }
        }
    }
}

fn pass_on(server: &Server, message: FromList) {
    if let Some(input) = node_list_input(message) {
        let now = server.clock.now() as f64 / 1e6;
        server.metrics.set(names::LIST_LAST_CONTACT, &[], now);
        server.handle(input);
    }
}
