//! Unit and property tests of the platform engine, without sockets and clock.
//!
//! The property tests use random orders of messages, disconnects and timers: `random_inputs` with a scheduler that
//! takes random actions, `random_answers` with the real scheduler, `random_node_reports` with a node that reports as
//! the platform specifies.

mod admission;
mod ambiguity;
mod attempts;
mod broken_connections;
mod cancellation;
mod client_departure;
mod clients;
mod connections;
mod ends;
mod fixtures;
mod handover;
mod handover_limits;
mod harness;
mod node_list;
mod notifications;
mod random_answers;
mod random_inputs;
mod random_node_reports;
mod send_limits;
mod shutdown;
mod timing;
mod untracked_tasks;
