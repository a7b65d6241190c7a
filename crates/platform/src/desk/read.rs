//! What the parameters of messages say, checked against the settings. What cannot be used never reaches the module.

use super::Body;
use crate::wire::{Message, cause, code};
use peppercove::adapter_protocol::{RecordSchema, set_load_value};
use peppercove::{
    AttemptOutcome, EndReason, Idempotency, LoadReport, Micros, PlacementRequest, RequestId,
    ServiceId, Settings, TaskKey, TaskUpdate,
};

/// Why a set-up cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unusable {
    Id,
    Class,
    Task,
    Key,
    Wait,
    Host,
    Figures,
}

/// Longest id of a host, in bytes.
const LONGEST_HOST: usize = 64;

/// The figures of a set-up.
#[derive(Default)]
struct Figures<'a> {
    cores: Option<f64>,
    memory: Option<f64>,
    service: Option<&'a str>,
    at: Option<&'a str>,
}

fn figures(message: &Message) -> Option<Figures<'_>> {
    let mut figures = Figures::default();
    for pair in message
        .text(code::FIGURES)?
        .split(';')
        .filter(|p| !p.is_empty())
    {
        let (name, value) = pair.split_once(':')?;
        match name.trim() {
            "cores" => figures.cores = Some(value.trim().parse().ok()?),
            "memory" => figures.memory = Some(value.trim().parse().ok()?),
            "service" => figures.service = Some(value.trim()),
            "at" => figures.at = Some(value.trim()),
            _ => {}
        }
    }
    Some(figures)
}

/// The set-up names a host that holds its task already.
pub(super) fn names_host(message: &Message) -> bool {
    figures(message).is_some_and(|f| f.at.is_some())
}

/// How long its owner waits.
pub(super) fn wait(message: &Message) -> Option<Micros> {
    message
        .text(code::WAIT)?
        .parse::<u64>()
        .ok()
        .map(|ms| ms.saturating_mul(1000))
}

/// Names are hexadecimal here; any other text names something just as well.
fn number(name: &str) -> u64 {
    match u64::from_str_radix(name, 16) {
        Ok(number) if name.len() == 16 => number,
        _ => xxhash_rust::xxh3::xxh3_64(name.as_bytes()),
    }
}

/// Reads a set-up: the request, the host that holds it already, and what is passed on unchanged.
pub(super) fn set_up(
    message: &Message,
    settings: &Settings,
    shape: &RecordSchema,
) -> Result<(PlacementRequest, Option<String>, Body), Unusable> {
    // Danger: a host closes the connection on a set-up without an id, with all that is open on it.
    if message.id == 0 {
        return Err(Unusable::Id);
    }
    let name = message.text(code::CLASS).ok_or(Unusable::Class)?;
    let index = shape
        .classes
        .iter()
        .position(|c| c == name)
        .ok_or(Unusable::Class)?;
    let class = settings.classes.get(index).ok_or(Unusable::Class)?;
    let task = message
        .text(code::TASK)
        .filter(|t| !t.is_empty())
        .ok_or(Unusable::Task)?;
    let key = message.get(code::KEY);
    if matches!(class.idempotency, Idempotency::Keyed { .. }) && key.is_none_or(<[u8]>::is_empty) {
        return Err(Unusable::Key);
    }
    let figures = figures(message).ok_or(Unusable::Figures)?;
    // No machine of any kind accepts more: it is no figure of a task of this cluster.
    let most = |of: fn(&peppercove::NodeKind) -> f64, accepts: f64| {
        settings.node_kinds.iter().map(of).fold(0.0, f64::max) * accepts.max(1.0)
    };
    let within = |x: Option<f64>, most: f64| x.filter(|x| x.is_finite() && *x > 0.0 && *x <= most);
    let cores = within(figures.cores, most(|k| k.cores, settings.cores_overcommit))
        .ok_or(Unusable::Figures)?;
    let memory = within(
        figures.memory,
        most(|k| k.memory, settings.memory_overcommit),
    )
    .ok_or(Unusable::Figures)?;
    // Names of hosts are kept while tasks stand there.
    if figures
        .at
        .is_some_and(|host| host.is_empty() || host.len() > LONGEST_HOST)
    {
        return Err(Unusable::Host);
    }
    let service = figures
        .service
        .filter(|s| !s.is_empty())
        .ok_or(Unusable::Figures)?;
    let wait = match (wait(message), figures.at) {
        (Some(wait), _) => wait,
        (_, Some(_)) => 0,
        _ => return Err(Unusable::Wait),
    };
    // The settings say how long owners of the class wait; twice that is nobody's.
    if figures.at.is_none() && (wait == 0 || wait > class.deadline.saturating_mul(2)) {
        return Err(Unusable::Wait);
    }
    let request = PlacementRequest {
        id: RequestId(0),
        task: TaskKey(number(task)),
        service: ServiceId(number(service)),
        class: index as u16,
        tenant: 0,
        cores,
        memory,
        deadline_in: wait,
        expected_duration: None,
        is_retry: message.text(code::RETRY) == Some("1"),
    };
    let body = Body {
        class: name.as_bytes().into(),
        task: task.as_bytes().into(),
        key: key.map(Into::into),
        description: message.get(code::DESCRIPTION).map(Into::into),
    };
    Ok((request, figures.at.map(str::to_owned), body))
}

/// Why a host refused or gave a task up.
pub(super) fn why(message: &Message) -> EndReason {
    match message.text(code::NOTE) {
        Some("no_cores") => EndReason::InsufficientCores,
        Some("no_memory") => EndReason::InsufficientMemory,
        Some("queue_full") => EndReason::QueueFull,
        Some("not_here") => EndReason::Ineligible,
        Some("evicted") => EndReason::Evicted,
        Some("pushed_out") => EndReason::Preempted,
        Some("sent_away") => EndReason::Drained,
        _ => EndReason::Unknown,
    }
}

/// How a task ended that had stood, where its host's release says so by itself. What never started is refused with the
/// same reasons, or broke on its way without any.
pub(super) fn end_of_what_stood(message: &Message) -> Option<AttemptOutcome> {
    match (message.cause()?, why(message)) {
        (cause::ORDINARY, _) => Some(AttemptOutcome::Completed),
        (cause::CUT, EndReason::Evicted | EndReason::Preempted | EndReason::Drained) => {
            Some(AttemptOutcome::Lost)
        }
        _ => None,
    }
}

/// The load report that came along.
pub(super) fn load(message: &Message, shape: &RecordSchema) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for pair in message.text(code::REPORT)?.split(';') {
        let (name, value) = pair.split_once(':')?;
        if shape.load_fields.iter().any(|f| f == name) || matches!(name, "util" | "queue") {
            set_load_value(&mut load, name, value.parse().ok()?);
        }
    }
    Some(load)
}

/// A note on a task that stands.
pub(super) fn note(message: &Message) -> Option<TaskUpdate> {
    let figure = || {
        message
            .text(code::FIGURE)?
            .parse()
            .ok()
            .filter(|x: &f64| x.is_finite())
    };
    Some(match message.text(code::NOTE)? {
        "runs" => TaskUpdate::Running,
        "cores" => TaskUpdate::CoresUsed(figure()?),
        "memory" => TaskUpdate::MemoryUsed(figure()?),
        "served" => TaskUpdate::ServedShare(figure()?),
        "pressure" => TaskUpdate::NodeMemoryShare(figure()?),
        _ => return None,
    })
}
