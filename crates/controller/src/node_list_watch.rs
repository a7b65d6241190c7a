//! The subscription to the node list.

use crate::node_connection::wait;
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

type Link = Framed<TcpStream, MessageCodec<FromList, ToList>>;

#[derive(Debug, thiserror::Error)]
enum ListError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("no answer within the time-out")]
    TimedOut,
    #[error("closed by the list")]
    Closed,
    #[error("the call was turned away")]
    TurnedAway,
    #[error("the list speaks another version")]
    WrongVersion,
}

/// Calls the list when the module asks for it, or by itself where the list pushes, and passes on what it tells.
pub(crate) async fn keep(shell: Rc<Server>) {
    let listen = &shell.config.network;
    let by_itself = !shell.config.scheduler.is_list_polled;
    let mut retry = Backoff::new(listen.retry_least, listen.retry_most);
    loop {
        if !by_itself {
            shell.watch.notified().await;
        }
        let error = match timeout(listen.list_timeout, subscribe(&shell)).await {
            Ok(Ok((link, first))) => {
                retry.reset();
                pass_on(&shell, first);
                follow(&shell, link).await
            }
            Ok(Err(error)) => error,
            Err(_) => ListError::TimedOut,
        };
        tracing::warn!(%error, "node list out of reach");
        shell.figures.add(names::LIST_FAILURES, &[], 1.0);
        shell.input(Input::NodeListFailed);
        if by_itself {
            wait(&mut retry).await;
        }
    }
}

async fn subscribe(shell: &Server) -> Result<(Link, FromList), ListError> {
    let stream = TcpStream::connect(shell.config.network.node_list).await?;
    let mut link: Link = Framed::new(stream, MessageCodec::new(MAX_LIST_FRAME_BYTES));
    let version = peppercove_protocol::VERSION;
    link.send(&ToList::Hello {
        version,
        controller: shell.config.name.clone(),
    })
    .await?;
    match link.next().await.ok_or(ListError::Closed)?? {
        FromList::Welcome { version: v } if v == version => {}
        _ => return Err(ListError::WrongVersion),
    }
    let first = watch(shell, &mut link).await?;
    Ok((link, first))
}

async fn watch(shell: &Server, link: &mut Link) -> Result<FromList, ListError> {
    let generation = shell.core.borrow().nodes().generation;
    link.send(&ToList::Watch {
        after: (generation > 0).then_some(generation),
    })
    .await?;
    match link.next().await.ok_or(ListError::Closed)?? {
        FromList::Failed => Err(ListError::TurnedAway),
        news => Ok(news),
    }
}

async fn follow(shell: &Server, mut link: Link) -> ListError {
    loop {
        tokio::select! {
            news = link.next() => match news {
                Some(Ok(news)) => pass_on(shell, news),
                Some(Err(error)) => return error.into(),
                None => return ListError::Closed,
            },
            () = shell.watch.notified() => {
                match timeout(shell.config.network.list_timeout, watch(shell, &mut link)).await {
                    Ok(Ok(news)) => pass_on(shell, news),
                    Ok(Err(error)) => return error,
                    Err(_) => return ListError::TimedOut,
                }
            }
        }
    }
}

fn pass_on(shell: &Server, news: FromList) {
    if let Some(input) = node_list_input(news) {
        shell.figures.set(
            names::LIST_LAST_CONTACT,
            &[],
            shell.clock.now() as f64 / 1e6,
        );
        shell.input(input);
    }
}
