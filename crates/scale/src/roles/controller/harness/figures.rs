//! Figures of a hollow controller.

use super::ControllerHarness;
use crate::error::MeasureError;
use crate::harness::{Harness, RunLimits};
use crate::row::{Basis, Figure};
use crate::traffic::Traffic;
use crate::workload::SECOND;
use peppercove::Micros;

/// Microseconds of simulated time in the idle measurement, without starts or list changes.
const IDLE_TIME: Micros = 3 * SECOND;

impl ControllerHarness {
    /// Returns the numbers of entries in the core's tables, and of open connections.
    pub fn table_sizes(&self) -> Vec<Figure> {
        let connections = self.connected_nodes + self.simulation.cluster.sizes.connections;
        let count = |name: &str, value: f64| Figure::counted(name, "count", value);
        vec![
            count("held_nodes", self.core.nodes().iter().count() as f64),
            count("held_jobs", self.core.jobs().len() as f64),
            count("held_standing", self.core.placed_tasks() as f64),
            count("held_open", self.core.open_requests() as f64),
            count("descriptors", connections as f64),
        ]
    }

    /// Returns the messages and CPU time per second of simulated time without starts or list changes.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    pub fn idle_figures(&mut self) -> Result<Vec<Figure>, MeasureError> {
        self.traffic.clear();
        self.simulation.timings.begin_window(0);
        self.run(RunLimits::span(IDLE_TIME))?;
        let seconds = IDLE_TIME as f64 / SECOND as f64;
        let messages = self.traffic.total_messages() as f64 / seconds;
        let cpu_micros = self.simulation.timings.window_micros() / seconds;
        let mut figures = vec![Figure::counted("rest_messages", "messages/s", messages)];
        figures.extend(Figure::from_repeats(
            "rest_time",
            "us/s",
            Basis::Timed,
            vec![cpu_micros],
        ));
        Ok(figures)
    }

    /// Returns messages and bytes per start by direction, and the bytes of a list change.
    pub(super) fn counted_figures(&self) -> Vec<Figure> {
        let starts = self.traffic.of("client_in").messages.max(1);
        let per_start = |name: &str, unit, count: u64| {
            Figure::counted(name, unit, count as f64 / starts as f64).with_samples(starts)
        };
        let mut figures = Vec::new();
        for direction in ["node_out", "node_in"] {
            let Traffic { messages, bytes } = self.traffic.of(direction);
            figures.push(per_start(
                &format!("{direction}_messages"),
                "messages",
                messages,
            ));
            figures.push(per_start(&format!("{direction}_bytes"), "bytes", bytes));
        }
        let messages = |kind| self.traffic.of(kind).messages;
        figures.extend([
            per_start("client_out_messages", "messages", messages("client_out")),
            per_start("journal_entries", "count", messages("journal")),
            per_start("turned_away", "share", messages("turned_away")),
        ]);
        let change = self.traffic.of("list_change");
        figures.push(
            Figure::counted("list_change_bytes", "bytes", change.mean_bytes())
                .with_samples(change.messages),
        );
        figures
    }
}
