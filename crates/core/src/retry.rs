//! Waits between tries.

use std::time::Duration;

/// Waits that grow with each failure, scattered so that many controllers do not come back in step.
#[derive(Clone, Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    /// The first wait is up to `least`, each one up to twice the one before, `most` at the most.
    pub fn new(least: Duration, most: Duration) -> Backoff {
        Backoff {
            least,
            most,
            next: least,
        }
    }

    /// It worked: the next failure waits as the first.
    pub fn reset(&mut self) {
        self.next = self.least;
    }

    /// It failed: how long to wait. `scatter` is drawn anew for each call, from 0 to 1.
    pub fn next_delay(&mut self, scatter: f64) -> Duration {
        let wait = self.next.mul_f64(0.5 + scatter.clamp(0.0, 1.0) / 2.0);
        self.next = (self.next * 2).min(self.most);
        wait
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_double_up_to_the_most_and_start_over() {
        let ms = Duration::from_millis;
        let mut retry = Backoff::new(ms(100), ms(300));
        let waits: Vec<Duration> = (0..4).map(|_| retry.next_delay(1.0)).collect();
        assert_eq!(waits, [ms(100), ms(200), ms(300), ms(300)]);
        retry.reset();
        assert_eq!(retry.next_delay(0.0), ms(50), "scattered down to a half");
    }
}
