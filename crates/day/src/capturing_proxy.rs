//! Taps on the sockets: proxies that pass bytes on and write down the messages in them.

use bytes::{Buf, BytesMut};
use peppercove_audit::{Event, Observation};
use peppercove_protocol::codec::decode_frame;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::list::{FromList, ToList};
use peppercove_protocol::native;
use peppercove_protocol::node::{FromNode, Idempotency, ProcessIdentity, ToNode};
use peppercove_protocol::rpc;
use peppercove_standins::Clock;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// What all taps of a run write down, in the order they saw it.
#[derive(Clone)]
pub struct Book {
    clock: Clock,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Book {
    /// An empty book.
    pub fn new(clock: Clock) -> Book {
        Book {
            clock,
            events: Rc::default(),
        }
    }

    /// Writes down what was seen now.
    pub fn write(&self, seen: Observation) {
        self.events.borrow_mut().push(Event {
            at: self.clock.now(),
            observation: seen,
        });
    }

    /// Greetings of nodes so far.
    pub fn greeted(&self) -> usize {
        let welcome = |e: &&Event| {
            matches!(
                e.observation,
                Observation::FromNode {
                    message: FromNode::Welcome { .. },
                    ..
                }
            )
        };
        self.events.borrow().iter().filter(welcome).count()
    }

    /// All that was written.
    pub fn take(&self) -> Vec<Event> {
        std::mem::take(&mut self.events.borrow_mut())
    }
}

/// What the classes of the settings say of a job that does not.
#[derive(Clone, Debug, Default)]
pub struct ClassFacts {
    /// By name: deadline and what a repeat does.
    pub classes: BTreeMap<String, (u64, Option<Idempotency>)>,
    /// Name of the class of a job that names none.
    pub default: String,
}

/// A tap in front of something that listens.
#[derive(Clone)]
pub struct Tap {
    address: SocketAddrV4,
    target: Rc<RefCell<SocketAddr>>,
    cut: Rc<watch::Sender<bool>>,
}

/// What a tap listens to, and so how it reads the bytes.
#[derive(Clone)]
pub enum Line {
    /// Links from controllers to the node of that name.
    Node(String),
    /// Links from controllers to the node list.
    List,
    /// Links from clients to the controller of that name.
    Clients(String, Rc<ClassFacts>),
}

impl Tap {
    /// Listens in front of `target`; within a `LocalSet`.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start(target: SocketAddr, line: Line, book: Book) -> io::Result<Tap> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other("an IPv4 address was expected"));
        };
        let tap = Tap {
            address,
            target: Rc::new(RefCell::new(target)),
            cut: Rc::new(watch::Sender::new(false)),
        };
        let (target, cut) = (tap.target.clone(), tap.cut.clone());
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                if *cut.borrow() {
                    continue;
                }
                let to = *target.borrow();
                spawn_local(pass(
                    stream,
                    to,
                    line.clone(),
                    book.clone(),
                    cut.subscribe(),
                ));
            }
        });
        Ok(tap)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// What is behind it has moved.
    pub fn retarget(&self, to: SocketAddr) {
        *self.target.borrow_mut() = to;
    }

    /// Cuts every connection through it, and lets no new one pass until it is mended.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn pass(
    near: TcpStream,
    to: SocketAddr,
    line: Line,
    book: Book,
    mut cut: watch::Receiver<bool>,
) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let reader = Rc::new(RefCell::new(Reader::new(line, book)));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    // Either end closing ends both ways; a half-open link would hide from each that the other is gone.
    tokio::select! {
        () = copy(near_in, far_out, &reader, true) => {}
        () = copy(far_in, near_out, &reader, false) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
    reader.borrow().closed();
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    reader: &RefCell<Reader>,
    outward: bool,
) {
    let mut held = BytesMut::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        let n = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(n) => n,
        };
        held.extend_from_slice(&chunk[..n]);
        // Written down before it is passed on: nothing can be answered before it was seen.
        reader.borrow_mut().read(&mut held, outward);
        if to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}

struct Reader {
    line: Line,
    book: Book,
    party: Option<ProcessIdentity>,
    session: String,
    calls: BTreeMap<String, Value>,
    broken: bool,
}

impl Reader {
    fn new(line: Line, book: Book) -> Reader {
        Reader {
            line,
            book,
            party: None,
            session: String::new(),
            calls: BTreeMap::new(),
            broken: false,
        }
    }

    fn closed(&self) {
        match (&self.line, &self.party) {
            (Line::Node(node), Some(party)) => {
                self.book.write(Observation::LinkClosed {
                    controller: party.clone(),
                    node: node.clone(),
                });
            }
            (Line::Clients(..), _) if !self.session.is_empty() => {
                self.book.write(Observation::ClientGone {
                    session: self.session.clone(),
                });
            }
            _ => {}
        }
    }

