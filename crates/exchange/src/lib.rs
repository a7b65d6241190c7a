//! What passes between the core and the frames of nodes, node list and clients, without I/O.
//!
//! The daemon puts sockets around these, the simulation a model of a network: both turn the same frames into the same
//! inputs and the same outputs into the same frames, so that a day in simulated time is a day of the program.
//!
//! May use: the core's inputs and outputs, the frames, the settings. Must not know: sockets, tasks, clocks, files.

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
