//! Plays points, each in a process of its own.

use crate::roles::{ROLES, Role};
use crate::row::{At, Row};
use anyhow::{Context, Result, bail};
use std::io::{Read, Write};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Wall time that one point may take, seconds.
const POINT_BOUND: u64 = 120;

fn role(name: &str) -> Result<&'static Role> {
    let names = || ROLES.iter().map(|r| r.name).collect::<Vec<_>>().join(", ");
    ROLES
        .iter()
        .find(|r| r.name == name)
        .with_context(|| format!("no role {name}; there are {}", names()))
}

/// Measures one point in this process and prints its figures, one JSON object a line.
pub fn point(name: &str, at: &str, quick: bool) -> Result<()> {
    let at: At = serde_json::from_str(at).context("the sizes of the point")?;
    for measure in (role(name)?.measure)(&at, quick)? {
        println!("{}", serde_json::to_string(&measure)?);
    }
    Ok(())
}

/// Plays the sweeps of the roles named (all where none is) and writes a row for each figure as it comes.
pub fn sweeps(names: &[String], quick: bool, out: &mut dyn Write) -> Result<()> {
    let roles = match names {
        [] => ROLES.iter().collect(),
        names => names.iter().map(|n| role(n)).collect::<Result<Vec<_>>>()?,
    };
    for role in roles {
        for (sweep, points) in (role.sweeps)(quick) {
            for at in points {
                let started = Instant::now();
                let printed = child(role, &at, quick)?;
                for line in printed.lines() {
                    let figure =
                        serde_json::from_str(line).with_context(|| format!("a figure: {line}"))?;
                    let row = Row {
                        role: role.name.to_owned(),
                        sweep,
                        at,
                        hollow: role.hollow,
                        figure,
                    };
                    writeln!(out, "{}", serde_json::to_string(&row)?)?;
                }
                out.flush()?;
                eprintln!(
                    "{} {sweep:?} {}: {:.1?}",
                    role.name,
                    sweep.of(&at),
                    started.elapsed()
                );
            }
        }
    }
    Ok(())
}

fn child(role: &Role, at: &At, quick: bool) -> Result<String> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args([
        "bench",
        "scale-point",
        role.name,
        &serde_json::to_string(at)?,
    ]);
    if quick {
        command.arg("--quick");
    }
    let mut child = command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut stdout = child.stdout.take().context("the point's output")?;
    let reader = std::thread::spawn(move || {
        let mut printed = String::new();
        stdout.read_to_string(&mut printed).map(|_| printed)
    });
    let bound = Instant::now() + Duration::from_secs(POINT_BOUND);
    let status = loop {
        if let Some(status) = child.try_wait()? {
            break status;
        }
        if Instant::now() > bound {
            child.kill()?;
            child.wait()?;
            bail!(
                "{} at {at:?} took over {POINT_BOUND} s and was ended",
                role.name
            );
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let printed = reader
        .join()
        .map_err(|_| anyhow::anyhow!("the point's output was not read"))??;
    if !status.success() {
        bail!("{} at {at:?} ended with {status}", role.name);
    }
    Ok(printed)
}
