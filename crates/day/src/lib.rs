//! Runs scenarios on real sockets: controllers, fake nodes and a node list on loopback, a workload, timed faults, and
//! proxies in front of every listener that capture the traffic for the audit.
//!
//! [`Scenario`] is parsed from a file, and [`run_scenario`] runs it. [`capturing_proxy`] captures the traffic.
//! [`incident_import`] turns a recording of the bench into a scenario. [`cluster`] starts a small cluster for
//! demonstrations and tests.

pub mod capturing_proxy;
pub mod clients;
pub mod cluster;
pub mod incident_import;
pub mod runner;

pub use peppercove_kernel::{Scenario, ScenarioReport, built_in_scenarios, scenario};
pub use runner::{RunOptions, run_scenario};
