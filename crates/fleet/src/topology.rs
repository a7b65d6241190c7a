//! The machines that the list names, counted by zone and kind, and how many slots put one into a view there.

use crate::replica_slots::COLD_START_SLOTS;
use peppercove::{NodeEntry, NodeStatus};
use std::collections::BTreeMap;

/// Machines of each kind in each zone that a view has in the mean, where there are so many: a keyed task whose group is its
/// zone finds another one, and with a zone's loss no view loses a kind.
pub const MIN_NODES_PER_ZONE_AND_KIND: u64 = 16;

/// Zone and kind.
pub(crate) type Place = (u8, u8);

pub(crate) fn place(line: &NodeEntry) -> Place {
    (line.zone, line.kind)
}

/// Share of a place from which on the whole of it is in each view: leaving out the rest would save nothing.
const NEARLY_ALL: f64 = 0.9;

/// Slots that put a machine into this share of the views; two slots may have one owner.
fn slots_for(share: f64, schedulers: u32) -> u32 {
    let missed = (1.0 - 1.0 / f64::from(schedulers.max(1))).ln();
    let least = f64::from(COLD_START_SLOTS);
    let slots = if share < NEARLY_ALL {
        ((1.0 - share).ln() / missed).ceil().max(least)
    } else {
        f64::INFINITY
    };
    let reached = 1.0 - (missed * slots).exp();
    if reached < NEARLY_ALL {
        slots as u32
    } else {
        u32::MAX
    }
}

#[derive(Debug)]
pub(crate) struct Places {
    /// What a view has of each place.
    each: u64,
    ready: BTreeMap<Place, u64>,
    /// Slots that count, by place; all where a place is missing.
    slots: BTreeMap<Place, u32>,
}

impl Places {
    pub(crate) fn new(each: u64) -> Places {
        Places {
            each,
            ready: BTreeMap::new(),
            slots: BTreeMap::new(),
        }
    }

    /// A machine's line is taken in place of another; none where there was none, or is none any more.
    pub(crate) fn change(&mut self, before: Option<&NodeEntry>, after: Option<&NodeEntry>) {
        let ready = |line: &&NodeEntry| line.state == NodeStatus::Ready;
        if let Some(line) = before.filter(ready)
            && let Some(count) = self.ready.get_mut(&place(line))
        {
            *count -= 1;
            if *count == 0 {
                self.ready.remove(&place(line));
            }
        }
        if let Some(line) = after.filter(ready) {
            *self.ready.entry(place(line)).or_insert(0) += 1;
        }
    }

    /// Machines that take tasks.
    pub(crate) fn ready(&self) -> u64 {
        self.ready.values().sum()
    }

    /// Machines of a view of `size`, with what each place has at least.
    pub(crate) fn least(&self, size: u64) -> u64 {
        size.saturating_add(self.each * self.ready.len() as u64)
    }

    /// Works the slots out anew; tells whether any changed. Danger: the count of a place wavers with each machine that
    /// comes or goes, and each change of the slots moves machines in and out of views; they stay until they are off by an
    /// eighth.
    pub(crate) fn settle(&mut self, size: u64, schedulers: u32) -> bool {
        let everywhere = size as f64 / self.ready().max(1) as f64;
        let mut changed = false;
        self.slots.retain(|place, _| self.ready.contains_key(place));
        for (place, count) in &self.ready {
            let wanted = slots_for(everywhere.max(self.each as f64 / *count as f64), schedulers);
            let held = self.slots.get(place).copied();
            let off = |held: u32| held.abs_diff(wanted) > held / 8;
            if held.is_none_or(off) {
                self.slots.insert(*place, wanted);
                changed = true;
            }
        }
        changed
    }

    /// Slots that count at a place: a machine is in the view of the owners of so many.
    pub(crate) fn slots(&self, place: Place) -> u32 {
        self.slots.get(&place).copied().unwrap_or(u32::MAX)
    }
}
