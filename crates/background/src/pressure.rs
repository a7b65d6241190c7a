//! How much processor time placement leaves for background work.

use crate::{Micros, Settings};

/// The latency of placement, as reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    latency: Micros,
    reported_at: Option<Micros>,
}

impl Pressure {
    /// Takes in a reported latency.
    pub(crate) fn report(&mut self, now: Micros, latency: Micros) {
        self.latency = latency;
        self.reported_at = Some(now);
    }

    /// When the report expires; `None` without a report.
    pub(crate) fn expires_at(&self, settings: &Settings) -> Option<Micros> {
        self.reported_at
            .map(|at| at.saturating_add(settings.pressure_timeout))
    }

    fn is_current(&self, now: Micros, settings: &Settings) -> bool {
        self.expires_at(settings).is_some_and(|expiry| now < expiry)
    }

    /// Placement is under pressure, so that running work is to pause.
    pub(crate) fn is_pressed(&self, now: Micros, settings: &Settings) -> bool {
        self.is_current(now, settings) && self.latency >= settings.pressed_from
    }

    /// Share of a second's processor time that background work may take: linear in the latency between the two bounds.
    pub(crate) fn cpu_share(&self, now: Micros, settings: &Settings) -> f64 {
        if !self.is_current(now, settings) || self.latency <= settings.calm_below {
            return settings.calm_share;
        }
        let span = settings
            .pressed_from
            .saturating_sub(settings.calm_below)
            .max(1) as f64;
        let pressed = ((self.latency - settings.calm_below) as f64 / span).min(1.0);
        settings.calm_share + (settings.pressed_share - settings.calm_share) * pressed
    }
}
