//! What lies between a controller and a host: the faults are here, not in the processes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};

/// What is done to bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Open,
    /// They pass late, in small parts.
    Slow,
    /// None passes either way, and connections that are open stay open.
    Silent,
}

/// One way from a controller to a host.
pub struct Relay {
    pub address: SocketAddr,
    mode: Rc<Cell<Mode>>,
    pairs: Rc<RefCell<Vec<Pair>>>,
    accepts: AbortHandle,
}

struct Pair {
    /// What the host says is lost from now on, until the connection ends.
    deaf: Rc<Cell<bool>>,
    pumps: [AbortHandle; 2],
}

impl Relay {
    pub async fn to(host: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (mode, pairs) = (
            Rc::new(Cell::new(Mode::Open)),
            Rc::new(RefCell::new(Vec::new())),
        );
        let accepts =
            spawn_local(accept(listener, host, mode.clone(), pairs.clone())).abort_handle();
        Relay {
            address,
            mode,
            pairs,
            accepts,
        }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Answers that are on their way, or would come over what is open now, are lost.
    pub fn lose_answers(&self) {
        self.pairs.borrow().iter().for_each(|p| p.deaf.set(true));
    }

    /// All connections are reset, with what is under way on them.
    pub fn reset(&self) {
        for pair in self.pairs.borrow_mut().drain(..) {
            pair.pumps.iter().for_each(AbortHandle::abort);
        }
    }

    /// The host's process is gone: connections are refused.
    pub fn close(&self) {
        self.accepts.abort();
        self.reset();
    }
}

async fn accept(
    listener: TcpListener,
    host: SocketAddr,
    mode: Rc<Cell<Mode>>,
    pairs: Rc<RefCell<Vec<Pair>>>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let Ok(far) = TcpStream::connect(host).await else {
            continue;
        };
        for stream in [&near, &far] {
            // Dropped with its pumps, it is reset.
            stream.set_zero_linger().expect("a socket");
        }
        let deaf = Rc::new(Cell::new(false));
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let never = Rc::new(Cell::new(false));
        let there = spawn_local(pump(near_in, far_out, mode.clone(), never)).abort_handle();
        let back = spawn_local(pump(far_in, near_out, mode.clone(), deaf.clone())).abort_handle();
        let mut pairs = pairs.borrow_mut();
        pairs.retain(|p: &Pair| !p.pumps.iter().all(AbortHandle::is_finished));
        pairs.push(Pair {
            deaf,
            pumps: [there, back],
        });
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: Rc<Cell<Mode>>,
    deaf: Rc<Cell<bool>>,
) {
    let mut part = [0; 2048];
    loop {
        let most = if mode.get() == Mode::Slow {
            7
        } else {
            part.len()
        };
        let read = from.read(&mut part[..most]).await;
        while mode.get() == Mode::Silent {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let Ok(n @ 1..) = read else { break };
        if mode.get() == Mode::Slow {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        if !deaf.get() && to.write_all(&part[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
