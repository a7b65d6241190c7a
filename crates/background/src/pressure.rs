//! Derives the processor time for background work from the latency of placement.

use crate::{Micros, Settings};

/// The last reported latency of placement.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    latency: Micros,
    reported_at: Option<Micros>,
}

impl Pressure {
    /// Records a reported latency.
    pub(crate) fn report(&mut self, now: Micros, latency: Micros) {
        self.latency = latency;
        self.reported_at = Some(now);
    }

    /// Returns the time at which the last report expires; `None` if there is no report.
    pub(crate) fn expires_at(&self, settings: &Settings) -> Option<Micros> {
        self.reported_at
            .map(|at| at.saturating_add(settings.pressure_timeout))
    }

    fn is_current(&self, now: Micros, settings: &Settings) -> bool {
        self.expires_at(settings).is_some_and(|expiry| now < expiry)
    }

    /// Returns whether placement is under pressure, so that running work must pause.
    pub(crate) fn is_pressed(&self, now: Micros, settings: &Settings) -> bool {
        self.is_current(now, settings) && self.latency >= settings.pressed_from
    }

    /// Returns the share of each second's processor time that background work may use: interpolated linearly while the
    /// latency is between `calm_below` and `pressed_from`.
    pub(crate) fn cpu_share(&self, now: Micros, settings: &Settings) -> f64 {
        if !self.is_current(now, settings) || self.latency <= settings.calm_below {
            return settings.calm_share;
        }
        let range = settings
            .pressed_from
            .saturating_sub(settings.calm_below)
            .max(1) as f64;
        let pressed = ((self.latency - settings.calm_below) as f64 / range).min(1.0);
        settings.calm_share + (settings.pressed_share - settings.calm_share) * pressed
    }
}
