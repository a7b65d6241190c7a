//! Scripted days: a fleet on loopback sockets, a load, faults over time, taps between them, and the verdict.
//!
//! [`script`] reads a day; [`mod@runner`] plays it with real controllers, stand-in nodes and a node list; [`capturing_proxy`] sits on
//! every socket and writes down what crosses it; the audit judges that. [`incident_import`] turns a recording of the bench
//! into a day.

pub mod capturing_proxy;
pub mod clients;
pub mod cluster;
pub mod incident_import;
pub mod runner;

pub use peppercove_kernel::{Scenario, ScenarioReport, built_in_scenarios, scenario};
pub use runner::{RunOptions, run_scenario};
