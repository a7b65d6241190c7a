//! Alert rules over the controller's figures: one table, the rule file made from it, and a check of any rule file.
//!
//! The check parses every expression and holds each metric and label against the table of figures, so that a figure
//! renamed or a label misspelt is an error here and not a silence at night.

use peppercove_metrics::{FAMILIES, Family, MetricKind};
use promql_parser::parser::{self, Expr, LabelModifier, VectorSelector};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// How soon someone must look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Now.
    Page,
    /// In working hours.
    Ticket,
}

/// One rule of the table.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Its name.
    pub name: &'static str,
    /// It fires while this gives anything.
    pub expression: &'static str,
    /// For so long.
    pub holds: &'static str,
    /// How soon someone must look.
    pub severity: Severity,
    /// What is seen.
    pub summary: &'static str,
}

const fn rule(
    name: &'static str,
    expression: &'static str,
    holds: &'static str,
    severity: Severity,
    summary: &'static str,
) -> Rule {
    Rule {
        name,
        expression,
        holds,
        severity,
        summary,
    }
}

/// The shipped rules.
pub const RULES: &[Rule] = &[
    rule(
        "PeppercoveListOutOfReach",
        "time() - peppercove_node_list_heard_timestamp_seconds > 30",
        "30s",
        Severity::Page,
        "The node list was not heard for half a minute.",
    ),
    rule(
        "PeppercoveListFailing",
        "rate(peppercove_node_list_failures_total[5m]) > 0.05",
        "1m",
        Severity::Ticket,
        "Calls to the node list fail again and again.",
    ),
    rule(
        "PeppercoveListBehind",
        "max without (instance) (peppercove_node_list_generation) - peppercove_node_list_generation > 20",
        "1m",
        Severity::Ticket,
        "This controller holds an older node list than others.",
    ),
    rule(
        "PeppercoveNodesOutOfReach",
        "sum by (instance) (peppercove_nodes{state=\"ready\",link=\"down\"}) \
         > 0.1 * sum by (instance) (peppercove_nodes{state=\"ready\"})",
        "30s",
        Severity::Page,
        "More than a tenth of the nodes that the list calls ready cannot be reached.",
    ),
    rule(
        "PeppercoveNodesSilent",
        "sum by (instance) (rate(peppercove_attempt_ends_total{outcome=\"timed-out\"}[2m])) \
         > 0.05 * sum by (instance) (rate(peppercove_attempts_total[2m]))",
        "1m",
        Severity::Page,
        "One offer in twenty is never answered: nodes hang, or lose answers.",
    ),
    rule(
        "PeppercoveClassFailing",
        "sum by (instance) (rate(peppercove_attempt_ends_total{outcome=\"error\"}[2m])) \
         > 0.05 * sum by (instance) (rate(peppercove_attempts_total[2m]))",
        "1m",
        Severity::Page,
        "One offer in twenty ends in an error: nodes fail a class or a tenant.",
    ),
    rule(
        "PeppercoveRefusedByNodes",
        "sum by (instance) (rate(peppercove_attempt_ends_total{outcome=\"refused\"}[5m])) \
         > 0.5 * sum by (instance) (rate(peppercove_attempts_total[5m]))",
        "2m",
        Severity::Ticket,
        "Every second offer is refused: room is short, or nodes refuse falsely.",
    ),
    rule(
        "PeppercoveAsksRefused",
        "sum by (instance, class) (rate(peppercove_answers_total{outcome=\"refused\"}[5m])) \
         > 0.05 * sum by (instance, class) (rate(peppercove_answers_total[5m]))",
        "2m",
        Severity::Page,
        "One ask in twenty of a class is refused.",
    ),
    rule(
        "PeppercoveAsksFailed",
        "sum by (instance, class) (rate(peppercove_answers_total{outcome=\"failed\"}[5m])) \
         > 0.02 * sum by (instance, class) (rate(peppercove_answers_total[5m]))",
        "2m",
        Severity::Page,
        "One ask in fifty of a class fails.",
    ),
    rule(
        "PeppercovePlacingSlow",
        "histogram_quantile(0.99, sum by (instance, class, le) (rate(peppercove_placement_seconds_bucket[5m]))) > 6",
        "2m",
        Severity::Ticket,
        "One ask in a hundred waits for more than six seconds.",
    ),
    rule(
        "PeppercoveDemandJump",
        "sum(rate(peppercove_submissions_total[1m])) > 2 * sum(rate(peppercove_submissions_total[30m] offset 5m))",
        "1m",
        Severity::Ticket,
        "Twice as many jobs come as in the half hour before.",
    ),
    rule(
        "PeppercoveTurnedAway",
        "sum by (instance, reason) (rate(peppercove_turned_away_total{reason!=\"invalid\"}[5m])) > 0.1",
        "2m",
        Severity::Ticket,
        "Submissions are turned away at the door.",
    ),
    rule(
        "PeppercoveTasksInDoubt",
        "peppercove_doubtful_tasks > 0",
        "5m",
        Severity::Ticket,
        "The fate of unsafe tasks has not been known for five minutes.",
    ),
    rule(
        "PeppercoveRestarting",
        "changes(peppercove_start_timestamp_seconds[10m]) > 2",
        "0s",
        Severity::Page,
        "A controller started three times or more within ten minutes.",
    ),
    rule(
        "PeppercoveFault",
        "increase(peppercove_faults_total[10m]) > 0",
        "0s",
        Severity::Page,
        "The program found itself wrong.",
    ),
    rule(
        "PeppercoveLoopLate",
        "peppercove_loop_late_seconds > 0.1",
        "30s",
        Severity::Page,
        "The daemon's own loop is late: it is overloaded, or its machine is.",
    ),
    rule(
        "PeppercovePushDropping",
        "sum by (instance) (increase(peppercove_push_samples_total{outcome=~\"dropped-.*\"}[10m])) > 0",
        "0s",
        Severity::Ticket,
        "Samples were dropped before they could be pushed.",
    ),
    rule(
        "PeppercoveBacklogFilling",
        "peppercove_push_backlog_bytes > 33554432",
        "5m",
        Severity::Ticket,
        "Half of the default backlog waits to be pushed.",
    ),
];

