//! To which attempt a node's message belongs. The table is in `docs/design/platform.md`.
//!
//! An id is the same for all attempts of a request. A node sends what concerns a running task over the connection on
//! which it received the request, over any other once that is closed, and the end of the task once more over the next
//! connection that is opened.

use super::NodeConnectionId;
use super::request::{AttemptState, Request};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::NodeId;
use peppercove_core::request_state::RequestState;

/// To which attempt a message belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Match {
    /// This attempt, which is open or placed its task.
    Attempt(u16),
    /// The end of this attempt's task, which runs or is about to be reported to run, or the end of an earlier attempt
    /// at the same node.
    Ambiguous(u16),
    /// An earlier attempt, or nothing that is tracked.
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
    } else if is_placed && (is_own_connection || !request.has_rival(number)) {
        Match::Attempt(number)
    } else if is_end(message) {
        Match::Ambiguous(number)
    } else {
        // About an attempt that never ran, or a copy of what was sent over the attempt's connection.
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

/// The end of a rival's task, reported again over the next connection that is opened, which may be the one that was
/// opened for this attempt. An end with a description is an answer as well, and is not repeated.
fn is_repeated_end(request: &Request, number: u16, message: &Message) -> bool {
    is_end(message)
        && message.cause() != Some(cause::CUT)
        && message.get(code::DESCRIPTION).is_none()
        && request.has_rival(number)
}
