//! What one process of a role needs at a size, against what it may spend: `bench/scale/needs.json`.

use crate::page::book::{Book, Estimate};
use crate::row::Axis;
use crate::target::{Assumed, Target};
use anyhow::{Context, Result, ensure};
use peppercove_platform::endpoint_watch::max_line_bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How often a measure counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Times {
    /// Once: it is a state, or a rate already.
    Once,
    /// For each start at the peak that falls to one process.
    Starts,
    /// For each start of a day's mean that falls to one process.
    MeanStarts,
    /// For each machine that the list says to go or come.
    ListChanges,
    /// For each whole list: as if one came whenever all machines' free room has been told anew.
    WholeLists,
    /// For each change of the configuration.
    ConfigurationChanges,
    /// For each start of one scheduler within the life of an idle connection, at the peak.
    StartsInALife,
    /// For each standing task of one scheduler: as many connections as have to be kept up for them, at most.
    Standing,
    /// For each open connection between a scheduler and a machine.
    Connections,
    /// For each scheduler.
    Schedulers,
}

impl Times {
    /// A second, or at once, for one process of a role.
    pub fn figure(self, target: &Target, role: &str) -> f64 {
        match self {
            Times::Once => 1.0,
            Times::Starts => target.starts_a_second / target.processes(role),
            Times::MeanStarts => target.mean_starts() / target.processes(role),
            Times::ListChanges => target.list_changes(),
            Times::WholeLists => 1.0 / target.taken(Assumed::RoomPeriodS),
            Times::ConfigurationChanges => target.configuration_changes(),
            Times::StartsInALife => {
                let each = target.starts_a_second / target.taken(Assumed::Schedulers);
                each * target.taken(Assumed::ConnectionLifeS)
            }
            Times::Standing => target.standing / target.taken(Assumed::Schedulers),
            Times::Connections => target.connections(role),
            Times::Schedulers => target.taken(Assumed::Schedulers),
        }
    }

    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Times::Once => "once",
            Times::Starts => "starts/s at the peak",
            Times::MeanStarts => "starts/s of a day's mean",
            Times::ListChanges => "machines gone or come a second",
            Times::WholeLists => "whole lists a second",
            Times::ConfigurationChanges => "changes a second",
            Times::StartsInALife => "starts in the life of a connection",
            Times::Standing => "connections with a standing task",
            Times::Connections => "connections",
            Times::Schedulers => "schedulers",
        }
    }
}

/// What a need is held against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Budget {
    /// A scheduler's share of a core.
    Core,
    /// A scheduler's memory.
    Memory,
    /// A scheduler's bytes a second.
    Bytes,
    /// A scheduler's descriptors.
    Descriptors,
    /// The longest line that is read of the list.
    Line,
    /// The longest frame that is read of the list.
    Frame,
    /// Time until a change of the configuration is in force.
    InForce,
    /// Time until urgent work starts.
    UrgentStart,
    /// The target names none: the need is shown and not ranked.
    None,
}

impl Budget {
    /// Its figure and unit.
    pub fn figure(self, target: &Target) -> Option<(f64, &'static str)> {
        Some(match self {
            Budget::Core => (target.core_share, "cores"),
            Budget::Memory => (target.memory_bytes, "bytes"),
            Budget::Bytes => (target.bytes_a_second, "bytes/s"),
            Budget::Descriptors => (target.taken(Assumed::Descriptors), "count"),
            Budget::Line => (
                max_line_bytes((target.memory_bytes / 1e6) as u64) as f64,
                "bytes",
            ),
            Budget::Frame => (
                peppercove_protocol::codec::MAX_LIST_FRAME_BYTES as f64,
                "bytes",
            ),
            Budget::InForce => (target.in_force_s, "s"),
            Budget::UrgentStart => (target.urgent_start_s, "s"),
            Budget::None => return None,
        })
    }

    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Budget::Core => "processor time",
            Budget::Memory => "memory",
            Budget::Bytes => "bytes a second",
            Budget::Descriptors => "descriptors",
            Budget::Line => "the feed's longest line",
            Budget::Frame => "the list's longest frame",
            Budget::InForce => "time to be in force",
            Budget::UrgentStart => "start of urgent work",
            Budget::None => "none named",
        }
    }
}

