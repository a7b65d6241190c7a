//! The owners of a day's jobs: they submit, are told the answer, and ask again as the brief's owners do.

use futures_util::{SinkExt, StreamExt};
use peppercove_kernel::client_model::{
    ClassFact, Next, Tally, after_answer, after_door, after_loss, may_try,
};
use peppercove_kernel::scenario::JobArrival;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{PlacementOutcome, PlacementResult};
use peppercove_standins::Clock;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Framed, LinesCodec};

struct Ask {
    arrival: Rc<JobArrival>,
    task: u64,
    tries: u32,
    since: Instant,
    /// The controller that may have started it.
    asked: Option<usize>,
}

/// The clients of one controller, on one connection at a time.
pub struct Desk {
    controller: usize,
    address: SocketAddrV4,
    session: String,
    classes: BTreeMap<String, ClassFact>,
    settle: Duration,
    moves: f64,
    until: Instant,
    tally: Rc<RefCell<Tally>>,
    seed: RefCell<fastrand::Rng>,
    queue: mpsc::UnboundedSender<Ask>,
    open: Cell<usize>,
    next: Cell<u64>,
    /// Where a job of no harm goes when its own controller is away.
    others: RefCell<Vec<Rc<Desk>>>,
}

/// What all the desks of a day share.
pub struct Owners {
    /// One for each controller.
    pub desks: Vec<Rc<Desk>>,
    /// What they counted.
    pub tally: Rc<RefCell<Tally>>,
}

impl Owners {
    /// Opens a desk for each address; within a `LocalSet`. Nobody asks again after `until`.
    pub fn open(
        addresses: &[SocketAddrV4],
        classes: &BTreeMap<String, ClassFact>,
        settle: Duration,
        moves: f64,
        until: Instant,
        seed: u64,
    ) -> Owners {
        let tally = Rc::new(RefCell::new(Tally::default()));
        let mut desks = Vec::new();
        for (i, address) in addresses.iter().enumerate() {
            let (queue, asks) = mpsc::unbounded_channel();
            let desk = Rc::new(Desk {
                controller: i,
                address: *address,
                session: format!("owners-{seed}-{i}"),
                classes: classes.clone(),
                settle,
                moves,
                until,
                tally: tally.clone(),
                seed: RefCell::new(fastrand::Rng::with_seed(seed ^ i as u64)),
                queue,
                open: Cell::new(0),
                next: Cell::new(0),
                others: RefCell::default(),
            });
            spawn_local(run(desk.clone(), asks));
            desks.push(desk);
        }
        for desk in &desks {
            *desk.others.borrow_mut() = desks
                .iter()
                .filter(|d| !Rc::ptr_eq(d, desk))
                .cloned()
                .collect();
        }
        Owners { desks, tally }
    }

    /// Asks that wait for their answer, or to be made again.
    pub fn open_asks(&self) -> usize {
        self.desks.iter().map(|d| d.open.get()).sum()
    }
}

impl Desk {
    /// A new job.
    pub fn submit(&self, arrival: JobArrival, task: u64) {
        self.tally.borrow_mut().jobs += 1;
        self.open.set(self.open.get() + 1);
        let ask = Ask {
            arrival: Rc::new(arrival),
            task,
            tries: 0,
            since: Instant::now(),
            asked: None,
        };
        let _ = self.queue.send(ask);
    }

    /// Asks again after a while, unless the day is over or it was tried often enough.
    fn again(self: &Rc<Desk>, mut ask: Ask, after: Duration) {
        ask.tries += 1;
        if !may_try(ask.tries) || Instant::now() + after > self.until {
            self.open.set(self.open.get() - 1);
            return;
        }
        self.tally.borrow_mut().again += 1;
        let desk = self.clone();
        spawn_local(async move {
            sleep(after).await;
            ask.since = Instant::now();
            let _ = desk.queue.send(ask);
        });
    }

    fn answered(self: &Rc<Desk>, ask: Ask, outcome: PlacementOutcome) {
        let class = ask.arrival.class.clone();
        self.tally.borrow_mut().answered(
            ask.task,
            &class,
            outcome,
            ask.since.elapsed().as_micros() as u64,
        );
        let next = after_answer(
            outcome,
            self.is_safe(&class),
            self.settle,
            &mut self.seed.borrow_mut(),
        );
        self.go_on(ask, next);
    }

