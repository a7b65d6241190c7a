//! What hollow roles count, and no time, at sizes a factor of eight apart: growth beyond a bound fails. Each bound says
//! why.

use peppercove_scale::harness::{Harness, RunLimits};
use peppercove_scale::roles::controller::harness::ControllerHarness;
use peppercove_scale::roles::module::harness::ModuleHarness;
use peppercove_scale::roles::serve::harness::ServeHarness;
use peppercove_scale::row::{Axis, Figure, Sizes};
use peppercove_scale::workload::run_length::RunLength;
use peppercove_scale::workload::{CHANGES_PER_WINDOW, SECOND};
use std::collections::BTreeMap;
use std::time::Duration;

/// How far apart the sizes are.
const FACTOR: u64 = 8;
const AXES: [Axis; 7] = [
    Axis::Nodes,
    Axis::Schedulers,
    Axis::RunningTasks,
    Axis::Starts,
    Axis::Tenants,
    Axis::Classes,
    Axis::Connections,
];
/// Starts before anything is counted.
const WARM_UP_STARTS: u64 = 60;
/// Starts that are counted.
const STARTS: u64 = 150;
/// Seconds of starts that may be in flight while as many tasks run as the sizes say: those that came within a second and a
/// half, the longest that a start takes here, and some that are tried once more.
const IN_FLIGHT_SECONDS: u64 = 2;

type Figures = BTreeMap<String, f64>;

/// The figures of a role at the base, and at the point of each axis a factor above it.
struct Growth {
    base: Figures,
    points: Vec<Point>,
}

struct Point {
    axis: Axis,
    sizes: Sizes,
    figures: Figures,
}

impl Growth {
    fn measure(measure: fn(&Sizes) -> Vec<Figure>) -> Growth {
        let figures = |sizes: &Sizes| -> Figures {
            measure(sizes)
                .into_iter()
                .map(|figure| (figure.name, figure.median))
                .collect()
        };
        let point = |axis: Axis| {
            let sizes = axis.at(axis.size_in(&Sizes::BASE) * FACTOR);
            Point {
                axis,
                sizes,
                figures: figures(&sizes),
            }
        };
        Growth {
            base: figures(&Sizes::BASE),
            points: AXES.into_iter().map(point).collect(),
        }
    }

    /// The figure at the point is at most so many times that at the base.
    fn assert_at_most(&self, times: f64, measure: &str, point: &Point) {
        let (base, above) = (self.base[measure], point.figures[measure]);
        let axis = point.axis;
        assert!(
            above <= base * times,
            "{measure}: {base} to {above} over {axis:?} times {FACTOR}, bound {times}"
        );
    }

    fn assert_traffic_at_most(&self, times: f64, ways: &[&str], point: &Point) {
        for way in ways {
            self.assert_at_most(times, &format!("{way}_messages"), point);
            self.assert_at_most(times, &format!("{way}_bytes"), point);
        }
    }

    /// The list grows with its nodes and with nothing else; a change does not grow. Numbers may get a few digits longer.
    fn assert_list_grows_with_nodes_alone(&self, point: &Point) {
        self.assert_at_most(1.05, "list_change_bytes", point);
        let is_longer = point.axis == Axis::Nodes;
        let times = if is_longer {
            FACTOR as f64 * 1.02
        } else {
            1.02
        };
        self.assert_at_most(times, "whole_list_bytes", point);
    }
}

impl Point {
    /// The most tasks that may be held: the running ones and those in flight.
    fn most_tasks(&self) -> f64 {
        (self.sizes.running_tasks + self.most_in_flight()) as f64
    }

    fn most_in_flight(&self) -> u64 {
        self.sizes.starts_per_second * IN_FLIGHT_SECONDS
    }

    fn assert_at_most(&self, most: f64, measure: &str) {
        let figure = self.figures[measure];
        assert!(
            figure <= most,
            "{measure} along {:?}: {figure}, bound {most}",
            self.axis
        );
    }
}

/// So long a time that nothing is cut short, however slow the machine is.
fn run_length() -> RunLength {
    let window_time = Duration::from_secs(3600);
    RunLength {
        warm_up_starts: WARM_UP_STARTS,
        window_starts: STARTS,
        window_time,
    }
}

fn receive_first_list<H: Harness<List: Clone>>(harness: &mut H) -> H::List {
    let list = harness.full_list().expect("a list");
    harness
        .receive_full_list("first_list", list.clone())
        .expect("a list");
    list
}

fn run_starts_and_changes<H: Harness>(harness: &mut H) {
    harness.warm_up(&run_length()).expect("starts");
    harness
        .run(RunLimits::starts(STARTS, None))
        .expect("starts");
    for _ in 0..CHANGES_PER_WINDOW {
        harness.change_list().expect("a change");
    }
}

fn measure_module(sizes: &Sizes) -> Vec<Figure> {
    let mut harness = ModuleHarness::new(sizes).expect("a harness");
    receive_first_list(&mut harness);
    harness.add_running_tasks();
    run_starts_and_changes(&mut harness);
    harness.counted()
}

