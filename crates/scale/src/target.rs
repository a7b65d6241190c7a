//! The size that the operators are heading for, and what it leaves open.

use crate::row::At;
use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// What the target leaves open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Assumed {
    /// Schedulers that share the work.
    Schedulers,
    /// Share of what a start's own messages cost that counts as control.
    ControlShare,
    /// Tasks of a job.
    TasksAJob,
    /// Seconds that an idle connection stays open.
    ConnectionLifeS,
    /// Cores of a machine that is set aside.
    CoresAMachine,
    /// Seconds between two words of the list on one machine's free room.
    RoomPeriodS,
    /// Machines on one rack or switch.
    MachinesARack,
    /// Descriptors that a scheduler may have.
    Descriptors,
    /// Classes of work.
    Classes,
}

impl Assumed {
    /// All of them, as the page lists them.
    pub const ALL: [Assumed; 9] = [
        Assumed::Schedulers,
        Assumed::ControlShare,
        Assumed::TasksAJob,
        Assumed::ConnectionLifeS,
        Assumed::CoresAMachine,
        Assumed::RoomPeriodS,
        Assumed::MachinesARack,
        Assumed::Descriptors,
        Assumed::Classes,
    ];
}

/// One thing that the target leaves open, and how it is taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// What it is.
    pub name: Assumed,
    /// The value taken.
    pub taken: f64,
    /// The question to the operators.
    pub question: String,
    /// Why this value.
    pub why: String,
}

/// The operators' target; see `bench/scale/target.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Machines that work.
    pub machines: f64,
    /// Accelerators among them.
    pub accelerators: f64,
    /// Jobs a day.
    pub jobs_a_day: f64,
    /// Task starts a second at the peak.
    pub starts_a_second: f64,
    /// Tasks running.
    pub standing: f64,
    /// Tasks of the largest gang.
    pub gang: f64,
    /// Teams with quotas.
    pub tenants: f64,
    /// Seconds within which urgent work starts.
    pub urgent_start_s: f64,
    /// Regions.
    pub regions: f64,
    /// Zones.
    pub zones: f64,
    /// Configuration changes a day.
    pub configuration_changes_a_day: f64,
    /// Seconds within which each is in force everywhere.
    pub in_force_s: f64,
    /// Share of a core that a scheduler may spend.
    pub core_share: f64,
    /// Memory that it may hold, bytes.
    pub memory_bytes: f64,
    /// Bytes a second that it may pass.
    pub bytes_a_second: f64,
    /// Machines set aside for control.
    pub set_aside: f64,
    /// Machines that fail on an ordinary day.
    pub failures_a_day: f64,
    /// Machines restarted or replaced a day.
    pub replacements_a_day: f64,
    /// What it leaves open.
    pub assumptions: Vec<Assumption>,
}

impl Target {
    /// Reads a target and checks that each assumption is there once and each figure above zero.
    ///
    /// # Errors
    /// Says what is missing or makes no sense.
    pub fn parse(text: &str) -> Result<Target> {
        let target: Target = serde_json::from_str(text).context("the target")?;
        for name in Assumed::ALL {
            let found = target.assumptions.iter().filter(|a| a.name == name).count();
            ensure!(
                found == 1,
                "the target: {name:?} is assumed {found} times instead of once"
            );
        }
        for (key, value) in target.figures()? {
            ensure!(
                value.is_finite() && value > 0.0,
                "the target: {key} is {value}, not above zero"
            );
        }
        ensure!(
            target.taken(Assumed::ControlShare) <= 1.0,
            "the target: control_share is over 1"
        );
        Ok(target)
    }

    /// Each figure by its name, assumptions among them.
    ///
    /// # Errors
    /// Only where a figure has no JSON form.
    pub fn figures(&self) -> Result<Vec<(String, f64)>> {
        let whole = serde_json::to_value(self)?;
        let own = whole.as_object().into_iter().flatten();
        let mut figures: Vec<(String, f64)> = own
            .filter_map(|(key, value)| Some((key.clone(), value.as_f64()?)))
            .collect();
        for assumption in &self.assumptions {
            let name = serde_json::to_value(assumption.name)?;
            figures.push((
                name.as_str().unwrap_or_default().to_owned(),
                assumption.taken,
            ));
        }
        Ok(figures)
    }

