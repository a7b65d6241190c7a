//! How late timers fired recently.

use peppercove::Micros;

/// The largest delay between the time a timer was due and the time it fired, over the current and the previous window.
///
/// A delay seen within a window may occur again before a timer fires that is scheduled now.
#[derive(Debug)]
pub(super) struct TimerLag {
    window: Micros,
    window_started_at: Micros,
    current_max: Micros,
    previous_max: Micros,
}

impl TimerLag {
    /// A lag of zero, measured over windows of this length.
    pub(super) fn new(window: Micros) -> TimerLag {
        TimerLag {
            window,
            window_started_at: 0,
            current_max: 0,
            previous_max: 0,
        }
    }

    /// Records that timers due by `due` fire at `now`.
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

    /// The largest recent lag.
    pub(super) fn max(&self) -> Micros {
        self.current_max.max(self.previous_max)
    }
}
