//! Days from a recording of the bench (`--tap`): its arrivals, list changes and outcomes by node and time, as a load
//! and faults for real sockets.
//!
//! A recording is text: a line `>> process N, L bytes` or `<< process N, L bytes`, then the bytes of a batch or reply
//! in hexadecimal. Only batches are read, by the same decoder as the adapter's. What a recording cannot tell (how
//! fast a node is, how full its line) stays as the day's table has it; what it tells by its symptoms alone becomes
//! the fault that shows them: a run of time-outs at a node is a hang, a run of errors of a class a failing class.

use peppercove::adapter_protocol::{Decoder, Incoming};
use peppercove::{
    AttemptOutcome, DedupScope, Event, Idempotency, ListUpdateKind, LoadBasis, Micros, NodeId,
    NodeStatus, PlacementAck, PlacementRequest, RequestId, Settings, TaskKey, TopologySpread,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// A day made from a recording, and its settings.
#[derive(Debug)]
pub struct Imported {
    /// The day.
    pub scenario: String,
    /// Its settings, to stand beside it as `NAME-settings.xml`.
    pub settings: String,
    /// What was found in it.
    pub summary: String,
}

/// Why a recording could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// A line is none of a recording.
    #[error("line {line}: {what}")]
    Line {
        /// Its number, from 1.
        line: usize,
        /// What is wrong.
        what: String,
    },
    /// It holds no settings, no nodes or no jobs.
    #[error("the recording holds no {0}")]
    Empty(&'static str),
}

/// Reads a recording, up to `seconds` from its beginning, with every `thin`-th controller.
///
/// # Errors
/// [`ImportError`] with the line that is none of a recording.
pub fn import_recording(
    bytes: &[u8],
    name: &str,
    seconds: f64,
    thin: u64,
) -> Result<Imported, ImportError> {
    let mut found = Found {
        thin: thin.max(1),
        until: (seconds * 1e6) as Micros,
        ..Found::default()
    };
    let mut decoders: BTreeMap<u64, Decoder> = BTreeMap::new();
    let mut batch_of = None;
    for (i, line) in bytes.split(|b| *b == b'\n').enumerate() {
        let wrong = |what: String| ImportError::Line { line: i + 1, what };
        let text = std::str::from_utf8(line)
            .map_err(|_| wrong("not text".into()))?
            .trim();
        if text.is_empty() {
            continue;
        }
        if let Some(head) = text
            .strip_prefix(">> process ")
            .or_else(|| text.strip_prefix("<< process "))
        {
            let (process, length) = head
                .split_once(", ")
                .ok_or_else(|| wrong("no length".into()))?;
            let process: u64 = process
                .parse()
                .map_err(|_| wrong(format!("'{process}' is no process")))?;
            let length = length
                .strip_suffix(" bytes")
                .and_then(|l| l.parse::<usize>().ok());
            let length = length.ok_or_else(|| wrong("no length".into()))?;
            batch_of = Some((process, length, text.starts_with(">>")));
            continue;
        }
        let Some((process, length, inward)) = batch_of.take() else {
            return Err(wrong(
                "bytes without a line '>> process' before them".into(),
            ));
        };
        if !inward {
            continue;
        }
        let frame = unhex(text).ok_or_else(|| wrong("not hexadecimal".into()))?;
        if frame.len() != length || length < 16 {
            return Err(wrong(format!(
                "{} bytes where {length} were said",
                frame.len()
            )));
        }
        let word = |at: usize| {
            u32::from_le_bytes([frame[at], frame[at + 1], frame[at + 2], frame[at + 3]])
        };
        let now = u64::from(word(8)) | u64::from(word(12)) << 32;
        let decoder = decoders.entry(process).or_default();
        let batch = decoder
            .batch(now, word(4), &frame[16..])
            .map_err(|e| wrong(e.to_string()))?;
        found.batch(now, batch.records);
    }
    found.write(name)
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    let bytes = text.as_bytes();
    if !bytes.len().is_multiple_of(2) {
        return None;
    }
    bytes
        .chunks(2)
        .map(|p| Some(digit(p[0])? << 4 | digit(p[1])?))
        .collect()
}

/// What one outcome says of its node.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sign {
    Answered,
    Silent,
    Error(u16),
}

