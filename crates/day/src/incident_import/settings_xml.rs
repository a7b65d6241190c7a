//! Writes the recorded scheduler settings as a settings file.

use peppercove::{
    DedupScope, Idempotency, LoadBasis, PlacementAck, Settings, TaskClass, TopologySpread,
};
use std::fmt::Write as _;

pub(super) fn write(settings: &Settings) -> String {
    let mut xml = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<peppercove>\n");
    xml += "  <controller name=\"imported\" clients=\"127.0.0.1:0\"/>\n";
    write_node_list(&mut xml, settings);
    write_rules(&mut xml, settings);
    let _ = writeln!(
        xml,
        "  <attempts most=\"{}\" may-withdraw=\"{}\"/>",
        settings.max_attempts, settings.can_cancel_attempts
    );
    write_nodes(&mut xml, settings);
    write_classes(&mut xml, settings);
    write_tenants(&mut xml, settings);
    let _ = writeln!(
        xml,
        "  <prices fleet=\"{}\" move=\"{}\" refusal=\"{}\" probe=\"{}\"/>",
        settings.excess_node_cost,
        settings.migration_cost,
        settings.rejection_cost,
        settings.probe_cost
    );
    xml += "</peppercove>\n";
    xml
}

fn write_node_list(xml: &mut String, settings: &Settings) {
    let mode = if settings.is_list_polled {
        "on-request"
    } else {
        "pushed"
    };
    let _ = writeln!(
        xml,
        "  <node-list address=\"127.0.0.1:7001\" mode=\"{mode}\" ask-every=\"{}us\"/>",
        settings.poll_interval
    );
}

fn write_rules(xml: &mut String, settings: &Settings) {
    let s = settings;
    let _ = write!(xml, "  <rules drain-grace=\"{}us\"", s.drain_grace);
    let _ = write!(xml, " cold-from=\"{}\"", s.slow_start_min_share);
    let _ = write!(xml, " warm-within=\"{}us\"", s.slow_start_window);
    let _ = write!(xml, " fall-multiple=\"{}\"", s.overload_multiple);
    let _ = write!(xml, " fall-window=\"{}us\"", s.overload_window);
    let _ = write!(xml, " cold-bears=\"{}\"", s.slow_start_budget);
    let _ = writeln!(xml, " settle=\"{}us\"/>", s.ambiguous_retry_delay);
}

fn write_nodes(xml: &mut String, settings: &Settings) {
    let confirms = match settings.placement_ack {
        PlacementAck::Accepted => "accepted",
        PlacementAck::Running => "running",
    };
    let counts = if settings.load_basis == LoadBasis::Used {
        "used"
    } else {
        "asked"
    };
    let s = settings;
    let _ = write!(xml, "  <nodes accepts-cores=\"{}\"", s.cores_overcommit);
    let _ = write!(xml, " accepts-memory=\"{}\"", s.memory_overcommit);
    let _ = write!(xml, " confirms=\"{confirms}\"");
    let _ = write!(xml, " preempts=\"{}\"", s.allows_preemption);
    let _ = write!(xml, " report-counts=\"{counts}\"");
    let _ = writeln!(xml, " probes=\"{}\">", s.can_probe);
    for (index, kind) in settings.node_kinds.iter().enumerate() {
        let _ = writeln!(
            xml,
            "    <kind name=\"k{index}\" cores=\"{}\" memory=\"{}\"/>",
            kind.cores, kind.memory
        );
    }
    *xml += "  </nodes>\n";
}

fn write_classes(xml: &mut String, settings: &Settings) {
    let _ = writeln!(
        xml,
        "  <classes default=\"c0\" mean-cores=\"{}\" mean-memory=\"{}\">",
        settings.mean_cores, settings.mean_memory
    );
    for (index, class) in settings.classes.iter().enumerate() {
        write_class(xml, settings, index, class);
    }
    *xml += "  </classes>\n";
}

fn write_class(xml: &mut String, settings: &Settings, index: usize, class: &TaskClass) {
    let spread = match class.topology_spread {
        TopologySpread::Off => "off",
        TopologySpread::Node => "node",
        TopologySpread::Rack => "rack",
        TopologySpread::Zone => "zone",
    };
    let objective = class.latency_objective;
    let calm = class.saturation_start.min(1.0);
    let _ = write!(xml, "    <class name=\"c{index}\" aim=\"{objective}us\"");
    let _ = write!(xml, " deadline=\"{}us\"", class.deadline);
    let _ = write!(xml, " {}", repeat_attributes(class.idempotency));
    let _ = write!(xml, " worth=\"{}\"", class.weight);
    let _ = write!(xml, " late-worth=\"{}\"", class.late_weight);
    let _ = write!(xml, " start-seconds=\"{}\"", class.start_seconds);
    let _ = write!(xml, " calm=\"{calm}\" fade=\"{}\"", class.saturation_span);
    let _ = write!(xml, " priority=\"{}\"", class.priority);
    if let Some(kind) = class.node_kind {
        let _ = write!(xml, " kind=\"k{kind}\"");
    }
    let _ = write!(xml, " spread=\"{spread}\"");
    let _ = write!(xml, " most=\"{}\"", class.max_per_domain.max(1));
    let _ = write!(xml, " cores=\"{}\"", settings.mean_cores);
    let _ = writeln!(xml, " memory=\"{}\"/>", settings.mean_memory);
}

fn repeat_attributes(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "repeat=\"safe\"".into(),
        Idempotency::NonIdempotent => "repeat=\"unsafe\"".into(),
        Idempotency::Keyed { scope, window } => {
            let group = match scope {
                DedupScope::All => "all",
                DedupScope::Zone => "zone",
                DedupScope::Rack => "rack",
            };
            format!("repeat=\"keyed\" group=\"{group}\" window=\"{window}us\"")
        }
    }
}

fn write_tenants(xml: &mut String, settings: &Settings) {
    if settings.tenants.is_empty() {
        return;
    }
    let weight = settings.over_quota_weight;
    let _ = writeln!(xml, "  <tenants over-share-worth=\"{weight}\">");
    for (index, tenant) in settings.tenants.iter().enumerate() {
        let _ = write!(xml, "    <tenant name=\"t{index}\"");
        if let Some(cores) = tenant.quota_cores {
            let _ = write!(xml, " quota-cores=\"{cores}\"");
        }
        *xml += "/>\n";
    }
    *xml += "  </tenants>\n";
}
