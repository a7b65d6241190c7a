//! `peppercove serve` as a child process, and its resource usage as reported by the kernel.

use crate::error::MeasureError;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Interval at which the log of a starting process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running `peppercove serve` process. It is killed on drop.
pub struct SchedulerProcess {
    child: Child,
    directory: TempDir,
}

impl SchedulerProcess {
    /// Starts the current executable as a scheduler with this name and configuration.
    ///
    /// # Errors
    /// [`MeasureError::Io`] if a file cannot be written or the process cannot be started.
    pub fn start(name: &str, config: &str) -> Result<SchedulerProcess, MeasureError> {
        let directory = tempfile::tempdir()?;
        let config_path = directory.path().join("config.json");
        fs::write(&config_path, config)?;
        let child = Command::new(std::env::current_exe()?)
            .args(["serve", "--log", "peppercove_serve=info"])
            .env("LB_CONFIG", config_path)
            .env("LB_NAME", name)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("NO_COLOR", "1")
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(directory.path().join("log"))?)
            .spawn()?;
        Ok(SchedulerProcess { child, directory })
    }

    /// Waits until the process logs the address it listens on, and returns that address.
    ///
    /// # Errors
    /// [`MeasureError::NotStarted`] if the process exits, logs an invalid address, or logs no address within `timeout`.
    pub async fn address(&mut self, timeout: Duration) -> Result<SocketAddr, MeasureError> {
        let deadline = Instant::now() + timeout;
        loop {
            let log = fs::read_to_string(self.directory.path().join("log"))?;
            let address = log
                .lines()
                .find_map(|line| line.split_once("serving address="));
            if let Some((_, address)) = address.filter(|_| log.ends_with('\n')) {
                let address = address.trim().parse();
                return address.map_err(|_| MeasureError::NotStarted { log });
            }
            if Instant::now() > deadline || self.child.try_wait()?.is_some() {
                return Err(MeasureError::NotStarted { log });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn proc_path(&self, file: &str) -> String {
        format!("/proc/{}/{file}", self.child.id())
    }

    fn read_proc(&self, file: &str) -> Result<String, MeasureError> {
        let path = self.proc_path(file);
        fs::read_to_string(&path).map_err(|source| MeasureError::File { path, source })
    }

    fn unexpected_content(&self, file: &str, expected: &'static str) -> MeasureError {
        MeasureError::FileContent {
            path: self.proc_path(file),
            expected,
        }
    }

    /// Returns the CPU time used so far in microseconds.
    ///
    /// The process has one thread, whose time `schedstat` reports in nanoseconds; `stat` has a resolution of only 10
    /// ms.
    ///
    /// # Errors
    /// [`MeasureError`] if the file cannot be read or parsed, for example after the process has exited.
    pub fn cpu_time(&self) -> Result<f64, MeasureError> {
        let text = self.read_proc("schedstat")?;
        let nanos = text
            .split_whitespace()
            .next()
            .and_then(|nanos| nanos.parse::<f64>().ok());
        let nanos = nanos.ok_or_else(|| self.unexpected_content("schedstat", "CPU time in ns"))?;
        Ok(nanos / 1e3)
    }

    /// Returns the resident memory in bytes.
    ///
    /// # Errors
    /// As [`SchedulerProcess::cpu_time`].
    pub fn resident_bytes(&self) -> Result<f64, MeasureError> {
        let status = self.read_proc("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
        Ok(kib.ok_or_else(|| self.unexpected_content("status", "VmRSS in kB"))? * 1024.0)
    }

    /// Returns the number of open file descriptors.
    ///
    /// # Errors
    /// As [`SchedulerProcess::cpu_time`].
    pub fn open_descriptors(&self) -> Result<f64, MeasureError> {
        Ok(fs::read_dir(self.proc_path("fd"))?.count() as f64)
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
