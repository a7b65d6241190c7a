//! Loopback nodes. Each accepts every request immediately and ends the task after [`TASK_DURATION`].

use super::byte_counts::ByteCounts;
use super::connection::carry_messages;
use super::request_ids::{ENDLESS_TASK_BIT, scheduler_of};
use crate::error::MeasureError;
use crate::platform_format::{node_entry, running_message, tested_message};
use peppercove_platform::wire::{Message, MessageKind, cause};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

/// Time from a node's answer to the end of the task.
pub const TASK_DURATION: Duration = Duration::from_millis(500);

/// The address of node 0, 127.1.0.1.
const FIRST_NODE_ADDRESS: u32 = 0x7f01_0001;

/// Delay before a node retries after it failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Task ends that a node could not send, by scheduler. They are sent over the next connection of that scheduler.
type PendingEnds = Rc<RefCell<BTreeMap<u64, Vec<Message>>>>;

/// Starts `count` nodes, each listening on its own address, and returns their list entries.
///
/// # Errors
/// [`MeasureError::Io`] if a node cannot listen.
pub async fn start_nodes(
    count: u64,
    bytes: &Rc<ByteCounts>,
) -> Result<Vec<serde_json::Value>, MeasureError> {
    let mut entries = Vec::new();
    for number in 0..count {
        let ip = Ipv4Addr::from(FIRST_NODE_ADDRESS + number as u32);
        let listener = TcpListener::bind((ip, 0)).await?;
        entries.push(node_entry(number, listener.local_addr()?));
        spawn_local(accept_connections(listener, bytes.clone()));
    }
    Ok(entries)
}

async fn accept_connections(listener: TcpListener, bytes: Rc<ByteCounts>) {
    let pending = PendingEnds::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(serve(stream, bytes.clone(), pending.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(stream: TcpStream, bytes: Rc<ByteCounts>, pending: PendingEnds) {
    let (outgoing, queue) = unbounded_channel();
    let mut is_scheduler_known = false;
    carry_messages(stream, queue, &bytes, |message| match message.kind {
        MessageKind::Test => {
            let _ = outgoing.send(tested_message(message.id));
        }
        MessageKind::SetUp => {
            if !std::mem::replace(&mut is_scheduler_known, true) {
                let ends = pending.borrow_mut().remove(&scheduler_of(message.id));
                for end in ends.unwrap_or_default() {
                    let _ = outgoing.send(end);
                }
            }
            start_task(message.id, &outgoing, &pending);
        }
        MessageKind::Progress
        | MessageKind::Answer
        | MessageKind::Release
        | MessageKind::Heard
        | MessageKind::Note
        | MessageKind::Move
        | MessageKind::Tested => {}
    })
    .await;
}

fn start_task(id: u64, outgoing: &UnboundedSender<Message>, pending: &PendingEnds) {
    let _ = outgoing.send(running_message(id));
    if id & ENDLESS_TASK_BIT != 0 {
        return;
    }
    let (outgoing, pending) = (outgoing.clone(), pending.clone());
    spawn_local(async move {
        tokio::time::sleep(TASK_DURATION).await;
        if let Err(unsent) = outgoing.send(Message::release(id, cause::ORDINARY)) {
            pending
                .borrow_mut()
                .entry(scheduler_of(id))
                .or_default()
                .push(unsent.0);
        }
    });
}
