//! Which running tasks belong to which client connection.

use super::ClientId;
use peppercove::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The running tasks by the client connection that owns them, which may be closed.
#[derive(Debug, Default)]
pub(super) struct TaskOwners {
    tasks: BTreeMap<ClientId, BTreeSet<RequestId>>,
}

impl TaskOwners {
    pub(super) fn insert(&mut self, client: ClientId, request: RequestId) {
        self.tasks.entry(client).or_default().insert(request);
    }

    pub(super) fn remove(&mut self, client: ClientId, request: RequestId) {
        if let Some(tasks) = self.tasks.get_mut(&client) {
            tasks.remove(&request);
            if tasks.is_empty() {
                self.tasks.remove(&client);
            }
        }
    }

    /// Moves all tasks of a client connection to another one, and returns them.
    pub(super) fn move_all(&mut self, from: ClientId, to: ClientId) -> BTreeSet<RequestId> {
        let moved = self.tasks.remove(&from).unwrap_or_default();
        if !moved.is_empty() {
            self.tasks.entry(to).or_default().extend(&moved);
        }
        moved
    }
}
