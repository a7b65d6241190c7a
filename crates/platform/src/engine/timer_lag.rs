//! Tracks how late timers have fired recently.

use peppercove::Micros;

/// The maximum delay between the due time of a timer and the time it fired, over the current and the previous window.
///
/// With windows as long as the longest deadline, a delay seen in a window may recur before a timer scheduled now fires.
#[derive(Debug)]
pub(super) struct TimerLag {
    window: Micros,
    window_started_at: Micros,
    current_max: Micros,
    previous_max: Micros,
}

impl TimerLag {
    /// Creates a tracker with windows of this length and no lag recorded.
    pub(super) fn new(window: Micros) -> TimerLag {
        TimerLag {
            window,
            window_started_at: 0,
            current_max: 0,
            previous_max: 0,
        }
    }

    /// Records that the timers due by `due` fired at `now`.
    pub(super) fn record(&mut self, now: Micros, due: Micros) {
        let lag = now.saturating_sub(due);
        let window_age = now.saturating_sub(self.window_started_at);
        if window_age >= self.window {
            let was_previous_window = window_age < self.window * 2;
            self.previous_max = if was_previous_window {
                self.current_max
            } else {
                0
            };
            self.window_started_at = now;
            self.current_max = 0;
        }
        self.current_max = self.current_max.max(lag);
    }

    /// The maximum recent lag.
    pub(super) fn max(&self) -> Micros {
        self.current_max.max(self.previous_max)
    }
}