/// Labels that every series has beside those of its family.
const COMMON: &[&str] = &["__name__", "instance", "job"];

/// A rule file (the format of Prometheus).
#[derive(Debug, Serialize, Deserialize)]
struct File {
    groups: Vec<Group>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Group {
    name: String,
    rules: Vec<FileRule>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FileRule {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    alert: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    record: Option<String>,
    expr: String,
    #[serde(default, rename = "for", skip_serializing_if = "Option::is_none")]
    holds: Option<String>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    labels: BTreeMap<String, String>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    annotations: BTreeMap<String, String>,
}

/// What is wrong with a rule file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the rule; empty where the file itself is wrong.
    pub rule: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.rule.is_empty() {
            f.write_str(&self.what)
        } else {
            write!(f, "{}: {}", self.rule, self.what)
        }
    }
}

/// The shipped rule file, made from the table.
pub fn rule_file() -> String {
    let rule = |r: &Rule| {
        let severity = if r.severity == Severity::Page {
            "page"
        } else {
            "ticket"
        };
        let runbook = format!("docs/operators/alerts.md#{}", r.name.to_lowercase());
        FileRule {
            alert: Some(r.name.into()),
            record: None,
            expr: r.expression.into(),
            holds: Some(r.holds.into()),
            labels: BTreeMap::from([("severity".into(), severity.into())]),
            annotations: BTreeMap::from([
                ("summary".into(), r.summary.into()),
                ("runbook".into(), runbook),
            ]),
        }
    };
    let group = Group {
        name: "peppercove".into(),
        rules: RULES.iter().map(rule).collect(),
    };
    serde_yaml_ng::to_string(&File {
        groups: vec![group],
    })
    .unwrap_or_default()
}

