//! Derives the settings of a core from the configuration.

use peppercove_config::Config;
use peppercove_core::Limits;
use std::time::Duration;

/// Returns the settings of the core for the given incarnation of the controller.
pub fn core_limits(config: &Config, incarnation: u64) -> Limits {
    let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    let (scheduler, limits) = (&config.scheduler, &config.limits);
    Limits {
        incarnation,
        classes: scheduler.classes.clone(),
        placement_ack: scheduler.placement_ack,
        max_attempts: scheduler.max_attempts,
        max_open_requests: limits.open_requests,
        max_jobs: limits.jobs,
        max_session_jobs: limits.session_jobs,
        deadline_margin: micros(limits.deadline_margin),
        retry_after: micros(limits.retry_after),
        ambiguous_retry_delay: scheduler.ambiguous_retry_delay,
        outcome_retention: micros(limits.outcome_retention),
        max_ambiguous_tasks: limits.ambiguous_tasks,
        unreachable_timeout: micros(limits.unreachable_timeout),
        has_journal: config.journal_path.is_some(),
    }
}
