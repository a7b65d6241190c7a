//! The settings of a controller: the schema and the typed result.
//!
//! Each section of the file has a module that defines its part of the schema and reads its values.

mod attribute;
mod classes;
mod controller;
mod limits;
mod logs;
mod network;
mod nodes;
mod peers;
mod remote_write;
mod scheduler;
mod tenants;

pub use limits::Limits;
pub use logs::LogFormat;
pub use network::NetworkSettings;
pub use peers::PeerSettings;
pub use remote_write::RemoteWriteSettings;

use crate::schema::{ConfigError, Document, Element, Occurrence, Problem};
use peppercove::Settings;
use std::path::PathBuf;
use std::time::Duration;

/// Root element of a settings file.
pub static SETTINGS_ELEMENT: Element = Element {
    name: "peppercove",
    occurrence: Occurrence::Once,
    description: "Settings of one controller.",
    attributes: &[],
    children: &[
        controller::ELEMENT,
        network::NODE_LIST,
        limits::ELEMENT,
        network::LINKS,
        peers::ELEMENT,
        remote_write::ELEMENT,
        scheduler::RULES,
        scheduler::ATTEMPTS,
        nodes::ELEMENT,
        classes::ELEMENT,
        tenants::ELEMENT,
        scheduler::PRICES,
        logs::ELEMENT,
    ],
};

/// All settings of one controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the controller, by which nodes know whose tasks they run after a restart.
    pub name: String,
    /// Seed of the random number generator; `None` if it is not fixed.
    pub seed: Option<u64>,
    /// Maximum time that a graceful shutdown waits for open requests.
    pub shutdown_timeout: Duration,
    /// File to which the inputs of the core are recorded, for replay.
    pub record_path: Option<PathBuf>,
    /// Journal file, to which each attempt is written before it is sent.
    pub journal_path: Option<PathBuf>,
    /// Whether each write to the journal is synced to disk.
    pub journal_sync: bool,
    /// Addresses, timeouts and backoff of connections.
    pub network: NetworkSettings,
    /// Remote write of metrics; `None` if metrics are not pushed.
    pub remote_write: Option<RemoteWriteSettings>,
    /// Other controllers to which messages may be sent.
    pub peers: PeerSettings,
    /// Limits of the controller.
    pub limits: Limits,
    /// Settings of the scheduler.
    pub scheduler: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Cores and memory of a job that does not request any, by class.
    pub class_defaults: Vec<(f64, f64)>,
    /// Index of the class of a job that does not name one.
    pub default_class: u16,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the kinds of node, by index.
    pub node_kinds: Vec<String>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: String,
}

/// Returns the settings file embedded in the program, which describes a small cluster on the loopback interface.
pub fn embedded_default() -> &'static str {
    include_str!("../default.xml")
}

impl Config {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// [`ConfigError`] with the line, column, element and expected value of every problem found.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        Config::parse_with_overrides(text, &[])
    }

    /// Parses the text of a settings file and applies `overrides`, each the path of an attribute (such as
    /// `controller/name`) and its value.
    ///
    /// # Errors
    /// The errors of [`Config::parse`], and [`ConfigError`] with the path of an override that is invalid.
    pub fn parse_with_overrides(
        text: &str,
        overrides: &[(String, String)],
    ) -> Result<Config, ConfigError> {
        let mut document = Document::parse(text, &SETTINGS_ELEMENT)?;
        for (path, value) in overrides {
            document.set(&SETTINGS_ELEMENT, path, value)?;
        }
        let mut problems = Vec::new();
        let config = read(&document, &mut problems);
        if problems.is_empty() {
            Ok(config)
        } else {
            Err(ConfigError { problems })
        }
    }
}

/// Reads a validated document. Problems that the schema cannot express are added to `problems`.
fn read(document: &Document, problems: &mut Vec<Problem>) -> Config {
    let controller = document.child("controller");
    let peers = document.child("peers");
    let classes = document.child("classes");
    let logs = document.child("logs");
    let node_kinds = unique_names(document.child("nodes").children("kind"), problems);
    let class_names = unique_names(classes.children("class"), problems);
    let tenants = unique_names(document.child("tenants").children("tenant"), problems);
    peers::check(peers, problems);
    controller::check(controller, problems);
    let default_class = classes::default_class(classes, &class_names, problems);
    let scheduler = scheduler::read(document, &node_kinds, problems);
    Config {
        name: controller.string("name").into(),
        seed: controller
            .optional_string("seed")
            .and_then(|seed| seed.parse().ok()),
        shutdown_timeout: controller.duration("stop-within"),
        record_path: controller.optional_string("record").map(PathBuf::from),
        journal_path: controller.optional_string("journal").map(PathBuf::from),
        journal_sync: controller.flag("journal-sync"),
        network: NetworkSettings::read(document),
        remote_write: RemoteWriteSettings::read(document.child("push"), problems),
        peers: PeerSettings::read(peers),
        limits: Limits::read(document.child("limits")),
        scheduler,
        classes: class_names,
        class_defaults: classes::class_defaults(classes),
        default_class,
        tenants,
        node_kinds,
        log_format: LogFormat::read(logs),
        log_level: logs.string("level").into(),
    }
}

/// Returns the `name` of each element, in order, and reports duplicate names.
fn unique_names(elements: &[Document], problems: &mut Vec<Problem>) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for element in elements {
        let name = element.string("name");
        if names.iter().any(|used| used == name) {
            problems.push(element.problem(format!("name=\"{name}\" is used more than once")));
        }
        names.push(name.into());
    }
    names
}
