//! The heap memory of the platform engine, while clients send at full speed what no well-behaved client sends. It must
//! stay below the memory limit of the configuration, whatever the settings are.

use peak_alloc::PeakAlloc;
use peppercove::{Micros, Scheduler};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_platform::config::Config;
use peppercove_platform::wire::{Message, cause, code};
use peppercove_platform::{Bounds, ClientId, Input, NodeConnectionId, Output, PlatformEngine};
use std::sync::{Mutex, MutexGuard, PoisonError};
use support::configuration::{Configuration, SETTINGS, list_entry, list_event, replaced};
use support::peer::request_with_attributes;

#[path = "support/mod.rs"]
mod support;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;
/// Held by the test whose memory is measured.
static MEASURING: Mutex<()> = Mutex::new(());

/// A low limit, which is reached with few messages.
const MEMORY_MB: usize = 8;
/// Time between two messages: 200,000 messages a second.
const MESSAGE_INTERVAL: Micros = 5;
/// Number of messages per client connection.
const MESSAGES_PER_CLIENT: u64 = 5_000;
const SECOND: Micros = 1_000_000;

/// An engine with the scheduler and the limits of a controller, and a client that sends at full speed.
struct Flood {
    engine: PlatformEngine<SubsetScheduler>,
    now: Micros,
    /// Heap memory in use when the engine was created, in bytes.
    used_before: usize,
    client: u64,
    messages: u64,
    _measuring: MutexGuard<'static, ()>,
}

impl Flood {
    /// Creates an engine with these settings and one listed node, `a`.
    fn new(settings: &str) -> Flood {
        let measuring = MEASURING.lock().unwrap_or_else(PoisonError::into_inner);
        let used_before = ALLOCATOR.current_usage();
        let address = "127.0.0.1:9".parse().expect("not an address");
        let entries = [list_entry("a", address, "active")];
        let text = Configuration {
            name: "t1",
            journal: address,
            sockets: 256,
            memory_mb: MEMORY_MB,
            known: (1, list_event(1, true, &entries)),
            settings,
        }
        .text();
        let config = Config::parse(&text, None, None).expect("the configuration is invalid");
        let bounds = Bounds::for_config(&config);
        let scheduler = Scheduler::new(config.settings.clone(), 1);
        let subset = NodeSubset::new(scheduler, &config.settings);
        let mut flood = Flood {
            engine: PlatformEngine::new(subset, config.settings, config.schema, bounds, 1),
            now: 1000 * SECOND,
            used_before,
            client: 1,
            messages: 0,
            _measuring: measuring,
        };
        ALLOCATOR.reset_peak_usage();
        flood.input(Input::Start(config.initial_endpoints.entries));
        flood
    }

    /// Handles an input. Connections to nodes are established, and nothing is read from them.
    fn input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.engine.handle(self.now, input) {
                if let Output::Connect(connection, _) = output {
                    inputs.push(Input::NodeConnected(connection));
                }
            }
            if inputs.is_empty() && self.engine.has_queued_requests() {
                inputs.push(Input::AdmitNext);
            }
        }
    }

    /// Handles a message of the client, which uses a new connection every few thousand messages.
    fn send(&mut self, message: Message) {
        self.now += MESSAGE_INTERVAL;
        while self.engine.next_wake().is_some_and(|at| at <= self.now) {
            self.input(Input::Tick(self.now));
        }
        self.messages += 1;
        if self.messages.is_multiple_of(MESSAGES_PER_CLIENT) {
            self.input(Input::ClientDisconnected(ClientId(self.client)));
            self.client += 1;
        }
        self.input(Input::ClientMessage(ClientId(self.client), message));
    }

    fn assert_within_memory_limit(&self) {
        let used = ALLOCATOR.peak_usage().saturating_sub(self.used_before);
        assert!(
            used < MEMORY_MB << 20,
            "the engine used {used} bytes, the controller may use {MEMORY_MB} MiB"
        );
    }
}

/// Settings with deadlines, and a poll interval, of an hour.
fn settings_with_long_times() -> String {
    let settings = replaced(
        SETTINGS,
        r#""deadline":4000000"#,
        r#""deadline":3600000000"#,
    );
    replaced(
        &settings,
        r#""ask-every":10000000"#,
        r#""ask-every":3600000000"#,
    )
}

/// Settings with a second between two batches of the scheduler.
fn settings_with_long_tick() -> String {
    replaced(SETTINGS, r#""tick":1000"#, r#""tick":1000000"#)
}

/// Requests, each withdrawn directly after it was sent.
fn send_withdrawn_requests(settings: &str, attributes: &str) {
    let mut flood = Flood::new(settings);
    for id in 1..=100_000 {
        flood.send(request_with_attributes(id, attributes));
        flood.send(Message::release(id, cause::ORDINARY));
    }
    flood.assert_within_memory_limit();
}

/// Guards against timers, and load changes in the scheduler's table, that are kept although the request is withdrawn.
#[test]
fn withdrawn_requests_stay_within_the_memory_limit() {
    for settings in [settings_with_long_tick(), settings_with_long_times()] {
        send_withdrawn_requests(&settings, "cores:1;memory:2;service:aa");
    }
}

/// Guards against entries of the scheduler's queue that are kept although the request is withdrawn. No node has room
/// for these requests, because all its memory is requested by the first one.
#[test]
fn withdrawn_requests_that_no_node_has_room_for_stay_within_the_memory_limit() {
    for settings in [settings_with_long_tick(), settings_with_long_times()] {
        send_withdrawn_requests(&settings, "cores:1;memory:90;service:aa");
    }
}

/// Guards against state that is kept for each node that a handover names, in the engine and in the scheduler.
#[test]
fn handovers_on_unlisted_nodes_stay_within_the_memory_limit() {
    for settings in [SETTINGS, &settings_with_long_tick()] {
        let mut flood = Flood::new(settings);
        for id in 1..=100_000 {
            let node = format!("{id:064x}");
            let attributes = format!("cores:1;memory:2;service:{id:016x};at:{node}");
            flood.send(request_with_attributes(id, &attributes));
        }
        flood.assert_within_memory_limit();
    }
}

/// Guards against state of handed-over tasks that is kept after they are no longer tracked.
#[test]
fn handovers_on_a_listed_node_stay_within_the_memory_limit() {
    for settings in [SETTINGS, &settings_with_long_tick()] {
        let mut flood = Flood::new(settings);
        for id in 1..=100_000 {
            let attributes = format!("cores:1;memory:2;service:{id:016x};at:a");
            flood.send(request_with_attributes(id, &attributes));
        }
        flood.assert_within_memory_limit();
    }
}

/// Guards against whole messages that are kept of tasks which are not tracked: only the end itself is needed.
#[test]
fn ends_of_unknown_tasks_stay_within_the_memory_limit() {
    const REASON_BYTES: usize = 16_000;
    let mut flood = Flood::new(SETTINGS);
    // Opens connection 1.
    flood.send(request_with_attributes(
        1,
        "cores:1;memory:2;service:aa;at:a",
    ));
    for id in 2..=5_000 {
        let end = Message::release(id, cause::CUT).with(code::NOTE, &[b'x'; REASON_BYTES]);
        flood.input(Input::NodeMessage(NodeConnectionId(1), end));
    }
    assert!(flood.engine.counters().unmatched > 0, "no end was handled");
    flood.assert_within_memory_limit();
}
