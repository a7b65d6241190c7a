//! The auditor: replays the events in order of time, checks the rules and updates its tables.

use crate::attempts::{AttemptTable, Offer};
use crate::jobs::{AcceptedJob, JobTable, OutcomeMessage};
use crate::node_links::NodeLinks;
use crate::node_lists::NodeLists;
use crate::rules::slow_start_budget::SlowStartOffers;
use crate::{AuditReport, Event, Micros, Observation, RecordedStart, RuleSettings};
use peppercove_protocol::node::{ProcessIdentity, ToNode};

/// Checks the rules against captured events and the starts that the nodes recorded.
pub fn check_rules(
    events: &[Event],
    starts: &[RecordedStart],
    settings: &RuleSettings,
) -> AuditReport {
    let mut auditor = Auditor::new(settings);
    let mut ordered: Vec<&Event> = events.iter().collect();
    ordered.sort_by_key(|event| event.at);
    for event in ordered {
        auditor.observe(event.at, &event.observation);
    }
    auditor.check_recorded_starts(starts);
    auditor.check_unanswered();
    let mut report = auditor.report;
    report
        .violations
        .sort_by_key(|violation| (violation.at, violation.rule));
    report
}

/// State at one time of the replay. The rules are methods in the modules of [`crate::rules`].
pub(crate) struct Auditor<'a> {
    pub(crate) settings: &'a RuleSettings,
    pub(crate) report: AuditReport,
    pub(crate) jobs: JobTable,
    pub(crate) attempts: AttemptTable,
    pub(crate) links: NodeLinks,
    pub(crate) lists: NodeLists,
    pub(crate) slow_start_offers: SlowStartOffers,
}

impl<'a> Auditor<'a> {
    fn new(settings: &'a RuleSettings) -> Auditor<'a> {
        Auditor {
            settings,
            report: AuditReport::default(),
            jobs: JobTable::default(),
            attempts: AttemptTable::default(),
            links: NodeLinks::default(),
            lists: NodeLists::default(),
            slow_start_offers: SlowStartOffers::default(),
        }
    }

    fn observe(&mut self, at: Micros, observation: &Observation) {
        match observation {
            Observation::ToNode {
                controller,
                node,
                message,
            } => self.on_controller_message(at, controller, node, message),
            Observation::FromNode {
                controller,
                node,
                message,
            } => self
                .links
                .on_node_message(&mut self.attempts, at, controller, node, message),
            Observation::LinkClosed { controller, node } => {
                self.links.on_link_closed(&controller.name, node);
                self.attempts.on_link_closed(controller, node);
            }
            Observation::List { controller, news } => self.lists.on_message(at, controller, news),
            Observation::Taken {
                controller,
                session,
                key,
                job,
                deadline,
                repeat,
            } => self.on_accepted(
                at,
                &AcceptedJob {
                    controller,
                    session,
                    key,
                    job,
                    deadline: *deadline,
                    idempotency: *repeat,
                },
            ),
            Observation::Settled {
                session,
                key,
                job,
                outcome,
            } => {
                let message = OutcomeMessage {
                    at,
                    session: session.clone(),
                    key: key.clone(),
                    outcome: *outcome,
                };
                self.on_outcome(job, message);
            }
            Observation::ClientGone { session } => self.jobs.on_client_gone(session),
            Observation::TurnedAway { .. } => self.report.rejected += 1,
            Observation::Killed { controller } => {
                self.jobs.on_controller_killed(controller);
                self.attempts.on_controller_killed(controller);
                self.lists.clear(controller);
            }
            Observation::Started { controller } => self.jobs.on_controller_started(controller),
        }
    }

    #[expect(
        clippy::wildcard_enum_match_arm,
        reason = "AttemptTable handles all other messages and matches them exhaustively"
    )]
    fn on_controller_message(
        &mut self,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        message: &ToNode,
    ) {
        match message {
            ToNode::Offer {
                attempt,
                expires_in,
                task,
            } => self.on_offer(&Offer {
                at,
                controller,
                node,
                attempt: *attempt,
                expires_in: *expires_in,
                task,
            }),
            other => self.attempts.on_controller_message(controller, node, other),
        }
    }

    /// Checks every rule on offers, then adds the attempt.
    fn on_offer(&mut self, offer: &Offer<'_>) {
        self.report.dispatches += 1;
        self.check_not_answered(offer);
        self.check_duplicate_offer(offer);
        self.check_drain_grace(offer);
        self.check_topology_spread(offer);
        self.check_slow_start_budget(offer);
        let controller = &offer.controller.name;
        let incarnation = self.links.node_incarnation(controller, offer.node);
        self.attempts.add(offer, incarnation);
    }

    fn on_accepted(&mut self, at: Micros, accepted: &AcceptedJob<'_>) {
        if !self.jobs.accept(at, accepted) {
            return;
        }
        self.report.accepted += 1;
        for message in self.jobs.take_early_outcomes(accepted.job) {
            self.on_outcome(accepted.job, message);
        }
    }
}
