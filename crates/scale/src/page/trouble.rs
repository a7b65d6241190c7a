//! What a trouble costs: machines that go, tasks to start anew, changes to tell, from the prices of one event each.

use crate::page::need::{Needs, Worked};
use crate::page::words::{short, table, with_unit};
use crate::target::{Assumed, Target};

/// One trouble.
struct Trouble {
    name: String,
    /// Machines gone.
    machines: f64,
    /// Changes that a scheduler is told because of it.
    changes: f64,
    /// Schedulers that are told.
    schedulers: f64,
}

fn troubles(target: &Target) -> Vec<Trouble> {
    let schedulers = target.taken(Assumed::Schedulers);
    // Each machine leaves and is listed anew.
    let gone = |name: String, machines: f64| Trouble {
        name,
        machines,
        changes: 2.0 * machines,
        schedulers,
    };
    let region = target.machines / target.regions;
    let hour = 3600.0 * (target.list_changes() + target.room_changes());
    vec![
        gone(
            format!("{} replacements a day", short(Some(target.replacements_a_day))),
            target.replacements_a_day,
        ),
        gone(
            format!("{} failures on an ordinary day", short(Some(target.failures_a_day))),
            target.failures_a_day,
        ),
        gone("a rack lost".into(), target.taken(Assumed::MachinesARack)),
        gone("a zone lost".into(), target.machines / target.zones),
        Trouble {
            name: "an hour without another region: its machines silent for all others".into(),
            machines: region,
            changes: 2.0 * region,
            schedulers: schedulers * (1.0 - 1.0 / target.regions),
        },
        Trouble {
            name: "the same: a region's schedulers told nothing, all words of the hour told at its end"
                .into(),
            machines: 0.0,
            changes: hour,
            schedulers: schedulers / target.regions,
        },
    ]
}

/// Messages and time of each, from the prices of one event.
pub fn of_trouble(worked: &[Worked], needs: &Needs, target: &Target) -> String {
    let each = |name: &str| {
        worked
            .iter()
            .find(|w| w.need.name == name)
            .and_then(Worked::each)
    };
    let prices = &needs.prices;
    let (start, change_time, change_bytes) = (
        each(&prices.start),
        each(&prices.change_time),
        each(&prices.change_bytes),
    );
    let (whole_time, whole_bytes) = (each(&prices.whole_time), each(&prices.whole_bytes));
    let rows = troubles(target).into_iter().map(|t| {
        let tasks = t.machines * target.standing / target.machines;
        let of_one = tasks / t.schedulers.max(1.0);
        let bytes = change_bytes.map(|b| b * t.changes);
        let time = change_time
            .zip(start)
            .map(|(change, start)| change * t.changes + start * of_one);
        let share = |figure: Option<f64>, budget: f64| figure.map(|f| f / budget);
        vec![
            t.name,
            short(Some(t.machines)),
            short(Some(tasks)),
            short(Some(t.changes)),
            with_unit(bytes, "bytes"),
            with_unit(share(bytes, target.bytes_a_second), "s"),
            with_unit(bytes.map(|b| b * t.schedulers), "bytes"),
            with_unit(time, "s"),
            with_unit(share(time, target.core_share), "s"),
            with_unit(Some(tasks / target.starts_a_second), "s"),
        ]
    });
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
    let told = table(&head, rows.collect());
    let whole = format!(
        "\nA whole list instead: {}, {} at {}; {} of processor time, {} at {}.\n",
        with_unit(whole_bytes, "bytes"),
        with_unit(whole_bytes.map(|b| b / target.bytes_a_second), "s"),
        with_unit(Some(target.bytes_a_second), "bytes/s"),
        with_unit(whole_time, "s"),
        with_unit(whole_time.map(|t| t / target.core_share), "s"),
        with_unit(Some(target.core_share), "cores"),
    );
    told + &whole
}
