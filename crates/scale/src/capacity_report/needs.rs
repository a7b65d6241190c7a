//! The needs of one process of each role, and the requirements of the target: `bench/scale/needs.json`.
//!
//! JSON keys and values are those of the stored file; `serde(rename)` maps them where a name in the code differs.

use crate::error::ReportError;
use crate::row::Axis;
use crate::target::{OpenQuantity, Target};
use peppercove_platform::endpoint_watch::max_line_bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How often the figure of a measure occurs for one process of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Multiplier {
    /// Once: the measure is a state or already a rate.
    Once,
    /// For each start that one process handles, at the peak rate.
    Starts,
    /// For each start that one process handles, at the mean rate of a day.
    MeanStarts,
    /// For each node that the list adds or removes.
    ListChanges,
    /// For each full list, as if one arrived whenever the free capacity of all nodes has been listed again.
    #[serde(rename = "whole_lists")]
    FullLists,
    /// For each configuration change.
    ConfigurationChanges,
    /// For each start of one scheduler within the lifetime of an idle connection, at the peak rate.
    #[serde(rename = "starts_in_a_life")]
    StartsPerConnectionLifetime,
    /// For each running task of one scheduler, which is the upper bound of the connections kept open for them.
    #[serde(rename = "standing")]
    RunningTasks,
    /// For each open connection between a scheduler and a node.
    Connections,
    /// For each scheduler.
    Schedulers,
}

impl Multiplier {
    /// Returns the number for one process of a role, per second or in total.
    pub fn value(self, target: &Target, role: &str) -> f64 {
        match self {
            Multiplier::Once => 1.0,
            Multiplier::Starts => target.starts_per_second / target.processes(role),
            Multiplier::MeanStarts => target.mean_starts() / target.processes(role),
            Multiplier::ListChanges => target.list_changes(),
            Multiplier::FullLists => 1.0 / target.assumed(OpenQuantity::CapacityPeriodS),
            Multiplier::ConfigurationChanges => target.configuration_changes(),
            Multiplier::StartsPerConnectionLifetime => {
                let each = target.starts_per_second / target.assumed(OpenQuantity::Schedulers);
                each * target.assumed(OpenQuantity::ConnectionLifetimeS)
            }
            Multiplier::RunningTasks => {
                target.running_tasks / target.assumed(OpenQuantity::Schedulers)
            }
            Multiplier::Connections => target.connections(role),
            Multiplier::Schedulers => target.assumed(OpenQuantity::Schedulers),
        }
    }

    /// Returns the description on the page.
    pub fn description(self) -> &'static str {
        match self {
            Multiplier::Once => "once",
            Multiplier::Starts => "starts/s at the peak",
            Multiplier::MeanStarts => "starts/s of a day's mean",
            Multiplier::ListChanges => "machines gone or come a second",
            Multiplier::FullLists => "whole lists a second",
            Multiplier::ConfigurationChanges => "changes a second",
            Multiplier::StartsPerConnectionLifetime => "starts in the life of a connection",
            Multiplier::RunningTasks => "connections with a standing task",
            Multiplier::Connections => "connections",
            Multiplier::Schedulers => "schedulers",
        }
    }
}

/// The budget that a need is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Budget {
    /// A scheduler's share of a core.
    Core,
    /// A scheduler's memory.
    Memory,
    /// A scheduler's bytes per second.
    #[serde(rename = "bytes")]
    Bandwidth,
    /// A scheduler's file descriptors.
    Descriptors,
    /// The maximum accepted line length of the endpoint list.
    #[serde(rename = "line")]
    ListLine,
    /// The maximum accepted frame length of the node list.
    #[serde(rename = "frame")]
    ListFrame,
    /// Time until a configuration change takes effect.
    InForce,
    /// Time until urgent work starts.
    UrgentStart,
    /// The target sets no budget: the need is shown but not ranked.
    None,
}

/// The limit of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimit {
    /// The limit, in [`BudgetLimit::unit`].
    pub value: f64,
    /// The unit used on the page.
    pub unit: &'static str,
}

impl Budget {
    /// Returns the limit that the target sets; `None` for [`Budget::None`].
    pub fn limit(self, target: &Target) -> Option<BudgetLimit> {
        let (value, unit) = match self {
            Budget::Core => (target.core_share, "cores"),
            Budget::Memory => (target.memory_bytes, "bytes"),
            Budget::Bandwidth => (target.bytes_per_second, "bytes/s"),
            Budget::Descriptors => (target.assumed(OpenQuantity::Descriptors), "count"),
            Budget::ListLine => (
                max_line_bytes((target.memory_bytes / 1e6) as u64) as f64,
                "bytes",
            ),
            Budget::ListFrame => (
                peppercove_protocol::codec::MAX_LIST_FRAME_BYTES as f64,
                "bytes",
            ),
            Budget::InForce => (target.in_force_s, "s"),
            Budget::UrgentStart => (target.urgent_start_s, "s"),
            Budget::None => return None,
        };
        Some(BudgetLimit { value, unit })
    }

    /// Returns the base unit (`s`, `bytes` or `count`) of a figure that can be compared with this budget.
    pub fn base_unit(self) -> &'static str {
        match self {
            Budget::Core | Budget::InForce | Budget::UrgentStart => "s",
            Budget::Descriptors => "count",
            Budget::Memory
            | Budget::Bandwidth
            | Budget::ListLine
            | Budget::ListFrame
            | Budget::None => "bytes",
        }
    }

    /// Returns the description on the page.
    pub fn description(self) -> &'static str {
        match self {
            Budget::Core => "processor time",
            Budget::Memory => "memory",
            Budget::Bandwidth => "bytes a second",
            Budget::Descriptors => "descriptors",
            Budget::ListLine => "the feed's longest line",
            Budget::ListFrame => "the list's longest frame",
            Budget::InForce => "time to be in force",
            Budget::UrgentStart => "start of urgent work",
            Budget::None => "none named",
        }
    }
}

