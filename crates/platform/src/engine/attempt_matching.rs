//! Attributes messages from nodes to attempts. The table of rules is in `docs/design/platform.md`.
//!
//! All attempts of a request have the same id. A node sends messages about a running task over the connection on which
//! it received the request, or over any other connection once that one is closed. It repeats the end of the task over
//! the next connection that is opened.

use super::NodeConnectionId;
use super::request::{AttemptState, Request};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::NodeId;
use peppercove_core::request_state::RequestState;

/// The attempt to which a message belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Match {
    /// The message belongs to this attempt, which is open or placed the task.
    Attempt(u16),
    /// The message is the end of either this attempt, which runs or may be running, or an earlier attempt at the same
    /// node.
    Ambiguous(u16),
    /// The message belongs to an earlier attempt, or to nothing that is tracked.
    None,
}

/// Finds the attempt to which a message on a connection of a node belongs.
pub(super) fn match_message(
    request: &Request,
    connection: NodeConnectionId,
    node: NodeId,
    message: &Message,
) -> Match {
    let (number, is_placed) = match request.state {
        RequestState::Dispatched(number) => (number, false),
        RequestState::Placed(number) => (number, true),
        RequestState::Pending | RequestState::Completed => return Match::None,
    };
    let Some(attempt) = request.attempt(number).filter(|a| a.node == node) else {
        return Match::None;
    };
    let is_own_connection = attempt.connection == connection;
    if !is_placed && is_own_connection {
        let is_sent = matches!(attempt.state, AttemptState::Sent { .. });
        if is_sent && !is_repeated_end(request, number, message) {
            Match::Attempt(number)
        } else {
            Match::None
        }
    } else if is_placed && (is_own_connection || !request.has_unresolved_sibling(number)) {
        Match::Attempt(number)
    } else if is_end(message) {
        Match::Ambiguous(number)
    } else {
        // About an attempt that never ran, or a duplicate of a message sent over the attempt's own connection.
        Match::None
    }
}

fn is_end(message: &Message) -> bool {
    message.kind == MessageKind::Release
        && matches!(
            message.cause(),
            Some(cause::ORDINARY | cause::CALLED_OFF | cause::CUT)
        )
}

/// Whether the message may be the repeated end of another attempt at the same node. Ends are repeated over the next
/// connection that is opened, which may be the one opened for this attempt. An end with a description is also an answer
/// and is never a repetition.
fn is_repeated_end(request: &Request, number: u16, message: &Message) -> bool {
    is_end(message)
        && message.cause() != Some(cause::CUT)
        && message.get(code::DESCRIPTION).is_none()
        && request.has_unresolved_sibling(number)
}
