//! Handed-over tasks about which their nodes have not sent anything yet.
//!
//! The platform has no message that asks a node whether it runs a task. Until the node sends a message about the task,
//! the client's word is the only evidence that the task exists. The memory for running tasks is limited, so these tasks
//! are tracked by client connection. When the limit is reached, connections without any confirmed task yield first, and
//! among those the one with the most handovers.

use super::ClientId;
use peppercove::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The unconfirmed handovers by the client connection on which they arrived, which may be closed.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedHandovers {
    by_client: BTreeMap<ClientId, ClientHandovers>,
    /// All client connections with unconfirmed handovers; the last one yields first.
    ranking: BTreeSet<(YieldRank, ClientId)>,
}

/// The unconfirmed handovers of one client connection.
#[derive(Debug, Default)]
struct ClientHandovers {
    requests: BTreeSet<RequestId>,
    has_confirmed_tasks: bool,
}

/// How soon a client connection yields; the largest rank yields first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct YieldRank {
    has_no_confirmed_tasks: bool,
    handovers: usize,
}

impl ClientHandovers {
    fn rank(&self) -> YieldRank {
        YieldRank {
            has_no_confirmed_tasks: !self.has_confirmed_tasks,
            handovers: self.requests.len(),
        }
    }
}

impl UnconfirmedHandovers {
    /// Adds a task that a client has handed over. `has_confirmed_tasks` tells whether a node has ever sent a message
    /// about a task of this client connection.
    pub(super) fn insert(
        &mut self,
        client: ClientId,
        request: RequestId,
        has_confirmed_tasks: bool,
    ) {
        self.update(client, |handovers| {
            handovers.has_confirmed_tasks = has_confirmed_tasks;
            handovers.requests.insert(request);
        });
    }

    /// Removes a task that has ended, or about which its node has sent a message.
    pub(super) fn remove(&mut self, client: ClientId, request: RequestId) {
        self.update(client, |handovers| {
            handovers.requests.remove(&request);
        });
    }

    /// Records that a node has sent a message about a task of this client connection.
    pub(super) fn set_has_confirmed_tasks(&mut self, client: ClientId) {
        self.update(client, |handovers| handovers.has_confirmed_tasks = true);
    }

    /// The handover that yields to a further one of this client connection: the most recent one of the connection that
    /// yields first. `None` if the client's own connection would then yield first.
    pub(super) fn first_to_yield(
        &self,
        client: ClientId,
        has_confirmed_tasks: bool,
    ) -> Option<RequestId> {
        let own = YieldRank {
            has_no_confirmed_tasks: !has_confirmed_tasks,
            handovers: self.len_of(client) + 1,
        };
        let (_, largest) = self.ranking.last().filter(|(rank, _)| *rank > own)?;
        self.by_client.get(largest)?.requests.last().copied()
    }

    /// Number of unconfirmed handovers of a client connection.
    fn len_of(&self, client: ClientId) -> usize {
        self.by_client.get(&client).map_or(0, |c| c.requests.len())
    }

    /// Changes the handovers of a client connection, and its place in the ranking.
    fn update(&mut self, client: ClientId, change: impl FnOnce(&mut ClientHandovers)) {
        let mut handovers = self.by_client.remove(&client).unwrap_or_default();
        self.ranking.remove(&(handovers.rank(), client));
        change(&mut handovers);
        if !handovers.requests.is_empty() {
            self.ranking.insert((handovers.rank(), client));
            self.by_client.insert(client, handovers);
        }
    }
}
