//! Decides when work other than placement may run: pushing, storing, reporting, migrating.
//!
//! The scheduler has no clock and no threads: [`BackgroundScheduler::handle`] takes an event with its time and returns
//! actions.
//!
//! Work comes in classes with a priority, budgets and a bounded queue. An item of work is started when its class has a
//! free slot and budget, and when the processor time that all background work may take allows it. That time is a share
//! of each second that follows the latency of placement: [`Settings::calm_share`] while placement is calm,
//! [`Settings::pressed_share`] while it is under pressure, and in proportion between the two. Queued items age: each
//! [`Settings::aging_interval`] in the queue counts as one step of priority, so that nothing starves. The pressed share,
//! aging and the bounded queues together bound the wait of the lowest class.
//!
//! May use: nothing but the standard library and a seeded generator. Must not know: what the work is.

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
