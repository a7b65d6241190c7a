//! The roles of the program, one module each.

pub mod client;
pub mod configuration;
pub mod controller;
pub mod discovery;
pub mod module;
pub mod node;
pub mod processes;
pub mod serve;

use crate::role::Role;

/// All roles, in the order in which they are measured.
pub const ROLES: &[Role] = &[
    module::ROLE,
    serve::ROLE,
    controller::ROLE,
    discovery::ROLE,
    configuration::ROLE,
    node::ROLE,
    client::ROLE,
    processes::ROLE,
];
