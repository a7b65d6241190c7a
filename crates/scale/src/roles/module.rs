//! The decision module alone: events in, actions out.

use crate::roles::{Role, rising};
use crate::row::{At, Axis, Basis, Measure};
use anyhow::Result;
use peppercove::{Event, ListScope, MachineId, MachineLine, MachineState, Scheduler, Settings};
use std::time::Instant;

/// The role.
pub const ROLE: Role = Role { name: "module", hollow: true, sweeps, measure };

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    let machines = rising(400, 13_000, if quick { 5 } else { 7 });
    vec![(Axis::Machines, machines.into_iter().map(|n| Axis::Machines.at(n)).collect())]
}

fn measure(at: &At, _quick: bool) -> Result<Vec<Measure>> {
    let lines = (0..at.machines).map(|i| MachineLine {
        machine: MachineId(i + 1),
        state: MachineState::Ready,
        zone: (i % 44) as u8,
        ..MachineLine::default()
    });
    let list = Event::MachineList { scope: ListScope::Full, version: 1, lines: lines.collect() };
    let mut scheduler = Scheduler::new(Settings::sample(), 1);
    let started = Instant::now();
    scheduler.handle(1_000, &[list]);
    let took = started.elapsed().as_secs_f64() * 1e6;
    Ok(Measure::of("whole_list_time", "us", Basis::Timed, vec![took]).into_iter().collect())
}
