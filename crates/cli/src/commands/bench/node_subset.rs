//! `peppercove bench view`: what a bounded subset of the nodes costs and saves, hollow and in simulated time.
//!
//! One or more schedulers, the real code, run in this process with nodes that are a few numbers each; no byte crosses a
//! socket. The decision module alone and the module with its node subset are given the same list, the same changes of it
//! and the same tasks. Times are wall times of the calls of the scheduler; processor time is their sum, times the share of
//! the run in which this thread had a processor.

pub mod arguments;
mod fake_node;
mod plan;
mod row;
mod simulation;
mod subject;

use anyhow::Result;
use arguments::NodeSubsetArguments;
use simulation::Simulation;

/// Runs the plans and prints their rows, as a table or as JSON.
pub fn run(arguments: &NodeSubsetArguments) -> Result<()> {
    let services = arguments.services.max(1);
    let plans = if arguments.measures_quality {
        plan::quality_plans(arguments.quick, services)
    } else {
        plan::cost_plans(arguments.quick, services)
    };
    let mut rows = Vec::new();
    for plan in plans {
        let row = Simulation::new(plan)?.run()?;
        if arguments.json {
            println!("{}", serde_json::to_string(&row)?);
        }
        rows.push(row);
    }
    if !arguments.json {
        let table = if arguments.measures_quality {
            row::quality_table(&rows)
        } else {
            row::cost_table(&rows)
        };
        println!("{table}");
    }
    Ok(())
}
