//! The binary wire of the controllers: frames in, frames out, and their translation. No decision lives here.

use crate::interface::*;
use serde::Deserialize;
use std::fmt;

/// What was wrong with the input, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub String);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ProtocolError {}

/// One decoded record for one instance.
#[derive(Clone, Debug)]
pub enum Incoming {
    /// The instance starts.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance is killed.
    Stop,
    /// Something happened to it.
    Event(Event),
}

/// One decoded batch.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The clock.
    pub now: Micros,
    /// Records in order, each with its instance.
    pub records: Vec<(u16, Incoming)>,
}

/// What an instance's settings say of the records it gets, and names behind its indices.
#[derive(Clone, Debug, Default)]
pub struct RecordSchema {
    /// Names of the values of a load report, in order.
    pub load_fields: Vec<String>,
    /// Lines of the list carry the room that nobody asked for.
    pub has_free_capacity: bool,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the machine kinds, by index.
    pub kinds: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// A connection that is not up within this time counts as out of reach; 0 where it is not told.
    pub dial_timeout: Micros,
}

/// Puts one value of a load report in its place; names that are not known are skipped.
pub fn set_load_value(load: &mut LoadReport, field: &str, value: f64) {
    let value = Some(value).filter(|v| v.is_finite());
    match field {
        "x0" => load.free_cores = value,
        "x1" => load.free_memory = value,
        "cpu" | "util" => load.cpu_utilization = value,
        "waiting" | "queue" => load.queue_depth = value,
        _ => {}
    }
}

/// Decoder of a whole input: it keeps the numbered lists and the shape of each instance's records.
#[derive(Debug, Default)]
pub struct Decoder {
    banks: Table<u8, Vec<NodeEntry>>,
    shapes: Table<u16, RecordSchema>,
}

struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

