//! `peppercove serve` as a process of its own, and what the system says of it.

use crate::error::MeasureError;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// How often the log of a starting process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process that serves; it is killed when this is dropped.
pub struct SchedulerProcess {
    child: Child,
    folder: TempDir,
}

impl SchedulerProcess {
    /// Starts this program as a scheduler of this name and configuration.
    ///
    /// # Errors
    /// [`MeasureError::Io`] where a file cannot be written or the process not be started.
    pub fn start(name: &str, config: &str) -> Result<SchedulerProcess, MeasureError> {
        let folder = tempfile::tempdir()?;
        let config_path = folder.path().join("config.json");
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
            .stderr(File::create(folder.path().join("log"))?)
            .spawn()?;
        Ok(SchedulerProcess { child, folder })
    }

    /// The address where it listens, as soon as it logs that.
    ///
    /// # Errors
    /// [`MeasureError::NotStarted`] where it ends, says no address, or says nothing within `timeout`.
    pub async fn address(&mut self, timeout: Duration) -> Result<SocketAddr, MeasureError> {
        let deadline = Instant::now() + timeout;
        loop {
            let log = fs::read_to_string(self.folder.path().join("log"))?;
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

    /// Processor time so far, microseconds.
    ///
    /// The process has one thread, whose time `schedstat` gives in nanoseconds; `stat` gives the same in steps of 10 ms.
    ///
    /// # Errors
    /// [`MeasureError`] where the system does not give it, such as after the process has ended.
    pub fn processor_time(&self) -> Result<f64, MeasureError> {
        let text = self.read_proc("schedstat")?;
        let nanos = text
            .split_whitespace()
            .next()
            .and_then(|nanos| nanos.parse::<f64>().ok());
        let nanos =
            nanos.ok_or_else(|| self.unexpected_content("schedstat", "processor time in ns"))?;
        Ok(nanos / 1e3)
    }

    /// Resident memory, bytes.
    ///
    /// # Errors
    /// As [`SchedulerProcess::processor_time`].
    pub fn resident(&self) -> Result<f64, MeasureError> {
        let status = self.read_proc("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
        Ok(kib.ok_or_else(|| self.unexpected_content("status", "VmRSS in kB"))? * 1024.0)
    }

    /// Open descriptors.
    ///
    /// # Errors
    /// As [`SchedulerProcess::processor_time`].
    pub fn descriptors(&self) -> Result<f64, MeasureError> {
        Ok(fs::read_dir(self.proc_path("fd"))?.count() as f64)
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
