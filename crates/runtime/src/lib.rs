//! What the program's daemons share around their state machines: the clock, the loop that calls a state machine when
//! it wants to be called, and connections that carry bytes both ways within limits.
//!
//! May use: tokio, and the decision module's unit of time. Must not know: any protocol, any state machine.

mod clock;
mod connection;
mod timer;

pub use clock::Clock;
pub use connection::{CloseReason, SendBudget, SendBuffer, drive};
pub use timer::Timer;
