//! What the program's daemons share around their state machines: the clock, the loop that calls a state machine when
//! it wants to be called, and connections that carry bytes both ways within bounds.
//!
//! May use: tokio, the decision module's unit of time. Must not know: any protocol, any state machine.

mod clock;
mod pipe;
mod timer;

pub use clock::Clock;
pub use pipe::{Budget, Closed, Outbox, carry};
pub use timer::Timer;
