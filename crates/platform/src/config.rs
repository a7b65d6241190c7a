//! The configuration of a controller, in the platform's JSON format.

use crate::endpoint_watch::{self, EndpointEvent};
use peppercove::adapter_protocol::{ProtocolError, RecordSchema, read_settings};
use peppercove::{Micros, Settings};
use serde::Deserialize;
use std::net::SocketAddr;

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not valid JSON, or a field is missing.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings of the scheduler are invalid.
    #[error("configuration: {0}")]
    Settings(#[from] ProtocolError),
    /// A value is out of range or cannot be parsed.
    #[error("configuration: {key}: {problem}")]
    Value {
        /// The configuration key.
        key: &'static str,
        /// Description of the problem.
        problem: String,
    },
    /// The configuration and an environment variable contradict each other.
    #[error(
        "configuration: {key} is {file}, but the environment variable {variable} is {environment}"
    )]
    EnvironmentMismatch {
        /// The configuration key.
        key: &'static str,
        /// Value in the configuration file.
        file: String,
        /// Name of the environment variable.
        variable: &'static str,
        /// Value of the environment variable.
        environment: String,
    },
}

/// The configuration file, with the platform's field names.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    journal: SocketAddr,
    known: InitialEndpoints,
    settings: serde_json::Value,
}

/// Resource limits of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Number of CPU cores.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of open file descriptors.
    pub sockets: usize,
}

/// Events of the journal service up to the start of the controller.
#[derive(Clone, Debug, Deserialize)]
pub struct InitialEndpoints {
    /// Number of the last event.
    pub pos: u64,
    /// The events.
    #[serde(default)]
    pub entries: Vec<EndpointEvent>,
}

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the controller.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resource limits of the controller.
    pub limits: Limits,
    /// Address of the journal service.
    pub journal: SocketAddr,
    /// Events of the journal service up to the start of the controller.
    pub initial_endpoints: InitialEndpoints,
    /// Settings of the scheduler.
    pub settings: Settings,
    /// Names and record layouts that belong to the settings.
    pub schema: RecordSchema,
}

/// Minimum number of file descriptors for a working controller: the listener, the journal service, logs, and a few
/// connections.
const MIN_SOCKETS: usize = 64;

impl Config {
    /// Parses and validates a configuration. `name` and `listen` are the values of the environment variables; those
    /// that are set must match the configuration.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] if a value is missing, invalid, or contradicts the environment.
    pub fn parse(
        text: &str,
        name: Option<&str>,
        listen: Option<&str>,
    ) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        check_environment("name", &file.name, "LB_NAME", name)?;
        check_environment("listen", &file.listen.to_string(), "LB_LISTEN", listen)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|error| invalid_value("seed", error.to_string()))?;
        if file.limits.sockets < MIN_SOCKETS {
            let sockets = file.limits.sockets;
            let problem = format!("{sockets} is too small, the minimum is {MIN_SOCKETS}");
            return Err(invalid_value("limits.sockets", problem));
        }
        let (mut settings, schema) = read_settings(&serde_json::to_vec(&file.settings)?)?;
        if settings.classes.is_empty() || schema.classes.iter().any(String::is_empty) {
            let problem = "at least one class is required, and each class needs a name";
            return Err(invalid_value("settings.classes", problem.to_owned()));
        }
        let delays = endpoint_watch::retry_delays(settings.drain_grace, dial_timeout(&schema));
        let [first, max] = settings.poll_backoff;
        settings.poll_backoff = [first.min(delays.first), max.min(delays.max)];
        Ok(Config {
            name: file.name,
            listen: file.listen,
            seed,
            limits: file.limits,
            journal: file.journal,
            initial_endpoints: file.known,
            settings,
            schema,
        })
    }

    /// Timeout for establishing a connection.
    pub fn dial_timeout(&self) -> Micros {
        dial_timeout(&self.schema)
    }
}

/// Checks that an environment variable, if set, matches the configuration file.
fn check_environment(
    key: &'static str,
    file: &str,
    variable: &'static str,
    environment: Option<&str>,
) -> Result<(), ConfigError> {
    match environment {
        Some(environment) if environment != file => Err(ConfigError::EnvironmentMismatch {
            key,
            file: file.to_owned(),
            variable,
            environment: environment.to_owned(),
        }),
        Some(_) | None => Ok(()),
    }
}

fn invalid_value(key: &'static str, problem: String) -> ConfigError {
    ConfigError::Value { key, problem }
}

/// Used if the settings give no dial timeout. Connections within a data center are established much faster than this.
const DEFAULT_DIAL_TIMEOUT: Micros = 1_000_000;

fn dial_timeout(schema: &RecordSchema) -> Micros {
    if schema.dial_timeout > 0 {
        schema.dial_timeout
    } else {
        DEFAULT_DIAL_TIMEOUT
    }
}
