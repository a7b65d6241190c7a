//! Scenarios on real sockets: controllers, fake nodes and a node list on loopback, a workload, faults over time, and
//! proxies on every socket that record what crosses it for the audit.
//!
//! [`Scenario`] is read from a file; [`run_scenario`] runs it; [`capturing_proxy`] records; [`incident_import`] turns a
//! recording of the bench into a scenario. [`cluster`] is a small cluster to look at and to test against.

pub mod capturing_proxy;
pub mod clients;
pub mod cluster;
pub mod incident_import;
pub mod runner;

pub use peppercove_kernel::{Scenario, ScenarioReport, built_in_scenarios, scenario};
pub use runner::{RunOptions, run_scenario};
