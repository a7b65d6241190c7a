//! Deadlines of waiting calls. A wait is divided into several long polls.

use std::time::{Duration, Instant};

/// Maximum duration of a long poll. It limits how long a controller that died stays undetected.
const MAX_POLL_DURATION: Duration = Duration::from_secs(5);

/// The time at which a call of the client times out, if it does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline(Option<Instant>);

/// A single waiting request to a controller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LongPoll {
    /// How long the controller may wait.
    pub(crate) duration: Duration,
    /// Whether this long poll ends at the deadline.
    pub(crate) is_last: bool,
}

impl Deadline {
    /// Returns the deadline of a call that starts now; without a timeout it is never reached.
    pub(crate) fn after(timeout: Option<Duration>) -> Deadline {
        Deadline(timeout.and_then(|timeout| Instant::now().checked_add(timeout)))
    }

    /// Returns a deadline that is never reached.
    pub(crate) fn never() -> Deadline {
        Deadline(None)
    }

    /// Returns the later one of the deadline and `earliest`, or `earliest` if the deadline is never reached.
    pub(crate) fn or_later(self, earliest: Instant) -> Instant {
        self.0.map_or(earliest, |deadline| deadline.max(earliest))
    }

    pub(crate) fn has_passed(self) -> bool {
        self.0.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// Returns the next long poll.
    pub(crate) fn next_poll(self) -> LongPoll {
        let left = self
            .0
            .map(|deadline| deadline.saturating_duration_since(Instant::now()));
        match left {
            Some(left) if left <= MAX_POLL_DURATION => LongPoll {
                duration: left,
                is_last: true,
            },
            Some(_) | None => LongPoll {
                duration: MAX_POLL_DURATION,
                is_last: false,
            },
        }
    }
}
