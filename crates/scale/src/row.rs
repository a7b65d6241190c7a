//! What a run writes: one JSON object a line.

use serde::{Deserialize, Serialize};

/// The sizes of a point. A sweep lets one of them rise and leaves the others as they are.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct At {
    /// Machines in the list.
    pub machines: u64,
    /// Schedulers that share them.
    pub schedulers: u64,
    /// Tasks of this scheduler that stand.
    pub standing: u64,
    /// Starts a second asked of this scheduler.
    pub starts: u64,
    /// Tenants in the settings.
    pub tenants: u64,
    /// Classes in the settings.
    pub classes: u64,
    /// Changes of list or configuration a second.
    pub changes: u64,
    /// Connections that are open.
    pub connections: u64,
}

impl At {
    /// Where the other sizes stay while one rises.
    pub const BASE: At = At {
        machines: 400,
        schedulers: 16,
        standing: 100,
        starts: 25,
        tenants: 10,
        classes: 3,
        changes: 1,
        connections: 100,
    };
}

/// One of the sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// [`At::machines`].
    Machines,
    /// [`At::schedulers`].
    Schedulers,
    /// [`At::standing`].
    Standing,
    /// [`At::starts`].
    Starts,
    /// [`At::tenants`].
    Tenants,
    /// [`At::classes`].
    Classes,
    /// [`At::changes`].
    Changes,
    /// [`At::connections`].
    Connections,
    /// Several of them up together.
    Together,
}

impl Axis {
    /// The size of this axis at a point; machines for several together.
    pub fn of(self, at: &At) -> u64 {
        match self {
            Axis::Machines | Axis::Together => at.machines,
            Axis::Schedulers => at.schedulers,
            Axis::Standing => at.standing,
            Axis::Starts => at.starts,
            Axis::Tenants => at.tenants,
            Axis::Classes => at.classes,
            Axis::Changes => at.changes,
            Axis::Connections => at.connections,
        }
    }

    /// [`At::BASE`] with this axis set; not for several together.
    pub fn at(self, size: u64) -> At {
        self.set(At::BASE, size)
    }

    /// The sizes with this axis set; not for several together.
    pub fn set(self, mut at: At, size: u64) -> At {
        match self {
            Axis::Machines | Axis::Together => at.machines = size,
            Axis::Schedulers => at.schedulers = size,
            Axis::Standing => at.standing = size,
            Axis::Starts => at.starts = size,
            Axis::Tenants => at.tenants = size,
            Axis::Classes => at.classes = size,
            Axis::Changes => at.changes = size,
            Axis::Connections => at.connections = size,
        }
        at
    }
}

/// What a figure rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Basis {
    /// Counted: the same in every run.
    Counted,
    /// Processor or wall time: of this machine.
    Timed,
    /// Resident size of the point's process.
    Resident,
}

/// One figure of one point.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measure {
    /// Its name, such as `bind_time`.
    pub measure: String,
    /// `us`, `bytes`, `messages`, `count`, `bytes/s` and the like.
    pub unit: String,
    /// What it rests on.
    pub basis: Basis,
    /// Median of the samples, or the one figure.
    pub median: f64,
    /// Least and most of the repeats (not of single events): the spread.
    pub low: f64,
    /// See `low`.
    pub high: f64,
    /// 99th percentile of single events, where there are such.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub p99: Option<f64>,
    /// Single events or repeats behind it.
    pub samples: u64,
}

impl Measure {
    /// A figure that comes out the same each time.
    pub fn counted(measure: &str, unit: &str, figure: f64) -> Measure {
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let basis = Basis::Counted;
        Measure {
            measure,
            unit,
            basis,
            median: figure,
            low: figure,
            high: figure,
            p99: None,
            samples: 1,
        }
    }

    /// From repeats of one figure; none where there are no repeats.
    pub fn of(measure: &str, unit: &str, basis: Basis, mut repeats: Vec<f64>) -> Option<Measure> {
        repeats.sort_by(f64::total_cmp);
        let (low, high) = (*repeats.first()?, *repeats.last()?);
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let (median, samples) = (repeats[repeats.len() / 2], repeats.len() as u64);
        Some(Measure {
            measure,
            unit,
            basis,
            median,
            low,
            high,
            p99: None,
            samples,
        })
    }
}

/// One line of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The role: `module`, `serve`, `controller`, `discovery`, `configuration`, `machine`, `client`.
    pub role: String,
    /// The axis that rises.
    pub sweep: Axis,
    /// The sizes.
    pub at: At,
    /// No system process of its own stands behind it.
    pub hollow: bool,
    /// The figure.
    #[serde(flatten)]
    pub figure: Measure,
}
