//! peppercove decides on which node of a cluster each long-lived task runs.
//!
//! A [`Scheduler`] makes all placement decisions of one scheduler instance. Its input is a sequence
//! of timestamped [`Event`]s: placement requests, responses from nodes, node list updates and
//! timers. Its output is a list of [`Action`]s. It performs no I/O, reads no clock and shares no
//! state with other schedulers.
//!
//! ```
//! use peppercove::{Action, Event, ListUpdateKind, NodeEntry, NodeId, NodeStatus};
//! use peppercove::{PlacementRequest, RequestId, Scheduler, ServiceId, Settings, TaskKey};
//!
//! let mut scheduler = Scheduler::new(Settings::sample(), 42);
//! let node = NodeEntry {
//!     node: NodeId(7),
//!     state: NodeStatus::Ready,
//!     rack: 1,
//!     free_cores: Some(16.0),
//!     free_memory: Some(32.0),
//!     ..NodeEntry::default()
//! };
//! let task = PlacementRequest {
//!     id: RequestId(1),
//!     task: TaskKey(9),
//!     service: ServiceId(3),
//!     class: 0,
//!     tenant: 0,
//!     cores: 1.0,
//!     memory: 2.0,
//!     deadline_in: 5_000_000,
//!     expected_duration: None,
//!     is_retry: false,
//! };
//! let list = Event::NodeList { kind: ListUpdateKind::Full, version: 1, entries: vec![node] };
//! let actions = scheduler.handle(1_000, &[list, Event::Place(task)]);
//! assert!(actions.iter().any(|a| matches!(a, Action::Dispatch { node: NodeId(7), .. })));
//! ```
#![forbid(unsafe_code)]

pub mod adapter_protocol;
mod api;
mod scheduler;

pub use api::*;
pub use scheduler::{Scheduler, preferred_node_rank};

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct ReadmeExamples;
