//! The rows of `bench view`, as JSON and as tables.

use crate::tables::new_table;
use comfy_table::Table;
use serde::Serialize;

/// One run. The names of the JSON keys are those of the stored rows in `bench/view` and stay as they are.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Nodes of the fleet.
    #[serde(rename = "machines")]
    pub nodes: usize,
    /// Schedulers by the settings.
    pub schedulers: u32,
    /// Schedulers that are real; the load of the others is drawn.
    #[serde(rename = "real")]
    pub real_schedulers: usize,
    /// Nodes of a subset without what zones and kinds add; `None` where the module sees the whole fleet.
    #[serde(rename = "size")]
    pub subset_size: Option<u64>,
    /// Whether a subset left out nodes.
    #[serde(rename = "bounded")]
    pub is_bounded: bool,
    /// Always true: no sockets are involved.
    #[serde(rename = "hollow")]
    pub is_hollow: bool,
    /// Most nodes that one module knew at the end.
    #[serde(rename = "held")]
    pub known_nodes: usize,
    /// Nodes that one scheduler offered tasks to, in the mean.
    #[serde(rename = "contacted")]
    pub contacted_nodes: f64,
    /// Requests.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Requests placed.
    pub placed: u64,
    /// Share of the requests placed within the latency objective.
    pub timely: f64,
    /// Final rejections and failures.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Offers that a node rejected, for each offer.
    #[serde(rename = "offers_refused")]
    pub offers_rejected: f64,
    /// Tasks migrated.
    #[serde(rename = "moved")]
    pub migrated: u64,
    /// Most offers to a node in slow start within the overload window, by all real schedulers.
    #[serde(rename = "cold_most")]
    pub slow_start_most: usize,
    /// The offers that such a node always bears.
    #[serde(rename = "cold_bears")]
    pub slow_start_budget: f64,
    /// Median time of the call that places a request, microseconds.
    #[serde(rename = "bind_p50_us")]
    pub place_p50_us: u64,
    /// 99th percentile of the same, microseconds.
    #[serde(rename = "bind_p99_us")]
    pub place_p99_us: u64,
    /// Processor time of all calls for each task placed, microseconds.
    #[serde(rename = "processor_us_a_start")]
    pub cpu_us_per_start: f64,
    /// The longest call, microseconds.
    pub longest_us: u64,
    /// The call with the first full list, microseconds.
    #[serde(rename = "whole_list_us")]
    pub full_list_us: u64,
    /// Entries of list events that one module was given after the first, in the mean.
    #[serde(rename = "list_lines")]
    pub list_entries: f64,
    /// Bytes of the same.
    pub list_bytes: f64,
    /// Standard deviation over the nodes of the requested share of cores, in the mean over the run.
    #[serde(rename = "spread")]
    pub load_deviation: f64,
    /// Different nodes that tasks of one service ran on, in the mean over services.
    #[serde(rename = "hosts_a_service")]
    pub nodes_per_service: f64,
    /// Nodes with a task or more, in the mean over the run.
    #[serde(rename = "opened")]
    pub occupied_nodes: f64,
}

impl Row {
    fn subject(&self) -> String {
        match (self.subset_size, self.is_bounded) {
            (None, _) => "module alone".to_owned(),
            (Some(size), true) => format!("view of {size}"),
            (Some(size), false) => format!("view of {size}, not bounded"),
        }
    }
}

/// What the subsets cost.
pub fn cost_table(rows: &[Row]) -> Table {
    let mut table = new_table([
        "machines",
        "hollow",
        "held",
        "contacted",
        "placed",
        "bind p50 us",
        "p99 us",
        "CPU us/start",
        "longest us",
        "whole list us",
        "list lines",
        "list KB",
    ]);
    for row in rows {
        table.add_row([
            row.nodes.to_string(),
            row.subject(),
            row.known_nodes.to_string(),
            format!("{:.0}", row.contacted_nodes),
            row.placed.to_string(),
            row.place_p50_us.to_string(),
            row.place_p99_us.to_string(),
            format!("{:.0}", row.cpu_us_per_start),
            row.longest_us.to_string(),
            row.full_list_us.to_string(),
            format!("{:.0}", row.list_entries),
            format!("{:.0}", row.list_bytes / 1e3),
        ]);
    }
    table
}

/// What the subsets do to the quality of placements.
pub fn quality_table(rows: &[Row]) -> Table {
    let mut table = new_table([
        "machines",
        "schedulers",
        "hollow",
        "held",
        "contacted",
        "asked",
        "timely",
        "refused",
        "offers refused",
        "cold, most",
        "spread",
        "hosts a service",
        "opened",
        "CPU us/start",
    ]);
    for row in rows {
        table.add_row([
            row.nodes.to_string(),
            row.schedulers.to_string(),
            row.subject(),
            row.known_nodes.to_string(),
            format!("{:.0}", row.contacted_nodes),
            row.requested.to_string(),
            format!("{:.3}", row.timely),
            row.rejected.to_string(),
            format!("{:.4}", row.offers_rejected),
            row.slow_start_most.to_string(),
            format!("{:.3}", row.load_deviation),
            format!("{:.1}", row.nodes_per_service),
            format!("{:.0}", row.occupied_nodes),
            format!("{:.0}", row.cpu_us_per_start),
        ]);
    }
    table
}
