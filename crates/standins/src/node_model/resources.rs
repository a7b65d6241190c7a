//! Amounts of cores and memory.

/// An amount of cores and memory, or a share of each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Cores.
    pub cores: f64,
    /// Memory, in the unit of the settings.
    pub memory: f64,
}
