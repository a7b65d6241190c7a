//! What is around schedulers that run as processes: hosts, a journal service and owners, all on loopback and in one
//! thread of this process. Each counts what crosses its wires.

use crate::hollow::DESCRIPTION;
use crate::platform::{host, set_up};
use crate::row::At;
use anyhow::Result;
use bytes::BytesMut;
use peppercove_platform::wire::{Message, MessageKind, cause, code, decode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

/// From a host's answer to the end of its task.
pub const LIFE: Duration = Duration::from_millis(500);
/// A task whose id has this bit stands for good.
pub const LASTING: u64 = 1 << 39;

/// The scheduler that a task is asked of is told by its id.
pub fn id(scheduler: usize, number: u64) -> u64 {
    (scheduler as u64 + 1) << 40 | number
}

/// Bytes that reached the schedulers and that came from them, all together.
#[derive(Default)]
pub struct Bytes {
    /// Sent to them.
    pub to: Cell<u64>,
    /// Had from them.
    pub from: Cell<u64>,
}

impl Bytes {
    /// Both.
    pub fn now(&self) -> (u64, u64) {
        (self.to.get(), self.from.get())
    }
}

/// Ends that a host could tell nobody, by scheduler: told over the next connection of that one.
type Untold = Rc<RefCell<BTreeMap<u64, Vec<Message>>>>;

/// Starts so many hosts, each with a listener and an address of its own; returns their lines of the list.
pub async fn start_hosts(machines: u64, bytes: &Rc<Bytes>) -> Result<Vec<serde_json::Value>> {
    let mut lines = Vec::new();
    for number in 0..machines {
        let ip = Ipv4Addr::from(0x7f01_0001 + number as u32);
        let listener = TcpListener::bind((ip, 0)).await?;
        lines.push(host(number, listener.local_addr()?));
        let (bytes, untold) = (bytes.clone(), Untold::default());
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        drop(spawn_local(serve(stream, bytes.clone(), untold.clone())))
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            }
        });
    }
    Ok(lines)
}

async fn serve(stream: TcpStream, bytes: Rc<Bytes>, untold: Untold) {
    let (out, said) = unbounded_channel();
    let mut known = false;
    carry(stream, said, &bytes, |message| {
        let id = message.id;
        match message.kind {
            MessageKind::Test => {
                let _ = out.send(Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1]));
            }
            MessageKind::SetUp => {
                if !std::mem::replace(&mut known, true) {
                    let ends = untold.borrow_mut().remove(&(id >> 40)).unwrap_or_default();
                    ends.into_iter().for_each(|end| drop(out.send(end)));
                }
                let answer = Message::new(MessageKind::Answer, id)
                    .with(code::DESCRIPTION, &[b'h'; DESCRIPTION]);
                let _ = out.send(answer);
                if id & LASTING == 0 {
                    let (out, untold) = (out.clone(), untold.clone());
                    spawn_local(async move {
                        tokio::time::sleep(LIFE).await;
                        if let Err(end) = out.send(Message::release(id, cause::ORDINARY)) {
                            untold.borrow_mut().entry(id >> 40).or_default().push(end.0);
                        }
                    });
                }
            }
            _ => {}
        }
    })
    .await;
}

/// Carries messages both ways until one side ends.
async fn carry(
    stream: TcpStream,
    mut said: UnboundedReceiver<Message>,
    bytes: &Bytes,
    mut hear: impl FnMut(Message),
) {
    let _ = stream.set_nodelay(true);
    let (mut from, mut to) = stream.into_split();
    let mut buffer = BytesMut::new();
    loop {
        tokio::select! {
            message = said.recv() => {
                let Some(message) = message else { return };
                let frame = message.encode();
                bytes.to.set(bytes.to.get() + frame.len() as u64);
                if to.write_all(&frame).await.is_err() {
                    return;
                }
            }
            read = from.read_buf(&mut buffer) => {
                let Ok(n @ 1..) = read else { return };
                bytes.from.set(bytes.from.get() + n as u64);
                loop {
                    match decode(&mut buffer) {
                        Ok(Some(message)) => hear(message),
                        Ok(None) => break,
                        Err(_) => return,
                    }
                }
            }
        }
    }
}

