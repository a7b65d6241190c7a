//! The controllers of a session and the connections to them.

use super::{Session, SessionState};
use crate::connection::{CallError, Connection};
use crate::{Errno, Error};
use serde_json::Value;
use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// Maximum number of idle connections kept for each endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The address of a controller in the contact, and the idle connections to it.
pub(super) struct Endpoint {
    address: SocketAddr,
    idle: Vec<Connection>,
    /// The last known identity of the controller.
    pub(super) controller: Option<ControllerIdentity>,
}

/// The identity that a controller reports in the response to `init`.
#[derive(Clone)]
pub(super) struct ControllerIdentity {
    pub(super) name: String,
    pub(super) incarnation: u64,
}

/// The result of a call, and the incarnation of the controller that returned it.
pub(super) struct Response {
    pub(super) value: Value,
    pub(super) incarnation: u64,
}

/// Parses a contact: one or more `host:port`, separated by commas.
pub(super) fn parse_contact(contact: &str) -> Result<Vec<Endpoint>, Error> {
    let invalid = |part: &str| {
        let message = format!(
            "invalid contact '{part}': expected host:port, for example 127.0.0.1:7070,127.0.0.1:7071"
        );
        Error::new(Errno::InvalidContactString, message)
    };
    let parts = contact.split(',').map(str::trim);
    let mut endpoints = Vec::new();
    for part in parts.filter(|part| !part.is_empty()) {
        let mut addresses = part.to_socket_addrs().map_err(|_| invalid(part))?;
        let address = addresses.next().ok_or_else(|| invalid(part))?;
        endpoints.push(Endpoint {
            address,
            idle: Vec::new(),
            controller: None,
        });
    }
    if endpoints.is_empty() {
        Err(invalid(contact))
    } else {
        Ok(endpoints)
    }
}

impl SessionState {
    /// Removes and returns the idle connections to all endpoints.
    pub(super) fn take_idle_connections(&mut self) -> Vec<Connection> {
        self.endpoints
            .iter_mut()
            .flat_map(|endpoint| endpoint.idle.drain(..))
            .collect()
    }
}

impl Session {
    /// Returns an idle connection to an endpoint, or opens a new one.
    pub(super) fn connect(&self, endpoint: usize) -> Result<Connection, CallError> {
        let mut state = self.lock();
        if let Some(idle) = state.endpoints[endpoint].idle.pop() {
            return Ok(idle);
        }
        let address = state.endpoints[endpoint].address;
        drop(state);
        let connection = Connection::open(address, &self.name)?;
        let info = connection.info();
        let mut state = self.lock();
        state.endpoints[endpoint].controller = Some(ControllerIdentity {
            name: info.controller.clone(),
            incarnation: info.incarnation,
        });
        state.categories.clone_from(&info.categories);
        state.default_category.clone_from(&info.default_category);
        state.drm_system.clone_from(&info.drm_system);
        state.implementation.clone_from(&info.implementation);
        Ok(connection)
    }

    /// Keeps a connection for later calls, unless there are enough idle ones.
    pub(super) fn release_connection(&self, endpoint: usize, connection: Connection) {
        let idle = &mut self.lock().endpoints[endpoint].idle;
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Makes a call at an endpoint.
    pub(super) fn call_at(
        &self,
        endpoint: usize,
        method: &str,
        params: &Value,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let mut connection = self.connect(endpoint)?;
        let incarnation = connection.info().incarnation;
        let result = connection.call(method, params.clone(), timeout);
        match result {
            Ok(_) | Err(CallError::ErrorResponse(_)) => {
                self.release_connection(endpoint, connection)
            }
            // The other idle connections to the endpoint may be broken as well.
            Err(CallError::NotSent(_) | CallError::Ambiguous(_)) => {
                self.lock().endpoints[endpoint].idle.clear();
            }
        }
        result.map(|value| Response { value, incarnation })
    }
}
