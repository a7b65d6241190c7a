//! Parses message parameters and validates them against the settings. Invalid requests never reach the scheduler.

use super::MICROS_PER_MILLI;
use super::request::Payload;
use crate::wire::{Message, cause, code};
use peppercove::adapter_protocol::{RecordSchema, set_load_value};
use peppercove::{
    AttemptOutcome, EndReason, Idempotency, LoadReport, Micros, NodeKind, PlacementRequest,
    RequestId, ServiceId, Settings, TaskClass, TaskKey, TaskUpdate,
};

/// Maximum length of a node name, in bytes.
const MAX_NODE_NAME_BYTES: usize = 64;
/// Number of digits of a name that is a hexadecimal number.
const HEX_NAME_DIGITS: usize = 16;

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidRequest {
    #[error("id is missing")]
    Id,
    #[error("class is missing or unknown")]
    Class,
    #[error("task name is missing")]
    Task,
    #[error("idempotency key is missing, but the class requires one")]
    Key,
    #[error("client timeout is missing or out of range for the class")]
    Timeout,
    #[error("node name is empty or longer than {MAX_NODE_NAME_BYTES} bytes")]
    Node,
    #[error("resources or service are missing or out of range")]
    Attributes,
}

/// A valid request.
#[derive(Debug)]
pub(super) struct ParsedRequest {
    /// The request as passed to the scheduler.
    pub(super) request: PlacementRequest,
    /// For a handover, the name of the node on which the task runs.
    pub(super) running_on: Option<String>,
    /// Parameters that are forwarded to nodes unchanged.
    pub(super) payload: Payload,
}

/// The attributes of a request: `name:value` pairs separated by `;`.
#[derive(Default)]
struct Attributes<'a> {
    cores: Option<f64>,
    memory: Option<f64>,
    service: Option<&'a str>,
    running_on: Option<&'a str>,
}

impl Attributes<'_> {
    /// Parses the attributes. Returns `None` if they are missing or malformed; unknown attributes are ignored.
    fn parse(message: &Message) -> Option<Attributes<'_>> {
        let mut attributes = Attributes::default();
        let pairs = message.text(code::FIGURES)?.split(';');
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once(':')?;
            let value = value.trim();
            match name.trim() {
                "cores" => attributes.cores = Some(value.parse().ok()?),
                "memory" => attributes.memory = Some(value.parse().ok()?),
                "service" => attributes.service = Some(value),
                "at" => attributes.running_on = Some(value),
                _ => {}
            }
        }
        Some(attributes)
    }
}

/// Whether the request is a handover of a running task.
pub(super) fn is_handover(message: &Message) -> bool {
    Attributes::parse(message).is_some_and(|attributes| attributes.running_on.is_some())
}

/// How long the client waits for an answer, if the message specifies it.
pub(super) fn client_timeout(message: &Message) -> Option<Micros> {
    let millis: u64 = message.text(code::WAIT)?.parse().ok()?;
    Some(millis.saturating_mul(MICROS_PER_MILLI))
}

/// Parses and validates a request, which gets the given id.
///
/// # Errors
/// Returns an [`InvalidRequest`] if a parameter is missing or out of range.
pub(super) fn parse_request(
    message: &Message,
    id: RequestId,
    settings: &Settings,
    schema: &RecordSchema,
) -> Result<ParsedRequest, InvalidRequest> {
    // A node that receives a request without an id closes the connection, which ends all open attempts on it.
    if message.id == 0 {
        return Err(InvalidRequest::Id);
    }
    let class = Class::find(message, settings, schema)?;
    let task = non_empty(message.text(code::TASK)).ok_or(InvalidRequest::Task)?;
    let key = parse_key(message, class.settings)?;
    let attributes = Attributes::parse(message).ok_or(InvalidRequest::Attributes)?;
    let (cores, memory) = parse_resources(&attributes, settings)?;
    let service = non_empty(attributes.service).ok_or(InvalidRequest::Attributes)?;
    let running_on = parse_running_on(&attributes)?;
    let deadline_in = match running_on {
        Some(_) => client_timeout(message).unwrap_or(0),
        None => parse_deadline(message, class.settings)?,
    };
    let request = PlacementRequest {
        id,
        task: TaskKey(key_of_name(task)),
        service: ServiceId(key_of_name(service)),
        class: class.index as u16,
        tenant: 0,
        cores,
        memory,
        deadline_in,
        expected_duration: None,
        is_retry: message.text(code::RETRY) == Some("1"),
    };
    let payload = Payload {
        class: class.name.as_bytes().into(),
        task: task.as_bytes().into(),
        key: key.map(Into::into),
        description: message.get(code::DESCRIPTION).map(Into::into),
    };
    Ok(ParsedRequest {
        request,
        running_on: running_on.map(str::to_owned),
        payload,
    })
}

/// The class of a request.
struct Class<'m, 's> {
    name: &'m str,
    index: usize,
    settings: &'s TaskClass,
}

