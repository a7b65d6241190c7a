//! The controller of DRMAA without its sockets: the core, the decision module with its view, and the frames of nodes and of the
//! node list, in simulated time. Calls of clients come as the inputs that they lead to: their JSON isn't in these
//! figures, and neither is what sockets and their buffers take.

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
    name: "controller",
    hollow: true,
    sweeps,
    measure,
};

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    // Not up to the 57,000 of the platform: to take so many over takes half a minute, quadratic in their number.
    let standing = if quick { 10_000 } else { 30_000 };
    let axes = [
        (Axis::Machines, 13_000),
        (Axis::Standing, standing),
        (Axis::Starts, 800),
        (Axis::Tenants, 530),
        (Axis::Classes, 96),
        (Axis::Connections, 20_000),
    ];
    among_many(rising(&axes, quick))
}

/// Links come up, and the tasks of an earlier life that stand are taken over, microseconds of simulated time.
const SETTLE: Micros = SECOND;

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    let play = Play::of(at, quick);
    let mut rig = Rig::new(at)?;
    let (first, second) = (rig.whole_list()?, rig.whole_list()?);
    let whole = first.len() as f64;
    let mut measures = vec![
        Measure::counted("whole_list_bytes", "bytes", whole),
        // Over one the frame is refused.
        Measure::counted(
            "whole_list_of_longest",
            "share",
            whole / peppercove_protocol::codec::MAX_LIST_FRAME_BYTES as f64,
        ),
    ];
    let bare = resident()?;
    rig.list("first_list", first)?;
    let listed = resident()?;
    rig.play(SETTLE, u64::MAX, None)?;
    let stands = resident()?;
    measures.extend(resident_each("resident_machine", bare, listed, at.machines));
    measures.extend(resident_each(
        "resident_standing",
        listed,
        stands,
        at.standing,
    ));
    let set_up = ["first_list_time", "link_up_time", "adopted_time"];
    measures.extend(
        rig.timings
            .measures()
            .into_iter()
            .filter(|m| set_up.contains(&m.measure.as_str())),
    );
    rig.list("whole_list", second)?;
    rig.play(SETTLE, u64::MAX, None)?;
    measures.extend(rig.rest()?);
    rig.warm_up(&play)?;
    measures.extend(resident_each("resident", bare, resident()?, 1));
    for window in 0..WINDOWS {
        let list = rig.whole_list()?;
        rig.timings.next_window(window == 0);
        rig.play(Micros::MAX / 4, play.starts, Some(play.until()))?;
        (0..CHANGES).try_for_each(|_| rig.change())?;
        rig.list("whole_list", list)?;
    }
    let path = [
        "submit", "send", "accepted", "running", "refused", "end", "dispose", "tick",
    ];
    measures.extend(rig.timings.measures());
    measures.extend(rig.timings.for_each("start_time", &path));
    measures.extend(rig.counted());
    measures.extend(rig.held());
    Ok(measures)
}
