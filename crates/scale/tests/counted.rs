//! What is counted, and no time, at sizes a factor of eight apart: growth beyond a bound fails. Each bound says why.

use peppercove_scale::load::{CHANGES, Play, SECOND};
use peppercove_scale::roles::{controller, module, serve};
use peppercove_scale::row::{At, Axis, Measure};
use std::collections::BTreeMap;
use std::time::Duration;

/// How far apart the sizes are.
const FACTOR: u64 = 8;
const AXES: [Axis; 7] = [
    Axis::Machines,
    Axis::Schedulers,
    Axis::Standing,
    Axis::Starts,
    Axis::Tenants,
    Axis::Classes,
    Axis::Connections,
];
/// Starts that are counted.
const STARTS: u64 = 150;
/// Tasks that may be on their way while as many stand as the sizes say: those that came within a second and a half, the
/// longest that a start takes here, and some that are tried once more.
const ON_THEIR_WAY: u64 = 2;

type Figures = BTreeMap<String, f64>;

/// So long a bound that nothing is cut short, however slow the machine is.
fn play() -> Play {
    Play {
        warm: 60,
        starts: STARTS,
        bound: Duration::from_secs(3600),
    }
}

fn figures(measures: Vec<Measure>) -> Figures {
    measures
        .into_iter()
        .map(|m| (m.measure, m.median))
        .collect()
}

fn module(at: &At) -> Figures {
    let mut rig = module::Rig::new(at).expect("a rig");
    let lines = rig.lines();
    rig.list(lines);
    rig.hand_over();
    rig.warm_up(&play());
    rig.play(STARTS, None);
    (0..CHANGES).for_each(|_| rig.change());
    figures(rig.counted())
}

fn serve(at: &At) -> Figures {
    let mut rig = serve::rig::Rig::new(at).expect("a rig");
    let list = rig.whole_list();
    rig.list("first_list", &list).expect("a list");
    rig.hand_over().expect("tasks");
    rig.connect().expect("owners");
    rig.play(3 * SECOND, u64::MAX, None).expect("links");
    let mut measures = rig.rest().expect("rest");
    rig.warm_up(&play()).expect("starts");
    rig.play(u64::MAX / 4, STARTS, None).expect("starts");
    (0..CHANGES).for_each(|_| rig.change().expect("a change"));
    measures.extend(rig.counted());
    measures.extend(rig.held());
    measures.push(Measure::counted(
        "whole_list_bytes",
        "bytes",
        list.len() as f64,
    ));
    figures(measures)
}

fn controller(at: &At) -> Figures {
    let mut rig = controller::rig::Rig::new(at).expect("a rig");
    let list = rig.whole_list().expect("a list");
    let whole = list.len() as f64;
    rig.list("first_list", list).expect("a list");
    rig.play(SECOND, u64::MAX, None).expect("links");
    let mut measures = rig.rest().expect("rest");
    rig.warm_up(&play()).expect("starts");
    rig.play(u64::MAX / 4, STARTS, None).expect("starts");
    (0..CHANGES).for_each(|_| rig.change().expect("a change"));
    measures.extend(rig.counted());
    measures.extend(rig.held());
    measures.push(Measure::counted("whole_list_bytes", "bytes", whole));
    figures(measures)
}

/// The base, and the point of each axis a factor above it.
fn points(of: fn(&At) -> Figures) -> (Figures, Vec<(Axis, At, Figures)>) {
    let above = |axis: Axis| axis.at(axis.of(&At::BASE) * FACTOR);
    let points = AXES
        .into_iter()
        .map(|axis| (axis, above(axis), of(&above(axis))));
    (of(&At::BASE), points.collect())
}

/// A figure is at most so many times that of the base.
fn grows_at_most(
    times: f64,
    measure: &str,
    base: &Figures,
    (axis, _, above): &(Axis, At, Figures),
) {
    let (base, above) = (base[measure], above[measure]);
    assert!(
        above <= base * times,
        "{measure}: {base} to {above} over {axis:?} times {FACTOR}, bound {times}"
    );
}