struct Job {
    at: Micros,
    controller: u64,
    ask: PlacementRequest,
    life: Option<Micros>,
}

#[derive(Default)]
struct Found {
    thin: u64,
    until: Micros,
    begin: Option<Micros>,
    settings: Option<Settings>,
    controllers: BTreeSet<u64>,
    nodes: BTreeMap<NodeId, (u8, u16, u8)>,
    jobs: Vec<Job>,
    by_task: BTreeMap<TaskKey, usize>,
    asks: BTreeMap<(u16, RequestId), (usize, Option<Micros>)>,
    signs: BTreeMap<NodeId, Vec<(Micros, Sign)>>,
    started: BTreeMap<NodeId, Micros>,
    changes: Vec<(Micros, &'static str, NodeId)>,
    state: BTreeMap<NodeId, NodeStatus>,
    list_failed: Vec<Micros>,
    killed: Vec<(Micros, u64)>,
    back: Vec<(Micros, u64)>,
}

impl Found {
    fn batch(&mut self, now: Micros, records: Vec<(u16, Incoming)>) {
        if records.is_empty() {
            return;
        }
        let begin = *self.begin.get_or_insert(now);
        let at = now.saturating_sub(begin);
        for (instance, incoming) in records {
            let number = u64::from(instance);
            if number % self.thin != 0 {
                continue;
            }
            let controller = number / self.thin;
            match incoming {
                Incoming::Start { settings, .. } => {
                    if !self.controllers.insert(controller) {
                        self.back.push((at, controller));
                    }
                    self.settings.get_or_insert(*settings);
                }
                Incoming::Stop => self.killed.push((at, controller)),
                Incoming::Event(event) => self.event(at, instance, controller, event),
            }
        }
    }

    fn event(&mut self, at: Micros, instance: u16, controller: u64, event: Event) {
        match event {
            Event::Place(ask) => self.job(at, instance, controller, ask, None),
            Event::RunningTask { request, .. } => {
                self.job(at, instance, controller, request, Some(at))
            }
            Event::Placed {
                request,
                node: machine,
                ..
            } => {
                if let Some((_, placed)) = self.asks.get_mut(&(instance, request)) {
                    *placed = Some(at);
                }
                self.signs
                    .entry(machine)
                    .or_default()
                    .push((at, Sign::Answered));
            }
            Event::AttemptEnded {
                request,
                node: machine,
                outcome,
                ..
            } => {
                let ask = self.asks.get(&(instance, request)).copied();
                let class = ask
                    .and_then(|(i, _)| self.jobs.get(i))
                    .map_or(0, |j| j.ask.class);
                let sign = match outcome {
                    AttemptOutcome::TimedOut => Some(Sign::Silent),
                    AttemptOutcome::Error => Some(Sign::Error(class)),
                    AttemptOutcome::Completed | AttemptOutcome::Rejected => Some(Sign::Answered),
                    _ => None,
                };
                self.signs
                    .entry(machine)
                    .or_default()
                    .extend(sign.map(|s| (at, s)));
                if let (Some((job, Some(placed))), AttemptOutcome::Completed) = (ask, outcome)
                    && let Some(job) = self.jobs.get_mut(job)
                {
                    job.life = Some(at.saturating_sub(placed));
                }
            }
            Event::NodeList {
                kind: ListUpdateKind::Failed,
                ..
            } => self.list_failed.push(at),
            Event::NodeList {
                kind: scope,
                entries: lines,
                ..
            } => {
                for line in lines {
                    let new = !self.nodes.contains_key(&line.node);
                    self.nodes
                        .entry(line.node)
                        .or_insert((line.kind, line.rack, line.zone));
                    let was = self.started.insert(line.node, line.started_at);
                    let state = self.state.insert(line.node, line.state);
                    // The cached list only tells what was; a machine that comes later starts cold.
                    let cached = scope == ListUpdateKind::Cached;
                    if cached || state == Some(line.state) && was == Some(line.started_at) {
                        continue;
                    }
                    let kind = match line.state {
                        NodeStatus::Draining => "drains",
                        NodeStatus::Gone => "dies",
                        NodeStatus::Ready if !new && was != Some(line.started_at) => "restarts",
                        NodeStatus::Ready => continue,
                    };
                    // Every controller is told, each at its time: the first one counts.
                    let known = self
                        .changes
                        .iter()
                        .any(|(t, k, m)| *k == kind && *m == line.node && at - t < 10_000_000);
                    if !known {
                        self.changes.push((at, kind, line.node));
                    }
                }
            }
            _ => {}
        }
    }

