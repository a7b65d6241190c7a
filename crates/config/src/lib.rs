//! Settings in XML: a schema of elements and attributes ([`schema`]) and the typed result ([`Config`]).
//!
//! Files are validated against the schema, and the shipped XSD is generated from it. The defaults suit a small cluster.
//!
//! This crate may use the scheduler's [`Settings`](peppercove::Settings), which it fills. It must not depend on sockets
//! or on the core.

pub mod schema;
mod settings;

pub use schema::{ConfigError, Document, Problem};
pub use settings::{
    Config, Limits, LogFormat, NetworkSettings, PeerSettings, RemoteWriteSettings,
    SETTINGS_ELEMENT, embedded_default,
};
