//! The environment of schedulers that run as processes: nodes, a journal service and clients, all on loopback and in
//! one thread of this process. Each counts the bytes that it sends and receives.

pub mod byte_counts;
pub mod clients;
pub mod connection;
pub mod journal_service;
pub mod nodes;
pub mod request_ids;
