//! Request ids, which encode the scheduler and whether the task ends.

/// The bit of a request id that marks a task that never ends.
pub const ENDLESS_TASK_BIT: u64 = 1 << 39;

/// The bit position of the scheduler's number in a request id.
const SCHEDULER_SHIFT: u32 = 40;

/// Returns the id of a request to a scheduler.
pub fn request_id(scheduler: usize, number: u64) -> u64 {
    (scheduler as u64 + 1) << SCHEDULER_SHIFT | number
}

/// Returns the part of a request id that identifies the scheduler.
pub fn scheduler_of(id: u64) -> u64 {
    id >> SCHEDULER_SHIFT
}