    fn read(&mut self, held: &mut BytesMut, outward: bool) {
        while !self.broken {
            let taken = match &self.line {
                Line::Clients(..) => match held.iter().position(|b| *b == b'\n') {
                    Some(end) => held.split_to(end + 1),
                    None => return,
                },
                _ => {
                    let Some(head) = held.first_chunk::<4>() else {
                        return;
                    };
                    let length = u32::from_be_bytes(*head) as usize;
                    if held.len() < 4 + length {
                        return;
                    }
                    let mut frame = held.split_to(4 + length);
                    frame.advance(4);
                    frame
                }
            };
            self.take(&taken, outward);
        }
        held.clear();
    }

    fn take(&mut self, bytes: &[u8], outward: bool) {
        match (self.line.clone(), outward) {
            (Line::Node(node), true) => match decode_frame::<ToNode>(bytes) {
                Ok(ToNode::Hello { controller, .. }) => self.party = Some(controller),
                Ok(message) => {
                    if let Some(controller) = self.party.clone() {
                        self.book.write(Observation::ToNode {
                            controller,
                            node,
                            message,
                        });
                    }
                }
                Err(_) => self.broken = true,
            },
            (Line::Node(node), false) => {
                match (decode_frame::<FromNode>(bytes), self.party.clone()) {
                    (Ok(message), Some(controller)) => self.book.write(Observation::FromNode {
                        controller,
                        node,
                        message,
                    }),
                    _ => self.broken = true,
                }
            }
            (Line::List, true) => match decode_frame::<ToList>(bytes) {
                Ok(ToList::Hello { controller, .. }) => {
                    self.party = Some(ProcessIdentity {
                        name: controller,
                        incarnation: 0,
                    })
                }
                Ok(_) => {}
                Err(_) => self.broken = true,
            },
            (Line::List, false) => match (decode_frame::<FromList>(bytes), &self.party) {
                (Ok(news), Some(party)) => {
                    self.book.write(Observation::List {
                        controller: party.name.clone(),
                        news,
                    });
                }
                _ => self.broken = true,
            },
            (Line::Clients(..), true) => self.call(bytes),
            (Line::Clients(controller, facts), false) => self.reply(&controller, &facts, bytes),
        }
    }

    fn call(&mut self, bytes: &[u8]) {
        let Ok(call) = serde_json::from_slice::<Value>(bytes) else {
            return;
        };
        let id = call["id"].to_string();
        if matches!(call["method"].as_str(), Some("init" | "runJob")) && self.calls.len() < 1 << 16
        {
            self.calls.insert(id, call);
        }
    }

    fn reply(&mut self, controller: &str, facts: &ClassFacts, bytes: &[u8]) {
        let Ok(reply) = serde_json::from_slice::<Value>(bytes) else {
            return;
        };
        if reply["method"] == "settled" {
            let Ok(settled) =
                serde_json::from_value::<rpc::PlacementResult>(reply["params"].clone())
            else {
                return;
            };
            let (key, job, outcome) = (settled.submission_key, settled.job_id, settled.outcome);
            return self.book.write(Observation::Settled {
                session: self.session.clone(),
                key,
                job,
                outcome,
            });
        }
        let Some(call) = self.calls.remove(&reply["id"].to_string()) else {
            return;
        };
        if call["method"] == "init" {
            if !reply["result"].is_null() {
                self.session = call["params"]["session"]
                    .as_str()
                    .unwrap_or_default()
                    .into();
            }
            return;
        }
        if let Some(job) = reply["result"]["jobId"].as_str() {
            let template = &call["params"]["jobTemplate"]["attributes"];
            let native = native::parse(
                template["drmaa_native_specification"]
                    .as_str()
                    .unwrap_or_default(),
            );
            let native = native.unwrap_or_default();
            let category = template["drmaa_job_category"]
                .as_str()
                .unwrap_or(&facts.default);
            let class = native.class.as_deref().unwrap_or(category);
            let (deadline, repeat) = facts.classes.get(class).copied().unwrap_or((0, None));
            let deadline = native.deadline.map_or(deadline, |d| d.as_micros() as u64);
            self.book.write(Observation::Taken {
                controller: controller.into(),
                session: self.session.clone(),
                key: call["params"]["submissionKey"]
                    .as_str()
                    .unwrap_or_default()
                    .into(),
                job: job.into(),
                deadline,
                repeat: repeat.unwrap_or(Idempotency::NonIdempotent),
            });
        } else if let Some(errno) = reply["error"]["data"]["errno"]
            .as_str()
            .and_then(Errno::from_name)
        {
            self.book.write(Observation::TurnedAway { errno });
        }
    }
}
