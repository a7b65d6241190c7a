//! From a DRMAA job template to a submission: which attribute becomes what, and what is wrong with it.

use peppercove::{ServiceId, TaskKey};
use peppercove_config::Config;
use peppercove_core::{Program, Submission};
use peppercove_protocol::drmaa::{Errno, SCALAR_ATTRIBUTES, VECTOR_ATTRIBUTES};
use peppercove_protocol::native::{self, NativeSpecification};
use peppercove_protocol::rpc::{JobTemplate, RpcError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Longest submission key and session name, in bytes.
const LONGEST_NAME: usize = 256;

/// A job as it is submitted, and when it may start at the earliest.
#[derive(Clone, Debug, PartialEq)]
pub struct PreparedJob {
    /// What the core is told.
    pub submission: Submission,
    /// `drmaa_start_time`, in seconds since 1970; the job is on hold until then.
    pub start_at: Option<i64>,
}

fn wrong(errno: Errno, attribute: &str, what: impl std::fmt::Display) -> RpcError {
    let mut fault = RpcError::drmaa(errno, format!("{attribute}: {what}"));
    if let Some(data) = &mut fault.data {
        data.attribute = Some(attribute.into());
    }
    fault
}

/// Reads a template. `index` is the place of the job in a bulk submission.
///
/// # Errors
/// The DRMAA error that the attribute calls for (GFD.133, section 3.2), with its name.
pub fn prepare_submission(
    config: &Config,
    session: &str,
    key: &str,
    template: &JobTemplate,
    index: Option<i64>,
) -> Result<PreparedJob, RpcError> {
    if key.is_empty() || key.len() > LONGEST_NAME || key.contains('\n') {
        let what = format!("submissionKey must hold 1 to {LONGEST_NAME} bytes on one line");
        return Err(RpcError::drmaa(Errno::InvalidArgument, what));
    }
    check_names(template)?;
    let Some(command) = template.get("drmaa_remote_command") else {
        return Err(wrong(
            Errno::InvalidAttributeValue,
            "drmaa_remote_command",
            "it is required",
        ));
    };
    let held = match template.get("drmaa_js_state") {
        None | Some("drmaa_active") => false,
        Some("drmaa_hold") => true,
        Some(other) => {
            let what = format!("'{other}' is neither drmaa_active nor drmaa_hold");
            return Err(wrong(Errno::InvalidAttributeValue, "drmaa_js_state", what));
        }
    };
    check_formats(template)?;
    let spec = template
        .get("drmaa_native_specification")
        .unwrap_or_default();
    let native = native::parse(spec).map_err(|e| {
        wrong(
            Errno::InvalidAttributeValue,
            "drmaa_native_specification",
            e,
        )
    })?;
    let (class, asked_by) = class_of(config, template, &native)?;
    let tenant = match &native.tenant {
        None => 0,
        Some(name) => match config.tenants.iter().position(|t| t == name) {
            Some(i) => i as u32,
            None => {
                let what = format!("there is no tenant '{name}'");
                return Err(wrong(
                    Errno::InvalidAttributeValue,
                    "drmaa_native_specification",
                    what,
                ));
            }
        },
    };
    let settings = &config.scheduler.classes[usize::from(class)];
    let (cores, memory) = config.class_defaults[usize::from(class)];
    let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    let deadline_in = native.deadline.map_or(settings.deadline, micros);
    let reserve = micros(config.limits.deadline_margin);
    if deadline_in <= 2 * reserve || deadline_in > settings.deadline {
        let what = format!(
            "deadline must be over {} us and at most that of class {asked_by}, {} us",
            2 * reserve,
            settings.deadline
        );
        return Err(wrong(
            Errno::InvalidAttributeValue,
            "drmaa_native_specification",
            what,
        ));
    }
    let (cores, memory) = (
        native.cores.unwrap_or(cores),
        native.memory.unwrap_or(memory),
    );
    let most = |f: fn(&peppercove::NodeKind) -> f64| {
        config
            .scheduler
            .node_kinds
            .iter()
            .map(f)
            .fold(0.0, f64::max)
    };
    let limits = [
        most(|k| k.cores) * config.scheduler.cores_overcommit,
        most(|k| k.memory) * config.scheduler.memory_overcommit,
    ];
    if cores > limits[0] || memory > limits[1] {
        let what = format!(
            "no kind of node accepts {cores} cores and {memory} memory; the most are {} and {}",
            limits[0], limits[1]
        );
        return Err(wrong(
            Errno::DeniedByDrm,
            "drmaa_native_specification",
            what,
        ));
    }
    let name = template.get("drmaa_job_name").unwrap_or(command);
    let service = ServiceId(xxh3_64(format!("{class}\n{tenant}\n{name}").as_bytes()));
    let task = TaskKey(match &native.task {
        Some(task) => {
            xxh3_64(format!("task\n{tenant}\n{class}\n{task}\n{}", index.unwrap_or(0)).as_bytes())
        }
        None => xxh3_64(format!("key\n{session}\n{key}").as_bytes()),
    });
    let start_at = match template.get("drmaa_start_time") {
        None => None,
        Some(text) => Some(partial_time(text, now_seconds()).ok_or_else(|| {
            let what = format!("'{text}' is not [[[[CC]YY/]MM/]DD] hh:mm[:ss] [{{-|+}}UU:uu]");
            wrong(Errno::InvalidAttributeFormat, "drmaa_start_time", what)
        })?),
    };
    let submission = Submission {
        session: session.into(),
        key: key.into(),
        task,
        service,
        class,
        tenant,
        cores,
        memory,
        deadline_in,
        expected_duration: native.expected_duration.map(micros),
        is_retry: native.is_retry || native.previous_controller.is_some(),
        requested_elsewhere: native
            .previous_controller
            .as_ref()
            .is_some_and(|name| *name != config.name),
        on_hold: held || start_at.is_some(),
        program: program(template, command, &native, index),
    };
    Ok(PreparedJob {
        submission,
        start_at: start_at.filter(|_| !held),
    })
}

fn check_names(template: &JobTemplate) -> Result<(), RpcError> {
    let scalars = template
        .attributes
        .keys()
        .filter(|n| !SCALAR_ATTRIBUTES.contains(&n.as_str()));
    let vectors = template
        .vectors
        .keys()
        .filter(|n| !VECTOR_ATTRIBUTES.contains(&n.as_str()));
    match scalars.chain(vectors).next() {
        Some(name) => Err(wrong(
            Errno::InvalidArgument,
            name,
            "there is no such attribute",
        )),
        None => Ok(()),
    }
}

fn check_formats(template: &JobTemplate) -> Result<(), RpcError> {
    for path in ["drmaa_input_path", "drmaa_output_path", "drmaa_error_path"] {
        if let Some(value) = template.get(path).filter(|v| !v.contains(':')) {
            let what = format!("'{value}' is not [hostname]:path");
            return Err(wrong(Errno::InvalidAttributeFormat, path, what));
        }
    }
    if let Some(join) = template
        .get("drmaa_join_files")
        .filter(|v| !matches!(*v, "y" | "n"))
    {
        let what = format!("'{join}' is neither y nor n");
        return Err(wrong(
            Errno::InvalidAttributeValue,
            "drmaa_join_files",
            what,
        ));
    }
    if let Some(block) = template
        .get("drmaa_block_email")
        .filter(|v| !matches!(*v, "0" | "1"))
    {
        let what = format!("'{block}' is neither 0 nor 1");
        return Err(wrong(
            Errno::InvalidAttributeValue,
            "drmaa_block_email",
            what,
        ));
    }
    if let Some(entry) = template
        .vector("drmaa_v_env")
        .iter()
        .find(|e| !e.contains('=') || e.starts_with('='))
    {
        return Err(wrong(
            Errno::InvalidAttributeFormat,
            "drmaa_v_env",
            format!("'{entry}' is not NAME=VALUE"),
        ));
    }
    Ok(())
}

fn class_of(
    config: &Config,
    template: &JobTemplate,
    native: &NativeSpecification,
) -> Result<(u16, String), RpcError> {
    let named = native
        .class
        .as_deref()
        .map(|c| ("drmaa_native_specification", c));
    let category = template
        .get("drmaa_job_category")
        .map(|c| ("drmaa_job_category", c));
    match named.or(category) {
        None => Ok((
            config.default_class,
            config.classes[usize::from(config.default_class)].clone(),
        )),
        Some((attribute, name)) => match config.classes.iter().position(|c| c == name) {
            Some(i) => Ok((i as u16, name.into())),
            None => {
                let what = format!(
                    "there is no class '{name}'; there are: {}",
                    config.classes.join(", ")
                );
                Err(wrong(Errno::InvalidAttributeValue, attribute, what))
            }
        },
    }
}

fn program(
    template: &JobTemplate,
    command: &str,
    native: &NativeSpecification,
    index: Option<i64>,
) -> Program {
    // GFD.133, section 3.2.2: the index of a bulk job stands for this placeholder.
    let placed = |text: &str| match index {
        Some(i) => text.replace("$drmaa_incr_ph$", &i.to_string()),
        None => text.into(),
    };
    let mut env = template.vector("drmaa_v_env").to_vec();
    if let Some(life) = native.expected_duration {
        env.push(format!("PEPPERCOVE_LIFE_US={}", life.as_micros()));
    }
    if let Some(exit) = native.exit_status {
        env.push(format!("PEPPERCOVE_EXIT={exit}"));
    }
    if let Some(index) = index {
        env.push(format!("PEPPERCOVE_INDEX={index}"));
    }
    Program {
        command: command.into(),
        args: template.vector("drmaa_v_argv").to_vec(),
        env,
        working_directory: template.get("drmaa_wd").map(placed),
    }
}

fn now_seconds() -> i64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs() as i64
}

