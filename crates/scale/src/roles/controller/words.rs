//! What is said around a hollow controller: its settings, the names of nodes, frames and jobs.

use crate::load::Cluster;
use anyhow::Result;
use bytes::BytesMut;
use peppercove::{NodeId, PlacementRequest};
use peppercove_config::{Config, embedded_default};
use peppercove_core::{Program, Submission};
use peppercove_protocol::codec::MessageCodec;
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio_util::codec::Encoder;

/// The settings: what is sent is written down, as it has to be where no repeat may do harm.
pub fn config(cluster: &Cluster) -> Result<Config> {
    let mut config = Config::parse(embedded_default())?;
    config.scheduler = cluster.settings();
    config.classes = (0..cluster.at.classes).map(|i| format!("c{i}")).collect();
    config.journal_path = Some("journal".into());
    // Bounds that no size of the sweeps meets.
    let most = 1 << 20;
    (
        config.limits.jobs,
        config.limits.open_requests,
        config.limits.session_jobs,
    ) = (most, most, most);
    config.limits.ambiguous_tasks = most;
    Ok(config)
}

/// Where a node listens.
pub fn address(i: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits((10 << 24) + i as u32), 7_000)
}

/// The number of a node.
pub fn host_of(node: NodeId) -> u64 {
    (node.0 >> 16) & 0x00ff_ffff
}

/// The name of a node.
pub fn name(i: u64) -> String {
    format!("node-{i:06}")
}

/// The frame of a message.
pub fn encoded<T: serde::Serialize>(message: &T, longest: usize) -> Result<BytesMut> {
    let mut bytes = BytesMut::new();
    MessageCodec::<(), T>::new(longest).encode(message, &mut bytes)?;
    Ok(bytes)
}

/// A job whose task asks for this, and that is the `n`-th of its client.
pub fn submission(cluster: &Cluster, n: u64, ask: &PlacementRequest) -> Submission {
    Submission {
        session: format!("session-{:06}", n % cluster.at.connections.max(1)),
        key: format!("{n:016x}"),
        task: ask.task,
        service: ask.service,
        class: ask.class,
        tenant: ask.tenant,
        cores: ask.cores,
        memory: ask.memory,
        deadline_in: ask.deadline_in,
        expected_duration: None,
        is_retry: false,
        requested_elsewhere: false,
        on_hold: false,
        program: Program {
            command: "/opt/service/bin/serve".into(),
            args: vec![format!("--service={:016x}", ask.service.0)],
            env: (0..4)
                .map(|i| format!("SETTING_{i}=abcdefghijklmnop"))
                .collect(),
            working_directory: Some("/srv/service".into()),
        },
    }
}
