//! Logging to standard error.

use peppercove_config::LogFormat;
use tracing_subscriber::EnvFilter;

/// Starts logging to standard error, at this level or with the filter in `RUST_LOG`. Only the first call has an effect.
pub fn log_to_stderr(format: LogFormat, level: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(level));
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // Fails if a subscriber is already set.
    let _ = match format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().try_init(),
    };
}
