//! `peppercove bench`: figures of this machine.
//!
//! The controller runs as a process of its own; clients, nodes and the list are in this one. The delay that a
//! controller adds to a placing is the time from the client's call to the offer's arrival at a node, and from the
//! node's word that the task runs to the client's notice of it: what the node takes is left out. Beside it stands a
//! bare relay, a process on the same runtime that passes the same bytes on and decides nothing.

use anyhow::{Context, Result, bail, ensure};
use clap::Subcommand;
use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use peppercove_protocol::VERSION;
use peppercove_protocol::codec::{MAX_LIST_FRAME_BYTES, MAX_NODE_FRAME_BYTES, MessageCodec};
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope, ToList};
use peppercove_protocol::node::{
    AttemptId, FromNode, Idempotency, OfferedTask, ProcessIdentity, Program, TaskExit, ToNode,
    Usage,
};
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio_util::codec::{Framed, LinesCodec};

#[derive(Subcommand)]
pub(crate) enum BenchCommand {
    /// Placings a second, the delay that the controller adds, memory and CPU, beside a bare relay of the same frames.
    Placing {
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// One JSON object a line.
        #[arg(long)]
        json: bool,
    },
    /// The program's roles at rising sizes, hollow or real: one JSON object a figure.
    Scale {
        /// Fewer and smaller points.
        #[arg(long)]
        quick: bool,
        /// Only this role; may be repeated.
        #[arg(long, value_name = "ROLE")]
        role: Vec<String>,
        /// Where the rows are written; standard output where left out.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// The tables and charts of docs/CAPACITY.md, from the rows of `scale`.
    Capacity {
        /// A file of rows; may be repeated. All of bench/scale/*.jsonl where left out.
        #[arg(long, value_name = "FILE")]
        rows: Vec<PathBuf>,
        /// Writes nothing, and fails where page or charts are not what the figures make.
        #[arg(long)]
        check: bool,
        /// The repository.
        #[arg(long, value_name = "DIR", default_value = ".")]
        root: PathBuf,
    },
    /// What a bounded view of a large fleet costs and saves, hollow and in simulated time.
    View(crate::bench_view::ViewArguments),
    /// One point of `scale`, in a process of its own.
    #[command(hide = true)]
    ScalePoint {
        /// The role.
        role: String,
        /// Its sizes, as JSON.
        at: String,
        /// Fewer samples.
        #[arg(long)]
        quick: bool,
    },
    /// The bare relay that `placing` measures beside the controller.
    #[command(hide = true)]
    Relay {
        /// Addresses of the nodes.
        nodes: Vec<SocketAddrV4>,
    },
}

pub(crate) fn run(command: &BenchCommand) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    match command {
        BenchCommand::Placing { seconds, json } => {
            let rows =
                LocalSet::new().block_on(&runtime, placing(Duration::from_secs(*seconds)))?;
            show(&rows, *json)?;
        }
        BenchCommand::Scale { quick, role, out } => {
            let mut out: Box<dyn Write> = match out {
                Some(path) => {
                    Box::new(File::create(path).with_context(|| path.display().to_string())?)
                }
                None => Box::new(std::io::stdout()),
            };
            peppercove_scale::run::sweeps(role, *quick, &mut out)?;
        }
        BenchCommand::Capacity { rows, check, root } => {
            peppercove_scale::page::run(root, rows, *check)?
        }
        BenchCommand::ScalePoint { role, at, quick } => {
            peppercove_scale::run::point(role, at, *quick)?
        }
        BenchCommand::View(arguments) => crate::bench_view::run(arguments)?,
        BenchCommand::Relay { nodes } => LocalSet::new().block_on(&runtime, relay(nodes))?,
    }
    Ok(ExitCode::SUCCESS)
}

