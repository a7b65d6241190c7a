//! Placement requests.

use super::{Micros, RequestId, Resources, ServiceId, Settings, TaskKey};
use serde::{Deserialize, Serialize};

/// A request to place one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Identifier of the request.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// The task to place.
    pub task: TaskKey,
    /// Service of the task.
    pub service: ServiceId,
    /// Index of the class of the task in [`Settings::classes`].
    pub class: u16,
    /// Index of the tenant of the task in [`Settings::tenants`].
    pub tenant: u32,
    /// Requested number of cores.
    pub cores: f64,
    /// Requested amount of memory.
    pub memory: f64,
    /// Time from the arrival of the request until its client gives up.
    pub deadline_in: Micros,
    /// Expected remaining run time, if known.
    #[serde(rename = "life_hint")]
    pub expected_duration: Option<Micros>,
    /// Whether the task was requested before.
    #[serde(rename = "again")]
    pub is_retry: bool,
}

impl PlacementRequest {
    /// The requested cores and memory.
    pub fn resources(&self) -> Resources {
        Resources::new(self.cores, self.memory)
    }

    /// Whether the class exists and the requested amounts are finite and not negative.
    pub(crate) fn is_valid(&self, settings: &Settings) -> bool {
        let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
        usize::from(self.class) < settings.classes.len()
            && is_amount(self.cores)
            && is_amount(self.memory)
    }
}
