//! Runs the sweeps of the roles, each point in a separate process, so that resident memory and file descriptors are
//! those of that point alone.

use crate::error::MeasureError;
use crate::role::Role;
use crate::roles::ROLES;
use crate::row::{Figure, Row, Sizes};
use std::io::{Read, Write};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Wall-clock limit of one point in seconds.
const POINT_TIMEOUT_S: u64 = 120;

/// Interval at which the process of a point is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn role_named(name: &str) -> Result<&'static Role, MeasureError> {
    ROLES
        .iter()
        .find(|role| role.name == name)
        .ok_or_else(|| MeasureError::UnknownRole {
            name: name.to_owned(),
            known: ROLES
                .iter()
                .map(|role| role.name)
                .collect::<Vec<_>>()
                .join(", "),
        })
}

/// Measures one point in this process and prints its figures, one JSON object per line. `sizes` is [`Sizes`] as JSON.
///
/// # Errors
/// [`MeasureError`] if the role is unknown, the sizes cannot be parsed, or the point cannot be measured.
pub fn run_point(role: &str, sizes: &str, is_quick: bool) -> Result<(), MeasureError> {
    let sizes: Sizes = serde_json::from_str(sizes).map_err(MeasureError::Sizes)?;
    for figure in (role_named(role)?.measure)(&sizes, is_quick)? {
        println!(
            "{}",
            serde_json::to_string(&figure).map_err(MeasureError::Serialize)?
        );
    }
    Ok(())
}

/// Runs the sweeps of the named roles, or of all roles if `names` is empty, and writes a row for each figure as soon as
/// its point is measured.
///
/// # Errors
/// The error of the first point that fails.
pub fn run_sweeps(
    names: &[String],
    is_quick: bool,
    out: &mut dyn Write,
) -> Result<(), MeasureError> {
    let roles = match names {
        [] => ROLES.iter().collect(),
        names => names
            .iter()
            .map(|name| role_named(name))
            .collect::<Result<Vec<_>, _>>()?,
    };
    for role in roles {
        for sweep in (role.sweeps)(is_quick) {
            for sizes in sweep.points {
                let started = Instant::now();
                for figure in run_point_process(role, &sizes, is_quick)? {
                    let row = Row {
                        role: role.name.to_owned(),
                        axis: sweep.axis,
                        sizes,
                        is_hollow: role.is_hollow,
                        figure,
                    };
                    let row = serde_json::to_string(&row).map_err(MeasureError::Serialize)?;
                    writeln!(out, "{row}")?;
                }
                out.flush()?;
                let (axis, size) = (sweep.axis.name(), sweep.axis.size_in(&sizes));
                eprintln!("{} {axis} {size}: {:.1?}", role.name, started.elapsed());
            }
        }
    }
    Ok(())
}

/// Measures one point in a child process and parses the figures that it prints.
fn run_point_process(
    role: &Role,
    sizes: &Sizes,
    is_quick: bool,
) -> Result<Vec<Figure>, MeasureError> {
    let mut command = Command::new(std::env::current_exe()?);
    let json = serde_json::to_string(sizes).map_err(MeasureError::Serialize)?;
    command.args(["bench", "scale-point", role.name, &json]);
    if is_quick {
        command.arg("--quick");
    }
    let mut child = command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let reader = read_output(&mut child);
    let status = wait_with_timeout(&mut child)?.ok_or(MeasureError::PointTimeout {
        role: role.name,
        sizes: *sizes,
        seconds: POINT_TIMEOUT_S,
    })?;
    let printed = reader
        .join()
        .map_err(|_| MeasureError::ThreadPanicked("reads the point's output"))??;
    if !status.success() {
        return Err(MeasureError::PointFailed {
            role: role.name,
            sizes: *sizes,
            status,
        });
    }
    let figure = |line: &str| {
        serde_json::from_str(line).map_err(|source| MeasureError::Figure {
            line: line.to_owned(),
            source,
        })
    };
    printed.lines().map(figure).collect()
}

/// Reads the output of the child in a thread, so that a full pipe does not block it.
fn read_output(child: &mut Child) -> JoinHandle<std::io::Result<String>> {
    let stdout = child.stdout.take();
    thread::spawn(move || {
        let mut printed = String::new();
        if let Some(mut stdout) = stdout {
            stdout.read_to_string(&mut printed)?;
        }
        Ok(printed)
    })
}

/// Returns the exit status; `None` if the child exceeded the timeout and was killed.
fn wait_with_timeout(child: &mut Child) -> Result<Option<ExitStatus>, MeasureError> {
    let deadline = Instant::now() + Duration::from_secs(POINT_TIMEOUT_S);
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        if Instant::now() > deadline {
            child.kill()?;
            child.wait()?;
            return Ok(None);
        }
        thread::sleep(POLL_INTERVAL);
    }
}
