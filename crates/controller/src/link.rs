//! The link to one node: connect, greet, carry messages both ways, and try again after scattered, growing waits.

use crate::shell::{Shell, request_of, submission_of};
use futures_util::{SinkExt, StreamExt};
use peppercove::{Load, MachineId, Note, Why};
use peppercove_core::{End, Input, NodeNews, Standing};
use peppercove_protocol::codec::{FrameError, Messages, NODE_FRAME};
use peppercove_protocol::node::{self, FromNode, Party, Reason, Report, TaskNote, ToNode};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

type Link = Framed<TcpStream, Messages<FromNode, ToNode>>;

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
    #[error("the node answers to the name {0}")]
    WrongName(String),
    #[error("the node speaks version {0}")]
    WrongVersion(u16),
    #[error("the node says that it holds {0} tasks of this controller, more than limits/jobs")]
    TooMuch(u32),
    #[error("a greeting was expected")]
    NotGreeted,
}

/// Grows with each failure, scattered so that many controllers do not come back in step.
pub(crate) struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(least: Duration, most: Duration) -> Backoff {
        Backoff { least, most, next: least }
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.least;
    }

    pub(crate) async fn wait(&mut self) {
        let wait = self.next.mul_f64(0.5 + fastrand::f64() / 2.0);
        self.next = (self.next * 2).min(self.most);
        tokio::time::sleep(wait).await;
    }
}

/// Keeps the link to a node until the task is ended.
pub(crate) async fn keep(shell: Rc<Shell>, node: MachineId, address: SocketAddrV4, name: String) {
    let listen = &shell.config.listen;
    let mut backoff = Backoff::new(listen.retry_least, listen.retry_most);
    loop {
        let error = match timeout(listen.connect_timeout, greet(&shell, node, address, &name)).await {
            Ok(Ok((link, queue))) => {
                backoff.reset();
                tracing::debug!(node = name, "link up");
                let error = carry(&shell, node, link, queue).await;
                shell.input(Input::LinkDown(node));
                error
            }
            Ok(Err(error)) => error,
            Err(_) => LinkError::TimedOut,
        };
        tracing::debug!(node = name, %error, "link down");
        backoff.wait().await;
    }
}

/// Connects and greets; gives the link once the node has told all that it holds.
async fn greet(
    shell: &Shell, node: MachineId, address: SocketAddrV4, name: &str,
) -> Result<Greeted, LinkError> {
    let stream = TcpStream::connect(address).await.map_err(LinkError::Connect)?;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, Messages::new(NODE_FRAME));
    let version = peppercove_protocol::VERSION;
    let controller = Party { name: shell.config.name.clone(), life: shell.life };
    link.send(&ToNode::Hello { version, controller }).await?;
    let (told, mut left) = match link.next().await.ok_or(LinkError::Closed)?? {
        FromNode::Welcome { version: v, .. } if v != version => return Err(LinkError::WrongVersion(v)),
        FromNode::Welcome { node, .. } if node.name != name => return Err(LinkError::WrongName(node.name)),
        FromNode::Welcome { node, standing, .. } => (node, standing),
        _ => return Err(LinkError::NotGreeted),
    };
    // A node is not trusted to hold no more than this controller could ever have sent.
    if left as usize > shell.config.limits.jobs {
        return Err(LinkError::TooMuch(left));
    }
    let mut standing = Vec::new();
    while left > 0 {
        match link.next().await.ok_or(LinkError::Closed)?? {
            FromNode::Standing { life, attempt, work, ended } => {
                let (request, submission) = (request_of(attempt), submission_of(work));
                let ended = ended.map(past);
                standing.push(Standing { life, request, attempt: attempt.number, submission, ended });
                left -= 1;
            }
            other => take(shell, node, other),
        }
    }
    let (sender, queue) = mpsc::channel(shell.config.limits.node_queue);
    if let Some(handle) = shell.links.borrow_mut().get_mut(&node) {
        handle.queue = Some(sender);
    }
    shell.input(Input::LinkUp { node, life: told.life, standing });
    Ok((link, queue))
}

