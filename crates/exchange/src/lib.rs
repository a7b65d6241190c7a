//! Translation between the core's inputs and outputs and the frames exchanged with nodes and the node list, without
//! I/O.
//!
//! Both the daemon, which adds sockets, and the simulator, which adds a model of a network, use this crate. They thus
//! translate the same frames to the same inputs and the same outputs to the same frames, and a simulated scenario
//! behaves like the real program.
//!
//! This crate may use the core's inputs and outputs, the frames and the settings. It must not depend on sockets, async
//! tasks, clocks or files.

mod core_limits;
mod handshake;
mod node_list;
mod node_messages;
mod offered_task;

pub use core_limits::core_limits;
pub use handshake::{Handshake, HandshakeError, HandshakeProgress};
pub use node_list::node_list_input;
pub use node_messages::{DecodedMessage, decode_message, encode_output, request_id_of};
pub use offered_task::{offered_task_of, submission_of};
pub use peppercove_core::Backoff;
