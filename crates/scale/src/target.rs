//! The deployment size that the operators plan for, `bench/scale/target.json`, with assumptions for what it leaves
//! open.
//!
//! JSON keys are those of the stored file; `serde(rename)` maps them where a field has another name in the code.

use crate::error::ReportError;
use crate::row::Sizes;
use serde::{Deserialize, Serialize};

/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// One in this many file descriptors of a scheduler may be used by a client connection.
const DESCRIPTORS_PER_CLIENT_CONNECTION: f64 = 3.0;

/// A quantity that the operators' target leaves open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpenQuantity {
    /// Number of schedulers.
    Schedulers,
    /// Share of the cost of a start's messages that counts as control traffic.
    ControlShare,
    /// Tasks per job.
    #[serde(rename = "tasks_a_job")]
    TasksPerJob,
    /// Seconds that an idle connection stays open.
    #[serde(rename = "connection_life_s")]
    ConnectionLifetimeS,
    /// Cores of a node reserved for control.
    #[serde(rename = "cores_a_machine")]
    CoresPerNode,
    /// Seconds between two list events about one node's free capacity.
    #[serde(rename = "room_period_s")]
    CapacityPeriodS,
    /// Nodes per rack or switch.
    #[serde(rename = "machines_a_rack")]
    NodesPerRack,
    /// File descriptor limit of a scheduler.
    Descriptors,
    /// Task classes.
    Classes,
}

impl OpenQuantity {
    /// All quantities, in the order of the page.
    pub const ALL: [OpenQuantity; 9] = [
        OpenQuantity::Schedulers,
        OpenQuantity::ControlShare,
        OpenQuantity::TasksPerJob,
        OpenQuantity::ConnectionLifetimeS,
        OpenQuantity::CoresPerNode,
        OpenQuantity::CapacityPeriodS,
        OpenQuantity::NodesPerRack,
        OpenQuantity::Descriptors,
        OpenQuantity::Classes,
    ];

    /// Returns the name in the target file.
    pub fn name(self) -> &'static str {
        match self {
            OpenQuantity::Schedulers => "schedulers",
            OpenQuantity::ControlShare => "control_share",
            OpenQuantity::TasksPerJob => "tasks_a_job",
            OpenQuantity::ConnectionLifetimeS => "connection_life_s",
            OpenQuantity::CoresPerNode => "cores_a_machine",
            OpenQuantity::CapacityPeriodS => "room_period_s",
            OpenQuantity::NodesPerRack => "machines_a_rack",
            OpenQuantity::Descriptors => "descriptors",
            OpenQuantity::Classes => "classes",
        }
    }
}

/// An assumed value for a quantity that the target leaves open.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// The quantity.
    #[serde(rename = "name")]
    pub quantity: OpenQuantity,
    /// The assumed value.
    #[serde(rename = "taken")]
    pub value: f64,
    /// The open question to the operators.
    pub question: String,
    /// The reason for this value.
    #[serde(rename = "why")]
    pub rationale: String,
}

/// The size, load and budgets of the deployment that the operators plan for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Nodes that run tasks.
    #[serde(rename = "machines")]
    pub nodes: f64,
    /// Accelerators in these nodes.
    pub accelerators: f64,
    /// Jobs per day.
    #[serde(rename = "jobs_a_day")]
    pub jobs_per_day: f64,
    /// Task starts per second at peak.
    #[serde(rename = "starts_a_second")]
    pub starts_per_second: f64,
    /// Running tasks.
    #[serde(rename = "standing")]
    pub running_tasks: f64,
    /// Tasks of the largest gang (tasks that start together).
    pub gang: f64,
    /// Teams with quotas.
    pub tenants: f64,
    /// Seconds within which urgent work starts.
    pub urgent_start_s: f64,
    /// Regions.
    pub regions: f64,
    /// Zones.
    pub zones: f64,
    /// Configuration changes per day.
    #[serde(rename = "configuration_changes_a_day")]
    pub configuration_changes_per_day: f64,
    /// Seconds within which a configuration change takes effect everywhere.
    pub in_force_s: f64,
    /// CPU budget of a scheduler, in cores.
    pub core_share: f64,
    /// Memory budget of a scheduler, in bytes.
    pub memory_bytes: f64,
    /// Bandwidth budget of a scheduler, in bytes per second.
    #[serde(rename = "bytes_a_second")]
    pub bytes_per_second: f64,
    /// Nodes reserved for control.
    #[serde(rename = "set_aside")]
    pub control_nodes: f64,
    /// Nodes that fail on an ordinary day.
    #[serde(rename = "failures_a_day")]
    pub failures_per_day: f64,
    /// Nodes restarted or replaced per day.
    #[serde(rename = "replacements_a_day")]
    pub replacements_per_day: f64,
    /// Assumed values for what the target leaves open.
    pub assumptions: Vec<Assumption>,
}

impl Target {
    /// Parses a target and checks that each assumption occurs exactly once and that each figure is above zero.
    ///
    /// # Errors
    /// [`ReportError`] that names the missing or invalid value.
    pub fn parse(text: &str) -> Result<Target, ReportError> {
        let target: Target = serde_json::from_str(text).map_err(ReportError::Target)?;
        for quantity in OpenQuantity::ALL {
            let found = target
                .assumptions
                .iter()
                .filter(|a| a.quantity == quantity)
                .count();
            if found != 1 {
                let quantity = quantity.name().to_owned();
                return Err(ReportError::AssumptionCount { quantity, found });
            }
        }
        for (key, value) in target.figures()? {
            if !value.is_finite() || value <= 0.0 {
                return Err(ReportError::TargetFigure { key, value });
            }
        }
        if target.assumed(OpenQuantity::ControlShare) > 1.0 {
            return Err(ReportError::ControlShare);
        }
        Ok(target)
    }

