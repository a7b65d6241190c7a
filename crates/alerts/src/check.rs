//! Validates rule files: the syntax of expressions, and the names of metrics and labels.

use crate::rule_file::RuleFile;
use peppercove_metrics::{FAMILIES, Family, MetricKind};
use promql_parser::parser::{self, Expr, LabelModifier, VectorSelector};

/// Labels that every series has in addition to those of its family.
const COMMON_LABELS: &[&str] = &["__name__", "instance", "job"];
/// The label of the buckets of a histogram.
const BUCKET_LABEL: &str = "le";

/// An error in a rule file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}{message}", self.prefix())]
pub struct Problem {
    /// Name of the rule; empty if the error concerns the whole file.
    pub rule: String,
    /// What was found or expected.
    pub message: String,
}

impl Problem {
    /// Returns the name of the rule as a prefix of the message.
    fn prefix(&self) -> String {
        if self.rule.is_empty() {
            String::new()
        } else {
            format!("{}: ", self.rule)
        }
    }
}

/// Validates a rule file and returns the number of its rules.
///
/// # Errors
/// Every problem found: the text is not a rule file, an expression is not valid PromQL, or a metric or label does not
/// exist.
pub fn check(text: &str) -> Result<usize, Vec<Problem>> {
    let file: RuleFile = serde_yaml_ng::from_str(text).map_err(|error| {
        vec![Problem {
            rule: String::new(),
            message: format!("not a valid rule file: {error}"),
        }]
    })?;
    let mut problems = Vec::new();
    for rule in file.rules() {
        let mut checker = RuleChecker {
            rule: rule.name(),
            problems: &mut problems,
        };
        checker.check(&rule.expr);
    }
    if problems.is_empty() {
        Ok(file.rules().count())
    } else {
        Err(problems)
    }
}

/// Collects the problems of one rule.
struct RuleChecker<'a> {
    rule: &'a str,
    problems: &'a mut Vec<Problem>,
}

impl RuleChecker<'_> {
    fn report(&mut self, message: impl Into<String>) {
        self.problems.push(Problem {
            rule: self.rule.to_owned(),
            message: message.into(),
        });
    }

    fn check(&mut self, expression: &str) {
        if self.rule.is_empty() {
            self.report("rule has neither alert nor record");
        }
        match parser::parse(expression) {
            Ok(expression) => self.check_expression(&expression, &[]),
            Err(error) => self.report(format!("not valid PromQL: {error}")),
        }
    }

    /// Checks an expression whose series must have all `required` labels.
    fn check_expression(&mut self, expression: &Expr, required: &[String]) {
        match expression {
            Expr::Aggregate(aggregate) => {
                // Labels to keep must exist. Labels to drop are not checked.
                let required = match &aggregate.modifier {
                    Some(LabelModifier::Include(labels)) => &labels.labels,
                    Some(LabelModifier::Exclude(_)) | None => required,
                };
                self.check_expression(&aggregate.expr, required);
                if let Some(parameter) = &aggregate.param {
                    self.check_expression(parameter, &[]);
                }
            }
            Expr::Unary(unary) => self.check_expression(&unary.expr, required),
            Expr::Binary(binary) => {
                self.check_expression(&binary.lhs, required);
                self.check_expression(&binary.rhs, required);
            }
            Expr::Paren(paren) => self.check_expression(&paren.expr, required),
            Expr::Subquery(subquery) => self.check_expression(&subquery.expr, required),
            Expr::VectorSelector(selector) => self.check_selector(selector, required),
            Expr::MatrixSelector(matrix) => self.check_selector(&matrix.vs, required),
            Expr::Call(call) => {
                let mut required = required.to_vec();
                let is_quantile = call.func.name == "histogram_quantile";
                if is_quantile && !required.iter().any(|label| label == BUCKET_LABEL) {
                    required.push(BUCKET_LABEL.into());
                }
                for argument in &call.args.args {
                    self.check_expression(argument, &required);
                }
            }
            Expr::NumberLiteral(_) | Expr::StringLiteral(_) | Expr::Extension(_) => {}
        }
    }

    fn check_selector(&mut self, selector: &VectorSelector, required: &[String]) {
        let Some(name) = &selector.name else {
            return self.report("selector does not name a metric");
        };
        let Some(series) = Series::named(name) else {
            return self.report(format!("unknown metric {name}"));
        };
        let matched = selector.matchers.matchers.iter().map(|m| m.name.as_str());
        for label in matched.chain(required.iter().map(String::as_str)) {
            if !series.has_label(label) {
                self.report(format!("metric {name} has no label {label}"));
            }
        }
    }
}

/// A series of a metric family.
struct Series {
    family: &'static Family,
    is_bucket: bool,
}

impl Series {
    /// Returns the series with a name: that of a family, or one of the series of a histogram.
    fn named(name: &str) -> Option<Series> {
        FAMILIES.iter().find_map(|family| match family.kind {
            MetricKind::Histogram => {
                let suffix = name.strip_prefix(family.name)?;
                let is_series = matches!(suffix, "_bucket" | "_sum" | "_count");
                is_series.then_some(Series {
                    family,
                    is_bucket: suffix == "_bucket",
                })
            }
            MetricKind::Counter | MetricKind::Gauge => (family.name == name).then_some(Series {
                family,
                is_bucket: false,
            }),
        })
    }

    fn has_label(&self, label: &str) -> bool {
        COMMON_LABELS.contains(&label)
            || self.family.labels.contains(&label)
            || (self.is_bucket && label == BUCKET_LABEL)
    }
}
