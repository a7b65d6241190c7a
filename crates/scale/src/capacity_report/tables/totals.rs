//! The table of the total demand of all schedulers, compared with the nodes reserved for control.

use crate::capacity_report::demand::Demand;
use crate::capacity_report::format::{
    format_figure, format_with_unit, markdown_table_or_not_measured,
};
use crate::capacity_report::needs::Budget;
use crate::target::{OpenQuantity, Target};
use std::collections::BTreeMap;

/// The resources whose demand adds up over processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Resource {
    Core,
    Memory,
    Bandwidth,
}

impl Resource {
    fn of(budget: Budget) -> Option<Resource> {
        match budget {
            Budget::Core => Some(Resource::Core),
            Budget::Memory => Some(Resource::Memory),
            Budget::Bandwidth => Some(Resource::Bandwidth),
            Budget::Descriptors
            | Budget::ListLine
            | Budget::ListFrame
            | Budget::InForce
            | Budget::UrgentStart
            | Budget::None => None,
        }
    }

    fn description(self) -> &'static str {
        match self {
            Resource::Core => "processor time",
            Resource::Memory => "memory",
            Resource::Bandwidth => "bytes a second",
        }
    }

    fn unit(self) -> &'static str {
        match self {
            Resource::Core => "cores",
            Resource::Memory => "bytes",
            Resource::Bandwidth => "bytes/s",
        }
    }
}

/// Generates the table of totals: for each role and resource the largest demand times the number of schedulers. The
/// budgets are per scheduler, whichever role a row was measured on.
pub fn totals(demands: &[Demand], target: &Target) -> String {
    let mut largest: BTreeMap<(&str, Resource), f64> = BTreeMap::new();
    for demand in demands {
        let Some(amount) = demand.amount else {
            continue;
        };
        let Some(resource) = Resource::of(demand.need.budget) else {
            continue;
        };
        let total = amount * target.assumed(OpenQuantity::Schedulers);
        let entry = largest
            .entry((demand.need.role.as_str(), resource))
            .or_default();
        *entry = entry.max(total);
    }
    let row = |((role, resource), total): ((&str, Resource), f64)| {
        vec![
            role.to_owned(),
            resource.description().to_owned(),
            format_with_unit(Some(total), resource.unit()),
            share_of_control_nodes(resource, total, target),
        ]
    };
    markdown_table_or_not_measured(
        &["measured on", "what", "all schedulers", "share"],
        largest.into_iter().map(row).collect(),
    )
}

fn share_of_control_nodes(resource: Resource, total: f64, target: &Target) -> String {
    let cores = target.control_nodes * target.assumed(OpenQuantity::CoresPerNode);
    match resource {
        Resource::Core => format!(
            "{} of {} cores set aside",
            format_figure(Some(total / cores)),
            format_figure(Some(cores))
        ),
        Resource::Memory | Resource::Bandwidth => {
            let per_node = format_with_unit(Some(total / target.control_nodes), resource.unit());
            format!("{per_node} on each machine set aside")
        }
    }
}