/// One measurement.
#[derive(Debug, Serialize)]
struct Row {
    what: &'static str,
    nodes: usize,
    /// Jobs a second that were asked for; none is as many as go.
    asked: Option<f64>,
    /// Placings a second.
    placed: f64,
    /// Delay added, in microseconds.
    p50: u64,
    p99: u64,
    p999: u64,
    /// Resident memory of the process at the end, in KiB.
    resident: u64,
    /// Processor time a placing, in microseconds.
    cpu: f64,
}

/// Times of the jobs under way, by number.
#[derive(Default)]
struct Times {
    sent: RefCell<VecDeque<Instant>>,
    offered: RefCell<Vec<Option<Duration>>>,
    replied: RefCell<Vec<Option<Instant>>>,
}

impl Times {
    fn offered(&self, job: usize) {
        let sent = self.sent.borrow().get(job).copied();
        let mut offered = self.offered.borrow_mut();
        if offered.len() <= job {
            offered.resize(job + 1, None);
            self.replied.borrow_mut().resize(job + 1, None);
        }
        offered[job] = sent.map(|s| s.elapsed());
        self.replied.borrow_mut()[job] = Some(Instant::now());
    }
}

struct Fleet {
    list: SocketAddrV4,
    nodes: Vec<SocketAddrV4>,
    times: Rc<RefCell<Rc<Times>>>,
    /// How long a task runs.
    life: Rc<Cell<Duration>>,
}

impl Fleet {
    async fn start(count: usize) -> Result<Fleet> {
        let times = Rc::new(RefCell::new(Rc::new(Times::default())));
        let life = Rc::new(Cell::new(Duration::from_secs(1)));
        let mut nodes = Vec::new();
        for i in 0..count {
            let (listener, address) = bind().await?;
            nodes.push(address);
            spawn_local(serve_node(listener, i, times.clone(), life.clone()));
        }
        let (listener, list) = bind().await?;
        spawn_local(serve_list(listener, nodes.clone()));
        Ok(Fleet {
            list,
            nodes,
            times,
            life,
        })
    }
}

async fn bind() -> Result<(TcpListener, SocketAddrV4)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    match listener.local_addr()? {
        SocketAddr::V4(address) => Ok((listener, address)),
        SocketAddr::V6(_) => bail!("an IPv4 address was expected"),
    }
}

type NodeLink = Framed<TcpStream, MessageCodec<ToNode, FromNode>>;

/// A node that says yes at once and ends tasks after their time.
async fn serve_node(
    listener: TcpListener,
    number: usize,
    times: Rc<RefCell<Rc<Times>>>,
    life: Rc<Cell<Duration>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (times, life) = (times.clone(), life.clone());
        spawn_local(async move {
            let mut link: NodeLink = Framed::new(stream, MessageCodec::new(MAX_NODE_FRAME_BYTES));
            let (ended, mut ends) = mpsc::unbounded_channel::<AttemptId>();
            loop {
                tokio::select! {
                    message = link.next() => match message {
                        Some(Ok(ToNode::Hello { .. })) => {
                            let node = ProcessIdentity { name: format!("n{number}"), incarnation: 1 };
                            let welcome = FromNode::Welcome { version: VERSION, node, known_tasks: 0, is_complete: true };
                            if link.send(&welcome).await.is_err() { return }
                        }
                        Some(Ok(ToNode::Offer { attempt, task: work, .. })) => {
                            if let Some(job) = work.program.key.split_once("\nk").and_then(|(_, n)| n.parse().ok()) {
                                times.borrow().offered(job);
                            }
                            if link.send(&FromNode::Running { attempt, load: None }).await.is_err() { return }
                            let (ended, after) = (ended.clone(), life.get());
                            spawn_local(async move {
                                tokio::time::sleep(after).await;
                                let _ = ended.send(attempt);
                            });
                        }
                        Some(Ok(_)) => {}
                        _ => return,
                    },
                    Some(attempt) = ends.recv() => {
                        let end = TaskExit::Exited { status: 0, usage: Usage::default() };
                        if link.send(&FromNode::Ended { attempt, end, load: None }).await.is_err() { return }
                    }
                }
            }
        });
    }
}

