//! The shipped alert rules.

/// Urgency of an alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Requires an immediate reaction.
    Page,
    /// Requires a reaction during working hours.
    Ticket,
}

impl Severity {
    /// Returns the value of the label `severity`.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Severity::Page => "page",
            Severity::Ticket => "ticket",
        }
    }
}

/// An alert rule.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Name of the alert.
    pub name: &'static str,
    /// PromQL expression. The alert fires while it has a result.
    pub expression: &'static str,
    /// Time for which the expression must have a result before the alert fires, in the format of Prometheus.
    pub hold_time: &'static str,
    /// Urgency.
    pub severity: Severity,
    /// Summary for operators.
    pub summary: &'static str,
}

const fn rule(
    name: &'static str,
    expression: &'static str,
    hold_time: &'static str,
    severity: Severity,
    summary: &'static str,
) -> Rule {
    Rule {
        name,
        expression,
        hold_time,
        severity,
        summary,
    }
}

/// The shipped alert rules.
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