/// Reads a partial time (GFD.133, section 3.2.2): `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`. What is left out
/// is that of `now`; a time of day that has passed is tomorrow's; without an offset it is UTC.
fn partial_time(text: &str, now: i64) -> Option<i64> {
    let mut parts: Vec<&str> = text.split_whitespace().collect();
    let offset = match parts.last().filter(|p| p.starts_with(['+', '-'])) {
        None => 0,
        Some(zone) => {
            let sign = if zone.starts_with('-') { -1 } else { 1 };
            let (hours, minutes) = zone[1..].split_once(':')?;
            parts.pop();
            sign * (two(hours, 14)? * 3600 + two(minutes, 59)? * 60)
        }
    };
    let (date, time) = match parts[..] {
        [time] => (None, time),
        [date, time] => (Some(date), time),
        _ => return None,
    };
    let mut clock = time.split(':');
    let (hour, minute) = (two(clock.next()?, 23)?, two(clock.next()?, 59)?);
    let second = clock.next().map_or(Some(0), |s| two(s, 61))?;
    if clock.next().is_some() {
        return None;
    }
    let of_day = hour * 3600 + minute * 60 + second;
    let (mut year, mut month, mut day) = civil((now + offset).div_euclid(86_400));
    if let Some(date) = date {
        let fields: Vec<&str> = date.split('/').collect();
        let (d, rest) = fields.split_last()?;
        day = two(d, 31).filter(|d| *d > 0)?;
        if let Some((m, rest)) = rest.split_last() {
            month = two(m, 12).filter(|m| *m > 0)?;
            match rest {
                [] => {}
                [y] if y.len() == 4 => year = y.parse().ok()?,
                [y] => year = year.div_euclid(100) * 100 + two(y, 99)?,
                _ => return None,
            }
        }
    }
    let at = days(year, month, day) * 86_400 + of_day - offset;
    Some(if date.is_none() && at < now {
        at + 86_400
    } else {
        at
    })
}

