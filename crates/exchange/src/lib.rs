//! What passes between the core and the frames of nodes, node list and clients, without I/O.
//!
//! The daemon puts sockets around these, the kernel of simulated time a model of a network: both turn the same frames
//! into the same inputs and the same outputs into the same frames, so that a day in the kernel is a day of the program.
//!
//! May use: the core's inputs and outputs, the frames, the settings. Must not know: sockets, tasks, clocks, files.

mod greeting;
mod listing;
mod nodes;

pub use greeting::{Handshake, HandshakeError, HandshakeProgress};
pub use listing::node_list_input;
pub use nodes::{
    DecodedMessage, core_limits, decode_message, encode_output, request_id_of, submission_of,
    work_of,
};
pub use peppercove_core::Backoff;
