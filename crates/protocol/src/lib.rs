//! The wire protocols: frames between controller, nodes and node list, and the JSON-RPC of submission.
//!
//! This package knows layouts and limits. It opens no socket, keeps no state of a scheduler and decides nothing,
//! so that the audit can share it with the controller without sharing anything else.
//!
//! Connections to nodes and to the node list carry length-delimited frames ([`codec`]): four bytes of length, big
//! endian, then one message in the postcard encoding. The first message each way is a handshake with a version.
//! Clients speak JSON-RPC 2.0, one object a line ([`rpc`]), whose methods carry the names of DRMAA 1.0.

pub mod codec;
pub mod drmaa;
pub mod list;
pub mod native;
pub mod node;
pub mod rpc;

/// Version of the frames; both ends must use the same one.
pub const VERSION: u16 = 2;