/// A resource that a process of a role needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Need {
    /// The name shown on the page.
    pub name: String,
    /// The role.
    pub role: String,
    /// Alternative measures of the need; the first that has rows is used.
    pub measures: Vec<String>,
    /// Further measures that are added. If one of them has no rows, the need counts as not measured.
    #[serde(default, rename = "plus")]
    pub added_measures: Vec<String>,
    /// How often the measured cost occurs.
    #[serde(rename = "times")]
    pub multiplier: Multiplier,
    /// The budget that the need is compared with.
    pub budget: Budget,
    /// Whether the need is the traffic of a start's messages, of which only the assumed share counts as control
    /// traffic.
    #[serde(default, rename = "carries")]
    pub is_start_traffic: bool,
    /// The name of the mechanism that serves the need today; `missing` if there is none.
    pub mechanism: String,
    /// The code of that mechanism, as `file: name`; empty if it is missing.
    #[serde(default, rename = "place")]
    pub code_location: String,
    /// What would reduce the need.
    #[serde(default, rename = "next")]
    pub next_step: String,
}

/// A requirement of the target, and what serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// The requirement, as a template that can use the target's figures.
    #[serde(rename = "line")]
    pub text: String,
    /// What serves it.
    #[serde(rename = "carried")]
    pub served_by: String,
    /// Names of the needs that show how well it is served.
    #[serde(default)]
    pub needs: Vec<String>,
    /// What is missing, with the roadmap entry or issue.
    pub missing: String,
}

/// A mechanism that does not exist yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingMechanism {
    /// The name of the mechanism.
    #[serde(rename = "what")]
    pub name: String,
    /// The demand for it, as a template that can use the target's figures.
    pub demand: String,
    /// What happens today instead.
    pub today: String,
    /// The roadmap entry or issue.
    #[serde(rename = "next")]
    pub next_step: String,
}

/// The code that causes an exponent over 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuperlinearCode {
    /// The role.
    pub role: String,
    /// The measure.
    pub measure: String,
    /// The axis.
    pub axis: Axis,
    /// The code, as `file: name`, and what it does.
    #[serde(rename = "line")]
    pub code_location: String,
}

/// Measures of real processes, and measures of a hollow role that should have the same sum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Comparison {
    /// The role that runs as processes.
    pub real_role: String,
    /// The measures of that role.
    #[serde(rename = "real")]
    pub real_measures: Vec<String>,
    /// The hollow role.
    pub hollow_role: String,
    /// The measures of the hollow role.
    #[serde(rename = "hollow")]
    pub hollow_measures: Vec<String>,
}

/// Names of the needs whose measures give the cost of the events that a fault causes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventCosts {
    /// CPU time of a start.
    pub start: String,
    /// CPU time of adding or removing one node of the list.
    pub change_time: String,
    /// Bytes of adding or removing one node of the list.
    pub change_bytes: String,
    /// CPU time of a full list.
    #[serde(rename = "whole_time")]
    pub full_list_time: String,
    /// Bytes of a full list.
    #[serde(rename = "whole_bytes")]
    pub full_list_bytes: String,
}

impl EventCosts {
    fn names(&self) -> [&String; 5] {
        let EventCosts {
            start,
            change_time,
            change_bytes,
            full_list_time,
            full_list_bytes,
        } = self;
        [
            start,
            change_time,
            change_bytes,
            full_list_time,
            full_list_bytes,
        ]
    }
}

/// The contents of `bench/scale/needs.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Needs {
    /// The needs of the roles.
    pub needs: Vec<Need>,
    /// The requirements of the target.
    #[serde(rename = "lines")]
    pub requirements: Vec<Requirement>,
    /// Mechanisms that do not exist yet.
    #[serde(rename = "absent")]
    pub missing: Vec<MissingMechanism>,
    /// The needs that give the costs of a fault's events.
    #[serde(rename = "prices")]
    pub event_costs: EventCosts,
    /// Code that causes exponents over 1.
    #[serde(rename = "steep")]
    pub superlinear: Vec<SuperlinearCode>,
    /// Measures that exist for both hollow roles and real processes.
    #[serde(rename = "pairs")]
    pub comparisons: Vec<Comparison>,
}

impl Needs {
    /// Parses the needs and checks that their names are unique and that every referenced need exists.
    ///
    /// # Errors
    /// [`ReportError`] that names the missing or duplicate need.
    pub fn parse(text: &str) -> Result<Needs, ReportError> {
        let needs: Needs = serde_json::from_str(text).map_err(ReportError::Needs)?;
        let mut names = BTreeSet::new();
        for need in &needs.needs {
            if !names.insert(need.name.as_str()) {
                return Err(ReportError::DuplicateNeed(need.name.clone()));
            }
        }
        let shown = needs.requirements.iter().flat_map(|r| &r.needs);
        for name in shown.chain(needs.event_costs.names()) {
            if !names.contains(name.as_str()) {
                return Err(ReportError::UnknownNeed(name.clone()));
            }
        }
        Ok(needs)
    }

    /// Returns the roles that have needs, in the order of the file.
    pub fn roles(&self) -> Vec<&str> {
        let mut seen = BTreeSet::new();
        self.needs
            .iter()
            .map(|n| n.role.as_str())
            .filter(|role| seen.insert(*role))
            .collect()
    }
}
