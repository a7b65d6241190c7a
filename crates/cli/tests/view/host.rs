//! Hollow hosts: each a listener in this thread, with what came to it written down.

use bytes::BytesMut;
use peppercove_platform::wire::{Message, MessageKind, cause, code, decode};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

/// A connection that is idle for so long is closed by its host.
const IDLE: Duration = Duration::from_millis(400);

/// A set-up that came to a host.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub id: u64,
    pub class: String,
    pub host: usize,
    pub cell: u16,
    /// It was turned away at once, and never ran.
    pub refused: bool,
}

pub type Record = Rc<RefCell<Vec<Sent>>>;

pub struct Host {
    pub number: usize,
    pub name: String,
    pub cell: u16,
    pub address: SocketAddr,
    /// Unix millisecond of a late start, or 0, and when that was here.
    pub started_ms: u64,
    pub started_at: Option<Instant>,
    /// Takes connections and bytes, and says nothing.
    pub silent: Rc<Cell<bool>>,
    work: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Host {
    pub async fn start(number: usize, cell: u16, started_ms: u64, record: Record) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (silent, work) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(Vec::new())));
        let name = format!("h{number}");
        let link = Link {
            number,
            cell,
            name: name.clone(),
            silent: silent.clone(),
            record,
        };
        let links = work.clone();
        let accept = spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let mut links: std::cell::RefMut<Vec<AbortHandle>> = links.borrow_mut();
                    links.retain(|w| !w.is_finished());
                    links.push(spawn_local(link.clone().serve(stream)).abort_handle());
                }
            }
        });
        work.borrow_mut().push(accept.abort_handle());
        let started_at = (started_ms > 0).then(Instant::now);
        Host {
            number,
            name,
            cell,
            address,
            started_ms,
            started_at,
            silent,
            work,
        }
    }

    /// Its line of the list.
    pub fn line(&self, state: &str) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"z","kind":"box","cell":{},"state":"{state}","weight":1,"started_ms":{},"room":[30,60]}}"#,
            self.name, self.address, self.cell, self.started_ms
        )
    }

    /// Its process dies, with its connections.
    pub fn die(&self) {
        self.work.borrow_mut().drain(..).for_each(|w| w.abort());
    }
}

#[derive(Clone)]
struct Link {
    number: usize,
    cell: u16,
    name: String,
    silent: Rc<Cell<bool>>,
    record: Record,
}

impl Link {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut from, mut to) = stream.into_split();
        let (out, mut said) = mpsc::unbounded_channel::<Message>();
        let mut buffer = BytesMut::new();
        loop {
            tokio::select! {
                message = said.recv() => {
                    let Some(message) = message else { return };
                    if to.write_all(&message.encode()).await.is_err() {
                        return;
                    }
                }
                read = tokio::time::timeout(IDLE, from.read_buf(&mut buffer)) => match read {
                    Ok(Ok(1..)) => {
                        while let Ok(Some(message)) = decode(&mut buffer) {
                            self.reads(&message, &out);
                        }
                    }
                    // Open set-ups hold a handle of the way out.
                    Err(_) if out.strong_count() > 1 || self.silent.get() => {}
                    Ok(_) | Err(_) => return,
                },
            }
        }
    }

    fn reads(&self, message: &Message, out: &mpsc::UnboundedSender<Message>) {
        let id = message.id;
        if message.kind == MessageKind::Test && !self.silent.get() {
            let _ = out.send(Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1]));
        }
        if message.kind != MessageKind::SetUp {
            return;
        }
        let dice = fastrand::u8(0..16);
        let refused = dice == 0 && !self.silent.get();
        let class = message.text(code::CLASS).unwrap_or_default().to_owned();
        let (host, cell) = (self.number, self.cell);
        self.record.borrow_mut().push(Sent {
            at: Instant::now(),
            id,
            class,
            host,
            cell,
            refused,
        });
        let (out, name, silent) = (out.clone(), self.name.clone(), self.silent.get());
        spawn_local(async move {
            match dice {
                _ if silent => {}
                0 => drop(out.send(Message::release(id, cause::FULL))),
                // It may have run.
                1 => drop(out.send(Message::release(id, cause::CUT))),
                _ => {
                    tokio::time::sleep(Duration::from_millis(fastrand::u64(2..40))).await;
                    let description = format!("{name}/{id:016x}");
                    let _ = out.send(
                        Message::new(MessageKind::Answer, id)
                            .with(code::DESCRIPTION, description.as_bytes()),
                    );
                    tokio::time::sleep(Duration::from_millis(fastrand::u64(100..900))).await;
                    let _ = out.send(Message::release(id, cause::ORDINARY));
                }
            }
        });
    }
}
