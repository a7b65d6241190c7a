//! The end of a wait, which is divided into shorter waits at a controller.

use std::time::{Duration, Instant};

/// Longest single wait at a controller: one that died is noticed after this.
const MAX_TURN: Duration = Duration::from_secs(5);

/// When a call of the client times out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline(Option<Instant>);

/// One wait at a controller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    /// How long to wait.
    pub(crate) length: Duration,
    /// The deadline is at the end of this wait.
    pub(crate) is_last: bool,
}

impl Deadline {
    /// The deadline of a call that begins now; `None` waits for ever.
    pub(crate) fn after(timeout: Option<Duration>) -> Deadline {
        Deadline(timeout.and_then(|timeout| Instant::now().checked_add(timeout)))
    }

    /// A deadline that never comes.
    pub(crate) fn never() -> Deadline {
        Deadline(None)
    }

    /// The time of the deadline, or `earliest` where that is later or there is none.
    pub(crate) fn or_later(self, earliest: Instant) -> Instant {
        self.0.map_or(earliest, |deadline| deadline.max(earliest))
    }

    pub(crate) fn has_passed(self) -> bool {
        self.0.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// The next wait.
    pub(crate) fn next_turn(self) -> Turn {
        let left = self
            .0
            .map(|deadline| deadline.saturating_duration_since(Instant::now()));
        match left {
            Some(left) if left <= MAX_TURN => Turn {
                length: left,
                is_last: true,
            },
            Some(_) | None => Turn {
                length: MAX_TURN,
                is_last: false,
            },
        }
    }
}