    fn job(
        &mut self,
        at: Micros,
        instance: u16,
        controller: u64,
        ask: PlacementRequest,
        placed: Option<Micros>,
    ) {
        let key = (instance, ask.id);
        // A task that comes again is asked for again by the day's own owners.
        let job = match self.by_task.get(&ask.task) {
            Some(job) => *job,
            None => {
                self.jobs.push(Job {
                    at,
                    controller,
                    ask: ask.clone(),
                    life: None,
                });
                self.by_task.insert(ask.task, self.jobs.len() - 1);
                self.jobs.len() - 1
            }
        };
        self.asks.insert(key, (job, placed));
    }

    fn write(self, name: &str) -> Result<Imported, ImportError> {
        let settings = self
            .settings
            .as_ref()
            .ok_or(ImportError::Empty("settings"))?;
        if self.nodes.is_empty() {
            return Err(ImportError::Empty("nodes"));
        }
        let names: BTreeMap<NodeId, String> = self
            .nodes
            .keys()
            .enumerate()
            .map(|(i, id)| (*id, format!("n{i}")))
            .collect();
        let last = self
            .jobs
            .iter()
            .map(|j| j.at)
            .filter(|at| *at <= self.until)
            .max();
        let length = last.ok_or(ImportError::Empty("jobs"))?.max(1_000_000) + 100_000;
        let longest = settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        let mut out = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
        let _ = writeln!(
            out,
            "<day name=\"{name}\" length=\"{length}us\" after=\"{}us\" settings=\"{name}-settings.xml\">",
            longest * 2 + settings.ambiguous_retry_delay
        );
        let _ = writeln!(
            out,
            "  <fleet controllers=\"{}\">",
            self.controllers.len().max(1)
        );
        for (kind, rack, _) in self.nodes.values() {
            let _ = writeln!(
                out,
                "    <nodes count=\"1\" kind=\"k{kind}\" racks=\"1\" first-rack=\"{rack}\"/>"
            );
        }
        out += "  </fleet>\n";
        let mut lives: Vec<Micros> = self.jobs.iter().filter_map(|j| j.life).collect();
        lives.sort_unstable();
        let usual = lives.get(lives.len() / 2).copied().unwrap_or(2_000_000);
        let mut jobs = 0;
        for job in self.jobs.iter().filter(|j| j.at <= length) {
            jobs += 1;
            let life = job.life.or(job.ask.expected_duration).unwrap_or(usual);
            let _ = writeln!(
                out,
                "  <job at=\"{}us\" class=\"c{}\" service=\"s{:x}\" life=\"{life}us\" cores=\"{}\" memory=\"{}\" \
                 controller=\"{}\"/>",
                job.at,
                job.ask.class,
                job.ask.service.0,
                job.ask.cores,
                job.ask.memory,
                job.controller
            );
        }
        let faults = self.faults(length, &names);
        for fault in &faults {
            let _ = writeln!(out, "  <fault {fault}/>");
        }
        out += "</day>\n";
        let summary = format!(
            "{} controllers, {} nodes, {jobs} jobs in {:.1} s, {} faults",
            self.controllers.len(),
            self.nodes.len(),
            length as f64 / 1e6,
            faults.len()
        );
        Ok(Imported {
            scenario: out,
            settings: settings_xml(settings),
            summary,
        })
    }