    /// The value taken for an assumption.
    pub fn taken(&self, name: Assumed) -> f64 {
        self.assumptions
            .iter()
            .find(|a| a.name == name)
            .map_or(f64::NAN, |a| a.taken)
    }

    /// The same with another value for one assumption.
    pub fn with(&self, name: Assumed, value: f64) -> Target {
        let mut other = self.clone();
        other
            .assumptions
            .iter_mut()
            .filter(|a| a.name == name)
            .for_each(|a| a.taken = value);
        other
    }

    /// A fleet this many times as large: all that counts things or events, schedulers among them. Budgets and times stay.
    pub fn scaled(&self, factor: f64) -> Target {
        let mut other = self.with(
            Assumed::Schedulers,
            (self.taken(Assumed::Schedulers) * factor).round().max(1.0),
        );
        let counts = [
            &mut other.machines,
            &mut other.accelerators,
            &mut other.jobs_a_day,
            &mut other.starts_a_second,
            &mut other.standing,
            &mut other.tenants,
            &mut other.configuration_changes_a_day,
            &mut other.set_aside,
            &mut other.failures_a_day,
            &mut other.replacements_a_day,
        ];
        counts.into_iter().for_each(|count| *count *= factor);
        other
    }

    /// How many of a role there are.
    pub fn processes(&self, role: &str) -> f64 {
        match role {
            "machine" => self.machines,
            "discovery" => 1.0,
            "client" => self.tenants,
            _ => self.taken(Assumed::Schedulers),
        }
    }

    /// Why there are so many.
    pub fn why(role: &str) -> &'static str {
        match role {
            "machine" => "the target's machines",
            "discovery" => "one list for all; how many share its load is not decided",
            "client" => "one for each team",
            _ => "assumed: schedulers",
        }
    }

    /// The sizes that a scheduler meets, as the rows name them: of standing tasks and starts its own share; of
    /// connections the owners', who hold at most a third of its descriptors.
    pub fn at(&self) -> At {
        let whole = |count: f64| count.round().max(1.0) as u64;
        let schedulers = self.taken(Assumed::Schedulers);
        At {
            machines: whole(self.machines),
            schedulers: whole(schedulers),
            standing: whole(self.standing / schedulers),
            starts: whole(self.starts_a_second / schedulers),
            tenants: whole(self.tenants),
            classes: whole(self.taken(Assumed::Classes)),
            changes: whole(self.list_changes() + self.configuration_changes()),
            connections: whole(self.taken(Assumed::Descriptors) / 3.0),
        }
    }

    /// Starts a second of the mean of a day.
    pub fn mean_starts(&self) -> f64 {
        self.jobs_a_day * self.taken(Assumed::TasksAJob) / DAY
    }

    /// Changes of the list a second, as the mean of a day: each machine that goes leaves and is listed anew.
    pub fn list_changes(&self) -> f64 {
        2.0 * (self.failures_a_day + self.replacements_a_day) / DAY
    }

    /// Words of the list on machines' free room a second.
    pub fn room_changes(&self) -> f64 {
        self.machines / self.taken(Assumed::RoomPeriodS)
    }

    /// Changes of the configuration a second, as the mean of a day.
    pub fn configuration_changes(&self) -> f64 {
        self.configuration_changes_a_day / DAY
    }

    /// Connections between one process of a role and machines or schedulers at the peak. A scheduler that draws evenly from
    /// the machines in its view has one open to each to which a start went within the life of an idle connection.
    pub fn connections(&self, role: &str) -> f64 {
        let schedulers = self.taken(Assumed::Schedulers);
        let view = self
            .machines
            .min(peppercove_fleet::TARGET_SUBSET_SIZE as f64);
        let each = self.starts_a_second / schedulers * self.taken(Assumed::ConnectionLifeS) / view;
        let open = view * (1.0 - (-each).exp());
        match role {
            "machine" => schedulers * open / self.machines,
            "discovery" => schedulers,
            "client" => 1.0,
            _ => open,
        }
    }
}