/// One thing that a process of a role needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Need {
    /// Its name, as the page shows it.
    pub name: String,
    /// The role.
    pub role: String,
    /// Measures of it; the first that has rows counts.
    pub measures: Vec<String>,
    /// More measures that are added to it; without rows of each, nothing is known.
    #[serde(default)]
    pub plus: Vec<String>,
    /// How often.
    pub times: Times,
    /// Against what.
    pub budget: Budget,
    /// It is a start's own messages, of which the assumed share counts as control.
    #[serde(default)]
    pub carries: bool,
    /// What carries it today, by name; `missing` where nothing does.
    pub mechanism: String,
    /// Where that stands, `file: name`; empty where it is missing.
    #[serde(default)]
    pub place: String,
    /// What would lower it.
    #[serde(default)]
    pub next: String,
}

/// One line of the target, and what stands behind it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The line, a template over the target's figures.
    pub line: String,
    /// What carries it.
    pub carried: String,
    /// Needs that show it.
    #[serde(default)]
    pub needs: Vec<String>,
    /// What is missing, with the roadmap's line or the issue.
    pub missing: String,
}

/// What does not exist yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Absent {
    /// What.
    pub what: String,
    /// Its demand, a template over the target's figures.
    pub demand: String,
    /// What happens today instead.
    pub today: String,
    /// The roadmap's line or the issue.
    pub next: String,
}

/// The line of code behind an exponent over 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Steep {
    /// The role.
    pub role: String,
    /// The measure.
    pub measure: String,
    /// The axis.
    pub axis: Axis,
    /// `file: name`, and what it does.
    pub line: String,
}

/// Measures of real processes beside those of hollow ones that should say the same; each side is added up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pair {
    /// The role that is real.
    pub real_role: String,
    /// Its measures.
    pub real: Vec<String>,
    /// The role that is hollow.
    pub hollow_role: String,
    /// Its measures.
    pub hollow: Vec<String>,
}

/// Needs by name whose measures price one event of a trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// A start, time.
    pub start: String,
    /// One machine that the list says to go or come, time.
    pub change_time: String,
    /// The same, bytes.
    pub change_bytes: String,
    /// A whole list taken in, time.
    pub whole_time: String,
    /// A whole list, bytes.
    pub whole_bytes: String,
}

/// `bench/scale/needs.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Needs {
    /// What the roles need.
    pub needs: Vec<Need>,
    /// The target's lines.
    pub lines: Vec<Line>,
    /// What does not exist yet.
    pub absent: Vec<Absent>,
    /// What one event of a trouble costs.
    pub prices: Prices,
    /// Lines of code behind exponents over 1.
    pub steep: Vec<Steep>,
    /// What is measured both ways.
    pub pairs: Vec<Pair>,
}

impl Needs {
    /// Reads them and checks that each need that is named exists once.
    ///
    /// # Errors
    /// Names what is missing or twice there.
    pub fn parse(text: &str) -> Result<Needs> {
        let needs: Needs = serde_json::from_str(text).context("the needs")?;
        let mut names = BTreeSet::new();
        for need in &needs.needs {
            ensure!(
                names.insert(need.name.as_str()),
                "the needs: {} is there twice",
                need.name
            );
        }
        let Prices {
            start,
            change_time,
            change_bytes,
            whole_time,
            whole_bytes,
        } = &needs.prices;
        let prices = [start, change_time, change_bytes, whole_time, whole_bytes];
        for name in needs.lines.iter().flat_map(|l| &l.needs).chain(prices) {
            ensure!(
                names.contains(name.as_str()),
                "the needs: there is no need {name}"
            );
        }
        Ok(needs)
    }

