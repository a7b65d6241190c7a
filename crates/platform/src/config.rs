//! The configuration of a controller, as the platform writes it.

use crate::endpoint_watch::{self, EndpointEvent};
use peppercove::adapter_protocol::{ProtocolError, RecordSchema, read_settings};
use peppercove::{Micros, Settings};
use serde::Deserialize;
use std::net::SocketAddr;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is not the JSON that is wanted.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings in it cannot be used.
    #[error("configuration: {0}")]
    Settings(#[from] ProtocolError),
    /// A value that makes no sense.
    #[error("configuration: {key}: {problem}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong.
        problem: String,
    },
    /// The environment says something else.
    #[error("configuration: {key} is {file}, but {variable} says {environment}")]
    Differs {
        /// The key.
        key: &'static str,
        /// What the file says.
        file: String,
        /// The variable of the environment.
        variable: &'static str,
        /// What it says.
        environment: String,
    },
}

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

/// What the controller may use.
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

/// A configuration that was read and checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the controller.
    pub name: String,
    /// Where owners connect.
    pub listen: SocketAddr,
    /// Seed of random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// Where the journal service is.
    pub journal: SocketAddr,
    /// Its events so far.
    pub known: InitialEndpoints,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names and shapes around them.
    pub shape: RecordSchema,
}

/// Fewest descriptors with which a controller can serve: its listener, the journal, logs, and a few connections.
const LEAST_SOCKETS: usize = 64;

impl Config {
    /// Reads a configuration and holds it against the environment, where that names the same things.
    ///
    /// # Errors
    /// [`ConfigError`] names what is missing or wrong.
    pub fn parse(
        text: &str,
        name: Option<&str>,
        listen: Option<&str>,
    ) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let differs = |key, file: &str, variable, environment: Option<&str>| match environment {
            Some(e) if e != file => Err(ConfigError::Differs {
                key,
                file: file.into(),
                variable,
                environment: e.into(),
            }),
            _ => Ok(()),
        };
        differs("name", &file.name, "LB_NAME", name)?;
        differs("listen", &file.listen.to_string(), "LB_LISTEN", listen)?;
        let wrong = |key, problem: &str| ConfigError::Value {
            key,
            problem: problem.into(),
        };
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|e| wrong("seed", &e.to_string()))?;
        if file.limits.sockets < LEAST_SOCKETS {
            let problem = format!(
                "{} are too few, {LEAST_SOCKETS} are needed",
                file.limits.sockets
            );
            return Err(wrong("limits.sockets", &problem));
        }
        let (mut settings, shape) = read_settings(&serde_json::to_vec(&file.settings)?)?;
        if settings.classes.is_empty() || shape.classes.iter().any(String::is_empty) {
            return Err(wrong(
                "settings.classes",
                "each class needs a name, and one class is needed",
            ));
        }
        let [first, most] = endpoint_watch::ask_again(settings.drain_grace, dial_timeout(&shape));
        settings.poll_backoff = [
            settings.poll_backoff[0].min(first),
            settings.poll_backoff[1].min(most),
        ];
        let File {
            name,
            listen,
            limits,
            journal,
            known,
            ..
        } = file;
        Ok(Config {
            name,
            listen,
            seed,
            limits,
            journal,
            known,
            settings,
            shape,
        })
    }

    /// How long a connection may take to come up.
    pub fn dial_timeout(&self) -> Micros {
        dial_timeout(&self.shape)
    }
}

/// The settings may leave it out; a link of the data centre is up within far less.
fn dial_timeout(shape: &RecordSchema) -> Micros {
    if shape.dial_timeout > 0 {
        shape.dial_timeout
    } else {
        1_000_000
    }
}
