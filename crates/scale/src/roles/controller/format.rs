//! Settings, node names and addresses, frames and jobs for a hollow controller.

use crate::error::MeasureError;
use crate::workload::cluster::Cluster;
use bytes::BytesMut;
use peppercove::{NodeId, PlacementRequest};
use peppercove_config::{Config, embedded_default};
use peppercove_core::{Program, Submission};
use peppercove_protocol::codec::MessageCodec;
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio_util::codec::{Decoder, Encoder};

/// A limit that no sweep reaches.
const UNREACHED_LIMIT: usize = 1 << 20;
/// The port of nodes.
const NODE_PORT: u16 = 7_000;
/// The address of node 0, 10.0.0.0.
const FIRST_NODE_ADDRESS: u32 = 10 << 24;
/// The bits of an address that hold the node number.
const NODE_NUMBER_MASK: u64 = 0x00ff_ffff;

/// Returns the settings. The controller keeps a journal, which it needs for tasks that must not run twice.
///
/// # Errors
/// [`MeasureError::Settings`] if the embedded default settings are invalid.
pub fn config(cluster: &Cluster) -> Result<Config, MeasureError> {
    let mut config = Config::parse(embedded_default())?;
    config.scheduler = cluster.settings();
    config.classes = (0..cluster.sizes.classes)
        .map(|i| format!("c{i}"))
        .collect();
    config.journal_path = Some("journal".into());
    config.limits.jobs = UNREACHED_LIMIT;
    config.limits.open_requests = UNREACHED_LIMIT;
    config.limits.session_jobs = UNREACHED_LIMIT;
    config.limits.ambiguous_tasks = UNREACHED_LIMIT;
    Ok(config)
}

/// Returns the address of node `i`.
pub fn node_address(i: u64) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::from_bits(FIRST_NODE_ADDRESS + i as u32),
        NODE_PORT,
    )
}

/// Returns the number of a node from its id, which contains the address and port.
pub fn node_number(node: NodeId) -> u64 {
    (node.0 >> 16) & NODE_NUMBER_MASK
}

/// Returns the name of node `i`.
pub fn node_name(i: u64) -> String {
    format!("node-{i:06}")
}

/// Encodes a message as a frame.
///
/// # Errors
/// [`MeasureError::Frame`] if the frame is longer than `max_bytes`.
pub fn encode<T: serde::Serialize>(
    message: &T,
    max_bytes: usize,
) -> Result<BytesMut, MeasureError> {
    let mut bytes = BytesMut::new();
    MessageCodec::<(), T>::new(max_bytes).encode(message, &mut bytes)?;
    Ok(bytes)
}

/// Removes the first frame from `bytes` and decodes its message.
///
/// # Errors
/// [`MeasureError::Frame`] if the frame cannot be decoded, [`MeasureError::Incomplete`] if it is incomplete.
pub fn decode<T: serde::de::DeserializeOwned>(
    bytes: &mut BytesMut,
    max_bytes: usize,
) -> Result<T, MeasureError> {
    let message = MessageCodec::<T, ()>::new(max_bytes).decode(bytes)?;
    message.ok_or(MeasureError::Incomplete("a complete frame"))
}

/// Returns the `n`-th job, with the task of `request`.
pub fn submission(cluster: &Cluster, n: u64, request: &PlacementRequest) -> Submission {
    Submission {
        session: format!("session-{:06}", n % cluster.sizes.connections.max(1)),
        key: format!("{n:016x}"),
        task: request.task,
        service: request.service,
        class: request.class,
        tenant: request.tenant,
        cores: request.cores,
        memory: request.memory,
        deadline_in: request.deadline_in,
        expected_duration: None,
        is_retry: false,
        requested_elsewhere: false,
        on_hold: false,
        program: Program {
            command: "/opt/service/bin/serve".into(),
            args: vec![format!("--service={:016x}", request.service.0)],
            env: (0..4)
                .map(|i| format!("SETTING_{i}=abcdefghijklmnop"))
                .collect(),
            working_directory: Some("/srv/service".into()),
        },
    }
}