/// Starts a journal service that has one event, and tells its number every second.
pub async fn start_journal(bytes: &Rc<Bytes>) -> Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let bytes = bytes.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let bytes = bytes.clone();
            spawn_local(async move {
                let mut stream = BufReader::new(stream);
                let mut call = String::new();
                let read = stream.read_line(&mut call).await.unwrap_or(0);
                bytes.from.set(bytes.from.get() + read as u64);
                while read > 0 && stream.write_all(b"1\n").await.is_ok() {
                    bytes.to.set(bytes.to.get() + 2);
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            });
        }
    });
    Ok(address)
}

#[derive(Default)]
struct Heard {
    asked: BTreeMap<u64, Instant>,
    delays: Vec<f64>,
    placed: u64,
    refused: u64,
    ended: u64,
    tested: u64,
    closed: u64,
}

/// The owners of one scheduler: idle connections, and one over which all is asked.
pub struct Owners {
    scheduler: usize,
    out: Vec<UnboundedSender<Message>>,
    heard: Rc<RefCell<Heard>>,
}

impl Owners {
    /// Opens so many connections; each has passed a test, or is not waited for any longer than a second.
    pub async fn connect(
        scheduler: usize,
        address: SocketAddr,
        connections: u64,
        bytes: &Rc<Bytes>,
    ) -> Result<Owners> {
        let mut owners = Owners {
            scheduler,
            out: Vec::new(),
            heard: Rc::default(),
        };
        for _ in 0..connections.max(1) {
            let stream = TcpStream::connect(address).await?;
            let (out, said) = unbounded_channel();
            let _ = out.send(Message::new(MessageKind::Test, 1).with(code::CAUSE, &[0]));
            owners.out.push(out);
            let (heard, bytes) = (owners.heard.clone(), bytes.clone());
            spawn_local(async move {
                carry(stream, said, &bytes, |message| {
                    heard.borrow_mut().hear(&message)
                })
                .await;
                heard.borrow_mut().closed += 1;
            });
        }
        let until = Instant::now() + Duration::from_secs(1);
        while owners.heard.borrow().tested < connections && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        Ok(owners)
    }

    /// Asks for one task.
    pub fn ask(&self, at: &At, number: u64) {
        let id = id(self.scheduler, number);
        self.heard.borrow_mut().asked.insert(id, Instant::now());
        let _ = self.out[0].send(set_up(at, id, DESCRIPTION));
    }

    /// Forgets what was answered so far; what was not answered is forgotten as well.
    pub fn begin(&self) {
        let mut heard = self.heard.borrow_mut();
        let (tested, closed) = (heard.tested, heard.closed);
        *heard = Heard {
            tested,
            closed,
            ..Heard::default()
        };
    }

    /// Microseconds from each set-up to its answer.
    pub fn delays(&self) -> Vec<f64> {
        self.heard.borrow().delays.clone()
    }

    /// Tasks placed, turned away or failed, and ended since [`Owners::begin`].
    pub fn outcomes(&self) -> [u64; 3] {
        let heard = self.heard.borrow();
        [heard.placed, heard.refused, heard.ended]
    }

    /// Connections that the scheduler keeps open.
    pub fn open(&self) -> u64 {
        self.out.len() as u64 - self.heard.borrow().closed
    }
}

impl Heard {
    fn hear(&mut self, message: &Message) {
        match (message.kind, self.asked.remove(&message.id)) {
            (MessageKind::Tested, _) => self.tested += 1,
            (MessageKind::Answer, Some(at)) => {
                self.placed += 1;
                self.delays.push(at.elapsed().as_secs_f64() * 1e6);
            }
            (MessageKind::Release, Some(_)) => self.refused += 1,
            (MessageKind::Release, None) => self.ended += 1,
            _ => {}
        }
    }
}
