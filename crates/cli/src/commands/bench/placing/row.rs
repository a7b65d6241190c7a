//! The rows of `bench placing`, as JSON and as a table.

use crate::tables::new_table;
use anyhow::Result;
use serde::Serialize;

/// One measurement. The names of the JSON keys stay as they are.
#[derive(Debug, Serialize)]
pub struct Row {
    /// What was measured: `relay` or `controller`.
    #[serde(rename = "what")]
    pub subject: &'static str,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Jobs a second that were requested; `None` where it was as many as possible.
    #[serde(rename = "asked")]
    pub requested: Option<f64>,
    /// Placements a second.
    pub placed: f64,
    /// Median of the delay added, microseconds.
    pub p50: u64,
    /// 99th percentile of the delay added, microseconds.
    pub p99: u64,
    /// 99.9th percentile of the delay added, microseconds.
    pub p999: u64,
    /// Resident memory of the process at the end, KiB.
    pub resident: u64,
    /// Processor time of a placement, microseconds.
    pub cpu: f64,
}

/// Prints one JSON object a line.
pub fn print_json(rows: &[Row]) -> Result<()> {
    for row in rows {
        println!("{}", serde_json::to_string(row)?);
    }
    Ok(())
}

/// Prints a table, and for each size of the fleet how the controller compares with the relay.
pub fn print_table(rows: &[Row], fleet_sizes: &[usize]) {
    let mut table = new_table([
        "what",
        "nodes",
        "asked/s",
        "placed/s",
        "p50 us",
        "p99 us",
        "p99.9 us",
        "resident KiB",
        "CPU us/placing",
    ]);
    for row in rows {
        table.add_row([
            row.subject.to_owned(),
            row.nodes.to_string(),
            row.requested
                .map_or("all".into(), |rate| format!("{rate:.0}")),
            format!("{:.0}", row.placed),
            row.p50.to_string(),
            row.p99.to_string(),
            row.p999.to_string(),
            row.resident.to_string(),
            format!("{:.1}", row.cpu),
        ]);
    }
    println!("{table}");
    for nodes in fleet_sizes {
        let unlimited = |subject| {
            let is_unlimited = |r: &&Row| r.nodes == *nodes && r.requested.is_none();
            rows.iter()
                .filter(is_unlimited)
                .find(|r| r.subject == subject)
        };
        if let (Some(controller), Some(relay)) = (unlimited("controller"), unlimited("relay")) {
            let share = controller.placed / relay.placed;
            println!("{nodes} nodes: the controller places {share:.2} of what the relay passes on");
        }
    }
}
