//! Identifiers, and the unit of time.

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in microseconds.
///
/// Points in time are relative to an origin chosen by the caller, which must be the same for all
/// events of one scheduler.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(pub u64);
    };
}

id!(
    /// Identifies a node by its address.
    NodeId
);
id!(
    /// Identifies one request to place a task. Each retry by the client has a new identifier.
    RequestId
);
id!(
    /// Identifies a task. It stays the same when the task is requested again.
    TaskKey
);
id!(
    /// Identifies the service that a task belongs to. All tasks of a service have the same program,
    /// size and class.
    ServiceId
);
