//! Discrete-event simulation of scenarios: the real core and the scheduler (the decision module) run with models of
//! nodes, node list and clients. The simulated network delays and loses messages and breaks connections; the audit
//! checks the traffic on it.
//!
//! A run uses no sockets, threads or clocks, so that the same seed reproduces it exactly. [`simulate`] runs a
//! [`Scenario`]; `peppercove-day` runs the same scenarios on sockets. Decisions of the daemon's I/O code are in
//! `peppercove-exchange`, which both use. [`fuzz`] generates random scenarios and shrinks those that fail.

pub mod client_model;
pub mod fuzz;
pub mod report;
pub mod scenario;
mod simulator;

pub use report::{PlacementDelays, ScenarioReport};
pub use scenario::Scenario;
pub use simulator::{simulate, simulate_with_decider, simulate_with_events, simulate_with_subset};

/// Returns the built-in scenarios: names and contents of their files.
pub fn built_in_scenarios() -> &'static [(&'static str, &'static str)] {
    &[
        ("quiet", include_str!("../days/quiet.xml")),
        ("hang", include_str!("../days/hang.xml")),
        ("answers-lost", include_str!("../days/answers-lost.xml")),
        ("never-confirms", include_str!("../days/never-confirms.xml")),
        ("class-fails", include_str!("../days/class-fails.xml")),
        ("false-refusals", include_str!("../days/false-refusals.xml")),
        ("ageing", include_str!("../days/ageing.xml")),
        ("dies", include_str!("../days/dies.xml")),
        ("cold-restart", include_str!("../days/cold-restart.xml")),
        ("drains", include_str!("../days/drains.xml")),
        ("list-stale", include_str!("../days/list-stale.xml")),
        ("list-down", include_str!("../days/list-down.xml")),
        ("neighbour", include_str!("../days/neighbour.xml")),
        ("accepted", include_str!("../days/accepted.xml")),
        ("reports-late", include_str!("../days/reports-late.xml")),
        ("flush", include_str!("../days/flush.xml")),
        ("cut", include_str!("../days/cut.xml")),
        ("liars", include_str!("../days/liars.xml")),
        ("burst", include_str!("../days/burst.xml")),
        ("bad-clients", include_str!("../days/bad-clients.xml")),
        (
            "controller-killed",
            include_str!("../days/controller-killed.xml"),
        ),
        ("rack-cut-off", include_str!("../days/rack-cut-off.xml")),
        (
            "update-in-doubt",
            include_str!("../days/update-in-doubt.xml"),
        ),
        ("overlapping", include_str!("../days/overlapping.xml")),
    ]
}
