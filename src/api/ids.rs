//! Identifiers, and the unit of time.

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in microseconds.
///
/// Points in time count from an origin that the caller chooses; it must be the same for all events
/// of one scheduler.
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
    /// A node, by its address.
    NodeId
);
id!(
    /// One request to place a task. A task that is requested again gets a new one.
    RequestId
);
id!(
    /// A task, the same each time it is requested.
    TaskKey
);
id!(
    /// The service that a task belongs to: one program, one size, one class.
    ServiceId
);