type Read<T> = Result<T, ProtocolError>;

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Read<&'a [u8]> {
        let end = self.at.checked_add(n).filter(|&e| e <= self.bytes.len());
        let Some(end) = end else {
            let left = self.bytes.len() - self.at;
            return Err(ProtocolError(format!(
                "byte {}: {n} bytes wanted, {left} left in the frame",
                self.at
            )));
        };
        let part = &self.bytes[self.at..end];
        self.at = end;
        Ok(part)
    }
    fn array<const N: usize>(&mut self) -> Read<[u8; N]> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Read<u8> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Read<u16> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    fn u32(&mut self) -> Read<u32> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    fn u64(&mut self) -> Read<u64> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Read<f64> {
        Ok(f32::from_le_bytes(self.array()?) as f64)
    }
    fn machine(&mut self) -> Read<NodeId> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(NodeId((u64::from(address) << 16) | u64::from(port)))
    }
    fn load(&mut self, shape: &RecordSchema) -> Read<Option<LoadReport>> {
        let n = self.u8()?;
        let mut load = LoadReport::default();
        for i in 0..usize::from(n) {
            let value = self.f32()?;
            set_load_value(
                &mut load,
                shape.load_fields.get(i).map_or("", String::as_str),
                value,
            );
        }
        Ok((n > 0).then_some(load))
    }
    fn line(&mut self) -> Read<NodeEntry> {
        let free_cores = self.f32()?;
        let machine = self.machine()?;
        let _size = self.f32()?;
        let rack = self.u16()?;
        let zone = self.u8()?;
        let started_at = self.u64()?;
        let state = match self.u8()? {
            1 => NodeStatus::Ready,
            2 => NodeStatus::Draining,
            _ => NodeStatus::Gone,
        };
        let kind = self.u8()?;
        let free_memory = self.f32()?;
        let (free_cores, free_memory) = (Some(free_cores), Some(free_memory));
        // On this wire the start is told to all schedulers alike, so that it names the life as well.
        let life = started_at;
        Ok(NodeEntry {
            node: machine,
            state,
            kind,
            rack,
            zone,
            started_at,
            incarnation: life,
            free_cores,
            free_memory,
            slow_start_share: None,
        })
    }
    fn place(&mut self) -> Read<PlacementRequest> {
        let request = RequestId(self.u64()?);
        let class = self.u16()?;
        let tenant = self.u32()?;
        let task = TaskKey(self.u64()?);
        let deadline_in = u64::from(self.u32()?);
        let hint = u64::from(self.u32()?);
        let service = ServiceId(self.u64()?);
        let (cores, memory, flags) = (self.f32()?, self.f32()?, self.u8()?);
        let life_hint = (flags & 1 != 0).then_some(hint);
        let again = flags & 18 != 0;
        Ok(PlacementRequest {
            id: request,
            task,
            service,
            class,
            tenant,
            cores,
            memory,
            deadline_in,
            expected_duration: life_hint,
            is_retry: again,
        })
    }
    fn standing(&mut self) -> Read<Event> {
        let request = RequestId(self.u64()?);
        let cores = self.f32()?;
        let hint = u64::from(self.u32()?);
        let tenant = self.u32()?;
        let memory = self.f32()?;
        let deadline_in = u64::from(self.u32()?);
        let flags = self.u8()?;
        let service = ServiceId(self.u64()?);
        let task = TaskKey(self.u64()?);
        let machine = self.machine()?;
        let class = self.u16()?;
        let life_hint = (flags & 1 != 0).then_some(hint);
        let again = flags & 18 != 0;
        let request = PlacementRequest {
            id: request,
            task,
            service,
            class,
            tenant,
            cores,
            memory,
            deadline_in,
            expected_duration: life_hint,
            is_retry: again,
        };
        Ok(Event::RunningTask {
            request,
            node: machine,
        })
    }
    fn update(&mut self) -> Read<Option<Event>> {
        let request = RequestId(self.u64()?);
        let x = self.f32()?;
        let topic = self.u8()?;
        let machine = self.machine()?;
        let attempt = self.u16()?;
        let note = match topic {
            1 => TaskUpdate::Running,
            2 => TaskUpdate::CoresUsed(x),
            3 => TaskUpdate::MemoryUsed(x),
            4 => TaskUpdate::ServedShare(x),
            5 => TaskUpdate::NodeMemoryShare(x),
            _ => return Ok(None),
        };
        Ok(Some(Event::TaskUpdated {
            request,
            attempt,
            node: machine,
            update: note,
        }))
    }
    fn reply(&mut self, shape: &RecordSchema) -> Read<Event> {
        let request = RequestId(self.u64()?);
        let attempt = self.u16()?;
        let machine = self.machine()?;
        let outcome = match self.u16()? {
            200 => AttemptOutcome::Completed,
            429 => AttemptOutcome::Rejected,
            408 => AttemptOutcome::TimedOut,
            521 => AttemptOutcome::Unreachable,
            520 => AttemptOutcome::Lost,
            444 => AttemptOutcome::Cancelled,
            409 => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Error,
        };
        let _elapsed = self.u32()?;
        let over = self.u8()? != 0;
        let why = match self.u8()? {
            1 => EndReason::InsufficientCores,
            2 => EndReason::InsufficientMemory,
            3 => EndReason::QueueFull,
            4 => EndReason::Ineligible,
            5 => EndReason::Evicted,
            6 => EndReason::Preempted,
            7 => EndReason::Drained,
            _ => EndReason::Unknown,
        };
        let load = self.load(shape)?;
        Ok(Event::AttemptEnded {
            request,
            attempt,
            node: machine,
            outcome,
            reason: why,
            is_final: over,
            load,
        })
    }
}

impl Decoder {
    /// Decodes the body of a frame that holds `count` records.
    pub fn batch(&mut self, now: Micros, count: u32, body: &[u8]) -> Result<Batch, ProtocolError> {
        let mut cursor = Cursor { bytes: body, at: 0 };
        let mut records = Vec::new();
        let mut instance = None;
        for index in 0..count {
            let start = cursor.at;
            let decoded = self.record(&mut cursor, &mut instance);
            match decoded {
                Ok(None) => {}
                Ok(Some(incoming)) => match instance {
                    Some(i) => records.push((i, incoming)),
                    None => {
                        return Err(ProtocolError(format!(
                            "record {index} at byte {start}: no instance named"
                        )));
                    }
                },
                Err(e) => {
                    return Err(ProtocolError(format!(
                        "record {index} at byte {start}: {e}"
                    )));
                }
            }
        }
        if cursor.at != body.len() {
            return Err(ProtocolError(format!(
                "{} bytes left after the last record",
                body.len() - cursor.at
            )));
        }
        Ok(Batch { now, records })
    }

