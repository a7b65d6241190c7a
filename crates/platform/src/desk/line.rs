//! Set-ups that wait for their turn. Each connection of owners has a line of its own, and the lines take turns: one that
//! sends hundreds at once lets the others wait for one of them each.

use super::ClientId;
use crate::wire::Message;
use peppercove::Micros;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
pub(super) struct Line {
    lines: BTreeMap<ClientId, VecDeque<Waiting>>,
    /// Connections with something in line, the next one first.
    turns: VecDeque<ClientId>,
    /// All that waits, by when it has to be answered and its number.
    ends: BTreeMap<(Micros, u64), ClientId>,
    pushed: u64,
}

#[derive(Debug)]
struct Waiting {
    end: (Micros, u64),
    came: Micros,
    message: Message,
}

impl Line {
    /// A set-up came, and is to be answered by the end.
    pub(super) fn push(&mut self, owner: ClientId, came: Micros, end: Micros, message: Message) {
        let line = self.lines.entry(owner).or_default();
        if line.is_empty() {
            self.turns.push_back(owner);
        }
        self.pushed += 1;
        let end = (end, self.pushed);
        line.push_back(Waiting { end, came, message });
        self.ends.insert(end, owner);
    }

    /// The one whose turn it is.
    pub(super) fn next(&mut self) -> Option<(ClientId, Micros, Message)> {
        let owner = self.turns.pop_front()?;
        let line = self.lines.get_mut(&owner)?;
        let Waiting { end, came, message } = line.pop_front()?;
        self.ends.remove(&end);
        match line.is_empty() {
            true => drop(self.lines.remove(&owner)),
            false => self.turns.push_back(owner),
        }
        Some((owner, came, message))
    }

    /// One that has to be answered by now, whoever's turn it is.
    pub(super) fn due(&mut self, now: Micros) -> Option<(ClientId, Micros, Message)> {
        let (&end, &owner) = self
            .ends
            .first_key_value()
            .filter(|((at, _), _)| *at <= now)?;
        let line = self.lines.get_mut(&owner)?;
        let Waiting { came, message, .. } = line.remove(line.iter().position(|w| w.end == end)?)?;
        self.ends.remove(&end);
        if line.is_empty() {
            self.forget(owner);
        }
        Some((owner, came, message))
    }

    /// When the first has to be answered.
    pub(super) fn next_end(&self) -> Option<Micros> {
        self.ends.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes out what an owner gave up; false where it has none of this id in line.
    pub(super) fn give_up(&mut self, owner: ClientId, id: u64) -> bool {
        let Some(line) = self.lines.get_mut(&owner) else {
            return false;
        };
        let before = self.ends.len();
        let ends = &mut self.ends;
        line.retain(|w| w.message.id != id || ends.remove(&w.end).is_none());
        if line.is_empty() {
            self.forget(owner);
        }
        self.ends.len() < before
    }

    /// Forgets what a connection that is closed left.
    pub(super) fn forget(&mut self, owner: ClientId) {
        for waiting in self.lines.remove(&owner).into_iter().flatten() {
            self.ends.remove(&waiting.end);
        }
        self.turns.retain(|o| *o != owner);
    }

    pub(super) fn holds(&self, owner: ClientId, id: u64) -> bool {
        self.lines
            .get(&owner)
            .is_some_and(|l| l.iter().any(|w| w.message.id == id))
    }

    /// How many of one connection wait.
    pub(super) fn of(&self, owner: ClientId) -> usize {
        self.lines.get(&owner).map_or(0, VecDeque::len)
    }

    pub(super) fn len(&self) -> usize {
        self.ends.len()
    }
}
