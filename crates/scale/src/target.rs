//! The deployment size that the operators plan for, `bench/scale/target.json`, and the assumptions it needs.
//!
//! JSON keys are those of the stored file; `serde(rename)` says where a field has another name in the code.

use crate::error::ReportError;
use crate::row::Sizes;
use serde::{Deserialize, Serialize};

/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Client connections may hold one descriptor in this many of a scheduler.
const DESCRIPTORS_PER_CLIENT_CONNECTION: f64 = 3.0;

/// A quantity that the operators' target leaves open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpenQuantity {
    /// Schedulers that share the work.
    Schedulers,
    /// Share of the cost of a start's own messages that counts as control traffic.
    ControlShare,
    /// Tasks of a job.
    #[serde(rename = "tasks_a_job")]
    TasksPerJob,
    /// Seconds that an idle connection stays open.
    #[serde(rename = "connection_life_s")]
    ConnectionLifetimeS,
    /// Cores of a node that is set aside for control.
    #[serde(rename = "cores_a_machine")]
    CoresPerNode,
    /// Seconds between two list events on one node's free capacity.
    #[serde(rename = "room_period_s")]
    CapacityPeriodS,
    /// Nodes on one rack or switch.
    #[serde(rename = "machines_a_rack")]
    NodesPerRack,
    /// Descriptors that a scheduler may have.
    Descriptors,
    /// Task classes.
    Classes,
}

impl OpenQuantity {
    /// All of them, in the order of the page.
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

    /// Its name in the target file.
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

/// The value assumed for a quantity that the target leaves open.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// The quantity.
    #[serde(rename = "name")]
    pub quantity: OpenQuantity,
    /// The value assumed.
    #[serde(rename = "taken")]
    pub value: f64,
    /// The question to the operators.
    pub question: String,
    /// Why this value was chosen.
    #[serde(rename = "why")]
    pub rationale: String,
}

/// The operators' target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Nodes that run tasks.
    #[serde(rename = "machines")]
    pub nodes: f64,
    /// Accelerators among them.
    pub accelerators: f64,
    /// Jobs a day.
    #[serde(rename = "jobs_a_day")]
    pub jobs_per_day: f64,
    /// Task starts a second at the peak.
    #[serde(rename = "starts_a_second")]
    pub starts_per_second: f64,
    /// Running tasks.
    #[serde(rename = "standing")]
    pub running_tasks: f64,
    /// Tasks of the largest gang.
    pub gang: f64,
    /// Teams with quotas.
    pub tenants: f64,
    /// Seconds within which urgent work starts.
    pub urgent_start_s: f64,
    /// Regions.
    pub regions: f64,
    /// Zones.
    pub zones: f64,
    /// Configuration changes a day.
    #[serde(rename = "configuration_changes_a_day")]
    pub configuration_changes_per_day: f64,
    /// Seconds within which each of them is in force everywhere.
    pub in_force_s: f64,
    /// Share of a core that a scheduler may use.
    pub core_share: f64,
    /// Memory that a scheduler may hold, bytes.
    pub memory_bytes: f64,
    /// Bytes a second that a scheduler may pass.
    #[serde(rename = "bytes_a_second")]
    pub bytes_per_second: f64,
    /// Nodes set aside for control.
    #[serde(rename = "set_aside")]
    pub control_nodes: f64,
    /// Nodes that fail on an ordinary day.
    #[serde(rename = "failures_a_day")]
    pub failures_per_day: f64,
    /// Nodes restarted or replaced a day.
    #[serde(rename = "replacements_a_day")]
    pub replacements_per_day: f64,
    /// What the target leaves open.
    pub assumptions: Vec<Assumption>,
}

impl Target {
    /// Reads a target and checks that each assumption stands there once and that each figure is above zero.
    ///
    /// # Errors
    /// [`ReportError`] that names what is missing or makes no sense.
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

    /// Each figure by its key in the target file, assumptions among them.
    ///
    /// # Errors
    /// [`ReportError::Target`] where a figure has no JSON form.
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

    /// The value assumed for a quantity; not a number where there is no assumption of it.
    pub fn assumed(&self, quantity: OpenQuantity) -> f64 {
        let assumption = self.assumptions.iter().find(|a| a.quantity == quantity);
        assumption.map_or(f64::NAN, |a| a.value)
    }

    /// The same target with another value assumed for one quantity.
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

    /// A fleet `factor` times as large: everything that counts things or events, schedulers among them, is multiplied.
    /// Budgets and times stay.
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

    /// The number of processes of a role.
    pub fn processes(&self, role: &str) -> f64 {
        match role {
            "machine" => self.nodes,
            "discovery" => 1.0,
            "client" => self.tenants,
            _ => self.assumed(OpenQuantity::Schedulers),
        }
    }

    /// Where [`Target::processes`] takes the number from, as the page says it.
    pub fn processes_origin(role: &str) -> &'static str {
        match role {
            "machine" => "the target's machines",
            "discovery" => "one list for all; how many share its load is not decided",
            "client" => "one for each team",
            _ => "assumed: schedulers",
        }
    }

    /// The sizes that one scheduler meets: its own share of running tasks and starts, and client connections up to a
    /// third of its descriptors.
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

    /// Starts a second, as the mean of a day.
    pub fn mean_starts(&self) -> f64 {
        self.jobs_per_day * self.assumed(OpenQuantity::TasksPerJob) / SECONDS_PER_DAY
    }

    /// Changes of the node list a second, as the mean of a day: each node that goes is removed and listed anew.
    pub fn list_changes(&self) -> f64 {
        2.0 * (self.failures_per_day + self.replacements_per_day) / SECONDS_PER_DAY
    }

    /// List events on the free capacity of nodes a second.
    pub fn capacity_changes(&self) -> f64 {
        self.nodes / self.assumed(OpenQuantity::CapacityPeriodS)
    }

    /// Configuration changes a second, as the mean of a day.
    pub fn configuration_changes(&self) -> f64 {
        self.configuration_changes_per_day / SECONDS_PER_DAY
    }

    /// Open connections at the peak between one process of a role and nodes or schedulers.
    ///
    /// A scheduler that draws evenly from the nodes of its subset has one connection open to each node to which a start
    /// went within the lifetime of an idle connection.
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
