//! The configuration of a controller, as the platform writes it.

use crate::endpoint_watch::{self, EndpointEvent};
use peppercove::adapter_protocol::{ProtocolError, RecordSchema, read_settings};
use peppercove::{Micros, Settings};
use serde::Deserialize;
use std::net::SocketAddr;

/// Why a configuration is not valid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is not JSON, or lacks a field.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings of the decision module in it are not valid.
    #[error("configuration: {0}")]
    Settings(#[from] ProtocolError),
    /// A value that is out of range or cannot be parsed.
    #[error("configuration: {key}: {problem}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong.
        problem: String,
    },
    /// The environment disagrees.
    #[error("configuration: {key} is {file}, but {variable} says {environment}")]
    Differs {
        /// The key.
        key: &'static str,
        /// The value in the file.
        file: String,
        /// The variable of the environment.
        variable: &'static str,
        /// Its value.
        environment: String,
    },
}

/// The file, with the platform's names.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    journal: SocketAddr,
    known: InitialEndpoints,
    settings: serde_json::Value,
}

/// Resources that the controller may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Cores.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

/// The journal service's events up to the start.
#[derive(Clone, Debug, Deserialize)]
pub struct InitialEndpoints {
    /// Number of the last one.
    pub pos: u64,
    /// The events.
    #[serde(default)]
    pub entries: Vec<EndpointEvent>,
}

/// A configuration that was read and validated.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the controller.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of random numbers.
    pub seed: u64,
    /// Resources that it may use.
    pub limits: Limits,
    /// Where the journal service listens.
    pub journal: SocketAddr,
    /// The journal service's events up to the start.
    pub initial_endpoints: InitialEndpoints,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names and record layouts that belong to the settings.
    pub schema: RecordSchema,
}

/// Fewest descriptors with which a controller can serve: its listener, the journal service, logs, a few connections.
const MIN_SOCKETS: usize = 64;

impl Config {
    /// Reads a configuration. `name` and `listen` are the values in the environment, which must agree with it where they
    /// are set.
    ///
    /// # Errors
    /// [`ConfigError`] says what is missing or wrong.
    pub fn parse(
        text: &str,
        name: Option<&str>,
        listen: Option<&str>,
    ) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        check_environment("name", &file.name, "LB_NAME", name)?;
        check_environment("listen", &file.listen.to_string(), "LB_LISTEN", listen)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|error| invalid_value("seed", error.to_string()))?;
        if file.limits.sockets < MIN_SOCKETS {
            let sockets = file.limits.sockets;
            let problem = format!("{sockets} are too few, {MIN_SOCKETS} are needed");
            return Err(invalid_value("limits.sockets", problem));
        }
        let (mut settings, shape) = read_settings(&serde_json::to_vec(&file.settings)?)?;
        if settings.classes.is_empty() || shape.classes.iter().any(String::is_empty) {
            let problem = "each class needs a name, and one class is needed";
            return Err(invalid_value("settings.classes", problem.to_owned()));
        }
        let delays = endpoint_watch::retry_delays(settings.drain_grace, dial_timeout(&shape));
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
            schema: shape,
        })
    }

    /// How long a connection may take to be established.
    pub fn dial_timeout(&self) -> Micros {
        dial_timeout(&self.schema)
    }
}

/// The environment agrees with the file, or does not set the variable.
fn check_environment(
    key: &'static str,
    file: &str,
    variable: &'static str,
    environment: Option<&str>,
) -> Result<(), ConfigError> {
    match environment {
        Some(environment) if environment != file => Err(ConfigError::Differs {
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

/// Taken where the settings give no dial time-out; connections in the data centre are established within far less.
const DEFAULT_DIAL_TIMEOUT: Micros = 1_000_000;

fn dial_timeout(schema: &RecordSchema) -> Micros {
    if schema.dial_timeout > 0 {
        schema.dial_timeout
    } else {
        DEFAULT_DIAL_TIMEOUT
    }
}
