//! Ids of requests, which name the scheduler and say whether the task ends.

/// The bit of a request's id that marks a task which does not end.
pub const LASTING_TASK: u64 = 1 << 39;

/// The number of bits below the scheduler's number in a request's id.
const SCHEDULER_SHIFT: u32 = 40;

/// The id of a request to a scheduler.
pub fn request_id(scheduler: usize, number: u64) -> u64 {
    (scheduler as u64 + 1) << SCHEDULER_SHIFT | number
}

/// The part of a request's id that tells the scheduler.
pub fn scheduler_of(id: u64) -> u64 {
    id >> SCHEDULER_SHIFT
}