    fn record(&mut self, c: &mut Cursor<'_>, instance: &mut Option<u16>) -> Read<Option<Incoming>> {
        let code = c.u8()?;
        let shape = instance
            .and_then(|i| self.shapes.get(&i))
            .cloned()
            .unwrap_or_default();
        let event = match code {
            1 => {
                let seed = c.u64()?;
                let n = c.u32()? as usize;
                let (settings, shape) = read_settings(c.take(n)?)?;
                if let Some(i) = *instance {
                    self.shapes.insert(i, shape);
                }
                return Ok(Some(Incoming::Start {
                    seed,
                    settings: Box::new(settings),
                }));
            }
            2 => {
                let bank = c.u8()?;
                let version = c.u64()?;
                let scope = match c.u8()? {
                    0 => ListUpdateKind::Incremental,
                    1 => ListUpdateKind::Full,
                    2 => ListUpdateKind::Cached,
                    3 => ListUpdateKind::Failed,
                    other => return Err(ProtocolError(format!("unknown list scope {other}"))),
                };
                let mut lines = match scope {
                    ListUpdateKind::Failed => Vec::new(),
                    _ => self.banks.get(&bank).cloned().unwrap_or_default(),
                };
                if !shape.has_free_capacity {
                    for line in &mut lines {
                        (line.free_cores, line.free_memory) = (None, None);
                    }
                }
                Event::NodeList {
                    kind: scope,
                    version,
                    entries: lines,
                }
            }
            3 => Event::Place(c.place()?),
            4 => {
                let request = RequestId(c.u64()?);
                let attempt = c.u16()?;
                let machine = c.machine()?;
                c.u32()?;
                Event::Placed {
                    request,
                    attempt,
                    node: machine,
                }
            }
            5 => c.reply(&shape)?,
            6 => Event::RequestCancelled(RequestId(c.u64()?)),
            7 => Event::Timer(c.u64()?),
            8 => {
                let answered = c.u16()? == 200;
                c.u32()?;
                let machine = c.machine()?;
                Event::Probed {
                    node: machine,
                    answered,
                    load: c.load(&shape)?,
                }
            }
            9 => {
                let from = c.u32()?;
                let n = usize::from(c.u16()?);
                Event::Peer {
                    from,
                    message: c.take(n)?.to_vec(),
                }
            }
            10 => return Ok(Some(Incoming::Stop)),
            11 => c.standing()?,
            12 => match c.update()? {
                Some(event) => event,
                None => return Ok(None),
            },
            13 => {
                let bank = c.u8()?;
                let n = c.u32()?;
                let mut lines = Vec::new();
                for _ in 0..n {
                    lines.push(c.line()?);
                }
                self.banks.insert(bank, lines);
                return Ok(None);
            }
            14 => {
                *instance = Some(c.u16()?);
                return Ok(None);
            }
            other => return Err(ProtocolError(format!("unknown record code {other}"))),
        };
        Ok(Some(Incoming::Event(event)))
    }
}

/// The reply to one batch.
#[derive(Debug)]
pub struct Reply {
    frame: Vec<u8>,
    instance: Option<u16>,
}

impl Default for Reply {
    fn default() -> Reply {
        Reply {
            frame: vec![0; 4],
            instance: None,
        }
    }
}

impl Reply {
    /// Appends the actions of an instance.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        if !actions.is_empty() && self.instance != Some(instance) {
            self.instance = Some(instance);
            self.frame.push(3);
            self.frame.extend(instance.to_le_bytes());
        }
        for action in actions {
            self.action(action);
        }
    }

    fn action(&mut self, action: &Action) {
        let out = &mut self.frame;
        match action {
            Action::WatchNodes => out.extend([1, 1]),
            Action::Dispatch {
                request,
                node: machine,
                timeout,
            } => {
                out.push(11);
                out.extend(request.0.to_le_bytes());
                out.extend(micros32(timeout.unwrap_or(0)));
                put_machine(out, *machine);
            }
            Action::CancelAttempt { request, attempt } => {
                out.push(6);
                out.extend(request.0.to_le_bytes());
                out.extend(attempt.to_le_bytes());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                out.push(14);
                out.extend(request.0.to_le_bytes());
                out.extend(micros32(retry_after.unwrap_or(0)));
            }
            Action::Fail(request) => {
                out.push(8);
                out.extend(request.0.to_le_bytes());
            }
            Action::Migrate(request) => {
                out.push(5);
                out.extend(request.0.to_le_bytes());
            }
            Action::SetTimer { label, at } => {
                out.push(10);
                out.extend(label.to_le_bytes());
                out.extend(at.to_le_bytes());
            }
            Action::Probe(machine) => {
                out.push(2);
                put_machine(out, *machine);
            }
            Action::Broadcast(message) => {
                out.push(7);
                out.extend(u32::MAX.to_le_bytes());
                put_bytes(out, message);
            }
            Action::Log(line) => {
                out.push(9);
                put_bytes(out, line.as_bytes());
            }
        }
    }

    /// The finished frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.frame.len() - 4) as u32;
        self.frame[..4].copy_from_slice(&length.to_le_bytes());
        self.frame
    }
}

