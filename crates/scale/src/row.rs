//! The rows that a measurement run writes, one JSON object per line.
//!
//! The JSON keys and values are those of the stored files in `bench/scale` and must not change; `serde(rename)` maps
//! them where a field or variant has another name in the code.

use serde::{Deserialize, Serialize};

/// The sizes at which one point is measured. A sweep increases one of them and keeps the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    /// Nodes in the list.
    #[serde(rename = "machines")]
    pub nodes: u64,
    /// Schedulers that share the nodes.
    pub schedulers: u64,
    /// Running tasks that the measured scheduler placed.
    #[serde(rename = "standing")]
    pub running_tasks: u64,
    /// Task starts per second requested from the measured scheduler.
    #[serde(rename = "starts")]
    pub starts_per_second: u64,
    /// Tenants in the settings.
    pub tenants: u64,
    /// Task classes in the settings.
    pub classes: u64,
    /// Changes of the node list or of the configuration per second.
    #[serde(rename = "changes")]
    pub changes_per_second: u64,
    /// Open client connections.
    pub connections: u64,
}

impl Sizes {
    /// The sizes from which each sweep increases one axis.
    pub const BASE: Sizes = Sizes {
        nodes: 400,
        schedulers: 16,
        running_tasks: 100,
        starts_per_second: 25,
        tenants: 10,
        classes: 3,
        changes_per_second: 1,
        connections: 100,
    };
}

/// The size that a sweep increases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// [`Sizes::nodes`].
    #[serde(rename = "machines")]
    Nodes,
    /// [`Sizes::schedulers`].
    Schedulers,
    /// [`Sizes::running_tasks`].
    #[serde(rename = "standing")]
    RunningTasks,
    /// [`Sizes::starts_per_second`].
    Starts,
    /// [`Sizes::tenants`].
    Tenants,
    /// [`Sizes::classes`].
    Classes,
    /// [`Sizes::changes_per_second`].
    Changes,
    /// [`Sizes::connections`].
    Connections,
    /// Several sizes increased together.
    #[serde(rename = "together")]
    Combined,
}

impl Axis {
    /// Returns the name of the axis in stored rows and on the page.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Nodes => "machines",
            Axis::Schedulers => "schedulers",
            Axis::RunningTasks => "standing",
            Axis::Starts => "starts",
            Axis::Tenants => "tenants",
            Axis::Classes => "classes",
            Axis::Changes => "changes",
            Axis::Connections => "connections",
            Axis::Combined => "together",
        }
    }

    /// Returns the size along this axis; for [`Axis::Combined`] the number of nodes.
    pub fn size_in(self, sizes: &Sizes) -> u64 {
        match self {
            Axis::Nodes | Axis::Combined => sizes.nodes,
            Axis::Schedulers => sizes.schedulers,
            Axis::RunningTasks => sizes.running_tasks,
            Axis::Starts => sizes.starts_per_second,
            Axis::Tenants => sizes.tenants,
            Axis::Classes => sizes.classes,
            Axis::Changes => sizes.changes_per_second,
            Axis::Connections => sizes.connections,
        }
    }

    /// Returns [`Sizes::BASE`] with the size along this axis replaced.
    pub fn at(self, size: u64) -> Sizes {
        self.replace_in(Sizes::BASE, size)
    }

    /// Returns `sizes` with the size along this axis replaced; for [`Axis::Combined`] only the number of nodes.
    pub fn replace_in(self, mut sizes: Sizes, size: u64) -> Sizes {
        match self {
            Axis::Nodes | Axis::Combined => sizes.nodes = size,
            Axis::Schedulers => sizes.schedulers = size,
            Axis::RunningTasks => sizes.running_tasks = size,
            Axis::Starts => sizes.starts_per_second = size,
            Axis::Tenants => sizes.tenants = size,
            Axis::Classes => sizes.classes = size,
            Axis::Changes => sizes.changes_per_second = size,
            Axis::Connections => sizes.connections = size,
        }
        sizes
    }
}

/// How a figure was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Basis {
    /// Counted; deterministic, the same in every run.
    Counted,
    /// CPU or wall time; depends on the machine.
    Timed,
    /// Resident memory of the measured process.
    Resident,
}

/// One figure of one point.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The name of the measure, such as `bind_time`.
    #[serde(rename = "measure")]
    pub name: String,
    /// The unit, such as `us`, `bytes`, `messages`, `count` or `bytes/s`.
    pub unit: String,
    /// How the figure was obtained.
    pub basis: Basis,
    /// Median of the samples, or the single figure.
    pub median: f64,
    /// Minimum of the repeats (not of single events).
    pub low: f64,
    /// Maximum of the repeats (not of single events).
    pub high: f64,
    /// 99th percentile of single events, if the figure is measured per event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub p99: Option<f64>,
    /// Number of single events or repeats from which the figure is computed.
    pub samples: u64,
}

impl Figure {
    /// Returns a counted figure, which is the same in every run.
    pub fn counted(name: &str, unit: &str, value: f64) -> Figure {
        Figure {
            name: name.to_owned(),
            unit: unit.to_owned(),
            basis: Basis::Counted,
            median: value,
            low: value,
            high: value,
            p99: None,
            samples: 1,
        }
    }

    /// Returns the median and spread of repeats; `None` if there are none.
    pub fn from_repeats(
        name: &str,
        unit: &str,
        basis: Basis,
        mut repeats: Vec<f64>,
    ) -> Option<Figure> {
        repeats.sort_by(f64::total_cmp);
        let low = *repeats.first()?;
        let high = *repeats.last()?;
        Some(Figure {
            name: name.to_owned(),
            unit: unit.to_owned(),
            basis,
            median: repeats[repeats.len() / 2],
            low,
            high,
            p99: None,
            samples: repeats.len() as u64,
        })
    }

    /// Returns the figure with another number of samples.
    #[must_use]
    pub fn with_samples(self, samples: u64) -> Figure {
        Figure { samples, ..self }
    }
}

/// One line of a measurement run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The role, such as `module`, `serve` or `controller`.
    pub role: String,
    /// The axis of the sweep.
    #[serde(rename = "sweep")]
    pub axis: Axis,
    /// The sizes of the point.
    #[serde(rename = "at")]
    pub sizes: Sizes,
    /// Whether the role ran inside the measuring process, without system processes and sockets of its own.
    #[serde(rename = "hollow")]
    pub is_hollow: bool,
    /// The figure.
    #[serde(flatten)]
    pub figure: Figure,
}
