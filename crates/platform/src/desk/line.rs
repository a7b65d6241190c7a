//! Set-ups that wait for their turn. Each connection of owners has a line of its own, and the lines take turns: one that
//! sends hundreds at once lets the others wait for one of them each.

use super::OwnerId;
use crate::wire::Message;
use peppercove::Micros;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
pub(super) struct Line {
    lines: BTreeMap<OwnerId, VecDeque<Waiting>>,
    /// Connections with something in line, the next one first.
    turns: VecDeque<OwnerId>,
    len: usize,
    pushed: u64,
}

#[derive(Debug)]
struct Waiting {
    number: u64,
    came: Micros,
    message: Message,
}

impl Line {
    /// A set-up came at this time; returns its number.
    pub(super) fn push(&mut self, owner: OwnerId, came: Micros, message: Message) -> u64 {
        let line = self.lines.entry(owner).or_default();
        if line.is_empty() {
            self.turns.push_back(owner);
        }
        self.pushed += 1;
        line.push_back(Waiting { number: self.pushed, came, message });
        self.len += 1;
        self.pushed
    }

    /// Takes out the one of this number, whoever's turn it is.
    pub(super) fn take(&mut self, owner: OwnerId, number: u64) -> Option<(Micros, Message)> {
        let line = self.lines.get_mut(&owner)?;
        let at = line.iter().position(|w| w.number == number)?;
        let taken = line.remove(at)?;
        self.len -= 1;
        if line.is_empty() {
            self.forget(owner);
        }
        Some((taken.came, taken.message))
    }

    /// The one whose turn it is.
    pub(super) fn next(&mut self) -> Option<(OwnerId, Micros, Message)> {
        let owner = self.turns.pop_front()?;
        let line = self.lines.get_mut(&owner)?;
        let Waiting { came, message, .. } = line.pop_front()?;
        self.len -= 1;
        match line.is_empty() {
            true => drop(self.lines.remove(&owner)),
            false => self.turns.push_back(owner),
        }
        Some((owner, came, message))
    }

    /// Takes out what an owner gave up; false where it has none of this id in line.
    pub(super) fn give_up(&mut self, owner: OwnerId, id: u64) -> bool {
        let Some(line) = self.lines.get_mut(&owner) else { return false };
        let before = line.len();
        line.retain(|w| w.message.id != id);
        let given_up = before - line.len();
        self.len -= given_up;
        if line.is_empty() {
            self.forget(owner);
        }
        given_up > 0
    }

    /// Forgets what a connection that is closed left.
    pub(super) fn forget(&mut self, owner: OwnerId) {
        if let Some(line) = self.lines.remove(&owner) {
            self.len -= line.len();
            self.turns.retain(|o| *o != owner);
        }
    }

    pub(super) fn holds(&self, owner: OwnerId, id: u64) -> bool {
        self.lines.get(&owner).is_some_and(|l| l.iter().any(|w| w.message.id == id))
    }

    /// How many of one connection wait.
    pub(super) fn of(&self, owner: OwnerId) -> usize {
        self.lines.get(&owner).map_or(0, VecDeque::len)
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }
}
