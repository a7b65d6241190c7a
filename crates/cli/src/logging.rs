//! Logs on standard error.

use peppercove_config::LogFormat;
use tracing_subscriber::EnvFilter;

/// Logs to standard error from now on, at this level or by the filter in `RUST_LOG`. A second call keeps the first one's
/// choice.
pub fn log_to_stderr(format: LogFormat, level: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(level));
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // Fails where a subscriber is set already.
    let _ = match format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().try_init(),
    };
}