async fn carry(
    shell: &Shell, node: MachineId, mut link: Link, mut queue: mpsc::Receiver<ToNode>,
) -> LinkError {
    let write_within = shell.config.listen.connect_timeout;
    let error = loop {
        tokio::select! {
            message = link.next() => match message {
                Some(Ok(message)) => take(shell, node, message),
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
            shell.input(Input::Unsent { node, request: request_of(attempt), attempt: attempt.number });
        }
    }
    error
}

/// Writes a message and those queued behind it in one go.
async fn write(link: &mut Link, first: ToNode, queue: &mut mpsc::Receiver<ToNode>) -> Result<(), FrameError> {
    link.feed(&first).await?;
    while let Ok(message) = queue.try_recv() {
        link.feed(&message).await?;
    }
    link.flush().await
}

fn take(shell: &Shell, node: MachineId, message: FromNode) {
    let (attempt, news, load) = match message {
        FromNode::Accepted { attempt, load } => (attempt, NodeNews::Accepted, load),
        FromNode::Running { attempt, load } => (attempt, NodeNews::Running, load),
        FromNode::Refused { attempt, reason, load } => (attempt, NodeNews::Refused(why(reason)), load),
        FromNode::Ended { attempt, end, load } => {
            // The node keeps an end until it is taken note of; it may have been told on a link that broke.
            shell.send(node, ToNode::Noted { attempt });
            (attempt, ended(end), load)
        }
        FromNode::Note { attempt, note } => (attempt, NodeNews::Note(noted(note)), None),
        FromNode::Probed { load, .. } => {
            shell.input(Input::Probed { node, answered: true, load: load.map(loaded) });
            return;
        }
        // Out of turn: a node tells what it holds when it is greeted.
        FromNode::Welcome { .. } | FromNode::Standing { .. } => return,
    };
    let (request, attempt) = (request_of(attempt), attempt.number);
    shell.input(Input::News { node, request, attempt, news, load: load.map(loaded) });
}

fn loaded(report: Report) -> Load {
    let finite = |x: Option<f64>| x.filter(|x| x.is_finite());
    Load {
        free_cores: finite(report.free_cores),
        free_memory: finite(report.free_memory),
        busy: finite(report.busy),
        waiting: finite(report.waiting),
    }
}

fn why(reason: Reason) -> Why {
    match reason {
        Reason::Unknown => Why::Unknown,
        Reason::NoCores => Why::NoCores,
        Reason::NoMemory => Why::NoMemory,
        Reason::Busy => Why::Busy,
        Reason::NotHere => Why::NotHere,
        Reason::Evicted => Why::Evicted,
        Reason::PushedOut => Why::PushedOut,
        Reason::SentAway => Why::SentAway,
    }
}

fn ended(end: node::End) -> NodeNews {
    match end {
        node::End::Exited { status, usage: u } => {
            NodeNews::Ended(End::Exited { status, wall: u.wall, cpu: u.cpu, memory: u.memory }, Why::Unknown)
        }
        node::End::Signalled { signal, usage: u } => NodeNews::Ended(
            End::Signalled { signal, wall: u.wall, cpu: u.cpu, memory: u.memory },
            Why::Unknown,
        ),
        node::End::Error => NodeNews::Error,
        node::End::GivenUp(reason) => NodeNews::Ended(End::GivenUp, why(reason)),
    }
}

fn past(end: node::End) -> End {
    match ended(end) {
        NodeNews::Ended(end, _) => end,
        _ => End::Lost,
    }
}

fn noted(note: TaskNote) -> Note {
    match note {
        TaskNote::CoresUsed(x) => Note::CoresUsed(x),
        TaskNote::MemoryUsed(x) => Note::MemoryUsed(x),
        TaskNote::Served(x) => Note::Served(x),
        TaskNote::NodeMemory(x) => Note::MachineMemory(x),
    }
}