fn two(text: &str, most: i64) -> Option<i64> {
    let digits = text.len() == 2 && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| digits && *n <= most)
}

/// Days since 1970-01-01 of a date of the proleptic Gregorian calendar.
fn days(year: i64, month: i64, day: i64) -> i64 {
    let y = if month <= 2 { year - 1 } else { year };
    let of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    y * 365 + y.div_euclid(4) - y.div_euclid(100) + y.div_euclid(400) + of_year - 719_468
}

fn civil(days_since: i64) -> (i64, i64, i64) {
    // A year is never off by more than one from this; the month follows by trial.
    let mut year = 1970 + days_since.div_euclid(366);
    while days(year + 1, 1, 1) <= days_since {
        year += 1;
    }
    let month = (1..=12)
        .rev()
        .find(|m| days(year, *m, 1) <= days_since)
        .unwrap_or(1);
    (year, month, days_since - days(year, month, 1) + 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config() -> Config {
        Config::parse(peppercove_config::embedded_default()).unwrap()
    }

    fn template(pairs: &[(&str, &str)]) -> JobTemplate {
        let attributes = pairs
            .iter()
            .map(|(n, v)| ((*n).into(), (*v).into()))
            .collect();
        JobTemplate {
            attributes,
            ..JobTemplate::default()
        }
    }

    #[test]
    fn a_template_becomes_a_submission() {
        let t = template(&[
            ("drmaa_remote_command", "sleep"),
            ("drmaa_job_category", "render"),
            (
                "drmaa_native_specification",
                "cores=2 memory=3 deadline=2s life=5s",
            ),
        ]);
        let p = prepare_submission(&config(), "s", "k", &t, None).unwrap();
        let s = &p.submission;
        assert_eq!(
            (s.class, s.cores, s.memory, s.deadline_in),
            (1, 2.0, 3.0, 2_000_000)
        );
        assert_eq!(s.program.env, ["PEPPERCOVE_LIFE_US=5000000"]);
        let again = prepare_submission(&config(), "s", "k2", &t, None).unwrap();
        assert_eq!(again.submission.service, s.service);
        assert_ne!(again.submission.task, s.task);
    }

    #[test]
    fn what_is_wrong_is_named() {
        type Case<'a> = (&'a [(&'a str, &'a str)], Errno, &'a str);
        let cases: &[Case<'_>] = &[
            (&[], Errno::InvalidAttributeValue, "drmaa_remote_command"),
            (
                &[("drmaa_js_state", "maybe")],
                Errno::InvalidAttributeValue,
                "neither drmaa_active",
            ),
            (
                &[("drmaa_colour", "red")],
                Errno::InvalidArgument,
                "no such attribute",
            ),
            (
                &[("drmaa_native_specification", "cores=x")],
                Errno::InvalidAttributeValue,
                "column 7",
            ),
            (
                &[("drmaa_native_specification", "cores=1000000")],
                Errno::DeniedByDrm,
                "no kind of node",
            ),
            (
                &[("drmaa_native_specification", "tenant=nobody")],
                Errno::InvalidAttributeValue,
                "no tenant",
            ),
            (
                &[("drmaa_native_specification", "deadline=9h")],
                Errno::InvalidAttributeValue,
                "at most that of class",
            ),
            (
                &[("drmaa_job_category", "none")],
                Errno::InvalidAttributeValue,
                "no class 'none'; there are: fill",
            ),
            (
                &[("drmaa_output_path", "out")],
                Errno::InvalidAttributeFormat,
                "[hostname]:path",
            ),
            (
                &[("drmaa_join_files", "yes")],
                Errno::InvalidAttributeValue,
                "neither y nor n",
            ),
            (
                &[("drmaa_start_time", "noon")],
                Errno::InvalidAttributeFormat,
                "hh:mm",
            ),
        ];
        for (pairs, errno, what) in cases {
            let mut all = vec![("drmaa_remote_command", "sleep")];
            all.extend(*pairs);
            let t = template(if pairs.is_empty() { &[] } else { &all });
            let fault = prepare_submission(&config(), "s", "k", &t, None).unwrap_err();
            assert_eq!(fault.errno(), *errno, "{fault:?}");
            assert!(fault.message.contains(what), "{fault:?}");
        }
    }

    #[test]
    fn partial_times_are_read() {
        let now = days(2026, 12, 1) * 86_400 + 12 * 3600;
        assert_eq!(partial_time("13:30", now), Some(now + 5400));
        assert_eq!(
            partial_time("11:00", now),
            Some(now + 23 * 3600),
            "passed: tomorrow"
        );
        assert_eq!(partial_time("02 12:00", now), Some(now + 86_400));
        assert_eq!(
            partial_time("2027/01/01 00:00:30 +02:00", now),
            Some(days(2027, 1, 1) * 86_400 + 30 - 7200)
        );
        assert_eq!(partial_time("26/12/02 12:00", now), Some(now + 86_400));
        for bad in [
            "",
            "noon",
            "25:00",
            "1:00",
            "13/40 10:00",
            "10:00:00:00",
            "01 02 10:00",
            "10:00 +2",
        ] {
            assert_eq!(partial_time(bad, now), None, "{bad}");
        }
        for day in [0, 59, 60, 365, 11_016, 20_788, -1, -719_468] {
            let (y, m, d) = civil(day);
            assert_eq!(days(y, m, d), day);
        }
    }
}
