//! The users' platform without I/O: the protocol, the configuration and the state of a controller that runs there.
//!
//! [`wire`] is the message codec, [`config`] parses the controller's configuration, [`endpoint_watch`] decodes the
//! lines of the journal service, and [`PlatformEngine`] is the state machine between them and the scheduler (the
//! decision module). The engine numbers attempts, tracks timeouts and deadlines, and ensures that each dispatch ends
//! exactly once and each request is answered exactly once. It takes the current time and an input, and returns outputs.
//!
//! Dependencies: the scheduler, and `Decide`, `RequestState`, `Timers` and `Backoff` of the core. This crate must
//! not use sockets, clocks, files or signals, and makes no scheduling decisions of its own.

pub mod config;
pub mod endpoint_watch;
mod engine;
pub mod wire;

pub use engine::{
    Bounds, ClientId, Counters, Disconnect, Input, NodeConnectionId, Output, PlatformEngine,
};