/// Checks a rule file; gives how many rules it holds.
///
/// # Errors
/// Every problem found: what is no rule file, no PromQL, no figure of the program, or no label of it.
pub fn check(text: &str) -> Result<usize, Vec<Problem>> {
    let file: File = serde_yaml_ng::from_str(text).map_err(|e| {
        vec![Problem {
            rule: String::new(),
            what: format!("not a rule file: {e}"),
        }]
    })?;
    let (mut problems, mut count) = (Vec::new(), 0);
    for rule in file.groups.iter().flat_map(|g| &g.rules) {
        count += 1;
        let name = rule
            .alert
            .clone()
            .or(rule.record.clone())
            .unwrap_or_default();
        let mut wrong = |what: String| {
            problems.push(Problem {
                rule: name.clone(),
                what,
            })
        };
        if name.is_empty() {
            wrong("a rule has neither alert nor record".into());
        }
        match parser::parse(&rule.expr) {
            Ok(expression) => check_expression(&expression, &[], &mut wrong),
            Err(e) => wrong(format!("not PromQL: {e}")),
        }
    }
    if problems.is_empty() {
        Ok(count)
    } else {
        Err(problems)
    }
}

/// The family of a series name.
fn family_of(name: &str) -> Option<(&'static Family, bool)> {
    FAMILIES.iter().find_map(|f| match f.kind {
        MetricKind::Histogram => {
            let part = name.strip_prefix(f.name)?;
            matches!(part, "_bucket" | "_sum" | "_count").then_some((f, part == "_bucket"))
        }
        _ => (f.name == name).then_some((f, false)),
    })
}

fn check_expression(e: &Expr, wanted: &[String], wrong: &mut impl FnMut(String)) {
    match e {
        Expr::Aggregate(a) => {
            let mut wanted = wanted.to_vec();
            // Labels that are kept must be there; those that are dropped may be any.
            if let Some(LabelModifier::Include(labels)) = &a.modifier {
                wanted = labels.labels.clone();
            }
            check_expression(&a.expr, &wanted, wrong);
            if let Some(parameter) = &a.param {
                check_expression(parameter, &[], wrong);
            }
        }
        Expr::Unary(u) => check_expression(&u.expr, wanted, wrong),
        Expr::Binary(b) => {
            check_expression(&b.lhs, wanted, wrong);
            check_expression(&b.rhs, wanted, wrong);
        }
        Expr::Paren(p) => check_expression(&p.expr, wanted, wrong),
        Expr::Subquery(s) => check_expression(&s.expr, wanted, wrong),
        Expr::VectorSelector(v) => check_selector(v, wanted, wrong),
        Expr::MatrixSelector(m) => check_selector(&m.vs, wanted, wrong),
        Expr::Call(c) => {
            let mut wanted = wanted.to_vec();
            if c.func.name == "histogram_quantile" && !wanted.iter().any(|l| l == "le") {
                wanted.push("le".into());
            }
            for argument in &c.args.args {
                check_expression(argument, &wanted, wrong);
            }
        }
        Expr::NumberLiteral(_) | Expr::StringLiteral(_) | Expr::Extension(_) => {}
    }
}

fn check_selector(v: &VectorSelector, wanted: &[String], wrong: &mut impl FnMut(String)) {
    let Some(name) = &v.name else {
        return wrong("a selector without the name of a figure".into());
    };
    let Some((family, bucket)) = family_of(name) else {
        return wrong(format!("there is no figure {name}"));
    };
    let has = |label: &str| {
        COMMON.contains(&label) || family.labels.contains(&label) || (bucket && label == "le")
    };
    let matched = v.matchers.matchers.iter().map(|m| m.name.as_str());
    for label in matched
        .chain(wanted.iter().map(String::as_str))
        .filter(|l| !has(l))
    {
        wrong(format!("{name} has no label {label}"));
    }
}