    /// Returns each figure by its key in the target file, including assumptions.
    ///
    /// # Errors
    /// [`ReportError::Target`] if the target cannot be converted to JSON.
    pub fn figures(&self) -> Result<Vec<(String, f64)>, ReportError> {
        let json = serde_json::to_value(self).map_err(ReportError::Target)?;
        let members = json.as_object().into_iter().flatten();
        let mut figures: Vec<(String, f64)> = members
            .filter_map(|(key, value)| Some((key.clone(), value.as_f64()?)))
            .collect();
        for assumption in &self.assumptions {
            figures.push((assumption.quantity.name().to_owned(), assumption.value));
        }
        Ok(figures)
    }

    /// Returns the assumed value of a quantity; NaN if there is no assumption of it.
    pub fn assumed(&self, quantity: OpenQuantity) -> f64 {
        let assumption = self.assumptions.iter().find(|a| a.quantity == quantity);
        assumption.map_or(f64::NAN, |a| a.value)
    }

    /// Returns the target with another assumed value for one quantity.
    pub fn with_assumed(&self, quantity: OpenQuantity, value: f64) -> Target {
        let mut other = self.clone();
        for assumption in other
            .assumptions
            .iter_mut()
            .filter(|a| a.quantity == quantity)
        {
            assumption.value = value;
        }
        other
    }

    /// Returns the target for a fleet `factor` times as large: every count and event rate, including the number of
    /// schedulers, is multiplied. Budgets and times stay.
    pub fn scaled(&self, factor: f64) -> Target {
        let schedulers = (self.assumed(OpenQuantity::Schedulers) * factor)
            .round()
            .max(1.0);
        let mut other = self.with_assumed(OpenQuantity::Schedulers, schedulers);
        let counts = [
            &mut other.nodes,
            &mut other.accelerators,
            &mut other.jobs_per_day,
            &mut other.starts_per_second,
            &mut other.running_tasks,
            &mut other.tenants,
            &mut other.configuration_changes_per_day,
            &mut other.control_nodes,
            &mut other.failures_per_day,
            &mut other.replacements_per_day,
        ];
        counts.into_iter().for_each(|count| *count *= factor);
        other
    }

    /// Returns the number of processes of a role.
    pub fn processes(&self, role: &str) -> f64 {
        match role {
            "machine" => self.nodes,
            "discovery" => 1.0,
            "client" => self.tenants,
            _ => self.assumed(OpenQuantity::Schedulers),
        }
    }

    /// Returns the origin of the number of [`Target::processes`], as shown on the page.
    pub fn processes_origin(role: &str) -> &'static str {
        match role {
            "machine" => "the target's machines",
            "discovery" => "one list for all; how many share its load is not decided",
            "client" => "one for each team",
            _ => "assumed: schedulers",
        }
    }

    /// Returns the sizes for one scheduler: its share of running tasks and starts, and client connections up to a third
    /// of its file descriptors.
    pub fn sizes(&self) -> Sizes {
        let count = |value: f64| value.round().max(1.0) as u64;
        let schedulers = self.assumed(OpenQuantity::Schedulers);
        Sizes {
            nodes: count(self.nodes),
            schedulers: count(schedulers),
            running_tasks: count(self.running_tasks / schedulers),
            starts_per_second: count(self.starts_per_second / schedulers),
            tenants: count(self.tenants),
            classes: count(self.assumed(OpenQuantity::Classes)),
            changes_per_second: count(self.list_changes() + self.configuration_changes()),
            connections: count(
                self.assumed(OpenQuantity::Descriptors) / DESCRIPTORS_PER_CLIENT_CONNECTION,
            ),
        }
    }

    /// Returns the starts per second, averaged over a day.
    pub fn mean_starts(&self) -> f64 {
        self.jobs_per_day * self.assumed(OpenQuantity::TasksPerJob) / SECONDS_PER_DAY
    }

    /// Returns the node list changes per second, averaged over a day. A node that fails or is replaced causes two
    /// changes: its removal and its return to the list.
    pub fn list_changes(&self) -> f64 {
        2.0 * (self.failures_per_day + self.replacements_per_day) / SECONDS_PER_DAY
    }

    /// Returns the list events about the free capacity of nodes per second.
    pub fn capacity_changes(&self) -> f64 {
        self.nodes / self.assumed(OpenQuantity::CapacityPeriodS)
    }

    /// Returns the configuration changes per second, averaged over a day.
    pub fn configuration_changes(&self) -> f64 {
        self.configuration_changes_per_day / SECONDS_PER_DAY
    }

    /// Returns the open connections at peak between one process of a role and nodes or schedulers.
    ///
    /// A scheduler that selects uniformly from its node subset has one open connection to each node that it sent a
    /// start to within the lifetime of an idle connection.
    pub fn connections(&self, role: &str) -> f64 {
        let schedulers = self.assumed(OpenQuantity::Schedulers);
        let subset = self.nodes.min(peppercove_fleet::TARGET_SUBSET_SIZE as f64);
        let lifetime = self.assumed(OpenQuantity::ConnectionLifetimeS);
        let starts_per_node = self.starts_per_second / schedulers * lifetime / subset;
        let open = subset * (1.0 - (-starts_per_node).exp());
        match role {
            "machine" => schedulers * open / self.nodes,
            "discovery" => schedulers,
            "client" => 1.0,
            _ => open,
        }
    }
}
