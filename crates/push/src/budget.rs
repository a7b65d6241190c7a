//! How pushing shares the processor with placing: its classes of background work, what each piece is expected to cost,
//! and how long a pressure is believed. Decisions only, kept out of the sockets' code.

use peppercove_background::{Class, Cost, Micros, Retry, Settings};

/// What the pusher does, as classes of background work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushTask {
    /// Take the figures and keep them on disk.
    Collect,
    /// Send a batch of what waits.
    Send,
}

impl PushTask {
    /// Index of its class.
    pub fn class(self) -> usize {
        self as usize
    }

    /// What a piece of it is expected to cost, before it is known: the order of magnitude of some hundred series.
    pub fn expected(self) -> Cost {
        let cpu = match self {
            PushTask::Collect => 2_000.0,
            PushTask::Send => 5_000.0,
        };
        Cost {
            cpu,
            ..Cost::default()
        }
    }
}

/// How often the loop's lateness is looked at: a tenth of a second would let a pressed placing wait for five looks.
pub const LAG_CHECK_INTERVAL: Micros = 20_000;

/// The background work of a pusher that may take these shares of a second's processor time.
pub fn settings(
    calm_share: f64,
    pressed_share: f64,
    calm_below: Micros,
    pressed_from: Micros,
) -> Settings {
    // A piece that failed is decided on by the sender, which keeps the batch: the scheduler does not try again.
    let retry = Retry {
        least: 1,
        most: 1,
        tries: 1,
    };
    let class = |priority| Class {
        priority,
        budget: Cost::default(),
        queue: 1,
        slots: 1,
        retry,
    };
    Settings {
        // Figures are taken before others are sent: what is not taken in time is lost, what waits is not.
        classes: vec![class(1), class(0)],
        slots: 2,
        calm_share,
        pressed_share: pressed_share.min(calm_share),
        calm_below,
        pressed_from,
        ages_every: 1_000_000,
        // Many looks long, so that one punctual look between two late ones does not end a pressure.
        pressure_lasts: 50 * LAG_CHECK_INTERVAL,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use peppercove_background::{Action, BackgroundScheduler, Event, WorkId};

    #[test]
    fn figures_are_taken_before_others_are_sent() {
        let mut b = BackgroundScheduler::new(
            Settings {
                slots: 1,
                ..settings(1.0, 0.1, 5_000, 50_000)
            },
            1,
        );
        let submit = |work, duty: PushTask| Event::Submit {
            work: WorkId(work),
            class: duty.class(),
            cost: duty.expected(),
            deadline: None,
        };
        b.handle(0, submit(0, PushTask::Send));
        b.handle(1, submit(1, PushTask::Send));
        b.handle(2, submit(2, PushTask::Collect));
        let next = b.handle(3, Event::Completed(WorkId(0), PushTask::Send.expected()));
        assert_eq!(next, [Action::Start(WorkId(2))]);
    }
}
