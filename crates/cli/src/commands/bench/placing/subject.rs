//! A process under measurement, and what the system says of it.

use super::fake_fleet::FakeFleet;
use anyhow::{Context, Result};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use tempfile::NamedTempFile;

/// User ticks a second: Linux gives ticks of 1/100 s to every process (proc(5)).
const TICKS_PER_SECOND: f64 = 100.0;
/// User and system time in `/proc/PID/stat`, counted from the first field behind the command (proc(5)).
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// A process under measurement; it is killed when this is dropped.
pub struct Subject {
    child: Child,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// Its settings, which are to exist as long as it runs.
    _config: Option<NamedTempFile>,
}

impl Subject {
    fn start(arguments: &[String], config: Option<NamedTempFile>) -> Result<Subject> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()
            .context("cannot start the process to measure")?;
        let out = child.stdout.take().context("the process has no output")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ");
        let address = address.context("the process did not say where it listens")?;
        Ok(Subject {
            address: address.parse()?,
            child,
            _config: config,
        })
    }

    /// A controller with the embedded settings, this fleet and room for every job.
    pub fn controller(fleet: &FakeFleet) -> Result<Subject> {
        let text = peppercove_config::embedded_default()
            .replace("127.0.0.1:7001", &fleet.list.to_string())
            .replace(
                "cores=\"24\" memory=\"60\"",
                "cores=\"4096\" memory=\"16384\"",
            )
            .replace("</peppercove>", "<logs level=\"error\"/></peppercove>");
        let mut file = NamedTempFile::new()?;
        file.write_all(text.as_bytes())?;
        let path = file.path().display().to_string();
        Subject::start(&["controller".into(), "--config".into(), path], Some(file))
    }

    /// The bare relay to the nodes of this fleet.
    pub fn relay(fleet: &FakeFleet) -> Result<Subject> {
        let mut arguments = vec!["bench".into(), "relay".into()];
        arguments.extend(fleet.nodes.iter().map(ToString::to_string));
        Subject::start(&arguments, None)
    }

    fn read_proc(&self, file: &str) -> Result<String> {
        Ok(std::fs::read_to_string(format!(
            "/proc/{}/{file}",
            self.child.id()
        ))?)
    }

    /// Resident memory, KiB.
    pub fn resident_kib(&self) -> Result<u64> {
        let status = self.read_proc("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        Ok(line
            .context("no VmRSS")?
            .trim()
            .trim_end_matches(" kB")
            .parse()?)
    }

    /// Processor time so far, seconds.
    pub fn cpu_seconds(&self) -> Result<f64> {
        let stat = self.read_proc("stat")?;
        let (_, after_command) = stat.rsplit_once(')').context("no command in stat")?;
        let fields: Vec<&str> = after_command.split_whitespace().collect();
        let user = fields[USER_TIME_FIELD].parse::<f64>()?;
        let system = fields[SYSTEM_TIME_FIELD].parse::<f64>()?;
        Ok((user + system) / TICKS_PER_SECOND)
    }
}

impl Drop for Subject {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
