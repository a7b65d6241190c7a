//! `peppercove serve` as a process of its own, and what the system says of it.

use anyhow::{Context, Result, bail};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// A process that serves; ended when this is dropped.
pub struct Process {
    child: Child,
    folder: TempDir,
}

impl Process {
    /// Starts this program as a scheduler of this name and configuration.
    pub fn start(name: &str, config: &str) -> Result<Process> {
        let folder = tempfile::tempdir()?;
        let path = folder.path().join("config.json");
        fs::write(&path, config)?;
        let child = Command::new(std::env::current_exe()?)
            .args(["serve", "--log", "peppercove_serve=info"])
            .env("LB_CONFIG", path)
            .env("LB_NAME", name)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("NO_COLOR", "1")
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(folder.path().join("log"))?)
            .spawn()?;
        Ok(Process { child, folder })
    }

    /// Where it listens, once it does; an error where it does not within `long`.
    pub async fn address(&mut self, long: Duration) -> Result<SocketAddr> {
        let until = Instant::now() + long;
        loop {
            let log = fs::read_to_string(self.folder.path().join("log"))?;
            let said = log
                .lines()
                .find_map(|line| line.split_once("serving address="));
            if let Some((_, address)) = said.filter(|_| log.ends_with('\n')) {
                return address
                    .trim()
                    .parse()
                    .with_context(|| format!("an address: {address}"));
            }
            if Instant::now() > until || self.child.try_wait()?.is_some() {
                bail!("a scheduler did not start: {log}");
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn proc(&self, file: &str) -> Result<String> {
        let path = format!("/proc/{}/{file}", self.child.id());
        fs::read_to_string(&path).with_context(|| path)
    }

    /// Processor time so far, microseconds. It has one thread, whose time the scheduler of the system tells in
    /// nanoseconds; `stat` has the same in steps of 10 ms.
    pub fn processor_time(&self) -> Result<f64> {
        let text = self.proc("schedstat")?;
        let nanoseconds = text
            .split_whitespace()
            .next()
            .context("an empty schedstat")?;
        Ok(nanoseconds.parse::<f64>()? / 1e3)
    }

    /// Resident size, bytes.
    pub fn resident(&self) -> Result<f64> {
        let status = self.proc("status")?;
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .context("no VmRSS")?;
        Ok(line.trim().trim_end_matches("kB").trim().parse::<f64>()? * 1024.0)
    }

    /// Open descriptors.
    pub fn descriptors(&self) -> Result<f64> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count() as f64)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
