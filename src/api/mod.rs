//! The input and output of the decision module.
//!
//! These types hold data only; all decisions are made in the `scheduler` module. They are
//! re-exported at the crate root.

mod action;
mod event;
mod ids;
mod node;
mod outcome;
mod request;
mod resources;
mod settings;

pub use action::Action;
pub use event::{Event, TaskReporter};
pub use ids::{Micros, NodeId, RequestId, ServiceId, TaskKey};
pub use node::{ListUpdateKind, LoadReport, NodeEntry, NodeStatus};
pub use outcome::{AttemptOutcome, EndReason, TaskUpdate};
pub use request::PlacementRequest;
pub use resources::{ResourceKind, Resources};
pub use settings::{
    DedupScope, Idempotency, LoadBasis, NodeKind, PlacementAck, Settings, TaskClass, Tenant,
    TopologySpread,
};
