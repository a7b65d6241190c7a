//! A hollow instance of the platform's controller: its desk, the decision module with its view, and the real bytes of owners, hosts and the list, in
//! simulated time, without the sockets around them. What sockets and their buffers take is not in these figures.
//!
//! Tenants have no axis here: set-ups of the platform name none.

pub mod rig;
mod words;

use crate::load::{
    CHANGES, Play, SECOND, WINDOWS, among_many, resident, resident_each, sweeps as rising,
};
use crate::roles::Role;
use crate::row::{At, Axis, Measure};
use anyhow::Result;
use peppercove::Micros;
use rig::Rig;

/// The role.
pub const ROLE: Role = Role {
    name: "serve",
    hollow: true,
    sweeps,
    measure,
};

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    let axes = [
        (Axis::Machines, 13_000),
        (Axis::Schedulers, 512),
        (Axis::Standing, 57_000),
        (Axis::Starts, 800),
        (Axis::Classes, 96),
        (Axis::Changes, 32),
        (Axis::Connections, 20_000),
    ];
    among_many(rising(&axes, quick))
}

/// A whole list and its settling, microseconds of simulated time.
const SETTLE: Micros = 3 * SECOND;
/// Longer than the least time between two batches, microseconds.
const BATCH: Micros = 2_000;

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    let play = Play::of(at, quick);
    let mut rig = Rig::new(at)?;
    let (first, second) = (rig.whole_list(), rig.whole_list());
    let mut measures = vec![Measure::counted(
        "whole_list_bytes",
        "bytes",
        first.len() as f64,
    )];
    let bare = resident()?;
    rig.list("first_list", &first)?;
    let listed = resident()?;
    rig.hand_over()?;
    rig.play(SETTLE, u64::MAX, None)?;
    let stands = resident()?;
    rig.connect()?;
    let connected = resident()?;
    measures.extend(resident_each("resident_machine", bare, listed, at.machines));
    measures.extend(resident_each(
        "resident_standing",
        listed,
        stands,
        at.standing,
    ));
    measures.extend(resident_each(
        "resident_connection",
        stands,
        connected,
        at.connections,
    ));
    let set_up = ["first_list_time", "standing_time", "link_up_time"];
    measures.extend(
        rig.timings
            .measures()
            .into_iter()
            .filter(|m| set_up.contains(&m.measure.as_str())),
    );
    rig.list("whole_list", &second)?;
    rig.play(SETTLE, u64::MAX, None)?;
    measures.extend(rig.rest()?);
    rig.warm_up(&play)?;
    measures.extend(resident_each("resident", bare, resident()?, 1));
    for window in 0..WINDOWS {
        let list = rig.whole_list();
        rig.timings.next_window(window == 0);
        rig.play(Micros::MAX / 4, play.starts, Some(play.until()))?;
        // Each in a batch of its own.
        for _ in 0..CHANGES {
            rig.change()?;
            rig.play(BATCH, u64::MAX, None)?;
        }
        rig.list("whole_list", &list)?;
        rig.play(BATCH, u64::MAX, None)?;
    }
    let path = [
        "set_up", "turn", "tick", "link_up", "answer", "refused", "end",
    ];
    let times = rig
        .timings
        .measures()
        .into_iter()
        .filter(|m| m.measure != "link_up_time");
    measures.extend(times);
    measures.extend(rig.timings.for_each("start_time", &path));
    measures.extend(rig.counted());
    measures.extend(rig.held());
    Ok(measures)
}
