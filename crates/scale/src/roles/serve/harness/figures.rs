//! Figures of a hollow instance.

use super::ServeHarness;
use crate::error::MeasureError;
use crate::harness::{Harness, RunLimits};
use crate::row::{Basis, Figure};
use crate::traffic::Traffic;
use crate::workload::SECOND;
use peppercove::Micros;

/// Microseconds of simulated time in the idle measurement, without starts or list changes.
const IDLE_TIME: Micros = 3 * SECOND;

impl ServeHarness {
    /// Returns the numbers of entries in the engine's tables, and of open connections.
    pub fn table_sizes(&self) -> Vec<Figure> {
        let node_connections = self.connections_by_node.len() as f64;
        let client_connections = self.simulation.cluster.sizes.connections as f64;
        let count = |name: &str, value: f64| Figure::counted(name, "count", value);
        vec![
            count("held_hosts", self.engine.known_nodes() as f64),
            count("held_standing", self.engine.running_tasks() as f64),
            count("held_open", self.engine.open_requests() as f64),
            count("held_links", node_connections),
            count("descriptors", client_connections + node_connections),
        ]
    }

    /// Returns the messages, bytes and CPU time per second of simulated time without starts or list changes, in total
    /// and per connection to a node.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    pub fn idle_figures(&mut self) -> Result<Vec<Figure>, MeasureError> {
        self.traffic.clear();
        self.simulation.timings.begin_window(0);
        self.run(RunLimits::span(IDLE_TIME))?;
        let seconds = IDLE_TIME as f64 / SECOND as f64;
        let (sent, received) = (self.traffic.of("test_out"), self.traffic.of("test_in"));
        let messages = (sent.messages + received.messages) as f64;
        let bytes = (sent.bytes + received.bytes) as f64;
        let connections = self.connections_by_node.len().max(1) as f64;
        let per_second = [("messages", messages / seconds), ("bytes", bytes / seconds)];
        let mut figures = Vec::new();
        for (unit, value) in per_second {
            figures.push(Figure::counted(
                &format!("rest_{unit}"),
                &format!("{unit}/s"),
                value,
            ));
        }
        for (unit, value) in per_second {
            let name = format!("rest_{unit}_link");
            figures.push(Figure::counted(
                &name,
                &format!("{unit}/s"),
                value / connections,
            ));
        }
        let cpu_micros = self.simulation.timings.window_micros() / seconds;
        let timed = |name, value| Figure::from_repeats(name, "us/s", Basis::Timed, vec![value]);
        figures.extend(timed("rest_time", cpu_micros));
        figures.extend(timed("rest_time_link", cpu_micros / connections));
        Ok(figures)
    }

    /// Returns messages and bytes per start by direction, the bytes of a list change, and the share of rejected
    /// requests.
    pub(super) fn counted_figures(&self) -> Vec<Figure> {
        let starts = self.traffic.of("owner_in").messages.max(1);
        let per_start = |name: &str, unit, count: u64| {
            Figure::counted(name, unit, count as f64 / starts as f64).with_samples(starts)
        };
        let mut figures = Vec::new();
        for direction in ["owner_in", "owner_out", "host_out", "host_in"] {
            let Traffic { messages, bytes } = self.traffic.of(direction);
            figures.push(per_start(
                &format!("{direction}_messages"),
                "messages",
                messages,
            ));
            figures.push(per_start(&format!("{direction}_bytes"), "bytes", bytes));
        }
        let change = self.traffic.of("list_change");
        figures.push(
            Figure::counted("list_change_bytes", "bytes", change.mean_bytes())
                .with_samples(change.messages),
        );
        figures.push(per_start("turned_away", "share", self.rejected));
        figures
    }
}