    fn is_safe(&self, class: &str) -> bool {
        self.classes.get(class).is_some_and(|c| c.safe)
    }

    fn go_on(self: &Rc<Desk>, ask: Ask, next: Next) {
        match next {
            Next::Done => self.open.set(self.open.get() - 1),
            Next::Again(after) => self.again(ask, after),
            Next::Elsewhere => {
                let mut ask = ask;
                if !self.is_safe(&ask.arrival.class) {
                    ask.asked = ask.asked.or(Some(self.controller));
                }
                let others = self.others.borrow();
                let i = self.seed.borrow_mut().usize(0..others.len());
                self.open.set(self.open.get() - 1);
                others[i].open.set(others[i].open.get() + 1);
                others[i].again(ask, Duration::ZERO);
            }
        }
    }

    /// The controller went away with this ask open.
    fn lost(self: &Rc<Desk>, ask: Ask) {
        let (safe, others) = (
            self.is_safe(&ask.arrival.class),
            !self.others.borrow().is_empty(),
        );
        let next = after_loss(
            safe,
            others,
            self.moves,
            self.settle,
            &mut self.seed.borrow_mut(),
        );
        self.go_on(ask, next);
    }

    fn call(&self, ask: &Ask) -> (String, Value) {
        let n = self.next.get() + 1;
        self.next.set(n);
        let a = &ask.arrival;
        let key = format!("{:x}-{}-{n}", ask.task, ask.tries);
        let mut native = format!("task=t{:x} life={}us", ask.task, a.life.as_micros());
        if ask.tries > 0 {
            native += " again=yes";
        }
        if let Some(asked) = ask.asked.filter(|asked| *asked != self.controller) {
            native += &format!(" asked=controller-{asked}");
        }
        for (name, value) in [("cores", a.cores), ("memory", a.memory)] {
            if let Some(value) = value {
                native += &format!(" {name}={value}");
            }
        }
        if let Some(tenant) = &a.tenant {
            native += &format!(" tenant={tenant}");
        }
        let attributes = json!({
            "drmaa_remote_command": "sleep",
            "drmaa_job_name": a.service,
            "drmaa_job_category": a.class,
            "drmaa_native_specification": native,
        });
        let params = json!({ "jobTemplate": { "attributes": attributes }, "submissionKey": key });
        (
            key,
            json!({ "jsonrpc": "2.0", "id": n, "method": "runJob", "params": params }),
        )
    }
}

async fn run(desk: Rc<Desk>, mut asks: mpsc::UnboundedReceiver<Ask>) {
    let mut waiting: Vec<Ask> = Vec::new();
    loop {
        let Some(mut lines) = connect(&desk).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mut sent: BTreeMap<u64, (String, Ask)> = BTreeMap::new();
        let mut open: BTreeMap<String, Ask> = BTreeMap::new();
        let mut early: BTreeMap<String, PlacementOutcome> = BTreeMap::new();
        loop {
            tokio::select! {
                ask = asks.recv() => {
                    let Some(ask) = ask else { return };
                    let (key, call) = desk.call(&ask);
                    let id = call["id"].as_u64().unwrap_or_default();
                    sent.insert(id, (key, ask));
                    if lines.send(call.to_string()).await.is_err() {
                        break;
                    }
                }
                line = lines.next() => {
                    let Some(Ok(line)) = line else { break };
                    let Ok(value) = serde_json::from_str::<Value>(&line) else { break };
                    if value["method"] == "settled" {
                        let Ok(settled) = serde_json::from_value::<PlacementResult>(value["params"].clone()) else { break };
                        match open.remove(&settled.submission_key) {
                            Some(ask) => desk.answered(ask, settled.outcome),
                            None => {
                                early.insert(settled.submission_key, settled.outcome);
                            }
                        }
                        continue;
                    }
                    let Some((key, ask)) = value["id"].as_u64().and_then(|id| sent.remove(&id)) else { continue };
                    if value["result"]["jobId"].is_string() {
                        match early.remove(&key) {
                            Some(outcome) => desk.answered(ask, outcome),
                            None => {
                                open.insert(key, ask);
                            }
                        }
                        continue;
                    }
                    let data = &value["error"]["data"];
                    let errno = data["errno"].as_str().and_then(Errno::from_name).unwrap_or(Errno::InternalError);
                    *desk.tally.borrow_mut().turned_away.entry(errno.name()).or_insert(0) += 1;
                    let next = after_door(data["retryAfterMs"].as_u64(), &mut desk.seed.borrow_mut());
                    desk.go_on(ask, next);
                }
            }
        }
        // The connection broke: what was open is lost to it.
        waiting.extend(sent.into_values().map(|(_, ask)| ask));
        waiting.extend(open.into_values());
        for ask in waiting.drain(..) {
            desk.lost(ask);
        }
    }
}