async fn serve_list(listener: TcpListener, nodes: Vec<SocketAddrV4>) {
    let line = |(i, address): (usize, &SocketAddrV4)| ListEntry {
        address: *address,
        name: format!("n{i}"),
        state: NodeState::Ready,
        kind: 0,
        rack: (i / 8) as u16,
        zone: 0,
        incarnation: 1,
        age: None,
        free_cores: Some(4096.0),
        free_memory: Some(16384.0),
    };
    let lines: Vec<ListEntry> = nodes.iter().enumerate().map(line).collect();
    while let Ok((stream, _)) = listener.accept().await {
        let lines = lines.clone();
        spawn_local(async move {
            let mut link = Framed::new(
                stream,
                MessageCodec::<ToList, FromList>::new(MAX_LIST_FRAME_BYTES),
            );
            while let Some(Ok(call)) = link.next().await {
                let answer = match call {
                    ToList::Hello { version, .. } => FromList::Welcome { version },
                    _ => FromList::Update {
                        generation: 1,
                        scope: Scope::Full,
                        entries: lines.clone(),
                    },
                };
                if link.send(&answer).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// A process under measurement; it is ended with this.
struct Subject {
    child: Child,
    address: SocketAddr,
    _config: Option<tempfile::NamedTempFile>,
}

impl Subject {
    fn start(arguments: &[String], config: Option<tempfile::NamedTempFile>) -> Result<Subject> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()
            .context("cannot start the process to measure")?;
        let out = child.stdout.take().context("the process has no output")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let address = line
            .trim()
            .strip_prefix("listening ")
            .context("the process did not say where it listens")?;
        Ok(Subject {
            address: address.parse()?,
            child,
            _config: config,
        })
    }

    fn controller(fleet: &Fleet) -> Result<Subject> {
        use std::io::Write;
        let text = peppercove_config::embedded_default()
            .replace("127.0.0.1:7001", &fleet.list.to_string())
            .replace(
                "cores=\"24\" memory=\"60\"",
                "cores=\"4096\" memory=\"16384\"",
            )
            .replace("</peppercove>", "<logs level=\"error\"/></peppercove>");
        let mut file = tempfile::NamedTempFile::new()?;
        file.write_all(text.as_bytes())?;
        let path = file.path().display().to_string();
        Subject::start(&["controller".into(), "--config".into(), path], Some(file))
    }

    fn relay(fleet: &Fleet) -> Result<Subject> {
        let mut arguments = vec!["bench".into(), "relay".into()];
        arguments.extend(fleet.nodes.iter().map(ToString::to_string));
        Subject::start(&arguments, None)
    }

    /// Resident memory in KiB.
    fn resident(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .context("no VmRSS")?;
        Ok(line.trim().trim_end_matches(" kB").parse()?)
    }

    /// Processor time so far, in seconds.
    fn cpu(&self) -> Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after = stat.rsplit_once(')').context("no command in stat")?.1;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        // Linux gives user ticks of 1/100 s to every process (proc(5)).
        Ok(ticks / 100.0)
    }
}

impl Drop for Subject {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn placing(length: Duration) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for (nodes, rate) in [(33, 44.0), (130, 170.0)] {
        let fleet = Fleet::start(nodes).await?;
        for (what, subject) in [
            ("relay", Subject::relay(&fleet)?),
            ("controller", Subject::controller(&fleet)?),
        ] {
            rows.push(measure(what, &fleet, &subject, Some(rate), length).await?);
            fleet.life.set(Duration::from_millis(50));
            rows.push(measure(what, &fleet, &subject, None, length).await?);
            fleet.life.set(Duration::from_secs(1));
        }
    }
    Ok(rows)
}

/// Calls kept under way when as many as go are asked for.
const UNDER_WAY: usize = 64;

async fn measure(
    what: &'static str,
    fleet: &Fleet,
    subject: &Subject,
    rate: Option<f64>,
    length: Duration,
) -> Result<Row> {
    let times = Rc::new(Times::default());
    *fleet.times.borrow_mut() = times.clone();
    let stream = TcpStream::connect(subject.address).await?;
    stream.set_nodelay(true)?;
    let mut lines = Framed::new(stream, LinesCodec::new());
    let session = format!("bench-{}", fastrand::u64(..));
    let init = json!({ "jsonrpc": "2.0", "id": 0, "method": "init", "params": { "session": session, "notify": true } });
    lines.send(init.to_string()).await?;
    lines.next().await.context("no answer to init")??;
    // The links to the nodes are made meanwhile; the first second is not counted.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut delays = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?;
    let mut rng = fastrand::Rng::with_seed(7);
    let warm = Duration::from_secs(1);
    let begin = Instant::now();
    let (mut next, mut sent, mut settled, mut counted) = (begin, 0usize, 0usize, 0u64);
    let mut cpu = subject.cpu()?;
    let mut warmed = false;
    while begin.elapsed() < warm + length {
        if !warmed && begin.elapsed() >= warm {
            (warmed, cpu) = (true, subject.cpu()?);
        }
        let ready = match rate {
            Some(_) => Instant::now() >= next,
            None => sent - settled < UNDER_WAY,
        };
        if ready {
            if let Some(rate) = rate {
                next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            }
            let call = call(sent, sent % 64);
            times.sent.borrow_mut().push_back(Instant::now());
            sent += 1;
            if rate.is_some() || sent - settled == UNDER_WAY {
                lines.send(call).await?;
            } else {
                lines.feed(call).await?;
            }
            continue;
        }
        let until = rate.map_or(Instant::now() + Duration::from_millis(5), |_| next);
        let Ok(line) = tokio::time::timeout_at(until.into(), lines.next()).await else {
            continue;
        };
        let line = line.context("the connection closed")??;
        let Some(job) = settled_job(&line, settled)? else {
            continue;
        };
        settled += 1;
        let offered = times.offered.borrow().get(job).copied().flatten();
        let replied = times.replied.borrow().get(job).copied().flatten();
        if let (Some(offered), Some(replied), true) = (offered, replied, warmed) {
            delays.record((offered + replied.elapsed()).as_micros() as u64)?;
            counted += 1;
        }
    }
    ensure!(counted > 0, "{what}: nothing was placed");
    let at = |q| delays.value_at_quantile(q);
    Ok(Row {
        what,
        nodes: fleet.nodes.len(),
        asked: rate,
        placed: counted as f64 / length.as_secs_f64(),
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
        resident: subject.resident()?,
        cpu: (subject.cpu()? - cpu) * 1e6 / counted as f64,
    })
}

fn call(job: usize, service: usize) -> String {
    let attributes = json!({
        "drmaa_remote_command": "sleep", "drmaa_job_category": "fill", "drmaa_job_name": format!("fill-{service}"),
    });
    let params =
        json!({ "jobTemplate": { "attributes": attributes }, "submissionKey": format!("k{job}") });
    json!({ "jsonrpc": "2.0", "id": job + 1, "method": "runJob", "params": params }).to_string()
}

/// The number of the job that a line settles; the relay's lines name none, and come in order.
fn settled_job(line: &str, next: usize) -> Result<Option<usize>> {
    if line == "relayed" {
        return Ok(Some(next));
    }
    let value: Value = serde_json::from_str(line)?;
    if !value["error"].is_null() {
        bail!("the controller turned a job away: {line}");
    }
    if value["method"] != "settled" {
        return Ok(None);
    }
    ensure!(
        value["params"]["outcome"] == "placed",
        "a job was not placed: {line}"
    );
    let key = value["params"]["submissionKey"]
        .as_str()
        .unwrap_or_default();
    Ok(key.strip_prefix('k').and_then(|n| n.parse().ok()))
}

/// Passes a frame of the same length on for each line, and a line for each frame: no decision, no state.
async fn relay(nodes: &[SocketAddrV4]) -> Result<()> {
    let (listener, address) = bind().await?;
    println!("listening {address}");
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let mut lines = Framed::new(stream, LinesCodec::new());
        let (answers, mut answered) = mpsc::unbounded_channel::<()>();
        let mut links = Vec::new();
        for node in nodes {
            let (queue, mut offers) = mpsc::unbounded_channel::<ToNode>();
            links.push(queue);
            let stream = TcpStream::connect(node).await?;
            stream.set_nodelay(true)?;
            let answers = answers.clone();
            spawn_local(async move {
                let mut link = Framed::new(
                    stream,
                    MessageCodec::<FromNode, ToNode>::new(MAX_NODE_FRAME_BYTES),
                );
                let hello = ToNode::Hello {
                    version: VERSION,
                    controller: ProcessIdentity {
                        name: "relay".into(),
                        incarnation: 1,
                    },
                };
                if link.send(&hello).await.is_err() {
                    return;
                }
                loop {
                    tokio::select! {
                        message = link.next() => match message {
                            Some(Ok(FromNode::Running { .. })) => { let _ = answers.send(()); }
                            Some(Ok(_)) => {}
                            _ => return,
                        },
                        offer = offers.recv() => {
                            let Some(offer) = offer else { return };
                            if link.send(&offer).await.is_err() { return }
                        }
                    }
                }
            });
        }
        let mut number = 0;
        loop {
            tokio::select! {
                line = lines.next() => {
                    let Some(Ok(line)) = line else { break };
                    if line.contains("\"init\"") {
                        lines.send("{}").await?;
                        continue;
                    }
                    let _ = links[number % links.len()].send(offer(number));
                    number += 1;
                }
                Some(()) = answered.recv() => lines.send("relayed").await?,
            }
        }
    }
}

fn offer(number: usize) -> ToNode {
    let program = Program {
        command: "sleep".into(),
        key: format!("relay\nk{number}"),
        ..Program::default()
    };
    let work = OfferedTask {
        task: number as u64,
        service: 1,
        class: 0,
        tenant: 0,
        cores: 0.5,
        memory: 1.0,
        priority: 0,
        idempotency: Idempotency::Idempotent,
        program,
    };
    ToNode::Offer {
        attempt: AttemptId {
            request: number as u64,
            number: 0,
        },
        expires_in: 1_000_000,
        task: work,
    }
}

fn show(rows: &[Row], json: bool) -> Result<()> {
    if json {
        for row in rows {
            println!("{}", serde_json::to_string(row)?);
        }
        return Ok(());
    }
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header([
        "what",
        "nodes",
        "asked/s",
        "placed/s",
        "p50 us",
        "p99 us",
        "p99.9 us",
        "resident KiB",
        "CPU us/placing",
    ]);
    for r in rows {
        table.add_row([
            r.what.to_owned(),
            r.nodes.to_string(),
            r.asked.map_or("all".into(), |a| format!("{a:.0}")),
            format!("{:.0}", r.placed),
            r.p50.to_string(),
            r.p99.to_string(),
            r.p999.to_string(),
            r.resident.to_string(),
            format!("{:.1}", r.cpu),
        ]);
    }
    println!("{table}");
    for nodes in [33, 130] {
        let rate = |what| {
            rows.iter()
                .find(|r| r.what == what && r.nodes == nodes && r.asked.is_none())
        };
        if let (Some(c), Some(relay)) = (rate("controller"), rate("relay")) {
            println!(
                "{nodes} nodes: the controller places {:.2} of what the relay passes on",
                c.placed / relay.placed
            );
        }
    }
    Ok(())
}
