//! The binary wire of the controllers: frames in, frames out, and their translation. No decision lives here.

use crate::interface::*;
use serde::Deserialize;
use std::fmt;

/// What was wrong with the input, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

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
pub struct Shape {
    /// Names of the values of a load report, in order.
    pub fields: Vec<String>,
    /// Lines of the list carry the room that nobody asked for.
    pub view: bool,
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
pub fn report_value(load: &mut Load, field: &str, value: f64) {
    let value = Some(value).filter(|v| v.is_finite());
    match field {
        "x0" => load.free_cores = value,
        "x1" => load.free_memory = value,
        "cpu" | "util" => load.busy = value,
        "waiting" | "queue" => load.waiting = value,
        _ => {}
    }
}

/// Decoder of a whole input: it keeps the numbered lists and the shape of each instance's records.
#[derive(Debug, Default)]
pub struct Decoder {
    banks: Table<u8, Vec<MachineLine>>,
    shapes: Table<u16, Shape>,
}

struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

type Read<T> = Result<T, WireError>;

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Read<&'a [u8]> {
        let end = self.at.checked_add(n).filter(|&e| e <= self.bytes.len());
        let Some(end) = end else {
            let left = self.bytes.len() - self.at;
            return Err(WireError(format!(
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
    fn machine(&mut self) -> Read<MachineId> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(MachineId((u64::from(address) << 16) | u64::from(port)))
    }
    fn load(&mut self, shape: &Shape) -> Read<Option<Load>> {
        let n = self.u8()?;
        let mut load = Load::default();
        for i in 0..usize::from(n) {
            let value = self.f32()?;
            report_value(
                &mut load,
                shape.fields.get(i).map_or("", String::as_str),
                value,
            );
        }
        Ok((n > 0).then_some(load))
    }
    fn line(&mut self) -> Read<MachineLine> {
        let free_cores = self.f32()?;
        let machine = self.machine()?;
        let _size = self.f32()?;
        let rack = self.u16()?;
        let zone = self.u8()?;
        let started_at = self.u64()?;
        let state = match self.u8()? {
            1 => MachineState::Ready,
            2 => MachineState::Draining,
            _ => MachineState::Gone,
        };
        let kind = self.u8()?;
        let free_memory = self.f32()?;
        let (free_cores, free_memory) = (Some(free_cores), Some(free_memory));
        // On this wire the start is told to all schedulers alike, so that it names the life as well.
        let life = started_at;
        Ok(MachineLine {
            machine,
            state,
            kind,
            rack,
            zone,
            started_at,
            life,
            free_cores,
            free_memory,
            cold_share: None,
        })
    }
    fn place(&mut self) -> Read<Request> {
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
        Ok(Request {
            request,
            task,
            service,
            class,
            tenant,
            cores,
            memory,
            deadline_in,
            life_hint,
            again,
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
        let request = Request {
            request,
            task,
            service,
            class,
            tenant,
            cores,
            memory,
            deadline_in,
            life_hint,
            again,
        };
        Ok(Event::Standing { request, machine })
    }
    fn update(&mut self) -> Read<Option<Event>> {
        let request = RequestId(self.u64()?);
        let x = self.f32()?;
        let topic = self.u8()?;
        let machine = self.machine()?;
        let attempt = self.u16()?;
        let note = match topic {
            1 => Note::Runs,
            2 => Note::CoresUsed(x),
            3 => Note::MemoryUsed(x),
            4 => Note::Served(x),
            5 => Note::MachineMemory(x),
            _ => return Ok(None),
        };
        Ok(Some(Event::Noted {
            request,
            attempt,
            machine,
            note,
        }))
    }
    fn reply(&mut self, shape: &Shape) -> Read<Event> {
        let request = RequestId(self.u64()?);
        let attempt = self.u16()?;
        let machine = self.machine()?;
        let outcome = match self.u16()? {
            200 => Outcome::Done,
            429 => Outcome::Refused,
            408 => Outcome::TimedOut,
            521 => Outcome::Unreachable,
            520 => Outcome::Lost,
            444 => Outcome::Withdrawn,
            409 => Outcome::NotSent,
            _ => Outcome::Error,
        };
        let _elapsed = self.u32()?;
        let over = self.u8()? != 0;
        let why = match self.u8()? {
            1 => Why::NoCores,
            2 => Why::NoMemory,
            3 => Why::Busy,
            4 => Why::NotHere,
            5 => Why::Evicted,
            6 => Why::PushedOut,
            7 => Why::SentAway,
            _ => Why::Unknown,
        };
        let load = self.load(shape)?;
        Ok(Event::Ended {
            request,
            attempt,
            machine,
            outcome,
            why,
            over,
            load,
        })
    }
}

impl Decoder {
    /// Decodes the body of a frame that holds `count` records.
    pub fn batch(&mut self, now: Micros, count: u32, body: &[u8]) -> Result<Batch, WireError> {
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
                        return Err(WireError(format!(
                            "record {index} at byte {start}: no instance named"
                        )));
                    }
                },
                Err(e) => return Err(WireError(format!("record {index} at byte {start}: {e}"))),
            }
        }
        if cursor.at != body.len() {
            return Err(WireError(format!(
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
                    0 => ListScope::Delta,
                    1 => ListScope::Full,
                    2 => ListScope::Cached,
                    3 => ListScope::Failed,
                    other => return Err(WireError(format!("unknown list scope {other}"))),
                };
                let mut lines = match scope {
                    ListScope::Failed => Vec::new(),
                    _ => self.banks.get(&bank).cloned().unwrap_or_default(),
                };
                if !shape.view {
                    for line in &mut lines {
                        (line.free_cores, line.free_memory) = (None, None);
                    }
                }
                Event::MachineList {
                    scope,
                    version,
                    lines,
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
                    machine,
                }
            }
            5 => c.reply(&shape)?,
            6 => Event::Unwanted(RequestId(c.u64()?)),
            7 => Event::Timer(c.u64()?),
            8 => {
                let answered = c.u16()? == 200;
                c.u32()?;
                let machine = c.machine()?;
                Event::Probed {
                    machine,
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
            other => return Err(WireError(format!("unknown record code {other}"))),
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
            Action::Watch => out.extend([1, 1]),
            Action::Bind {
                request,
                machine,
                timeout,
            } => {
                out.push(11);
                out.extend(request.0.to_le_bytes());
                out.extend(micros32(timeout.unwrap_or(0)));
                put_machine(out, *machine);
            }
            Action::Withdraw { request, attempt } => {
                out.push(6);
                out.extend(request.0.to_le_bytes());
                out.extend(attempt.to_le_bytes());
            }
            Action::Refuse {
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
            Action::Move(request) => {
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
            Action::Tell(message) => {
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

fn put_machine(out: &mut Vec<u8>, machine: MachineId) {
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
    of.ok_or_else(|| WireError(format!("settings: {key}: unknown word '{word}'")))
}

fn per_class<T: Copy>(key: &str, values: &[T], index: usize) -> Read<T> {
    let missing = || {
        WireError(format!(
            "settings: specifics.{key}: no value for class {index}"
        ))
    };
    values.get(index).copied().ok_or_else(missing)
}

/// Reads the settings that the first message carries as text.
///
/// # Errors
/// [`WireError`] names the key that is missing or wrong.
pub fn read_settings(text: &[u8]) -> Result<(Settings, Shape), WireError> {
    let facts: Facts =
        serde_json::from_slice(text).map_err(|e| WireError(format!("settings: {e}")))?;
    let special = &facts.specifics;
    let mut classes = Vec::new();
    for (i, class) in facts.classes.iter().enumerate() {
        let group = match class.group.as_str() {
            "zone" => Group::Zone,
            "cell" => Group::Rack,
            _ => Group::All,
        };
        let repeat = match class.repeat.as_str() {
            "idempotent" => Some(Repeat::Safe),
            "deduplicated" => Some(Repeat::Keyed {
                group,
                window: class.window as Micros,
            }),
            "at_most_once" => Some(Repeat::Unsafe),
            _ => None,
        };
        let apart = special.apart_by.get(i).map_or("off", String::as_str);
        let spread = match apart {
            "off" => Some(Spread::Off),
            "machine" => Some(Spread::Machine),
            "cell" => Some(Spread::Rack),
            "zone" => Some(Spread::Zone),
            _ => None,
        };
        classes.push(Class {
            aim: class.objective as Micros,
            deadline: class.deadline as Micros,
            repeat: named("classes.repeat", &class.repeat, repeat)?,
            worth: class.worth,
            late_worth: class.late_worth,
            start_seconds: per_class("start-seconds", &special.start_seconds, i)?,
            calm: per_class("class-calm", &special.class_calm, i)?,
            fade: per_class("class-fade", &special.class_fade, i)?,
            priority: per_class("priority-by-class", &special.priority_by_class, i)?,
            kind: u8::try_from(per_class("class-kind", &special.class_kind, i)?).ok(),
            spread: named("specifics.apart-by", apart, spread)?,
            most: per_class("class-most", &special.class_most, i)?,
        });
    }
    let confirms = match special.confirms.as_str() {
        "accepted" => Some(Confirms::Accepted),
        "running" => Some(Confirms::Running),
        _ => None,
    };
    let counts = match special.report_counts.as_str() {
        "asked" => Some(ReportCounts::Asked),
        "used" => Some(ReportCounts::Used),
        _ => None,
    };
    let kinds = special.size_cores.iter().zip(&special.memory_by_kind);
    let tenants = (0..facts.tenants.len()).map(|i| Tenant {
        quota_cores: special.tenant_quota_cores.get(i).copied(),
    });
    let settings = Settings {
        schedulers: facts.fleet_size,
        own_number: facts.self_index,
        own_zone: facts.my_zone,
        classes,
        kinds: kinds
            .map(|(&cores, &memory)| Kind { cores, memory })
            .collect(),
        tenants: tenants.collect(),
        over_share_worth: facts.over_share_worth,
        accepts_cores: special.admit_cores,
        accepts_memory: special.accepts_memory,
        confirms: named("specifics.confirms", &special.confirms, confirms)?,
        preempts: special.makes_room,
        report_counts: named("specifics.report-counts", &special.report_counts, counts)?,
        mean_cores: special.usual_cores,
        mean_memory: special.mean_memory,
        max_attempts: facts.caps.max_attempts,
        may_withdraw: facts.caps.may_cancel,
        may_duplicate: facts.caps.may_duplicate,
        probes: facts.caps.probes,
        peer_messages: facts.caps.peer_messages,
        list_on_request: facts.registry_mode == "on_request",
        ask_every: facts.guarantees.ask_every as Micros,
        ask_again: [16, 2].map(|part| facts.guarantees.ask_every as Micros / part),
        answer_slack: facts.guarantees.answer_slack as Micros,
        drain_grace: facts.guarantees.stop_sending_within as Micros,
        cold_from: facts.guarantees.cold_from,
        warm_within: facts.guarantees.warm_within as Micros,
        fall_multiple: facts.guarantees.fall_multiple,
        fall_window: facts.guarantees.tip_after as Micros,
        cold_bears: special.cold_bears,
        tick: facts.tick as Micros,
        fleet_price: facts.deductions.fleet,
        move_price: facts.deductions.moves,
        refusal_price: special.turned_down_price,
        probe_price: facts.deductions.probe,
        settle: special.make_sure as Micros,
    };
    let shape = Shape {
        fields: facts.report.fields,
        view: special.view,
        classes: facts.classes.iter().map(|c| c.name.clone()).collect(),
        kinds: facts.flavors,
        zones: facts.areas,
        dial_timeout: facts.caps.dial_timeout as Micros,
    };
    Ok((settings, shape))
}
