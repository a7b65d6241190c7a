//! Conversion of random scenarios to scenario files.

use super::random_scenario::{Fault, Job, NodeGroup, RandomScenario, Target, Workload};
use crate::scenario::Scenario;
use std::fmt;
use std::path::Path;

impl RandomScenario {
    /// Returns the contents of a scenario file.
    pub fn to_xml(&self) -> String {
        self.to_string()
    }

    /// Converts the scenario to the form that is run.
    ///
    /// # Panics
    /// Never: generated scenarios are valid.
    pub fn to_scenario(&self) -> Scenario {
        let xml = self.to_xml();
        match Scenario::parse(&xml, Path::new(".")) {
            Ok(scenario) => scenario,
            Err(error) => unreachable!("random scenario is invalid: {error}\n{xml}"),
        }
    }
}

impl fmt::Display for RandomScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "<day name=\"hunt\" length=\"{}ms\" after=\"25s\" seed=\"{}\">",
            self.duration_ms, self.seed
        )?;
        write!(f, "  <fleet controllers=\"{}\"", self.controllers)?;
        write!(f, " list-late=\"{}ms\"", self.list_delay_ms)?;
        write!(f, " confirms=\"{}\"", self.confirms)?;
        write!(f, " preempts=\"{}\"", self.preempts)?;
        writeln!(f, " owners-move=\"{}\">", self.failover_share)?;
        write_all(f, &self.node_groups)?;
        writeln!(f, "  </fleet>")?;
        write_all(f, &self.workloads)?;
        write_all(f, &self.jobs)?;
        write_all(f, &self.faults)?;
        writeln!(f, "</day>")
    }
}

fn write_all(f: &mut fmt::Formatter<'_>, elements: &[impl fmt::Display]) -> fmt::Result {
    elements
        .iter()
        .try_for_each(|element| writeln!(f, "{element}"))
}

impl fmt::Display for NodeGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "    <nodes count=\"{}\"", self.count)?;
        write!(f, " kind=\"{}\"", self.kind)?;
        write!(f, " racks=\"{}\"", self.racks)?;
        write!(f, " first-rack=\"{}\"", self.first_rack)?;
        write!(f, " drain=\"{}\"", self.drain)?;
        write!(f, " start=\"{}ms\"/>", self.start_ms)
    }
}

impl fmt::Display for Workload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  <load class=\"{}\"", self.class)?;
        write!(f, " rate=\"{}\"", self.rate)?;
        write!(f, " life=\"{}ms\"", self.run_time_ms)?;
        write!(f, " services=\"{}\"/>", self.services)
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  <job at=\"{}ms\"", self.at_ms)?;
        write!(f, " class=\"{}\"", self.class)?;
        write!(f, " service=\"s{}\"", self.service)?;
        write!(f, " life=\"{}ms\"", self.run_time_ms)?;
        write!(f, " controller=\"{}\"/>", self.controller)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  <fault kind=\"{}\"", self.kind)?;
        write!(f, " at=\"{}ms\"", self.at_ms)?;
        write!(f, " for=\"{}ms\"", self.duration_ms)?;
        write!(f, " {}", self.target)?;
        if let Some(class) = self.class {
            write!(f, " class=\"{class}\"")?;
        }
        write!(f, " size=\"{}\"/>", self.magnitude)
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Share(share) => write!(f, "share=\"{share}\""),
            Target::Node(index) => write!(f, "node=\"n{index}\""),
            Target::Rack(number) => write!(f, "rack=\"{number}\""),
            Target::Controller(index) => write!(f, "controller=\"{index}\""),
        }
    }
}