#[test]
fn the_module_does_as_much_for_an_event_at_each_size() {
    let (base, points) = points(module);
    for point in &points {
        // An event concerns one task or one machine: what is said to it, a bind or a timer, depends on no size. One in
        // six may differ by the draws.
        for kind in ["place", "placed", "end", "list_change"] {
            grows_at_most(1.2, &format!("actions_for_{kind}"), &base, point);
        }
        // A bind looks at each machine once, and holds few against each other: linear in machines, with a quarter for the
        // logarithm of sorting, and no more for all else. Each held against each it was their square, 64 times.
        let times = if point.0 == Axis::Machines {
            FACTOR as f64 * 1.25
        } else {
            1.25
        };
        grows_at_most(times, "compared_for_start", &base, point);
    }
}

#[test]
fn an_instance_says_as_much_for_a_start_and_at_rest_at_each_size() {
    let (base, points) = points(serve);
    for point @ (axis, at, above) in &points {
        // A set-up goes to one host, and one answer and one end come back: no size makes it more. A tenth is for tries
        // that are refused, which are as many in the mean, and for names that get a digit longer.
        for way in ["owner_in", "owner_out", "host_out", "host_in"] {
            grows_at_most(1.1, &format!("{way}_messages"), &base, point);
            grows_at_most(1.1, &format!("{way}_bytes"), &base, point);
        }
        // A change is told by itself, not with the list around it; numbers may get a few digits longer.
        grows_at_most(1.05, "list_change_bytes", &base, point);
        // A host's line is as long in each list.
        let lines = if *axis == Axis::Machines {
            FACTOR as f64 * 1.02
        } else {
            1.02
        };
        grows_at_most(lines, "whole_list_bytes", &base, point);
        // A silent connection to a host is tested no more often where there are more; and owners that are silent cost
        // nothing.
        grows_at_most(1.05, "rest_messages_link", &base, point);
        if *axis != Axis::Standing {
            // All links at rest are those to hosts that hold tasks: eight times the tasks may be on eight times the hosts.
            grows_at_most(1.05, "rest_messages", &base, point);
        }
        // Each host and each task is held once, with those on their way, and nothing is left of the tasks that ended.
        let most = at.standing + at.starts * ON_THEIR_WAY;
        assert_eq!(above["held_hosts"], at.machines as f64, "{axis:?}");
        assert!(
            above["held_standing"] <= most as f64,
            "{axis:?}: {}",
            above["held_standing"]
        );
        assert!(
            above["held_open"] <= (at.starts * ON_THEIR_WAY) as f64,
            "{axis:?}: {}",
            above["held_open"]
        );
        // One connection for each owner, and one for each host that holds or held a task of this instance.
        let hosts = at.machines.min(at.standing + STARTS + 60);
        assert!(
            above["descriptors"] <= (at.connections + hosts) as f64,
            "{axis:?}: {}",
            above["descriptors"]
        );
    }
}

#[test]
fn a_controller_says_as_much_for_a_start_and_at_rest_at_each_size() {
    let (base, points) = points(controller);
    for point @ (axis, at, above) in &points {
        // As for an instance: one node, whatever the sizes. A tenth is for tries that are refused.
        for way in ["node_out", "node_in"] {
            grows_at_most(1.1, &format!("{way}_messages"), &base, point);
            grows_at_most(1.1, &format!("{way}_bytes"), &base, point);
        }
        grows_at_most(1.1, "client_out_messages", &base, point);
        if *axis != Axis::Classes {
            // What is sent, runs and is over, of each task that must not run twice or is spread. A journal that was written
            // anew for each entry would grow with what stands.
            grows_at_most(1.1, "journal_entries", &base, point);
        }
        // A change is told by itself; a generation may take a byte more.
        grows_at_most(1.05, "list_change_bytes", &base, point);
        let lines = if *axis == Axis::Machines {
            FACTOR as f64 * 1.02
        } else {
            1.02
        };
        grows_at_most(lines, "whole_list_bytes", &base, point);
        // Nothing is said on a link at rest.
        assert_eq!(above["rest_messages"], 0.0, "{axis:?}");
        // Each node, job and task is held once, and nothing is left of those that ended and were disposed of.
        let most = at.standing + at.starts * ON_THEIR_WAY;
        assert_eq!(above["held_nodes"], at.machines as f64, "{axis:?}");
        assert!(
            above["held_jobs"] <= most as f64,
            "{axis:?}: {}",
            above["held_jobs"]
        );
        assert!(
            above["held_standing"] <= most as f64,
            "{axis:?}: {}",
            above["held_standing"]
        );
        // One link a node, for all its tasks, and one connection a client: linear in both, and by intent.
        assert_eq!(
            above["descriptors"],
            (at.machines + at.connections) as f64,
            "{axis:?}"
        );
    }
}