fn micros32(span: Micros) -> [u8; 4] {
    u32::try_from(span).unwrap_or(u32::MAX).to_le_bytes()
}

fn put_machine(out: &mut Vec<u8>, machine: NodeId) {
    out.extend(((machine.0 >> 16) as u32).to_be_bytes());
    out.extend((machine.0 as u16).to_le_bytes());
}

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    let n = bytes.len().min(usize::from(u16::MAX));
    out.extend((n as u16).to_le_bytes());
    out.extend(&bytes[..n]);
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Facts {
    #[serde(default)]
    areas: Vec<String>,
    #[serde(default)]
    flavors: Vec<String>,
    caps: Caps,
    classes: Vec<ClassFacts>,
    #[serde(default)]
    deductions: Deductions,
    fleet_size: u32,
    #[serde(default)]
    self_index: u32,
    #[serde(default)]
    my_zone: u8,
    guarantees: Guarantees,
    registry_mode: String,
    specifics: Specifics,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    report: ReportFacts,
    #[serde(default)]
    tenants: Vec<serde::de::IgnoredAny>,
    tick: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    #[serde(default)]
    dial_timeout: f64,
    max_attempts: u32,
    may_cancel: bool,
    may_duplicate: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    probes: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassFacts {
    #[serde(default)]
    name: String,
    deadline: f64,
    #[serde(default)]
    group: String,
    #[serde(default)]
    late_worth: f64,
    objective: f64,
    repeat: String,
    #[serde(default)]
    window: f64,
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Deductions {
    fleet: f64,
    moves: f64,
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Guarantees {
    answer_slack: f64,
    ask_every: f64,
    cold_from: f64,
    fall_multiple: f64,
    stop_sending_within: f64,
    tip_after: f64,
    warm_within: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Specifics {
    accepts_memory: f64,
    admit_cores: f64,
    apart_by: Vec<String>,
    class_calm: Vec<f64>,
    class_fade: Vec<f64>,
    class_kind: Vec<i32>,
    class_most: Vec<u32>,
    cold_bears: f64,
    confirms: String,
    makes_room: bool,
    make_sure: f64,
    mean_memory: f64,
    memory_by_kind: Vec<f64>,
    priority_by_class: Vec<u8>,
    report_counts: String,
    size_cores: Vec<f64>,
    start_seconds: Vec<f64>,
    #[serde(default)]
    tenant_quota_cores: Vec<f64>,
    #[serde(default)]
    turned_down_price: f64,
    usual_cores: f64,
    #[serde(default)]
    view: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct ReportFacts {
    fields: Vec<String>,
}

fn named<T>(key: &str, word: &str, of: Option<T>) -> Read<T> {
    of.ok_or_else(|| ProtocolError(format!("settings: {key}: unknown word '{word}'")))
}

fn per_class<T: Copy>(key: &str, values: &[T], index: usize) -> Read<T> {
    let missing = || {
        ProtocolError(format!(
            "settings: specifics.{key}: no value for class {index}"
        ))
    };
    values.get(index).copied().ok_or_else(missing)
}

/// Reads the settings that the first message carries as text.
///
/// # Errors
/// [`ProtocolError`] names the key that is missing or wrong.
pub fn read_settings(text: &[u8]) -> Result<(Settings, RecordSchema), ProtocolError> {
    let facts: Facts =
        serde_json::from_slice(text).map_err(|e| ProtocolError(format!("settings: {e}")))?;
    let special = &facts.specifics;
    let mut classes = Vec::new();
    for (i, class) in facts.classes.iter().enumerate() {
        let group = match class.group.as_str() {
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Rack,
            _ => DedupScope::All,
        };
        let repeat = match class.repeat.as_str() {
            "idempotent" => Some(Idempotency::Idempotent),
            "deduplicated" => Some(Idempotency::Keyed {
                scope: group,
                window: class.window as Micros,
            }),
            "at_most_once" => Some(Idempotency::NonIdempotent),
            _ => None,
        };
        let apart = special.apart_by.get(i).map_or("off", String::as_str);
        let spread = match apart {
            "off" => Some(TopologySpread::Off),
            "machine" => Some(TopologySpread::Node),
            "cell" => Some(TopologySpread::Rack),
            "zone" => Some(TopologySpread::Zone),
            _ => None,
        };
        classes.push(TaskClass {
            latency_objective: class.objective as Micros,
            deadline: class.deadline as Micros,
            idempotency: named("classes.repeat", &class.repeat, repeat)?,
            weight: class.worth,
            late_weight: class.late_worth,
            start_seconds: per_class("start-seconds", &special.start_seconds, i)?,
            saturation_start: per_class("class-calm", &special.class_calm, i)?,
            saturation_span: per_class("class-fade", &special.class_fade, i)?,
            priority: per_class("priority-by-class", &special.priority_by_class, i)?,
            node_kind: u8::try_from(per_class("class-kind", &special.class_kind, i)?).ok(),
            topology_spread: named("specifics.apart-by", apart, spread)?,
            max_per_domain: per_class("class-most", &special.class_most, i)?,
        });
    }
    let confirms = match special.confirms.as_str() {
        "accepted" => Some(PlacementAck::Accepted),
        "running" => Some(PlacementAck::Running),
        _ => None,
    };
    let counts = match special.report_counts.as_str() {
        "asked" => Some(LoadBasis::Requested),
        "used" => Some(LoadBasis::Used),
        _ => None,
    };
    let kinds = special.size_cores.iter().zip(&special.memory_by_kind);
    let tenants = (0..facts.tenants.len()).map(|i| Tenant {
        quota_cores: special.tenant_quota_cores.get(i).copied(),
    });
    let settings = Settings {
        schedulers: facts.fleet_size,
        own_index: facts.self_index,
        own_zone: facts.my_zone,
        classes,
        node_kinds: kinds
            .map(|(&cores, &memory)| NodeKind { cores, memory })
            .collect(),
        tenants: tenants.collect(),
        over_quota_weight: facts.over_share_worth,
        cores_overcommit: special.admit_cores,
        memory_overcommit: special.accepts_memory,
        placement_ack: named("specifics.confirms", &special.confirms, confirms)?,
        allows_preemption: special.makes_room,
        load_basis: named("specifics.report-counts", &special.report_counts, counts)?,
        mean_cores: special.usual_cores,
        mean_memory: special.mean_memory,
        max_attempts: facts.caps.max_attempts,
        can_cancel_attempts: facts.caps.may_cancel,
        can_hedge: facts.caps.may_duplicate,
        can_probe: facts.caps.probes,
        peer_messages: facts.caps.peer_messages,
        is_list_polled: facts.registry_mode == "on_request",
        poll_interval: facts.guarantees.ask_every as Micros,
        poll_backoff: [16, 2].map(|part| facts.guarantees.ask_every as Micros / part),
        answer_slack: facts.guarantees.answer_slack as Micros,
        drain_grace: facts.guarantees.stop_sending_within as Micros,
        slow_start_min_share: facts.guarantees.cold_from,
        slow_start_window: facts.guarantees.warm_within as Micros,
        overload_multiple: facts.guarantees.fall_multiple,
        overload_window: facts.guarantees.tip_after as Micros,
        slow_start_budget: special.cold_bears,
        tick: facts.tick as Micros,
        fleet_price: facts.deductions.fleet,
        migration_price: facts.deductions.moves,
        rejection_price: special.turned_down_price,
        probe_price: facts.deductions.probe,
        ambiguous_retry_delay: special.make_sure as Micros,
    };
    let shape = RecordSchema {
        load_fields: facts.report.fields,
        has_free_capacity: special.view,
        classes: facts.classes.iter().map(|c| c.name.clone()).collect(),
        kinds: facts.flavors,
        zones: facts.areas,
        dial_timeout: facts.caps.dial_timeout as Micros,
    };
    Ok((settings, shape))
}
