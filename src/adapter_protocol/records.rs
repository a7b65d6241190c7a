//! Binary layouts of the event records.

use super::ProtocolError;
use super::cursor::Cursor;
use crate::api::{
    AttemptOutcome, EndReason, Event, LoadReport, Micros, NodeEntry, NodeStatus, PlacementRequest,
    RequestId, ServiceId, TaskKey, TaskReporter, TaskUpdate,
};

/// The parts of an instance's settings that describe its records: the fields that records contain,
/// and the names to which their indices refer.
#[derive(Clone, Debug, Default)]
pub struct RecordSchema {
    /// Names of the values in a load report, in order.
    pub load_fields: Vec<String>,
    /// Whether node list entries state the capacity that no task requested.
    pub has_free_capacity: bool,
    /// Class names, by index.
    pub classes: Vec<String>,
    /// Node kind names, by index.
    pub kinds: Vec<String>,
    /// Zone names, by index.
    pub zones: Vec<String>,
    /// Time after which a connection that is not established counts as unreachable; 0 if unknown.
    pub dial_timeout: Micros,
}

/// Sets one value of a load report by field name. Unknown names are ignored; a value that is not
/// finite becomes `None`.
pub fn set_load_value(load: &mut LoadReport, field: &str, value: f64) {
    let value = Some(value).filter(|value| value.is_finite());
    match field {
        "x0" => load.free_cores = value,
        "x1" => load.free_memory = value,
        "cpu" | "util" => load.cpu_utilization = value,
        "waiting" | "queue" => load.queue_depth = value,
        _ => {}
    }
}

/// Task flags.
mod task_flags {
    /// The record states the expected duration.
    pub const HAS_EXPECTED_DURATION: u8 = 1;
    /// The task was requested before, as indicated by either of two bits.
    pub const IS_RETRY: u8 = 2 | 16;
}

/// Status codes of an ended attempt or a probe, modelled on those of HTTP.
mod status {
    pub const COMPLETED: u16 = 200;
    pub const TIMED_OUT: u16 = 408;
    pub const NOT_SENT: u16 = 409;
    pub const REJECTED: u16 = 429;
    pub const CANCELLED: u16 = 444;
    pub const LOST: u16 = 520;
    pub const UNREACHABLE: u16 = 521;
}

fn attempt_outcome(code: u16) -> AttemptOutcome {
    match code {
        status::COMPLETED => AttemptOutcome::Completed,
        status::REJECTED => AttemptOutcome::Rejected,
        status::TIMED_OUT => AttemptOutcome::TimedOut,
        status::UNREACHABLE => AttemptOutcome::Unreachable,
        status::LOST => AttemptOutcome::Lost,
        status::CANCELLED => AttemptOutcome::Cancelled,
        status::NOT_SENT => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Error,
    }
}

fn end_reason(code: u8) -> EndReason {
    match code {
        1 => EndReason::InsufficientCores,
        2 => EndReason::InsufficientMemory,
        3 => EndReason::QueueFull,
        4 => EndReason::Ineligible,
        5 => EndReason::Evicted,
        6 => EndReason::Preempted,
        7 => EndReason::Drained,
        _ => EndReason::Unknown,
    }
}

/// Returns `None` for an unknown topic.
fn task_update(topic: u8, value: f64) -> Option<TaskUpdate> {
    match topic {
        1 => Some(TaskUpdate::Running),
        2 => Some(TaskUpdate::CoresUsed(value)),
        3 => Some(TaskUpdate::MemoryUsed(value)),
        4 => Some(TaskUpdate::ServedShare(value)),
        5 => Some(TaskUpdate::NodeMemoryShare(value)),
        _ => None,
    }
}

fn node_status(code: u8) -> NodeStatus {
    match code {
        1 => NodeStatus::Ready,
        2 => NodeStatus::Draining,
        _ => NodeStatus::Gone,
    }
}

fn load_report(
    cursor: &mut Cursor<'_>,
    schema: &RecordSchema,
) -> Result<Option<LoadReport>, ProtocolError> {
    let count = cursor.u8()?;
    let mut load = LoadReport::default();
    for index in 0..usize::from(count) {
        let value = cursor.f32()?;
        let field = schema.load_fields.get(index).map_or("", String::as_str);
        set_load_value(&mut load, field, value);
    }
    Ok((count > 0).then_some(load))
}

