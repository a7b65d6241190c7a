//! Requirements of a job: class, tenant, resources and deadline.

use super::attributes::{AttributeError, NATIVE_SPECIFICATION};
use super::micros;
use peppercove::{Micros, NodeKind};
use peppercove_config::Config;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::native::NativeSpecification;
use peppercove_protocol::rpc::JobTemplate;

/// Requirements of a job.
pub(super) struct Requirements {
    /// Index of the class.
    pub(super) class: u16,
    /// Index of the tenant.
    pub(super) tenant: u32,
    pub(super) cores: f64,
    pub(super) memory: f64,
    /// Time from the submission to the placement deadline.
    pub(super) deadline_in: Micros,
}

impl Requirements {
    pub(super) fn new(
        config: &Config,
        template: &JobTemplate,
        native: &NativeSpecification,
    ) -> Result<Requirements, AttributeError> {
        let class = class_index(config, template, native)?;
        let tenant = tenant_index(config, native)?;
        let deadline_in = deadline(config, class, native)?;
        let (default_cores, default_memory) = config.class_defaults[usize::from(class)];
        let cores = native.cores.unwrap_or(default_cores);
        let memory = native.memory.unwrap_or(default_memory);
        check_resources(config, cores, memory)?;
        Ok(Requirements {
            class,
            tenant,
            cores,
            memory,
            deadline_in,
        })
    }
}

/// Returns the class named in the native specification, otherwise the one in the job category, otherwise the default.
fn class_index(
    config: &Config,
    template: &JobTemplate,
    native: &NativeSpecification,
) -> Result<u16, AttributeError> {
    const CATEGORY: &str = "drmaa_job_category";
    let in_native = native
        .class
        .as_deref()
        .map(|name| (NATIVE_SPECIFICATION, name));
    let in_category = template.get(CATEGORY).map(|name| (CATEGORY, name));
    let Some((attribute, name)) = in_native.or(in_category) else {
        return Ok(config.default_class);
    };
    match config.classes.iter().position(|class| class == name) {
        Some(index) => Ok(index as u16),
        None => {
            let classes = config.classes.join(", ");
            let reason = format!("unknown class '{name}'; known classes: {classes}");
            Err(AttributeError::invalid_value(attribute, reason))
        }
    }
}

/// Returns the tenant named in the native specification, otherwise the first one.
fn tenant_index(config: &Config, native: &NativeSpecification) -> Result<u32, AttributeError> {
    let Some(name) = &native.tenant else {
        return Ok(0);
    };
    match config.tenants.iter().position(|tenant| tenant == name) {
        Some(index) => Ok(index as u32),
        None => {
            let reason = format!("unknown tenant '{name}'");
            Err(AttributeError::invalid_value(NATIVE_SPECIFICATION, reason))
        }
    }
}

/// Returns the placement deadline. It must leave time in addition to the margin for the answer, and must not exceed the
/// deadline of the class.
fn deadline(
    config: &Config,
    class: u16,
    native: &NativeSpecification,
) -> Result<Micros, AttributeError> {
    let latest = config.scheduler.classes[usize::from(class)].deadline;
    let earliest = 2 * micros(config.limits.deadline_margin);
    let deadline = native.deadline.map_or(latest, micros);
    if deadline <= earliest || deadline > latest {
        let name = &config.classes[usize::from(class)];
        let reason = format!(
            "deadline must be greater than {earliest} us and at most that of class {name}, {latest} us"
        );
        return Err(AttributeError::invalid_value(NATIVE_SPECIFICATION, reason));
    }
    Ok(deadline)
}

/// Checks that cores and memory do not exceed the maximum over all node kinds.
fn check_resources(config: &Config, cores: f64, memory: f64) -> Result<(), AttributeError> {
    let scheduler = &config.scheduler;
    let largest = |capacity: fn(&NodeKind) -> f64| {
        scheduler
            .node_kinds
            .iter()
            .map(capacity)
            .fold(0.0, f64::max)
    };
    let max_cores = largest(|kind| kind.cores) * scheduler.cores_overcommit;
    let max_memory = largest(|kind| kind.memory) * scheduler.memory_overcommit;
    if cores > max_cores || memory > max_memory {
        let reason = format!(
            "no node kind accepts {cores} cores and {memory} memory; the maximum is {max_cores} and {max_memory}"
        );
        return Err(AttributeError::new(
            Errno::DeniedByDrm,
            NATIVE_SPECIFICATION,
            reason,
        ));
    }
    Ok(())
}
