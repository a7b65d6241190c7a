//! The format of Prometheus rule files, and the shipped file.

use crate::rules::{RULES, Rule};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A rule file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RuleFile {
    groups: Vec<RuleGroup>,
}

impl RuleFile {
    /// Returns the rules of all groups, in order.
    pub(crate) fn rules(&self) -> impl Iterator<Item = &FileRule> {
        self.groups.iter().flat_map(|group| &group.rules)
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct RuleGroup {
    name: String,
    rules: Vec<FileRule>,
}

/// An alert rule or a recording rule in a file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FileRule {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    alert: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    record: Option<String>,
    /// Expression in PromQL.
    pub(crate) expr: String,
    #[serde(default, rename = "for", skip_serializing_if = "Option::is_none")]
    hold_time: Option<String>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    labels: BTreeMap<String, String>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    annotations: BTreeMap<String, String>,
}

impl FileRule {
    /// Returns the name of the alert or of the recorded series; empty if the rule has neither.
    pub(crate) fn name(&self) -> &str {
        self.alert
            .as_deref()
            .or(self.record.as_deref())
            .unwrap_or_default()
    }
}

impl From<&Rule> for FileRule {
    fn from(rule: &Rule) -> FileRule {
        let runbook = format!("docs/operators/alerts.md#{}", rule.name.to_lowercase());
        FileRule {
            alert: Some(rule.name.into()),
            record: None,
            expr: rule.expression.into(),
            hold_time: Some(rule.hold_time.into()),
            labels: BTreeMap::from([("severity".into(), rule.severity.label().into())]),
            annotations: BTreeMap::from([
                ("summary".into(), rule.summary.into()),
                ("runbook".into(), runbook),
            ]),
        }
    }
}

/// Returns the shipped rule file in YAML, generated from [`RULES`].
pub fn rule_file() -> String {
    let group = RuleGroup {
        name: "peppercove".into(),
        rules: RULES.iter().map(FileRule::from).collect(),
    };
    let file = RuleFile {
        groups: vec![group],
    };
    // Serialization of strings and maps cannot fail; a test compares the result with the shipped file.
    serde_yaml_ng::to_string(&file).unwrap_or_default()
}
