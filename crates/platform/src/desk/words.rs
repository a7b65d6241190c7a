//! Which attempt a host's word is about. The table is in `docs/design/platform.md`.
//!
//! An id is the same for all attempts of a set-up. Hosts say what concerns a standing task over the connection of its
//! set-up, over any other once that is closed, and its end again over the next one that is opened.

use super::{Ask, NodeConnectionId, Stage};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::NodeId;
use peppercove_core::request_state::RequestState;

/// Whom a word is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Meant {
    /// This attempt, which is out or placed its task.
    Of(u16),
    /// This attempt, or an earlier one at the same host: the end of what stands, or is about to be said to stand.
    Doubtful(u16),
    /// An earlier attempt, or nothing that is held.
    Nobodys,
}

/// Another attempt of the task was at the same host and ended without that host's word.
pub(super) fn has_rival(ask: &Ask, attempt: u16) -> bool {
    let attempt = usize::from(attempt);
    let Some(machine) = ask.tries.get(attempt).map(|t| t.machine) else {
        return false;
    };
    ask.tries
        .iter()
        .enumerate()
        .any(|(n, t)| n != attempt && t.machine == machine && t.stage == Stage::Loose)
}

/// The attempt that a word on a connection of a host is about.
pub(super) fn meant(ask: &Ask, link: NodeConnectionId, machine: NodeId, word: &Message) -> Meant {
    let cause = word.cause().filter(|_| word.kind == MessageKind::Release);
    let (RequestState::Dispatched(n) | RequestState::Placed(n)) = ask.life else {
        return Meant::Nobodys;
    };
    let Some(t) = ask.tries.get(usize::from(n)) else {
        return Meant::Nobodys;
    };
    let end = matches!(
        cause,
        Some(cause::ORDINARY | cause::CALLED_OFF | cause::CUT)
    );
    if t.machine != machine {
        Meant::Nobodys
    } else if ask.life.is_open() && t.link == link {
        // The end of what stood, said again over the next connection that is opened, which may be the one opened for
        // this attempt. With a description an end is an answer as well.
        let again = end
            && cause != Some(cause::CUT)
            && word.get(code::DESCRIPTION).is_none()
            && has_rival(ask, n);
        if matches!(t.stage, Stage::Out(_)) && !again {
            Meant::Of(n)
        } else {
            Meant::Nobodys
        }
    } else if !ask.life.is_open() && (t.link == link || !has_rival(ask, n)) {
        Meant::Of(n)
    } else if end {
        Meant::Doubtful(n)
    } else {
        // Of what never stood, or a copy of what was said over the attempt's connection.
        Meant::Nobodys
    }
}
