//! peppercove decides which machine of a cluster each long-lived task is offered to.
//!
//! A [`Scheduler`] is one scheduler's whole decision: it is fed [`Event`]s (tasks to place, answers of
//! machines, changes of the machine list, timers) with the time they happened, and returns [`Action`]s. It
//! does no input or output of its own, reads no clock, and shares nothing with other schedulers.
//!
//! ```
//! use peppercove::{Action, Event, ListUpdateKind, MachineLine, MachineId, NodeStatus, Request, RequestId};
//! use peppercove::{Scheduler, ServiceId, Settings, TaskKey};
//!
//! let settings = Settings::sample();
//! let mut scheduler = Scheduler::new(settings, 42);
//! let machine = MachineLine {
//!     machine: MachineId(7), state: NodeStatus::Ready, kind: 0, rack: 1, zone: 0, started_at: 0, life: 0,
//!     free_cores: Some(16.0), free_memory: Some(32.0), cold_share: None,
//! };
//! let task = Request {
//!     request: RequestId(1), task: TaskKey(9), service: ServiceId(3), class: 0, tenant: 0,
//!     cores: 1.0, memory: 2.0, deadline_in: 5_000_000, life_hint: None, again: false,
//! };
//! let list = Event::MachineList { scope: ListUpdateKind::Full, version: 1, lines: vec![machine] };
//! let actions = scheduler.handle(1_000, &[list, Event::Place(task)]);
//! assert!(actions.iter().any(|a| matches!(a, Action::Bind { machine: MachineId(7), .. })));
//! ```
#![forbid(unsafe_code)]

pub mod adapter_protocol;
mod choice;
mod interface;
mod state;

pub use choice::Scheduler;
pub use interface::*;
pub use state::preferred_node_rank;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct ReadmeExamples;
