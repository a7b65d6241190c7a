//! Generates the reference page of the metrics for operators.

use crate::label_values::MAX_LABEL_VALUES;
use crate::{FAMILIES, Family, MetricKind};

/// Returns the page `docs/operators/metrics.md` in Markdown.
pub fn reference_page() -> String {
    let mut page = format!(
        "# Metrics\n\nEvery metric of a controller, made from the table in `crates/metrics`. Label values beyond \
         {MAX_LABEL_VALUES} of one label count under `other`.\n\n\
         | name | kind | labels | meaning |\n| --- | --- | --- | --- |\n",
    );
    for family in FAMILIES {
        page += &row(family);
    }
    page
}

fn row(family: &Family) -> String {
    let kind = match family.kind {
        MetricKind::Counter => "counter",
        MetricKind::Gauge => "gauge",
        MetricKind::Histogram => "histogram",
    };
    let labels: Vec<String> = family
        .labels
        .iter()
        .map(|label| format!("`{label}`"))
        .collect();
    let labels = if labels.is_empty() {
        "–".into()
    } else {
        labels.join(", ")
    };
    format!(
        "| `{}` | {kind} | {labels} | {} |\n",
        family.name, family.help
    )
}