pub(super) fn node_entry(cursor: &mut Cursor<'_>) -> Result<NodeEntry, ProtocolError> {
    let free_cores = cursor.f32()?;
    let node = cursor.node()?;
    let _size = cursor.f32()?;
    let rack = cursor.u16()?;
    let zone = cursor.u8()?;
    let started_at = cursor.u64()?;
    let state = node_status(cursor.u8()?);
    let kind = cursor.u8()?;
    let free_memory = cursor.f32()?;
    Ok(NodeEntry {
        node,
        state,
        kind,
        rack,
        zone,
        started_at,
        // Over this protocol all schedulers receive the same start time, so it also identifies the
        // incarnation.
        incarnation: started_at,
        free_cores: Some(free_cores),
        free_memory: Some(free_memory),
        slow_start_share: None,
    })
}

pub(super) fn place(cursor: &mut Cursor<'_>) -> Result<Event, ProtocolError> {
    let id = RequestId(cursor.u64()?);
    let class = cursor.u16()?;
    let tenant = cursor.u32()?;
    let task = TaskKey(cursor.u64()?);
    let deadline_in = u64::from(cursor.u32()?);
    let duration = u64::from(cursor.u32()?);
    let service = ServiceId(cursor.u64()?);
    let cores = cursor.f32()?;
    let memory = cursor.f32()?;
    let flags = cursor.u8()?;
    let expected_duration = expected_duration(flags, duration);
    let is_retry = flags & task_flags::IS_RETRY != 0;
    Ok(Event::Place(PlacementRequest {
        id,
        task,
        service,
        class,
        tenant,
        cores,
        memory,
        deadline_in,
        expected_duration,
        is_retry,
    }))
}

pub(super) fn running_task(cursor: &mut Cursor<'_>) -> Result<Event, ProtocolError> {
    let id = RequestId(cursor.u64()?);
    let cores = cursor.f32()?;
    let duration = u64::from(cursor.u32()?);
    let tenant = cursor.u32()?;
    let memory = cursor.f32()?;
    let deadline_in = u64::from(cursor.u32()?);
    let flags = cursor.u8()?;
    let service = ServiceId(cursor.u64()?);
    let task = TaskKey(cursor.u64()?);
    let node = cursor.node()?;
    let class = cursor.u16()?;
    let expected_duration = expected_duration(flags, duration);
    let is_retry = flags & task_flags::IS_RETRY != 0;
    let request = PlacementRequest {
        id,
        task,
        service,
        class,
        tenant,
        cores,
        memory,
        deadline_in,
        expected_duration,
        is_retry,
    };
    Ok(Event::RunningTask {
        request,
        node,
        reported_by: TaskReporter::Node,
    })
}

fn expected_duration(flags: u8, duration: Micros) -> Option<Micros> {
    (flags & task_flags::HAS_EXPECTED_DURATION != 0).then_some(duration)
}

pub(super) fn placed(cursor: &mut Cursor<'_>) -> Result<Event, ProtocolError> {
    let request = RequestId(cursor.u64()?);
    let attempt = cursor.u16()?;
    let node = cursor.node()?;
    let _elapsed = cursor.u32()?;
    Ok(Event::Placed {
        request,
        attempt,
        node,
    })
}

/// Returns `None` for an update on an unknown topic.
pub(super) fn task_updated(cursor: &mut Cursor<'_>) -> Result<Option<Event>, ProtocolError> {
    let request = RequestId(cursor.u64()?);
    let value = cursor.f32()?;
    let topic = cursor.u8()?;
    let node = cursor.node()?;
    let attempt = cursor.u16()?;
    let update = task_update(topic, value);
    Ok(update.map(|update| Event::TaskUpdated {
        request,
        attempt,
        node,
        update,
    }))
}

pub(super) fn attempt_ended(
    cursor: &mut Cursor<'_>,
    schema: &RecordSchema,
) -> Result<Event, ProtocolError> {
    let request = RequestId(cursor.u64()?);
    let attempt = cursor.u16()?;
    let node = cursor.node()?;
    let outcome = attempt_outcome(cursor.u16()?);
    let _elapsed = cursor.u32()?;
    let is_final = cursor.u8()? != 0;
    let reason = end_reason(cursor.u8()?);
    let load = load_report(cursor, schema)?;
    Ok(Event::AttemptEnded {
        request,
        attempt,
        node,
        outcome,
        reason,
        is_final,
        load,
    })
}

pub(super) fn probed(
    cursor: &mut Cursor<'_>,
    schema: &RecordSchema,
) -> Result<Event, ProtocolError> {
    let answered = cursor.u16()? == status::COMPLETED;
    let _elapsed = cursor.u32()?;
    let node = cursor.node()?;
    Ok(Event::Probed {
        node,
        answered,
        load: load_report(cursor, schema)?,
    })
}

pub(super) fn peer_message(cursor: &mut Cursor<'_>) -> Result<Event, ProtocolError> {
    let from = cursor.u32()?;
    let length = usize::from(cursor.u16()?);
    Ok(Event::Peer {
        from,
        message: cursor.take(length)?.to_vec(),
    })
}
