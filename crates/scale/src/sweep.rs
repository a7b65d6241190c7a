//! Sweeps: points at increasing sizes along one axis, or along several axes together.

use crate::row::{Axis, Sizes};

/// Points in a sweep of a quick run.
const QUICK_POINTS: u32 = 5;

/// Points in a sweep of a full run.
const FULL_POINTS: u32 = 7;

/// Number of schedulers that share a fleet of the target's size.
const SCHEDULERS_OF_TARGET_FLEET: u64 = 400;

/// Points at increasing sizes along an axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Sweep {
    /// The axis along which the size increases.
    pub axis: Axis,
    /// The sizes of each point.
    pub points: Vec<Sizes>,
}

impl Sweep {
    /// Returns a sweep of [`Sizes::BASE`] with one axis at each of these sizes.
    pub fn along(axis: Axis, sizes: impl IntoIterator<Item = u64>) -> Sweep {
        Sweep {
            axis,
            points: sizes.into_iter().map(|size| axis.at(size)).collect(),
        }
    }
}

/// Returns the number of points in a sweep.
pub fn point_count(is_quick: bool) -> u32 {
    if is_quick { QUICK_POINTS } else { FULL_POINTS }
}

/// Returns `points` sizes that increase geometrically from `smallest` to `largest`, both included.
pub fn rising_sizes(smallest: u64, largest: u64, points: u32) -> Vec<u64> {
    let steps = f64::from(points.saturating_sub(1).max(1));
    let factor = (largest as f64 / smallest as f64).powf(1.0 / steps);
    (0..points)
        .map(|i| (smallest as f64 * factor.powi(i as i32)).round() as u64)
        .collect()
}

/// Returns a sweep along each of these axes, from [`Sizes::BASE`] up to the given size, and one along all of them
/// together.
pub fn sweeps_from_base(axes: &[(Axis, u64)], is_quick: bool) -> Vec<Sweep> {
    let points = point_count(is_quick);
    let rising = |axis: Axis, largest| rising_sizes(axis.size_in(&Sizes::BASE), largest, points);
    let mut sweeps: Vec<Sweep> = axes
        .iter()
        .map(|&(axis, largest)| Sweep::along(axis, rising(axis, largest)))
        .collect();
    let combined = |point: usize| {
        axes.iter().fold(Sizes::BASE, |sizes, &(axis, largest)| {
            axis.replace_in(sizes, rising(axis, largest)[point])
        })
    };
    let points = (0..points as usize).map(combined).collect();
    sweeps.push(Sweep {
        axis: Axis::Combined,
        points,
    });
    sweeps
}

/// Adjusts the sweeps of a role that sees only a node subset: the sweep along [`Axis::Nodes`] gets the number of
/// schedulers of a target fleet.
///
/// The more schedulers, the smaller a subset. With the 16 schedulers of [`Sizes::BASE`] a subset holds two in five
/// nodes of a large fleet. The sum of the slopes would not account for the smaller subset, one in eight nodes, among
/// many schedulers.
pub fn with_target_fleet_schedulers(mut sweeps: Vec<Sweep>) -> Vec<Sweep> {
    for sweep in sweeps.iter_mut().filter(|sweep| sweep.axis == Axis::Nodes) {
        for sizes in &mut sweep.points {
            sizes.schedulers = SCHEDULERS_OF_TARGET_FLEET;
        }
    }
    sweeps
}
