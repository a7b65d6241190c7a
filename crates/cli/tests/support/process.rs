//! `peppercove serve` as a process.

use super::TIMEOUT;
use super::configuration::{CONTROLLER, config};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A controller process; it is killed on drop.
pub struct Controller {
    child: Child,
    pub address: SocketAddr,
    folder: tempfile::TempDir,
}

/// The command to run a controller with this configuration, without variables that the environment of the tests may set.
pub fn serve_command(config: &std::path::Path, name: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_peppercove"));
    command
        .arg("serve")
        .env("LB_CONFIG", config)
        .env("LB_NAME", name)
        .env("LB_LISTEN", "127.0.0.1:0")
        .env_remove("RUST_LOG")
        .env("NO_COLOR", "1");
    command
}

impl Controller {
    /// Starts a single controller that knows the nodes with these list entries.
    pub fn start(journal: SocketAddr, entries: &[String], sockets: usize) -> Controller {
        Controller::start_with(CONTROLLER, &config(journal, entries, sockets))
    }

    /// Starts a controller with this configuration.
    pub fn start_with(name: &str, config: &str) -> Controller {
        let folder = tempfile::tempdir().expect("cannot create a temporary folder");
        let path = folder.path().join("config.json");
        std::fs::write(&path, config).expect("cannot write the configuration");
        let mut child = serve_command(&path, name)
            .args(["--log", "info"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("cannot start the program");
        let address = listen_address(child.stderr.take().expect("standard error is not piped"));
        Controller {
            child,
            address,
            folder,
        }
    }

    fn config_path(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Sends it a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Stops the process with SIGSTOP and waits until it has stopped. The signal takes effect some time after it was
    /// sent; on a busy machine, the process can still read what is sent directly after the signal.
    pub fn pause(&self) {
        self.signal("-STOP");
        let deadline = Instant::now() + TIMEOUT;
        while !self.is_paused() {
            assert!(
                Instant::now() < deadline,
                "the process did not stop on SIGSTOP"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Whether the state of the process is `T`, stopped by a signal (proc(5)).
    fn is_paused(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("cannot read the state of the process");
        let (_, after_command) = stat.rsplit_once(')').expect("no command in /proc/PID/stat");
        after_command.trim_start().starts_with('T')
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Pauses the process while `act` runs, so that it sees everything that `act` does at the same time.
    pub fn while_paused(&self, act: impl FnOnce()) {
        self.pause();
        act();
        self.resume();
    }

    /// Replaces the configuration file and requests a reload with SIGHUP.
    pub fn configure(&self, config: &str) {
        std::fs::write(self.config_path(), config).expect("cannot write the configuration");
        self.signal("-HUP");
    }

    /// The peak of its resident memory, in KiB (`VmHWM` in proc(5)).
    pub fn peak_memory_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("cannot read the status of the process");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let number = peak.and_then(|peak| peak.split_whitespace().next());
        number
            .and_then(|kib| kib.parse().ok())
            .expect("no peak memory in /proc/PID/status")
    }

    pub fn is_alive(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("cannot wait for the process")
            .is_none()
    }

    /// Waits until the process has exited.
    pub fn exit_status(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("cannot wait for the process") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the process did not exit within {TIMEOUT:?}");
    }
}

/// Waits for the address that the controller logs. If it panics, prints its log from the panic message on.
fn listen_address(log: ChildStderr) -> SocketAddr {
    let (found, address) = mpsc::channel();
    std::thread::spawn(move || {
        let mut has_panicked = false;
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            has_panicked |= line.contains("panicked");
            if has_panicked {
                eprintln!("{line}");
            }
            if let Some((_, address)) = line.split_once("serving address=") {
                let _ = found.send(address.trim().parse().expect("not a valid address"));
            }
        }
    });
    address
        .recv_timeout(TIMEOUT)
        .expect("the controller did not log its address")
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