    fn faults(&self, length: Micros, names: &BTreeMap<NodeId, String>) -> Vec<String> {
        let mut faults: Vec<(Micros, String)> = Vec::new();
        let mut add = |at: Micros, lasts: Micros, kind: &str, whom: String| {
            if at < length {
                let lasts = lasts.clamp(1_000, length - at);
                faults.push((
                    at,
                    format!("kind=\"{kind}\" at=\"{at}us\" for=\"{lasts}us\"{whom}"),
                ));
            }
        };
        for (machine, signs) in &self.signs {
            let Some(node) = names.get(machine) else {
                continue;
            };
            for (from, to, sign) in runs(signs) {
                match sign {
                    Sign::Silent => add(from, to - from, "hang", format!(" node=\"{node}\"")),
                    Sign::Error(class) => {
                        add(
                            from,
                            to - from,
                            "class-error",
                            format!(" node=\"{node}\" class=\"c{class}\""),
                        );
                    }
                    Sign::Answered => {}
                }
            }
        }
        for (at, kind, machine) in &self.changes {
            if let Some(node) = names.get(machine) {
                let lasts = if *kind == "drains" {
                    2_000_000
                } else {
                    300_000
                };
                add(*at, lasts, kind, format!(" node=\"{node}\""));
            }
        }
        for (from, to) in close_together(&self.list_failed) {
            add(from, to - from, "list-down", String::new());
        }
        for (at, controller) in &self.killed {
            let back = self
                .back
                .iter()
                .find(|(t, c)| c == controller && t >= at)
                .map_or(length, |(t, _)| *t);
            add(
                *at,
                back.saturating_sub(*at),
                "controller-killed",
                format!(" controller=\"{controller}\""),
            );
        }
        faults.sort();
        faults.into_iter().map(|(_, fault)| fault).collect()
    }
}

/// Runs of two or more of the same bad sign, answers of other kinds between them ending a run.
fn runs(signs: &[(Micros, Sign)]) -> Vec<(Micros, Micros, Sign)> {
    let mut all = Vec::new();
    let mut i = 0;
    while i < signs.len() {
        let (from, sign) = signs[i];
        let same = signs[i..].iter().take_while(|(_, s)| *s == sign).count();
        if same >= 2 && sign != Sign::Answered {
            // A time-out tells of the time before it: the silence began with the last answer.
            let before = if i > 0 { signs[i - 1].0 } else { 0 };
            let from = if sign == Sign::Silent { before } else { from };
            all.push((from, signs[i + same - 1].0, sign));
        }
        i += same;
    }
    all
}

/// Spans in which the times lie less than three seconds apart.
fn close_together(times: &[Micros]) -> Vec<(Micros, Micros)> {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut spans: Vec<(Micros, Micros)> = Vec::new();
    for at in times {
        match spans.last_mut() {
            Some((_, to)) if at - *to < 3_000_000 => *to = at,
            _ => spans.push((at, at)),
        }
    }
    spans
}

/// The settings of the bench as a settings file.
fn settings_xml(s: &Settings) -> String {
    let mut out = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<peppercove>\n");
    let mode = if s.is_list_polled {
        "on-request"
    } else {
        "pushed"
    };
    let _ = writeln!(
        out,
        "  <controller name=\"imported\" clients=\"127.0.0.1:0\"/>"
    );
    let _ = writeln!(
        out,
        "  <node-list address=\"127.0.0.1:7001\" mode=\"{mode}\" ask-every=\"{}us\"/>",
        s.poll_interval
    );
    let _ = writeln!(
        out,
        "  <rules drain-grace=\"{}us\" cold-from=\"{}\" warm-within=\"{}us\" fall-multiple=\"{}\" fall-window=\"{}us\" \
         cold-bears=\"{}\" settle=\"{}us\"/>",
        s.drain_grace,
        s.slow_start_min_share,
        s.slow_start_window,
        s.overload_multiple,
        s.overload_window,
        s.slow_start_budget,
        s.ambiguous_retry_delay
    );
    let _ = writeln!(
        out,
        "  <attempts most=\"{}\" may-withdraw=\"{}\"/>",
        s.max_attempts, s.can_cancel_attempts
    );
    let confirms = if s.placement_ack == PlacementAck::Accepted {
        "accepted"
    } else {
        "running"
    };
    let counts = if s.load_basis == LoadBasis::Used {
        "used"
    } else {
        "asked"
    };
    let _ = writeln!(
        out,
        "  <nodes accepts-cores=\"{}\" accepts-memory=\"{}\" confirms=\"{confirms}\" preempts=\"{}\" \
         report-counts=\"{counts}\" probes=\"{}\">",
        s.cores_overcommit, s.memory_overcommit, s.allows_preemption, s.can_probe
    );
    for (i, kind) in s.node_kinds.iter().enumerate() {
        let _ = writeln!(
            out,
            "    <kind name=\"k{i}\" cores=\"{}\" memory=\"{}\"/>",
            kind.cores, kind.memory
        );
    }
    out += "  </nodes>\n";
    let _ = writeln!(
        out,
        "  <classes default=\"c0\" mean-cores=\"{}\" mean-memory=\"{}\">",
        s.mean_cores, s.mean_memory
    );
    for (i, c) in s.classes.iter().enumerate() {
        let repeat = match c.idempotency {
            Idempotency::Idempotent => "repeat=\"safe\"".to_owned(),
            Idempotency::NonIdempotent => "repeat=\"unsafe\"".to_owned(),
            Idempotency::Keyed {
                scope: group,
                window,
            } => {
                let group = match group {
                    DedupScope::All => "all",
                    DedupScope::Zone => "zone",
                    DedupScope::Rack => "rack",
                };
                format!("repeat=\"keyed\" group=\"{group}\" window=\"{window}us\"")
            }
        };
        let spread = match c.topology_spread {
            TopologySpread::Off => "off",
            TopologySpread::Node => "node",
            TopologySpread::Rack => "rack",
            TopologySpread::Zone => "zone",
        };
        let kind = c
            .node_kind
            .map(|k| format!(" kind=\"k{k}\""))
            .unwrap_or_default();
        let _ = writeln!(
            out,
            "    <class name=\"c{i}\" aim=\"{}us\" deadline=\"{}us\" {repeat} worth=\"{}\" late-worth=\"{}\" \
             start-seconds=\"{}\" calm=\"{}\" fade=\"{}\" priority=\"{}\"{kind} spread=\"{spread}\" most=\"{}\" \
             cores=\"{}\" memory=\"{}\"/>",
            c.latency_objective,
            c.deadline,
            c.weight,
            c.late_weight,
            c.start_seconds,
            c.saturation_start.min(1.0),
            c.saturation_span,
            c.priority,
            c.max_per_domain.max(1),
            s.mean_cores,
            s.mean_memory
        );
    }
    out += "  </classes>\n";
    if !s.tenants.is_empty() {
        let _ = writeln!(
            out,
            "  <tenants over-share-worth=\"{}\">",
            s.over_quota_weight
        );
        for (i, tenant) in s.tenants.iter().enumerate() {
            let quota = tenant
                .quota_cores
                .map(|q| format!(" quota-cores=\"{q}\""))
                .unwrap_or_default();
            let _ = writeln!(out, "    <tenant name=\"t{i}\"{quota}/>");
        }
        out += "  </tenants>\n";
    }
    let _ = writeln!(
        out,
        "  <prices fleet=\"{}\" move=\"{}\" refusal=\"{}\" probe=\"{}\"/>\n</peppercove>",
        s.fleet_price, s.migration_price, s.rejection_price, s.probe_price
    );
    out
}
