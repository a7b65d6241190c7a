//! Builds the program that a job runs.

use peppercove_core::Program;
use peppercove_protocol::native::NativeSpecification;
use peppercove_protocol::rpc::JobTemplate;

/// Placeholder for the index of a bulk job (GFD.133, section 3.2.2).
const INDEX_PLACEHOLDER: &str = "$drmaa_incr_ph$";

/// Builds the program of a template. `index` is the job's index in a bulk submission.
pub(super) fn program(
    template: &JobTemplate,
    command: &str,
    native: &NativeSpecification,
    index: Option<i64>,
) -> Program {
    let insert_index = |text: &str| match index {
        Some(index) => text.replace(INDEX_PLACEHOLDER, &index.to_string()),
        None => text.into(),
    };
    Program {
        command: command.into(),
        args: template.vector("drmaa_v_argv").to_vec(),
        env: environment(template, native, index),
        working_directory: template.get("drmaa_wd").map(insert_index),
    }
}

/// Returns the environment of the template, extended by variables for simulated nodes and bulk jobs.
fn environment(
    template: &JobTemplate,
    native: &NativeSpecification,
    index: Option<i64>,
) -> Vec<String> {
    let mut env = template.vector("drmaa_v_env").to_vec();
    if let Some(duration) = native.expected_duration {
        env.push(format!("PEPPERCOVE_LIFE_US={}", duration.as_micros()));
    }
    if let Some(exit_status) = native.exit_status {
        env.push(format!("PEPPERCOVE_EXIT={exit_status}"));
    }
    if let Some(index) = index {
        env.push(format!("PEPPERCOVE_INDEX={index}"));
    }
    env
}
