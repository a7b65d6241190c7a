//! What lies between a controller and a node: the faults are here, not in the processes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};

/// Bytes that are read at a time.
const READ_SIZE: usize = 2048;
/// Bytes that a slow connection passes on at a time.
const SLOW_READ_SIZE: usize = 7;
/// Until it passes them on.
const SLOW_DELAY: Duration = Duration::from_millis(2);

/// What is done to bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Open,
    /// They pass late, in small parts.
    Slow,
    /// None passes either way, and open connections stay open.
    Silent,
}

/// The connections from a controller to a node.
pub struct Relay {
    pub address: SocketAddr,
    mode: Rc<Cell<Mode>>,
    connections: Rc<RefCell<Vec<Connection>>>,
    accepting: AbortHandle,
}

struct Connection {
    /// What the node sends is lost from now on, until the connection ends.
    loses_answers: Rc<Cell<bool>>,
    /// One a direction.
    pumps: [AbortHandle; 2],
}

impl Relay {
    /// A relay to a node.
    pub async fn start(node: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let mode = Rc::new(Cell::new(Mode::Open));
        let connections = Rc::new(RefCell::new(Vec::new()));
        let accepting = accept_connections(listener, node, mode.clone(), connections.clone());
        let accepting = spawn_local(accepting).abort_handle();
        Relay {
            address,
            mode,
            connections,
            accepting,
        }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Answers that are on their way, or would come over what is open now, are lost.
    pub fn lose_answers(&self) {
        for connection in self.connections.borrow().iter() {
            connection.loses_answers.set(true);
        }
    }

    /// All connections are reset, with what is under way on them.
    pub fn reset(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.pumps.iter().for_each(AbortHandle::abort);
        }
    }

    /// The node's process is gone: connections are refused.
    pub fn close(&self) {
        self.accepting.abort();
        self.reset();
    }
}

async fn accept_connections(
    listener: TcpListener,
    node: SocketAddr,
    mode: Rc<Cell<Mode>>,
    connections: Rc<RefCell<Vec<Connection>>>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let Ok(far) = TcpStream::connect(node).await else {
            continue;
        };
        for stream in [&near, &far] {
            // Dropped with its pumps, it is reset.
            stream.set_zero_linger().expect("a socket");
        }
        let loses_answers = Rc::new(Cell::new(false));
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        let to_node = pump(near_reader, far_writer, mode.clone(), Rc::default());
        let to_controller = pump(far_reader, near_writer, mode.clone(), loses_answers.clone());
        let pumps = [
            spawn_local(to_node).abort_handle(),
            spawn_local(to_controller).abort_handle(),
        ];
        let mut connections = connections.borrow_mut();
        connections.retain(|c: &Connection| !c.pumps.iter().all(AbortHandle::is_finished));
        connections.push(Connection {
            loses_answers,
            pumps,
        });
    }
}

/// Passes bytes on by the mode, and loses them where `loses_bytes` is set.
async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mode: Rc<Cell<Mode>>,
    loses_bytes: Rc<Cell<bool>>,
) {
    let mut part = [0; READ_SIZE];
    loop {
        let size = if mode.get() == Mode::Slow {
            SLOW_READ_SIZE
        } else {
            READ_SIZE
        };
        let read = reader.read(&mut part[..size]).await;
        while mode.get() == Mode::Silent {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let Ok(count @ 1..) = read else { break };
        if mode.get() == Mode::Slow {
            tokio::time::sleep(SLOW_DELAY).await;
        }
        if !loses_bytes.get() && writer.write_all(&part[..count]).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