type Lines = Framed<TcpStream, LinesCodec>;

async fn connect(desk: &Desk) -> Option<Lines> {
    let stream = TcpStream::connect(desk.address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(1 << 20));
    let params = json!({ "session": desk.session, "notify": true });
    let init = json!({ "jsonrpc": "2.0", "id": 0, "method": "init", "params": params });
    lines.send(init.to_string()).await.ok()?;
    let reply = timeout(Duration::from_secs(2), lines.next())
        .await
        .ok()??
        .ok()?;
    let reply: Value = serde_json::from_str(&reply).ok()?;
    let _ = desk.controller;
    (!reply["result"].is_null()).then_some(lines)
}

/// A client that does its worst: what it sends, and whether it stays on afterwards.
pub async fn misbehave(address: SocketAddrV4, kind: &str, clock: Clock, lasts: Duration) {
    let end = clock.now() + lasts.as_micros() as u64;
    let Ok(stream) = TcpStream::connect(address).await else {
        return;
    };
    let mut lines = Framed::new(stream, LinesCodec::new());
    let init = json!({ "jsonrpc": "2.0", "id": 0, "method": "init", "params": { "session": format!("bad-{kind}-{}", address.port()) } });
    let _ = lines.send(init.to_string()).await;
    match kind {
        "client-flood" => {
            // Calls without reading a single answer.
            let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "jobPs", "params": { "jobId": "none" } })
                .to_string();
            while clock.now() < end {
                let flood = async {
                    for _ in 0..100 {
                        lines.feed(&call).await?;
                    }
                    SinkExt::<&String>::flush(&mut lines).await
                };
                match timeout(Duration::from_millis(100), flood).await {
                    Ok(Ok(())) => tokio::task::yield_now().await,
                    Ok(Err(_)) => return,
                    Err(_) => {}
                }
            }
        }
        "client-half-line" => {
            use tokio::io::AsyncWriteExt;
            let _ = lines
                .get_mut()
                .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"meth")
                .await;
            sleep(lasts).await;
        }
        "client-nonsense" => {
            let long = "x".repeat(peppercove_protocol::rpc::MAX_LINE_BYTES + 1);
            let lots = [
                "not json",
                "{}",
                "[]",
                "{\"jsonrpc\":\"1.0\",\"id\":1,\"method\":\"exit\"}",
                "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"fly\"}",
                "{\"jsonrpc\":\"2.0\",\"id\":3,\"method\":\"runJob\",\"params\":{\"jobTemplate\":7}}",
                "{\"jsonrpc\":\"2.0\",\"id\":4,\"method\":\"runJob\",\"params\":{\"jobTemplate\":{},\"submissionKey\":\"k\"}}",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"wait\",\"params\":{\"jobId\":\"\\u0000\"}}",
                long.as_str(),
            ];
            for line in lots {
                let _ = timeout(Duration::from_millis(100), lines.send(line)).await;
            }
            sleep(lasts.min(Duration::from_millis(200))).await;
        }
        _ => {
            // Gone before its answer.
            let attributes =
                json!({ "drmaa_remote_command": "sleep", "drmaa_native_specification": "life=1s" });
            let params =
                json!({ "jobTemplate": { "attributes": attributes }, "submissionKey": "gone" });
            let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "runJob", "params": params });
            let _ = lines.send(call.to_string()).await;
        }
    }
}
