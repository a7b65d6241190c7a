//! Requests that clients have caused to complete since the scheduler's last batch.
//!
//! The scheduler refers to a request until it has been informed of its completion, so its state is kept until the next
//! batch. Their number is limited, since a client can withdraw requests much faster than batches follow each other.

use super::ClientId;
use std::collections::BTreeMap;

/// A single client connection may use up to this fraction (1 / `CLIENT_DIVISOR`) of the limit.
const CLIENT_DIVISOR: usize = 4;

/// The number of such requests by client connection.
#[derive(Debug, Default)]
pub(super) struct CompletionBacklog {
    by_client: BTreeMap<ClientId, usize>,
    total: usize,
}

impl CompletionBacklog {
    /// Records that a client has caused a request to complete.
    pub(super) fn add(&mut self, client: ClientId) {
        *self.by_client.entry(client).or_insert(0) += 1;
        self.total += 1;
    }

    /// Whether a client must not cause further requests to complete until the next batch. `limit` applies to all
    /// clients together.
    pub(super) fn is_full_for(&self, client: ClientId, limit: usize) -> bool {
        let own = self.by_client.get(&client).copied().unwrap_or(0);
        own >= limit / CLIENT_DIVISOR || self.total >= limit
    }

    /// Records that the scheduler has been informed of all completions.
    pub(super) fn clear(&mut self) {
        self.by_client.clear();
        self.total = 0;
    }
}
