//! What one process of a role needs, and what the target asks of the program: `bench/scale/needs.json`.
//!
//! JSON keys and values are those of the stored file; `serde(rename)` says where a name in the code differs.

use crate::error::ReportError;
use crate::row::Axis;
use crate::target::{OpenQuantity, Target};
use peppercove_platform::endpoint_watch::max_line_bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How often the figure of a measure counts for one process of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Multiplier {
    /// Once: the measure is a state, or a rate already.
    Once,
    /// For each start at the peak that falls to one process.
    Starts,
    /// For each start of a day's mean that falls to one process.
    MeanStarts,
    /// For each node that the list adds or removes.
    ListChanges,
    /// For each full list, as if one came whenever the free capacity of all nodes has been listed anew.
    #[serde(rename = "whole_lists")]
    FullLists,
    /// For each change of the configuration.
    ConfigurationChanges,
    /// For each start of one scheduler within the lifetime of an idle connection, at the peak.
    #[serde(rename = "starts_in_a_life")]
    StartsPerConnectionLifetime,
    /// For each running task of one scheduler: the upper bound of connections that are kept open for them.
    #[serde(rename = "standing")]
    RunningTasks,
    /// For each open connection between a scheduler and a node.
    Connections,
    /// For each scheduler.
    Schedulers,
}

impl Multiplier {
    /// The number, a second or at once, for one process of a role.
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

    /// Its description on the page.
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

/// What a need is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Budget {
    /// A scheduler's share of a core.
    Core,
    /// A scheduler's memory.
    Memory,
    /// A scheduler's bytes a second.
    #[serde(rename = "bytes")]
    Bandwidth,
    /// A scheduler's descriptors.
    Descriptors,
    /// The longest line of the endpoint list that is read.
    #[serde(rename = "line")]
    ListLine,
    /// The longest frame of the node list that is read.
    #[serde(rename = "frame")]
    ListFrame,
    /// Time until a change of the configuration is in force.
    InForce,
    /// Time until urgent work starts.
    UrgentStart,
    /// The target names none: the need is shown and not ranked.
    None,
}

/// The size of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimit {
    /// The limit, in [`BudgetLimit::unit`].
    pub value: f64,
    /// The unit in which the page writes it.
    pub unit: &'static str,
}

impl Budget {
    /// The limit that the target sets; `None` for [`Budget::None`].
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

    /// The base unit (`s`, `bytes` or `count`) of a figure that can be compared with this budget.
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

    /// Its description on the page.
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

/// Something that a process of a role needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Need {
    /// Its name, as the page shows it.
    pub name: String,
    /// The role.
    pub role: String,
    /// Measures that give it; the first that has rows counts.
    pub measures: Vec<String>,
    /// Further measures that are added; without rows of each of them the need is not known.
    #[serde(default, rename = "plus")]
    pub added_measures: Vec<String>,
    /// How often the measure counts.
    #[serde(rename = "times")]
    pub multiplier: Multiplier,
    /// What it is compared with.
    pub budget: Budget,
    /// Whether it is a start's own messages, of which only the assumed share counts as control traffic.
    #[serde(default, rename = "carries")]
    pub is_start_traffic: bool,
    /// The mechanism that serves it today, by name; `missing` where there is none.
    pub mechanism: String,
    /// Where that mechanism is in the code, as `file: name`; empty where it is missing.
    #[serde(default, rename = "place")]
    pub code_location: String,
    /// What would lower the need.
    #[serde(default, rename = "next")]
    pub next_step: String,
}

/// One requirement of the target, and what serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// The requirement, a template over the target's figures.
    #[serde(rename = "line")]
    pub text: String,
    /// What serves it.
    #[serde(rename = "carried")]
    pub served_by: String,
    /// Names of needs that show it.
    #[serde(default)]
    pub needs: Vec<String>,
    /// What is missing, with the entry of the roadmap or the issue.
    pub missing: String,
}

/// A mechanism that does not exist yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingMechanism {
    /// The mechanism.
    #[serde(rename = "what")]
    pub name: String,
    /// The demand for it, a template over the target's figures.
    pub demand: String,
    /// What happens today instead.
    pub today: String,
    /// The entry of the roadmap or the issue.
    #[serde(rename = "next")]
    pub next_step: String,
}

/// The code behind an exponent over 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuperlinearCode {
    /// The role.
    pub role: String,
    /// The measure.
    pub measure: String,
    /// The axis.
    pub axis: Axis,
    /// `file: name`, and what it does.
    #[serde(rename = "line")]
    pub code_location: String,
}

/// Measures of real processes, and measures of a hollow role that should give the same; each side is added up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Comparison {
    /// The role that runs as processes.
    pub real_role: String,
    /// Its measures.
    #[serde(rename = "real")]
    pub real_measures: Vec<String>,
    /// The hollow role.
    pub hollow_role: String,
    /// Its measures.
    #[serde(rename = "hollow")]
    pub hollow_measures: Vec<String>,
}

/// Names of the needs whose measures give the cost of one event of a fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventCosts {
    /// Processor time of a start.
    pub start: String,
    /// Processor time of one node that the list adds or removes.
    pub change_time: String,
    /// Bytes of the same.
    pub change_bytes: String,
    /// Processor time of a full list.
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

/// `bench/scale/needs.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Needs {
    /// What the roles need.
    pub needs: Vec<Need>,
    /// The requirements of the target.
    #[serde(rename = "lines")]
    pub requirements: Vec<Requirement>,
    /// What does not exist yet.
    #[serde(rename = "absent")]
    pub missing: Vec<MissingMechanism>,
    /// What one event of a fault costs.
    #[serde(rename = "prices")]
    pub event_costs: EventCosts,
    /// Code behind exponents over 1.
    #[serde(rename = "steep")]
    pub superlinear: Vec<SuperlinearCode>,
    /// What is measured both hollow and with real processes.
    #[serde(rename = "pairs")]
    pub comparisons: Vec<Comparison>,
}

impl Needs {
    /// Reads them and checks that each need that is referred to exists once.
    ///
    /// # Errors
    /// [`ReportError`] that names what is missing or stands there twice.
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

    /// The roles that have needs, in the order of the file.
    pub fn roles(&self) -> Vec<&str> {
        let mut seen = BTreeSet::new();
        self.needs
            .iter()
            .map(|n| n.role.as_str())
            .filter(|role| seen.insert(*role))
            .collect()
    }
}
