//! Validates names and formats of template attributes.

use peppercove_protocol::drmaa::{Errno, SCALAR_ATTRIBUTES, VECTOR_ATTRIBUTES};
use peppercove_protocol::rpc::{JobTemplate, RpcError};

/// The attribute for everything that DRMAA does not define an attribute for.
pub(super) const NATIVE_SPECIFICATION: &str = "drmaa_native_specification";

/// An invalid attribute.
#[derive(Debug, thiserror::Error)]
#[error("{attribute}: {reason}")]
pub(super) struct AttributeError {
    pub(super) errno: Errno,
    pub(super) attribute: String,
    pub(super) reason: String,
}

impl AttributeError {
    pub(super) fn invalid_value(attribute: &str, reason: impl Into<String>) -> AttributeError {
        AttributeError::new(Errno::InvalidAttributeValue, attribute, reason)
    }

    pub(super) fn invalid_format(attribute: &str, reason: impl Into<String>) -> AttributeError {
        AttributeError::new(Errno::InvalidAttributeFormat, attribute, reason)
    }

    pub(super) fn new(errno: Errno, attribute: &str, reason: impl Into<String>) -> AttributeError {
        AttributeError {
            errno,
            attribute: attribute.into(),
            reason: reason.into(),
        }
    }
}

impl From<AttributeError> for RpcError {
    fn from(error: AttributeError) -> RpcError {
        let mut rpc_error = RpcError::drmaa(error.errno, error.to_string());
        if let Some(data) = &mut rpc_error.data {
            data.attribute = Some(error.attribute);
        }
        rpc_error
    }
}

/// Checks that all attributes are known.
pub(super) fn check_names(template: &JobTemplate) -> Result<(), AttributeError> {
    let is_unknown =
        |known: &'static [&'static str]| move |name: &&String| !known.contains(&name.as_str());
    let scalars = template
        .attributes
        .keys()
        .filter(is_unknown(SCALAR_ATTRIBUTES));
    let vectors = template
        .vectors
        .keys()
        .filter(is_unknown(VECTOR_ATTRIBUTES));
    match scalars.chain(vectors).next() {
        Some(name) => Err(AttributeError::new(
            Errno::InvalidArgument,
            name,
            "unknown attribute",
        )),
        None => Ok(()),
    }
}

/// Returns the command to run, which is required.
pub(super) fn remote_command(template: &JobTemplate) -> Result<&str, AttributeError> {
    const ATTRIBUTE: &str = "drmaa_remote_command";
    let missing = || AttributeError::invalid_value(ATTRIBUTE, "required but missing");
    template.get(ATTRIBUTE).ok_or_else(missing)
}

/// Whether the job is submitted on hold.
pub(super) fn is_held(template: &JobTemplate) -> Result<bool, AttributeError> {
    const ATTRIBUTE: &str = "drmaa_js_state";
    match template.get(ATTRIBUTE) {
        None | Some("drmaa_active") => Ok(false),
        Some("drmaa_hold") => Ok(true),
        Some(other) => {
            let reason = format!("'{other}' is neither drmaa_active nor drmaa_hold");
            Err(AttributeError::invalid_value(ATTRIBUTE, reason))
        }
    }
}

/// Checks the formats of paths, switches and environment variables.
pub(super) fn check_formats(template: &JobTemplate) -> Result<(), AttributeError> {
    for attribute in ["drmaa_input_path", "drmaa_output_path", "drmaa_error_path"] {
        if let Some(path) = template.get(attribute).filter(|path| !path.contains(':')) {
            let reason = format!("'{path}' does not have the form [hostname]:path");
            return Err(AttributeError::invalid_format(attribute, reason));
        }
    }
    check_choice(template, "drmaa_join_files", ["y", "n"])?;
    check_choice(template, "drmaa_block_email", ["0", "1"])?;
    check_environment(template)
}

fn check_choice(
    template: &JobTemplate,
    attribute: &str,
    choices: [&str; 2],
) -> Result<(), AttributeError> {
    match template.get(attribute) {
        Some(value) if !choices.contains(&value) => {
            let [first, second] = choices;
            let reason = format!("'{value}' is neither {first} nor {second}");
            Err(AttributeError::invalid_value(attribute, reason))
        }
        Some(_) | None => Ok(()),
    }
}

fn check_environment(template: &JobTemplate) -> Result<(), AttributeError> {
    const ATTRIBUTE: &str = "drmaa_v_env";
    let is_wrong = |entry: &&String| !entry.contains('=') || entry.starts_with('=');
    match template.vector(ATTRIBUTE).iter().find(is_wrong) {
        Some(entry) => {
            let reason = format!("'{entry}' does not have the form NAME=VALUE");
            Err(AttributeError::invalid_format(ATTRIBUTE, reason))
        }
        None => Ok(()),
    }
}
