//! Parses the JSON settings in the start record of an instance.
//!
//! The struct fields below correspond to the JSON keys, in snake case. Their meaning is documented
//! at the fields of [`Settings`] into which they are converted.

use super::{ProtocolError, RecordSchema};
use crate::api::{
    DedupScope, Idempotency, LoadBasis, Micros, NodeKind, PlacementAck, Settings, TaskClass,
    Tenant, TopologySpread,
};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Divisors of the poll interval that give the maximum delays before a failed call to the list
/// service is repeated: for the first retry, and for any later one.
const POLL_INTERVAL_PER_BACKOFF: [Micros; 2] = [16, 2];

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsJson {
    #[serde(default)]
    areas: Vec<String>,
    #[serde(default)]
    flavors: Vec<String>,
    caps: Caps,
    classes: Vec<ClassJson>,
    #[serde(default)]
    deductions: Deductions,
    fleet_size: u32,
    #[serde(default)]
    self_index: u32,
    #[serde(default)]
    my_zone: u8,
    guarantees: Guarantees,
    registry_mode: String,
    specifics: Specifics,
    #[serde(default = "full_weight")]
    over_share_worth: f64,
    #[serde(default)]
    report: ReportJson,
    #[serde(default)]
    tenants: Vec<IgnoredAny>,
    tick: f64,
}

