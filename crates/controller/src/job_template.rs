//! Converts a DRMAA job template into a submission and validates its attributes.

mod attributes;
mod program;
mod requirements;
mod start_time;

use attributes::AttributeError;
use peppercove::{ServiceId, TaskKey};
use peppercove_config::Config;
use peppercove_core::Submission;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::native::{self, NativeSpecification};
use peppercove_protocol::rpc::{JobTemplate, RpcError};
use requirements::Requirements;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a submission key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A job that is ready to be submitted, with its earliest start time.
#[derive(Clone, Debug, PartialEq)]
pub struct PreparedJob {
    /// The submission that is passed to the core.
    pub submission: Submission,
    /// `drmaa_start_time` in seconds since 1970; the job is on hold until then.
    pub start_at: Option<i64>,
}

/// Converts a template into a submission. `index` is the job's index in a bulk submission.
///
/// # Errors
/// The DRMAA error that GFD.133, section 3.2, defines for the invalid attribute, with the attribute's name.
pub fn prepare_submission(
    config: &Config,
    session: &str,
    key: &str,
    template: &JobTemplate,
    index: Option<i64>,
) -> Result<PreparedJob, RpcError> {
    check_key(key)?;
    attributes::check_names(template)?;
    let command = attributes::remote_command(template)?;
    let is_held = attributes::is_held(template)?;
    attributes::check_formats(template)?;
    let native = native_specification(template)?;
    let requirements = Requirements::new(config, template, &native)?;
    let Requirements {
        class,
        tenant,
        cores,
        memory,
        deadline_in,
    } = requirements;
    let start_at = start_time::read(template)?;
    let name = template.get("drmaa_job_name").unwrap_or(command);
    let previous_controller = native.previous_controller.as_deref();
    let submission = Submission {
        session: session.into(),
        key: key.into(),
        task: task_key(&requirements, &native, session, key, index),
        service: ServiceId(hash(&format!("{class}\n{tenant}\n{name}"))),
        class,
        tenant,
        cores,
        memory,
        deadline_in,
        expected_duration: native.expected_duration.map(micros),
        is_retry: native.is_retry || previous_controller.is_some(),
        requested_elsewhere: previous_controller.is_some_and(|name| name != config.name),
        on_hold: is_held || start_at.is_some(),
        program: program::program(template, command, &native, index),
    };
    // A job that the client itself put on hold is released only by the client.
    let start_at = start_at.filter(|_| !is_held);
    Ok(PreparedJob {
        submission,
        start_at,
    })
}

fn check_key(key: &str) -> Result<(), RpcError> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.contains('\n') {
        let message =
            format!("submissionKey must be 1 to {MAX_KEY_BYTES} bytes long, without line breaks");
        return Err(RpcError::drmaa(Errno::InvalidArgument, message));
    }
    Ok(())
}

fn native_specification(template: &JobTemplate) -> Result<NativeSpecification, AttributeError> {
    let text = template
        .get(attributes::NATIVE_SPECIFICATION)
        .unwrap_or_default();
    native::parse(text).map_err(|error| {
        AttributeError::invalid_value(attributes::NATIVE_SPECIFICATION, error.to_string())
    })
}

/// Derives the key of the task from its name if the client gives one, otherwise from the session and submission key.
fn task_key(
    requirements: &Requirements,
    native: &NativeSpecification,
    session: &str,
    key: &str,
    index: Option<i64>,
) -> TaskKey {
    let Requirements { class, tenant, .. } = requirements;
    TaskKey(match &native.task {
        Some(task) => hash(&format!(
            "task\n{tenant}\n{class}\n{task}\n{}",
            index.unwrap_or(0)
        )),
        None => hash(&format!("key\n{session}\n{key}")),
    })
}

fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