fn measure_serve(sizes: &Sizes) -> Vec<Figure> {
    let mut harness = ServeHarness::new(sizes).expect("a harness");
    let list_bytes = receive_first_list(&mut harness).len();
    harness.add_running_tasks().expect("tasks");
    harness.connect_clients().expect("clients");
    harness
        .run(RunLimits::span(3 * SECOND))
        .expect("connections");
    let mut figures = harness.idle_figures().expect("idle time");
    run_starts_and_changes(&mut harness);
    figures.extend(harness.counted());
    figures.extend(harness.table_sizes());
    figures.push(Figure::counted(
        "whole_list_bytes",
        "bytes",
        list_bytes as f64,
    ));
    figures
}

fn measure_controller(sizes: &Sizes) -> Vec<Figure> {
    let mut harness = ControllerHarness::new(sizes).expect("a harness");
    let list_bytes = receive_first_list(&mut harness).len();
    harness.run(RunLimits::span(SECOND)).expect("connections");
    let mut figures = harness.idle_figures().expect("idle time");
    run_starts_and_changes(&mut harness);
    figures.extend(harness.counted());
    figures.extend(harness.table_sizes());
    figures.push(Figure::counted(
        "whole_list_bytes",
        "bytes",
        list_bytes as f64,
    ));
    figures
}

#[test]
fn the_module_does_no_more_for_an_event_at_larger_sizes() {
    let growth = Growth::measure(measure_module);
    for point in &growth.points {
        // An event concerns one task or one node: the actions that follow, a dispatch or a timer, depend on no size. One in
        // six may differ by the random draws.
        for kind in ["place", "placed", "end", "list_change"] {
            growth.assert_at_most(1.2, &format!("actions_for_{kind}"), point);
        }
        // A dispatch looks at each node once and compares few with each other: linear in nodes, with a quarter for the
        // logarithm of sorting, and no more for all else. Each compared with each it was their square, 64 times.
        let is_along_nodes = point.axis == Axis::Nodes;
        let times = if is_along_nodes {
            FACTOR as f64 * 1.25
        } else {
            1.25
        };
        growth.assert_at_most(times, "compared_for_start", point);
    }
}

#[test]
fn a_platform_instance_sends_and_holds_no_more_for_a_start_or_when_idle_at_larger_sizes() {
    let growth = Growth::measure(measure_serve);
    for point in &growth.points {
        // A request goes to one node, and one answer and one end come back: no size makes it more. A tenth is for attempts
        // that are rejected, which are as many in the mean, and for names that get a digit longer.
        growth.assert_traffic_at_most(
            1.1,
            &["owner_in", "owner_out", "host_out", "host_in"],
            point,
        );
        // A change is sent by itself, not with the list around it, and the entry of a node is as long in each list.
        growth.assert_list_grows_with_nodes_alone(point);
        // A silent connection to a node is tested no more often where there are more; and silent clients cost nothing.
        growth.assert_at_most(1.05, "rest_messages_link", point);
        if point.axis != Axis::RunningTasks {
            // The idle connections are those to nodes that hold tasks: eight times the tasks may be on eight times the nodes.
            growth.assert_at_most(1.05, "rest_messages", point);
        }
        // Each node and each task is held once, with those in flight, and nothing is left of the tasks that ended.
        let Point {
            axis,
            sizes,
            figures,
        } = point;
        assert_eq!(figures["held_hosts"], sizes.nodes as f64, "{axis:?}");
        point.assert_at_most(point.most_tasks(), "held_standing");
        point.assert_at_most(point.most_in_flight() as f64, "held_open");
        // One connection for each client, and one for each node that holds or held a task of this instance.
        let nodes = sizes
            .nodes
            .min(sizes.running_tasks + STARTS + WARM_UP_STARTS);
        point.assert_at_most((sizes.connections + nodes) as f64, "descriptors");
    }
}

#[test]
fn a_drmaa_controller_sends_and_holds_no_more_for_a_start_or_when_idle_at_larger_sizes() {
    let growth = Growth::measure(measure_controller);
    for point in &growth.points {
        // As for an instance: one node, whatever the sizes. A tenth is for attempts that are rejected.
        growth.assert_traffic_at_most(1.1, &["node_out", "node_in"], point);
        growth.assert_at_most(1.1, "client_out_messages", point);
        if point.axis != Axis::Classes {
            // What is sent, runs and has completed, of each task that must not run twice or is spread. A journal that was
            // rewritten for each entry would grow with the running tasks.
            growth.assert_at_most(1.1, "journal_entries", point);
        }
        // A change is sent by itself; a generation may take a byte more.
        growth.assert_list_grows_with_nodes_alone(point);
        // Nothing is sent on an idle connection.
        let Point {
            axis,
            sizes,
            figures,
        } = point;
        assert_eq!(figures["rest_messages"], 0.0, "{axis:?}");
        // Each node, job and task is held once, and nothing is left of those that ended and were disposed of.
        assert_eq!(figures["held_nodes"], sizes.nodes as f64, "{axis:?}");
        point.assert_at_most(point.most_tasks(), "held_jobs");
        point.assert_at_most(point.most_tasks(), "held_standing");
        // One connection a node, for all its tasks, and one a client: linear in both, and by intent.
        assert_eq!(
            figures["descriptors"],
            (sizes.nodes + sizes.connections) as f64,
            "{axis:?}"
        );
    }
}

#[test]
fn starts_of_the_warm_up_are_not_counted() {
    for measure in [measure_module, measure_serve, measure_controller] {
        let figures = measure(&Sizes::BASE);
        let per_start = figures.iter().find(|figure| figure.name == "turned_away");
        assert_eq!(per_start.expect("counted for each start").samples, STARTS);
    }
}
