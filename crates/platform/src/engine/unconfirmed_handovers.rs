//! Handed-over tasks about which their nodes have not sent anything yet.
//!
//! The platform has no message that asks a node whether it runs a task. Until the node sends a message about the task,
//! the client's word is the only evidence that the task exists. The memory for running tasks is limited, so these tasks
//! are tracked by client connection: when the limit is reached, the connection with the most of them yields.

use super::ClientId;
use peppercove::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The unconfirmed handovers by the client connection on which they arrived, which may be closed.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedHandovers {
    by_client: BTreeMap<ClientId, BTreeSet<RequestId>>,
    clients_by_count: BTreeSet<(usize, ClientId)>,
}

impl UnconfirmedHandovers {
    /// Adds a task that a client has handed over.
    pub(super) fn insert(&mut self, client: ClientId, request: RequestId) {
        let requests = self.by_client.entry(client).or_default();
        let count_before = requests.len();
        if requests.insert(request) {
            self.change_count(client, count_before, count_before + 1);
        }
    }

    /// Removes a task that has ended, or about which its node has sent a message.
    pub(super) fn remove(&mut self, client: ClientId, request: RequestId) {
        let Some(requests) = self.by_client.get_mut(&client) else {
            return;
        };
        let count_before = requests.len();
        if !requests.remove(&request) {
            return;
        }
        if requests.is_empty() {
            self.by_client.remove(&client);
        }
        self.change_count(client, count_before, count_before - 1);
    }

    /// Number of unconfirmed handovers of a client connection.
    pub(super) fn len_of(&self, client: ClientId) -> usize {
        self.by_client.get(&client).map_or(0, BTreeSet::len)
    }

    /// The most recent handover of the client connection with the most unconfirmed ones, if that has more than `count`.
    pub(super) fn last_of_largest(&self, count: usize) -> Option<RequestId> {
        let (_, client) = self
            .clients_by_count
            .last()
            .filter(|(largest, _)| *largest > count)?;
        self.by_client.get(client)?.last().copied()
    }

    fn change_count(&mut self, client: ClientId, before: usize, after: usize) {
        self.clients_by_count.remove(&(before, client));
        if after > 0 {
            self.clients_by_count.insert((after, client));
        }
    }
}
