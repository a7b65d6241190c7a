//! The platform engine by hand and by property, without sockets and clock.
//!
//! The random tests hold for any order of messages, disconnects and timers: `random_inputs` with a module that does
//! anything at all, `random_answers` with the real one, `random_node_reports` with a node that reports as the platform
//! says.

mod admission;
mod ambiguity;
mod attempts;
mod cancellation;
mod clients;
mod connections;
mod ends;
mod fixtures;
mod handover;
mod harness;
mod node_list;
mod random_answers;
mod random_inputs;
mod random_node_reports;
mod timing;
