//! The wire protocols: frames between controller, nodes and node list, and the JSON-RPC for clients.
//!
//! This crate defines message layouts and size limits. It opens no sockets, keeps no scheduling state and makes no
//! decisions, so that the audit can share it with the controller without sharing any other code.
//!
//! Connections to nodes and to the node list carry length-delimited frames ([`codec`]): a length of four bytes in
//! big-endian order, then one message in the postcard encoding. The first message in each direction is a handshake with
//! the protocol version. Clients use JSON-RPC 2.0 with one object per line ([`rpc`]); the methods are named after
//! DRMAA 1.0.

pub mod codec;
pub mod drmaa;
pub mod list;
pub mod native;
pub mod node;
pub mod rpc;

/// Version of the frame protocols. Both ends must use the same version.
pub const VERSION: u16 = 2;