fn full_weight() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    #[serde(default)]
    dial_timeout: f64,
    max_attempts: u32,
    may_cancel: bool,
    may_duplicate: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    probes: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassJson {
    #[serde(default)]
    name: String,
    deadline: f64,
    #[serde(default)]
    group: String,
    #[serde(default)]
    late_worth: f64,
    objective: f64,
    repeat: String,
    #[serde(default)]
    window: f64,
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Deductions {
    fleet: f64,
    moves: f64,
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Guarantees {
    answer_slack: f64,
    ask_every: f64,
    cold_from: f64,
    fall_multiple: f64,
    stop_sending_within: f64,
    tip_after: f64,
    warm_within: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Specifics {
    accepts_memory: f64,
    admit_cores: f64,
    apart_by: Vec<String>,
    class_calm: Vec<f64>,
    class_fade: Vec<f64>,
    class_kind: Vec<i32>,
    class_most: Vec<u32>,
    cold_bears: f64,
    confirms: String,
    makes_room: bool,
    make_sure: f64,
    mean_memory: f64,
    memory_by_kind: Vec<f64>,
    priority_by_class: Vec<u8>,
    report_counts: String,
    size_cores: Vec<f64>,
    start_seconds: Vec<f64>,
    #[serde(default)]
    tenant_quota_cores: Vec<f64>,
    #[serde(default)]
    turned_down_price: f64,
    usual_cores: f64,
    #[serde(default)]
    view: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct ReportJson {
    fields: Vec<String>,
}

/// Parses the JSON settings in the start record of an instance.
///
/// # Errors
/// Returns a [`ProtocolError`] that names the missing or invalid key.
pub fn read_settings(text: &[u8]) -> Result<(Settings, RecordSchema), ProtocolError> {
    let json: SettingsJson = serde_json::from_slice(text)?;
    let settings = json.settings()?;
    let schema = RecordSchema {
        load_fields: json.report.fields,
        has_free_capacity: json.specifics.view,
        classes: json.classes.into_iter().map(|class| class.name).collect(),
        kinds: json.flavors,
        zones: json.areas,
        dial_timeout: json.caps.dial_timeout as Micros,
    };
    Ok((settings, schema))
}

impl SettingsJson {
    fn settings(&self) -> Result<Settings, ProtocolError> {
        let SettingsJson {
            caps,
            deductions,
            guarantees,
            specifics,
            ..
        } = self;
        let poll_interval = guarantees.ask_every as Micros;
        Ok(Settings {
            schedulers: self.fleet_size,
            own_index: self.self_index,
            own_zone: self.my_zone,
            classes: self.task_classes()?,
            node_kinds: specifics.node_kinds(),
            tenants: self.tenants(),
            over_quota_weight: self.over_share_worth,
            cores_overcommit: specifics.admit_cores,
            memory_overcommit: specifics.accepts_memory,
            placement_ack: specifics.placement_ack()?,
            allows_preemption: specifics.makes_room,
            load_basis: specifics.load_basis()?,
            mean_cores: specifics.usual_cores,
            mean_memory: specifics.mean_memory,
            max_attempts: caps.max_attempts,
            can_cancel_attempts: caps.may_cancel,
            can_hedge: caps.may_duplicate,
            can_probe: caps.probes,
            peer_messages: caps.peer_messages,
            is_list_polled: self.registry_mode == "on_request",
            poll_interval,
            poll_backoff: POLL_INTERVAL_PER_BACKOFF.map(|divisor| poll_interval / divisor),
            answer_slack: guarantees.answer_slack as Micros,
            drain_grace: guarantees.stop_sending_within as Micros,
            slow_start_min_share: guarantees.cold_from,
            slow_start_window: guarantees.warm_within as Micros,
            overload_multiple: guarantees.fall_multiple,
            overload_window: guarantees.tip_after as Micros,
            slow_start_budget: specifics.cold_bears,
            tick: self.tick as Micros,
            excess_node_cost: deductions.fleet,
            migration_cost: deductions.moves,
            rejection_cost: specifics.turned_down_price,
            probe_cost: deductions.probe,
            ambiguous_retry_delay: specifics.make_sure as Micros,
        })
    }

    fn task_classes(&self) -> Result<Vec<TaskClass>, ProtocolError> {
        let classes = self.classes.iter().enumerate();
        classes
            .map(|(index, class)| class.task_class(&self.specifics, index))
            .collect()
    }

    fn tenants(&self) -> Vec<Tenant> {
        let quotas = &self.specifics.tenant_quota_cores;
        let tenant = |index| Tenant {
            quota_cores: quotas.get(index).copied(),
        };
        (0..self.tenants.len()).map(tenant).collect()
    }
}

impl ClassJson {
    fn task_class(&self, specifics: &Specifics, index: usize) -> Result<TaskClass, ProtocolError> {
        let node_kind = per_class("class-kind", &specifics.class_kind, index)?;
        Ok(TaskClass {
            latency_objective: self.objective as Micros,
            deadline: self.deadline as Micros,
            idempotency: self.idempotency()?,
            weight: self.worth,
            late_weight: self.late_worth,
            start_seconds: per_class("start-seconds", &specifics.start_seconds, index)?,
            saturation_start: per_class("class-calm", &specifics.class_calm, index)?,
            saturation_span: per_class("class-fade", &specifics.class_fade, index)?,
            priority: per_class("priority-by-class", &specifics.priority_by_class, index)?,
            // A negative number means any kind.
            node_kind: u8::try_from(node_kind).ok(),
            topology_spread: specifics.topology_spread(index)?,
            max_per_domain: per_class("class-most", &specifics.class_most, index)?,
        })
    }

    fn idempotency(&self) -> Result<Idempotency, ProtocolError> {
        let scope = match self.group.as_str() {
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Rack,
            _ => DedupScope::All,
        };
        match self.repeat.as_str() {
            "idempotent" => Ok(Idempotency::Idempotent),
            "deduplicated" => Ok(Idempotency::Keyed {
                scope,
                window: self.window as Micros,
            }),
            "at_most_once" => Ok(Idempotency::NonIdempotent),
            other => Err(unknown_value("classes.repeat", other)),
        }
    }
}

impl Specifics {
    fn topology_spread(&self, class: usize) -> Result<TopologySpread, ProtocolError> {
        match self.apart_by.get(class).map_or("off", String::as_str) {
            "off" => Ok(TopologySpread::Off),
            "machine" => Ok(TopologySpread::Node),
            "cell" => Ok(TopologySpread::Rack),
            "zone" => Ok(TopologySpread::Zone),
            other => Err(unknown_value("specifics.apart-by", other)),
        }
    }

    fn placement_ack(&self) -> Result<PlacementAck, ProtocolError> {
        match self.confirms.as_str() {
            "accepted" => Ok(PlacementAck::Accepted),
            "running" => Ok(PlacementAck::Running),
            other => Err(unknown_value("specifics.confirms", other)),
        }
    }

    fn load_basis(&self) -> Result<LoadBasis, ProtocolError> {
        match self.report_counts.as_str() {
            "asked" => Ok(LoadBasis::Requested),
            "used" => Ok(LoadBasis::Used),
            other => Err(unknown_value("specifics.report-counts", other)),
        }
    }

    fn node_kinds(&self) -> Vec<NodeKind> {
        let sizes = self.size_cores.iter().zip(&self.memory_by_kind);
        sizes
            .map(|(&cores, &memory)| NodeKind { cores, memory })
            .collect()
    }
}

fn unknown_value(key: &'static str, value: &str) -> ProtocolError {
    ProtocolError::UnknownValue {
        key,
        value: value.to_string(),
    }
}

/// Returns the value of a class in a per-class list.
fn per_class<T: Copy>(key: &'static str, values: &[T], class: usize) -> Result<T, ProtocolError> {
    values
        .get(class)
        .copied()
        .ok_or(ProtocolError::MissingClassValue { key, class })
}
