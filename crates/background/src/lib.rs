//! Decides when background work, that is all work other than placement, may run: pushing metrics, storing, reporting,
//! migrating.
//!
//! The scheduler has no clock and no threads: [`BackgroundScheduler::handle`] takes an event with its time and returns
//! actions.
//!
//! Each class of work has a priority, budgets and a bounded queue. A work item is started when its class has a free
//! slot and budget left, and the processor time for all background work is not used up. That time is a share of each
//! second that depends on the latency of placement: [`Settings::calm_share`] while placement is calm,
//! [`Settings::pressed_share`] while it is under pressure, and interpolated linearly in between. Queued items age: each
//! [`Settings::aging_interval`] in the queue raises the priority by one, so that no class starves. The pressed share,
//! aging and the bounded queues together limit how long items of the lowest class wait.
//!
//! May use: the standard library and a seeded random number generator. Must not depend on: what the work does.

mod event;
mod pressure;
mod scheduler;
mod settings;
mod status;
mod token_bucket;

pub use event::{Action, EndReason, Event, WorkId};
pub use scheduler::BackgroundScheduler;
pub use settings::{Cost, RetryPolicy, Settings, WorkClass};
pub use status::{ClassStatus, EndCounts};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