impl<'m, 's> Class<'m, 's> {
    fn find(
        message: &'m Message,
        settings: &'s Settings,
        schema: &RecordSchema,
    ) -> Result<Class<'m, 's>, InvalidRequest> {
        let name = message.text(code::CLASS).ok_or(InvalidRequest::Class)?;
        let position = schema.classes.iter().position(|class| class == name);
        let index = position.ok_or(InvalidRequest::Class)?;
        let settings = settings.classes.get(index).ok_or(InvalidRequest::Class)?;
        Ok(Class {
            name,
            index,
            settings,
        })
    }
}

fn non_empty(text: Option<&str>) -> Option<&str> {
    text.filter(|text| !text.is_empty())
}

/// Returns the idempotency key, which keyed classes require.
fn parse_key<'m>(
    message: &'m Message,
    class: &TaskClass,
) -> Result<Option<&'m [u8]>, InvalidRequest> {
    let key = message.get(code::KEY);
    let is_required = matches!(class.idempotency, Idempotency::Keyed { .. });
    if is_required && key.is_none_or(<[u8]>::is_empty) {
        return Err(InvalidRequest::Key);
    }
    Ok(key)
}

/// Returns cores and memory. Both must be positive and must not exceed what the largest node kind accepts.
fn parse_resources(
    attributes: &Attributes<'_>,
    settings: &Settings,
) -> Result<(f64, f64), InvalidRequest> {
    let largest = |capacity: fn(&NodeKind) -> f64, overcommit: f64| {
        let capacities = settings.node_kinds.iter().map(capacity);
        capacities.fold(0.0, f64::max) * overcommit.max(1.0)
    };
    let within = |value: Option<f64>, max: f64| {
        value
            .filter(|value| value.is_finite() && *value > 0.0 && *value <= max)
            .ok_or(InvalidRequest::Attributes)
    };
    let max_cores = largest(|kind| kind.cores, settings.cores_overcommit);
    let max_memory = largest(|kind| kind.memory, settings.memory_overcommit);
    let cores = within(attributes.cores, max_cores)?;
    let memory = within(attributes.memory, max_memory)?;
    Ok((cores, memory))
}

/// Returns the name of the node on which the task runs. Its length is limited, since names of unlisted nodes are stored
/// as long as tasks run there.
fn parse_running_on<'m>(attributes: &Attributes<'m>) -> Result<Option<&'m str>, InvalidRequest> {
    let is_valid = |name: &str| !name.is_empty() && name.len() <= MAX_NODE_NAME_BYTES;
    match attributes.running_on {
        Some(name) if !is_valid(name) => Err(InvalidRequest::Node),
        running_on => Ok(running_on),
    }
}

/// Returns the client's timeout, which may be up to twice the deadline of the class.
fn parse_deadline(message: &Message, class: &TaskClass) -> Result<Micros, InvalidRequest> {
    let timeout = client_timeout(message).ok_or(InvalidRequest::Timeout)?;
    if timeout == 0 || timeout > class.deadline.saturating_mul(2) {
        return Err(InvalidRequest::Timeout);
    }
    Ok(timeout)
}

/// Converts a name to a key. Names on the platform are hexadecimal numbers; any other text is hashed.
fn key_of_name(name: &str) -> u64 {
    match u64::from_str_radix(name, 16) {
        Ok(number) if name.len() == HEX_NAME_DIGITS => number,
        Ok(_) | Err(_) => xxhash_rust::xxh3::xxh3_64(name.as_bytes()),
    }
}

/// The reason that a node gives for rejecting or ending a task.
pub(super) fn end_reason(message: &Message) -> EndReason {
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

/// The outcome of a started task, if the node's release alone shows that the task had started. Otherwise `None`: tasks
/// that never started are released with another cause, or without a reason.
pub(super) fn end_of_started_task(message: &Message) -> Option<AttemptOutcome> {
    match message.cause()? {
        cause::ORDINARY => Some(AttemptOutcome::Completed),
        cause::CUT => match end_reason(message) {
            EndReason::Evicted | EndReason::Preempted | EndReason::Drained => {
                Some(AttemptOutcome::Lost)
            }
            EndReason::Unknown
            | EndReason::InsufficientCores
            | EndReason::InsufficientMemory
            | EndReason::QueueFull
            | EndReason::Ineligible => None,
        },
        _ => None,
    }
}

/// Parses the load report in a message from a node.
pub(super) fn load_report(message: &Message, schema: &RecordSchema) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for pair in message.text(code::REPORT)?.split(';') {
        let (name, value) = pair.split_once(':')?;
        let is_in_schema = schema.load_fields.iter().any(|field| field == name);
        if is_in_schema || matches!(name, "util" | "queue") {
            set_load_value(&mut load, name, value.parse().ok()?);
        }
    }
    Some(load)
}

/// Parses an update on a running task.
pub(super) fn task_update(message: &Message) -> Option<TaskUpdate> {
    let value = || {
        let value: f64 = message.text(code::FIGURE)?.parse().ok()?;
        value.is_finite().then_some(value)
    };
    match message.text(code::NOTE)? {
        "runs" => Some(TaskUpdate::Running),
        "cores" => Some(TaskUpdate::CoresUsed(value()?)),
        "memory" => Some(TaskUpdate::MemoryUsed(value()?)),
        "served" => Some(TaskUpdate::ServedShare(value()?)),
        "pressure" => Some(TaskUpdate::NodeMemoryShare(value()?)),
        _ => None,
    }
}
