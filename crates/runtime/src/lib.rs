//! Runtime shared by the daemons: the clock, the loop that calls a state machine when its next timer is due, and
//! byte-stream connections with bounded send buffers.
//!
//! Dependencies: tokio, and the unit of time of the scheduler (the decision module). This crate must not depend on any
//! protocol or state machine.

mod clock;
mod connection;
mod timer;

pub use clock::Clock;
pub use connection::{CloseReason, ReceiveBudget, SendBudget, SendBuffer, drive};
pub use timer::Timer;
