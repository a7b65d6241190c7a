//! Amounts of cores and memory.

use std::ops::{Add, Index, IndexMut, Sub};

/// A resource that tasks request and nodes provide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResourceKind {
    /// CPU cores.
    Cores,
    /// Memory, in the unit used by the settings.
    Memory,
}

impl ResourceKind {
    /// All kinds, in the order of the fields of [`Resources`].
    pub const ALL: [ResourceKind; 2] = [ResourceKind::Cores, ResourceKind::Memory];
}

/// An amount of cores and an amount of memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of cores.
    pub cores: f64,
    /// Memory, in the unit used by the settings.
    pub memory: f64,
}

impl Resources {
    /// No cores and no memory.
    pub const ZERO: Resources = Resources {
        cores: 0.0,
        memory: 0.0,
    };

    /// Combines a number of cores and an amount of memory.
    pub const fn new(cores: f64, memory: f64) -> Resources {
        Resources { cores, memory }
    }

    /// Computes both amounts with a function of the resource kind.
    pub fn from_fn(amount: impl Fn(ResourceKind) -> f64) -> Resources {
        Resources::new(amount(ResourceKind::Cores), amount(ResourceKind::Memory))
    }

    /// Applies a function to both amounts.
    pub fn map(self, change: impl Fn(f64) -> f64) -> Resources {
        Resources::new(change(self.cores), change(self.memory))
    }

    /// Replaces negative amounts by zero.
    pub fn at_least_zero(self) -> Resources {
        self.map(|amount| amount.max(0.0))
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources::new(self.cores + other.cores, self.memory + other.memory)
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources::new(self.cores - other.cores, self.memory - other.memory)
    }
}

impl Index<ResourceKind> for Resources {
    type Output = f64;

    fn index(&self, kind: ResourceKind) -> &f64 {
        match kind {
            ResourceKind::Cores => &self.cores,
            ResourceKind::Memory => &self.memory,
        }
    }
}

impl IndexMut<ResourceKind> for Resources {
    fn index_mut(&mut self, kind: ResourceKind) -> &mut f64 {
        match kind {
            ResourceKind::Cores => &mut self.cores,
            ResourceKind::Memory => &mut self.memory,
        }
    }
}
