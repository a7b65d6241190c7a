//! The users' platform without I/O: what a real controller reads, writes and must remember there.
//!
//! [`wire`] is the codec of the messages, [`config`] the controller's configuration, [`endpoint_watch`] the lines of the
//! journal service, and [`PlatformEngine`] the state machine between them and the decision module. It numbers attempts,
//! keeps time-outs and deadlines, and gives each dispatch one end and each request one answer. Time and inputs come in,
//! outputs go out.
//!
//! May use: the decision module, and the core's `Decide`, `RequestState`, `Timers` and `Backoff`. Must not know: sockets,
//! clocks, files, signals. Adds no verdict of its own to the module's.

pub mod config;
pub mod endpoint_watch;
mod engine;
pub mod wire;

pub use engine::{
    Bounds, ClientId, Counters, Disconnect, Input, NodeConnectionId, Output, PlatformEngine,
};
