//! Requests to place a task.

use super::{Micros, RequestId, Resources, ServiceId, Settings, TaskKey};
use serde::{Deserialize, Serialize};

/// A request to place one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The request.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// The task.
    pub task: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Index of its class in [`Settings::classes`].
    pub class: u16,
    /// Index of its tenant in [`Settings::tenants`].
    pub tenant: u32,
    /// Cores requested.
    pub cores: f64,
    /// Memory requested.
    pub memory: f64,
    /// Time from now until its client gives up.
    pub deadline_in: Micros,
    /// Expected remaining run time.
    #[serde(rename = "life_hint")]
    pub expected_duration: Option<Micros>,
    /// The task was requested before.
    #[serde(rename = "again")]
    pub is_retry: bool,
}

impl PlacementRequest {
    /// Cores and memory requested.
    pub fn resources(&self) -> Resources {
        Resources::new(self.cores, self.memory)
    }

    /// Whether its class exists and its resources are finite and not negative.
    pub(crate) fn is_valid(&self, settings: &Settings) -> bool {
        let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
        usize::from(self.class) < settings.classes.len()
            && is_amount(self.cores)
            && is_amount(self.memory)
    }
}
