//! The table of fault costs: lost nodes, tasks to restart and list changes to send, from the cost of one event each.

use crate::capacity_report::demand::Demand;
use crate::capacity_report::format::{format_figure, format_with_unit, markdown_table};
use crate::capacity_report::needs::Needs;
use crate::target::{OpenQuantity, Target};

/// Seconds in an hour.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// A fault and its direct effects.
struct Fault {
    name: String,
    /// Number of lost nodes.
    nodes: f64,
    /// List changes sent to each affected scheduler.
    changes: f64,
    /// Number of schedulers that receive the list changes.
    schedulers: f64,
}

impl Fault {
    /// Creates a fault that loses nodes. Each is removed from the list and later added again.
    fn nodes_lost(name: String, nodes: f64, target: &Target) -> Fault {
        let schedulers = target.assumed(OpenQuantity::Schedulers);
        Fault {
            name,
            nodes,
            changes: 2.0 * nodes,
            schedulers,
        }
    }
}

fn all_faults(target: &Target) -> Vec<Fault> {
    let schedulers = target.assumed(OpenQuantity::Schedulers);
    let region = target.nodes / target.regions;
    let changes_per_hour = SECONDS_PER_HOUR * (target.list_changes() + target.capacity_changes());
    let replacements = format_figure(Some(target.replacements_per_day));
    let failures = format_figure(Some(target.failures_per_day));
    vec![
        Fault::nodes_lost(
            format!("{replacements} replacements a day"),
            target.replacements_per_day,
            target,
        ),
        Fault::nodes_lost(
            format!("{failures} failures on an ordinary day"),
            target.failures_per_day,
            target,
        ),
        Fault::nodes_lost("a rack lost".into(), target.assumed(OpenQuantity::NodesPerRack), target),
        Fault::nodes_lost("a zone lost".into(), target.nodes / target.zones, target),
        Fault {
            name: "an hour without another region: its machines silent for all others".into(),
            nodes: region,
            changes: 2.0 * region,
            schedulers: schedulers * (1.0 - 1.0 / target.regions),
        },
        Fault {
            name: "the same: a region's schedulers told nothing, all words of the hour told at its end"
                .into(),
            nodes: 0.0,
            changes: changes_per_hour,
            schedulers: schedulers / target.regions,
        },
    ]
}

/// The estimated cost of one event of each kind; `None` if not measured.
struct Costs {
    start: Option<f64>,
    change_time: Option<f64>,
    change_bytes: Option<f64>,
    full_list_time: Option<f64>,
    full_list_bytes: Option<f64>,
}

impl Costs {
    fn new(demands: &[Demand], needs: &Needs) -> Costs {
        let cost = |name: &str| {
            let demand = demands.iter().find(|d| d.need.name == name);
            demand.and_then(Demand::cost_per_event)
        };
        let names = &needs.event_costs;
        Costs {
            start: cost(&names.start),
            change_time: cost(&names.change_time),
            change_bytes: cost(&names.change_bytes),
            full_list_time: cost(&names.full_list_time),
            full_list_bytes: cost(&names.full_list_bytes),
        }
    }
}

/// Generates the table of the messages and times of each fault, from the costs of one event.
pub fn faults(demands: &[Demand], needs: &Needs, target: &Target) -> String {
    let costs = Costs::new(demands, needs);
    let rows = all_faults(target)
        .into_iter()
        .map(|fault| fault_row(fault, &costs, target));
    let head = [
        "trouble",
        "machines gone",
        "tasks to start anew",
        "changes told to a scheduler",
        "bytes of them",
        "time to pass them within its bytes a second",
        "bytes to all schedulers",
        "a scheduler's processor time, changes and starts",
        "time to do so within its share of a core",
        "time to start the tasks anew at the peak's rate",
    ];
    markdown_table(&head, rows.collect()) + &full_list_text(&costs, target)
}

fn fault_row(fault: Fault, costs: &Costs, target: &Target) -> Vec<String> {
    let tasks = fault.nodes * target.running_tasks / target.nodes;
    let tasks_of_one = tasks / fault.schedulers.max(1.0);
    let bytes = costs.change_bytes.map(|bytes| bytes * fault.changes);
    let time = costs.change_time.zip(costs.start);
    let time = time.map(|(change, start)| change * fault.changes + start * tasks_of_one);
    let divided = |figure: Option<f64>, budget: f64| figure.map(|f| f / budget);
    vec![
        fault.name,
        format_figure(Some(fault.nodes)),
        format_figure(Some(tasks)),
        format_figure(Some(fault.changes)),
        format_with_unit(bytes, "bytes"),
        format_with_unit(divided(bytes, target.bytes_per_second), "s"),
        format_with_unit(bytes.map(|b| b * fault.schedulers), "bytes"),
        format_with_unit(time, "s"),
        format_with_unit(divided(time, target.core_share), "s"),
        format_with_unit(Some(tasks / target.starts_per_second), "s"),
    ]
}

fn full_list_text(costs: &Costs, target: &Target) -> String {
    let Costs {
        full_list_time: time,
        full_list_bytes: bytes,
        ..
    } = costs;
    format!(
        "\nA whole list instead: {}, {} at {}; {} of processor time, {} at {}.\n",
        format_with_unit(*bytes, "bytes"),
        format_with_unit(bytes.map(|b| b / target.bytes_per_second), "s"),
        format_with_unit(Some(target.bytes_per_second), "bytes/s"),
        format_with_unit(*time, "s"),
        format_with_unit(time.map(|t| t / target.core_share), "s"),
        format_with_unit(Some(target.core_share), "cores"),
    )
}
