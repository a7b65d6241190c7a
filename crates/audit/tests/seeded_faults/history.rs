//! Builder of event histories for the tests.

use peppercove_audit::{
    AuditReport, ClassRules, Event, Micros, Observation, RuleSettings, TopologyDomain, check_rules,
};
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};
use peppercove_protocol::node::{
    AttemptId, FromNode, Idempotency, NodeReason, OfferedTask, ProcessIdentity, Program, ToNode,
};
use peppercove_protocol::rpc::PlacementOutcome;

pub(crate) const MS: Micros = 1_000;
pub(crate) const CLEAN: [u8; 0] = [];

pub(crate) fn settings() -> RuleSettings {
    let class = |spread, scope| ClassRules {
        spread,
        max_per_domain: 2,
        dedup_scope: scope,
        dedup_window: 5_000 * MS,
    };
    RuleSettings {
        classes: vec![
            class(TopologyDomain::Off, TopologyDomain::Off),
            class(TopologyDomain::Rack, TopologyDomain::Rack),
            class(TopologyDomain::Off, TopologyDomain::Off),
        ],
        drain_grace: 250 * MS,
        slow_start_window: 10_000 * MS,
        slow_start_budget: 3,
        overload_window: 2_000 * MS,
        observation_delay: 0,
        stall: 0,
    }
}

pub(crate) fn controller() -> ProcessIdentity {
    ProcessIdentity {
        name: "c".into(),
        incarnation: 1,
    }
}

pub(crate) fn task(task: u64, class: u16) -> OfferedTask {
    let idempotency = [
        Idempotency::Idempotent,
        Idempotency::Keyed,
        Idempotency::NonIdempotent,
    ][usize::from(class)];
    let program = Program {
        key: format!("s\nk{task}"),
        ..Program::default()
    };
    OfferedTask {
        task,
        service: 9,
        class,
        tenant: 0,
        cores: 1.0,
        memory: 1.0,
        priority: 0,
        idempotency,
        program,
    }
}

/// The greeting of node a, which is going to list this many tasks.
pub(crate) fn welcome(incarnation: u64, known_tasks: u32) -> FromNode {
    FromNode::Welcome {
        version: peppercove_protocol::VERSION,
        node: ProcessIdentity {
            name: "a".into(),
            incarnation,
        },
        known_tasks,
        is_complete: true,
    }
}

pub(crate) fn id(request: u64, number: u16) -> AttemptId {
    AttemptId { request, number }
}

/// Events in the order in which they were added.
pub(crate) struct History(pub(crate) Vec<Event>);

impl History {
    /// Begins with a full node list for the controller: nodes a and b in rack 1, node c in rack 2.
    pub(crate) fn new() -> History {
        let mut history = History(Vec::new());
        let entries = vec![
            entry("a", 1, None),
            entry("b", 1, None),
            entry("c", 2, None),
        ];
        history.list(0, Scope::Full, entries);
        history
    }
    pub(crate) fn observe(&mut self, at: Micros, observation: Observation) -> &mut History {
        self.0.push(Event { at, observation });
        self
    }
    pub(crate) fn list(
        &mut self,
        at: Micros,
        scope: Scope,
        entries: Vec<ListEntry>,
    ) -> &mut History {
        self.observe(
            at,
            Observation::List {
                controller: "c".into(),
                news: FromList::Update {
                    generation: at,
                    scope,
                    entries,
                },
            },
        )
    }
    pub(crate) fn offer(
        &mut self,
        at: Micros,
        node: &str,
        attempt: AttemptId,
        task: OfferedTask,
    ) -> &mut History {
        let message = ToNode::Offer {
            attempt,
            expires_in: 1_000 * MS,
            task,
        };
        self.observe(
            at,
            Observation::ToNode {
                controller: controller(),
                node: node.into(),
                message,
            },
        )
    }
    pub(crate) fn cancel(&mut self, at: Micros, node: &str, attempt: AttemptId) -> &mut History {
        let message = ToNode::CancelAttempt { attempt };
        self.observe(
            at,
            Observation::ToNode {
                controller: controller(),
                node: node.into(),
                message,
            },
        )
    }
    pub(crate) fn node_sends(&mut self, at: Micros, node: &str, message: FromNode) -> &mut History {
        self.observe(
            at,
            Observation::FromNode {
                controller: controller(),
                node: node.into(),
                message,
            },
        )
    }
    pub(crate) fn rejected(&mut self, at: Micros, node: &str, attempt: AttemptId) -> &mut History {
        self.node_sends(
            at,
            node,
            FromNode::Rejected {
                attempt,
                reason: NodeReason::InsufficientCores,
                load: None,
            },
        )
    }
    pub(crate) fn runs(&mut self, at: Micros, node: &str, attempt: AttemptId) -> &mut History {
        self.node_sends(
            at,
            node,
            FromNode::Running {
                attempt,
                load: None,
            },
        )
    }
    pub(crate) fn accepted(&mut self, at: Micros, task: u64, repeat: Idempotency) -> &mut History {
        self.observe(
            at,
            Observation::Taken {
                controller: "c".into(),
                session: "s".into(),
                key: format!("k{task}"),
                job: format!("j{task}"),
                deadline: 5_000 * MS,
                repeat,
            },
        )
    }
    pub(crate) fn answered(
        &mut self,
        at: Micros,
        task: u64,
        outcome: PlacementOutcome,
    ) -> &mut History {
        let (session, key, job) = ("s".into(), format!("k{task}"), format!("j{task}"));
        self.observe(
            at,
            Observation::Settled {
                session,
                key,
                job,
                outcome,
            },
        )
    }
    pub(crate) fn audit(&self) -> AuditReport {
        check_rules(&self.0, &[], &settings())
    }
    pub(crate) fn violated_rules(&self) -> Vec<u8> {
        self.audit()
            .violations
            .iter()
            .map(|violation| violation.rule)
            .collect()
    }
}

pub(crate) fn entry(name: &str, rack: u16, age: Option<Micros>) -> ListEntry {
    ListEntry {
        address: std::net::SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        name: name.into(),
        state: NodeState::Ready,
        kind: 0,
        rack,
        zone: 0,
        incarnation: 1,
        age,
        free_cores: None,
        free_memory: None,
    }
}