    /// One by name.
    pub fn named(&self, name: &str) -> Option<&Need> {
        self.needs.iter().find(|n| n.name == name)
    }
}

/// A need at a size.
#[derive(Clone, Debug)]
pub struct Worked {
    /// Which.
    pub need: Need,
    /// What the slopes say of one event; none where nothing was measured.
    pub estimate: Option<Estimate>,
    /// How often it counts.
    pub times: f64,
    /// The need, in the budget's unit.
    pub figure: Option<f64>,
    /// Need over budget; none without a budget or a measurement.
    pub ratio: Option<f64>,
}

impl Worked {
    /// One need at the target's size.
    ///
    /// # Errors
    /// Where the measure's unit cannot be held against the budget.
    pub fn out(need: &Need, book: &Book, target: &Target) -> Result<Worked> {
        let at = target.at();
        let of = |measures: &[String]| {
            book.subject(&need.role, measures)
                .and_then(|s| book.estimate(&s, &at))
        };
        let plus = need
            .plus
            .iter()
            .map(|measure| of(std::slice::from_ref(measure)));
        let estimate = plus.fold(of(&need.measures), |sum, more| sum?.plus(&more?));
        let share = if need.carries {
            target.taken(Assumed::ControlShare)
        } else {
            1.0
        };
        let times = need.times.figure(target, &need.role) * share;
        let mut worked = Worked {
            need: need.clone(),
            estimate,
            times,
            figure: None,
            ratio: None,
        };
        let Some(estimate) = &worked.estimate else {
            return Ok(worked);
        };
        let (factor, unit) = plain(&estimate.unit);
        let figure = estimate.figure * factor * times;
        worked.figure = Some(figure);
        if let Some((budget, _)) = need.budget.figure(target) {
            let wants = match need.budget {
                Budget::Core | Budget::InForce | Budget::UrgentStart => "s",
                Budget::Descriptors => "count",
                _ => "bytes",
            };
            ensure!(
                wants == unit,
                "the need {}: {} of {} is in {}, which says nothing of {}",
                need.name,
                estimate.subject.measure,
                need.role,
                estimate.unit,
                need.budget.words()
            );
            worked.ratio = Some(figure / budget);
        }
        Ok(worked)
    }

    /// All needs at the target's size, in their order.
    ///
    /// # Errors
    /// As [`Worked::out`].
    pub fn all(needs: &Needs, book: &Book, target: &Target) -> Result<Vec<Worked>> {
        needs
            .needs
            .iter()
            .map(|need| Worked::out(need, book, target))
            .collect()
    }

    /// One event's figure in seconds, bytes or a count.
    pub fn each(&self) -> Option<f64> {
        self.estimate.as_ref().map(|e| e.figure * plain(&e.unit).0)
    }
}

/// Need over budget, largest first; what has none or was not measured is left out.
pub fn ranked(worked: &[Worked]) -> Vec<&Worked> {
    let mut ranked: Vec<&Worked> = worked.iter().filter(|w| w.ratio.is_some()).collect();
    ranked.sort_by(|a, b| b.ratio.unwrap_or(0.0).total_cmp(&a.ratio.unwrap_or(0.0)));
    ranked
}

/// A unit of the rows as seconds, bytes or a count, and the factor to it. What stands behind a slash is left out.
pub fn plain(unit: &str) -> (f64, &str) {
    let above = unit.split('/').next().unwrap_or(unit);
    match above {
        "ns" => (1e-9, "s"),
        "us" => (1e-6, "s"),
        "ms" => (1e-3, "s"),
        "bytes" | "byte" => (1.0, "bytes"),
        "kB" => (1e3, "bytes"),
        "KiB" => (1024.0, "bytes"),
        "MB" => (1e6, "bytes"),
        other => (1.0, other),
    }
}
