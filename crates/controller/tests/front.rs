//! The front under clients that do their worst: each gets a clear error or is dropped alone.

use futures_util::{SinkExt, StreamExt};
use peppercove_config::{Config, embedded_default};
use peppercove_controller::Controller;
use peppercove_standins::Clock;
use peppercove_standins::list::FakeNodeList;
use peppercove_standins::node::FakeNode;
use peppercove_standins::node_model::{FleetState, NodeSpec};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio_util::codec::{Framed, LinesCodec};

struct Rig {
    controller: Controller,
    nodes: Vec<FakeNode>,
    _list: FakeNodeList,
}

async fn rig(change: impl Fn(&mut Config)) -> Rig {
    let clock = Clock::default();
    let list = FakeNodeList::start(clock, 50_000, Duration::from_millis(200))
        .await
        .unwrap();
    let mut nodes = Vec::new();
    for i in 0..2 {
        let spec = NodeSpec {
            rack: i,
            ..NodeSpec::small(format!("n{i}"))
        };
        let node = FakeNode::start(spec, FleetState::default(), clock, 1)
            .await
            .unwrap();
        list.add(&node, node.address());
        nodes.push(node);
    }
    let mut config = Config::parse(embedded_default()).unwrap();
    config.network.node_list = list.address().into();
    change(&mut config);
    let controller = Controller::start(config).await.unwrap();
    until(|| controller.status().connected_nodes == 2).await;
    Rig {
        controller,
        nodes,
        _list: list,
    }
}

async fn until(check: impl Fn() -> bool) {
    for _ in 0..5_000 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("it never came");
}

/// A connection, and the notifications that came between answers.
struct Client(Framed<TcpStream, LinesCodec>, Vec<Value>);

impl Client {
    async fn open(address: SocketAddr, session: &str) -> Client {
        let mut client = Client::bare(address).await;
        let reply = client
            .call(0, "init", json!({ "session": session, "notify": true }))
            .await;
        assert!(reply["error"].is_null(), "{reply}");
        client
    }
    async fn bare(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.unwrap();
        Client(Framed::new(stream, LinesCodec::new()), Vec::new())
    }
    async fn line(&mut self) -> Option<Value> {
        let line = self.0.next().await?.ok()?;
        Some(serde_json::from_str(&line).unwrap())
    }
    async fn say(&mut self, line: &str) -> Value {
        self.0.send(line).await.unwrap();
        self.line().await.unwrap()
    }
    async fn call(&mut self, id: u64, method: &str, params: Value) -> Value {
        let call = json!({ "jsonrpc": "2.0", "id": id, "method": method, "params": params });
        let mut reply = self.say(&call.to_string()).await;
        while reply["id"] != id {
            self.1.push(reply);
            reply = self.line().await.unwrap();
        }
        reply
    }
    async fn run(&mut self, id: u64, key: &str, category: &str, native: &str) -> Value {
        let attributes = json!({
            "drmaa_remote_command": "sleep", "drmaa_job_category": category, "drmaa_native_specification": native,
        });
        let params = json!({ "jobTemplate": { "attributes": attributes }, "submissionKey": key });
        self.call(id, "runJob", params).await
    }
}

fn on_loopback(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn nonsense_is_answered_with_what_is_wrong_and_the_connection_goes_on() {
    on_loopback(async {
        let rig = rig(|_| {}).await;
        let mut client = Client::bare(rig.controller.address()).await;
        let cases = [
            ("not json", -32700, "not JSON"),
            ("[1, 2]", -32600, "not a call"),
            (
                "{\"jsonrpc\":\"1.0\",\"id\":1,\"method\":\"exit\"}",
                -32600,
                "must be",
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"fly\"}",
                -32601,
                "no method 'fly'",
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"jobPs\",\"params\":{\"jobId\":\"x\"}}",
                -32005,
                "init comes first",
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"init\",\"params\":{\"session\":\"\"}}",
                -32004,
                "1 to 256 bytes",
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"init\",\"params\":[7]}",
                -32602,
                "parameters of init",
            ),
        ];
        for (line, code, what) in cases {
            let reply = client.say(line).await;
            assert_eq!(reply["error"]["code"], code, "{line}: {reply}");
            assert!(
                reply["error"]["message"].as_str().unwrap().contains(what),
                "{line}: {reply}"
            );
        }
        let mut client = Client::open(rig.controller.address(), "s").await;
        let reply = client.run(1, "k", "fill", "cores=none").await;
        assert_eq!(
            reply["error"]["data"]["errno"],
            "DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE"
        );
        assert_eq!(
            reply["error"]["data"]["attribute"],
            "drmaa_native_specification"
        );
        assert!(
            reply["error"]["message"]
                .as_str()
                .unwrap()
                .contains("column 7"),
            "{reply}"
        );
        assert_eq!(client.run(2, "k", "fill", "").await["error"], Value::Null);
    });
}

#[test]
fn a_line_too_long_a_half_line_and_a_flood_harm_only_who_sent_them() {
    on_loopback(async {
        let rig = rig(|c| {
            c.limits.client_idle = Duration::from_millis(50);
            c.limits.client_queue = 16;
        })
        .await;
        let address = rig.controller.address();
        let mut long = Client::bare(address).await;
        let line = "x".repeat(peppercove_protocol::rpc::MAX_LINE_BYTES + 10);
        let reply = long.say(&line).await;
        assert_eq!(reply["error"]["code"], -32700);
        assert!(long.line().await.is_none(), "its connection is closed");
        let mut half = TcpStream::connect(address).await.unwrap();
        half.write_all(b"{\"jsonrpc\":").await.unwrap();
        let mut quiet = Client::open(address, "quiet").await;
        // The flood reads nothing until the controller has closed its connection.
        let mut flood = Client::open(address, "flood").await;
        let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "jobPs", "params": { "jobId": "x".repeat(2000) } });
        let call = call.to_string();
        let mut closed = false;
        for _ in 0..200_000 {
            match tokio::time::timeout(Duration::from_secs(5), flood.0.send(&call)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    closed = true;
                    break;
                }
                Err(_) => break,
            }
        }
        assert!(closed, "a client that reads nothing is closed");
        let reply = quiet.run(1, "k", "fill", "life=10ms").await;
        assert!(reply["result"]["jobId"].is_string(), "{reply}");
        let mut rest = Vec::new();
        let read = tokio::io::AsyncReadExt::read_to_end(&mut half, &mut rest);
        assert!(
            tokio::time::timeout(Duration::from_secs(10), read)
                .await
                .is_ok(),
            "half a line is not waited for"
        );
    });
}

#[test]
fn bounds_on_connections_jobs_and_waiting_calls_are_answered_with_advice() {
    on_loopback(async {
        let rig = rig(|c| {
            c.limits.clients = 2;
            c.limits.session_jobs = 1;
            c.limits.pending_calls = 1;
        })
        .await;
        let address = rig.controller.address();
        let mut first = Client::open(address, "s").await;
        let _second = Client::open(address, "t").await;
        let mut third = Client::bare(address).await;
        let reply = third.line().await.unwrap();
        assert_eq!(reply["error"]["data"]["errno"], "DRMAA_ERRNO_TRY_LATER");
        assert_eq!(reply["error"]["data"]["retryAfterMs"], 1000);
        assert!(third.line().await.is_none());
        let reply = first.run(1, "k", "fill", "life=1h").await;
        let job = reply["result"]["jobId"].clone();
        let reply = first.run(2, "k2", "fill", "").await;
        assert_eq!(
            reply["error"]["data"]["errno"], "DRMAA_ERRNO_TRY_LATER",
            "{reply}"
        );
        let call =
            json!({ "jsonrpc": "2.0", "id": 3, "method": "wait", "params": { "jobId": job } });
        first.0.send(call.to_string()).await.unwrap();
        let reply = first.call(4, "wait", json!({ "jobId": job })).await;
        assert_eq!(
            reply["error"]["data"]["errno"], "DRMAA_ERRNO_TRY_LATER",
            "{reply}"
        );
    });
}

#[test]
fn the_same_key_again_on_another_connection_is_the_same_job() {
    on_loopback(async {
        let rig = rig(|_| {}).await;
        let address = rig.controller.address();
        let mut first = Client::open(address, "s").await;
        let job = first.run(1, "k", "update", "life=50ms").await["result"]["jobId"].clone();
        drop(first);
        let mut second = Client::open(address, "s").await;
        assert_eq!(
            second.run(1, "k", "update", "life=50ms").await["result"]["jobId"],
            job
        );
        let reply = second.call(2, "wait", json!({ "jobId": job })).await;
        assert_eq!(reply["result"]["exitStatus"], 0, "{reply}");
        assert_eq!(rig.controller.status().counters.dispatched, 1);
        // Reaped, and asked for once more: it ran, and is not run again. How it ended is the answer.
        let job = second.run(3, "k", "update", "life=50ms").await["result"]["jobId"].clone();
        let reply = second.call(4, "wait", json!({ "jobId": job })).await;
        assert_eq!(reply["result"]["exitStatus"], 0, "{reply}");
        assert_eq!(rig.controller.status().counters.dispatched, 1);
    });
}

#[test]
fn a_node_under_another_name_is_not_linked() {
    on_loopback(async {
        let clock = Clock::default();
        let list = FakeNodeList::start(clock, 50_000, Duration::from_millis(200))
            .await
            .unwrap();
        let honest = FakeNode::start(NodeSpec::small("honest"), FleetState::default(), clock, 1)
            .await
            .unwrap();
        let named = FakeNode::start(NodeSpec::small("named"), FleetState::default(), clock, 1)
            .await
            .unwrap();
        // The list names one node where another one listens.
        list.add(&honest, honest.address());
        list.add(&named, behind_another_address(&honest).await);
        let mut config = Config::parse(embedded_default()).unwrap();
        config.network.node_list = list.address().into();
        let controller = Controller::start(config).await.unwrap();
        until(|| controller.status().connected_nodes == 1).await;
        let mut client = Client::open(controller.address(), "s").await;
        for i in 0..8 {
            let reply = client.run(i, &format!("k{i}"), "fill", "life=10ms").await;
            assert!(reply["result"]["jobId"].is_string());
        }
        let answered = || {
            let c = controller.status().counters;
            c.placed + c.requests_rejected + c.failed
        };
        until(|| answered() == 8).await;
        // The impostor's greetings cost the honest node its link now and then, but not its use.
        assert!(
            controller.status().counters.placed > 0,
            "{:?}",
            controller.status()
        );
        assert_eq!(
            named.read(peppercove_standins::node_model::NodeModel::held),
            0
        );
    });
}

/// A second address that leads to a node: the list will call it by another name.
async fn behind_another_address(node: &FakeNode) -> std::net::SocketAddrV4 {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    let to = node.address();
    tokio::task::spawn_local(async move {
        loop {
            let Ok((mut near, _)) = listener.accept().await else {
                return;
            };
            tokio::task::spawn_local(async move {
                if let Ok(mut far) = TcpStream::connect(to).await {
                    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                }
            });
        }
    });
    address
}

#[test]
fn a_stop_answers_what_is_open_and_says_what_is_left() {
    on_loopback(async {
        let rig = rig(|c| c.shutdown_timeout = Duration::from_millis(300)).await;
        let mut client = Client::open(rig.controller.address(), "s").await;
        client.run(1, "runs", "fill", "life=1h").await;
        until(|| rig.controller.status().running_tasks == 1).await;
        rig.nodes
            .iter()
            .for_each(|n| n.change_faults(|f| f.hangs = true));
        client.run(2, "hangs", "update", "").await;
        let left = rig.controller.shut_down().await;
        assert_eq!(
            (
                left.forced_answers,
                left.running_tasks,
                left.ambiguous_tasks
            ),
            (1, 1, 1)
        );
        while let Some(line) = client.line().await {
            client.1.push(line);
        }
        let settled = client.1.iter().filter(|l| l["method"] == "settled");
        let outcomes: Vec<&str> = settled
            .map(|l| l["params"]["outcome"].as_str().unwrap())
            .collect();
        assert_eq!(outcomes, ["placed", "failed"]);
    });
}

#[test]
fn a_restarted_controller_finds_its_tasks_under_their_keys() {
    on_loopback(async {
        let Rig {
            controller,
            nodes,
            _list,
        } = rig(|_| {}).await;
        let mut client = Client::open(controller.address(), "s").await;
        let job = client.run(1, "k", "update", "life=1h").await["result"]["jobId"].clone();
        until(|| controller.status().running_tasks == 1).await;
        drop(controller);
        let mut config = Config::parse(embedded_default()).unwrap();
        config.network.node_list = _list.address().into();
        let controller = Controller::start(config).await.unwrap();
        until(|| controller.status().running_tasks == 1).await;
        let mut client = Client::open(controller.address(), "s").await;
        let found = client
            .call(1, "findJob", json!({ "submissionKey": "k" }))
            .await["result"]["jobId"]
            .clone();
        assert!(found.is_string() && found != job);
        assert_eq!(
            client.call(2, "jobPs", json!({ "jobId": found })).await["result"]["name"],
            "DRMAA_PS_RUNNING"
        );
        let reply = client
            .call(
                3,
                "control",
                json!({ "jobId": found, "action": "DRMAA_CONTROL_TERMINATE" }),
            )
            .await;
        assert!(reply["error"].is_null(), "{reply}");
        let reply = client.call(4, "wait", json!({ "jobId": found })).await;
        assert_eq!(reply["result"]["signal"], 15, "{reply}");
        assert_eq!(nodes.iter().map(|n| n.read(|m| m.held())).sum::<usize>(), 0);
    });
}

#[test]
fn figures_tell_what_happened_and_every_family_has_a_value() {
    on_loopback(async {
        let rig = rig(|_| {}).await;
        let mut client = Client::open(rig.controller.address(), "s").await;
        client.run(1, "done", "fill", "life=10ms").await;
        client
            .call(2, "wait", json!({ "jobId": rig.controller.job_name(0) }))
            .await;
        client.run(3, "runs", "render", "life=1h").await;
        until(|| rig.controller.status().running_tasks == 1).await;
        client.run(4, "wrong", "fill", "cores=x").await;
        rig._list.change_faults(|t| t.down = true);
        let value = |name: &str, labels: &[&str]| {
            let points = rig.controller.gather_metrics();
            let fits = |p: &&peppercove_metrics::MetricPoint| {
                p.name == name
                    && p.labels
                        .iter()
                        .map(|(_, v)| v.as_str())
                        .eq(labels.iter().copied())
            };
            points.iter().find(fits).map(|p| p.value)
        };
        until(|| value("peppercove_node_list_failures_total", &[]) >= Some(1.0)).await;
        assert_eq!(value("peppercove_submissions_total", &["fill"]), Some(1.0));
        assert_eq!(
            value("peppercove_answers_total", &["render", "placed"]),
            Some(1.0)
        );
        assert_eq!(
            value("peppercove_placement_seconds_count", &["fill", "placed"]),
            Some(1.0)
        );
        assert_eq!(
            value("peppercove_attempt_ends_total", &["done", "none"]),
            Some(1.0)
        );
        assert_eq!(
            value("peppercove_turned_away_total", &["invalid"]),
            Some(1.0)
        );
        assert_eq!(value("peppercove_running_tasks", &[]), Some(1.0));
        assert_eq!(value("peppercove_nodes", &["up", "ready"]), Some(2.0));
        assert_eq!(value("peppercove_faults_total", &["overdue"]), Some(0.0));
        let points = rig.controller.gather_metrics();
        // What is told of the push has values only where there is one; its tests look at those.
        let pushes =
            |n: &str| n.starts_with("peppercove_push_") || n == peppercove_metrics::EVENT_LOOP_LAG;
        for family in peppercove_metrics::FAMILIES
            .iter()
            .filter(|f| !pushes(f.name))
        {
            assert!(
                points.iter().any(|p| p.family == family),
                "{} has no value",
                family.name
            );
        }
    });
}

#[test]
fn a_node_that_claims_to_hold_more_than_there_could_be_is_not_linked() {
    use peppercove_protocol::codec::{MAX_NODE_FRAME_BYTES, MessageCodec};
    use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope, ToList};
    use peppercove_protocol::node::{FromNode, ProcessIdentity, ToNode};
    on_loopback(async {
        let node = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let list = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = node.local_addr().unwrap() else {
            unreachable!()
        };
        let mut config = Config::parse(embedded_default()).unwrap();
        config.network.node_list = list.local_addr().unwrap();
        // Long enough that only the bound can close the link.
        config.network.connect_timeout = Duration::from_secs(600);
        let controller = Controller::start(config).await.unwrap();
        tokio::task::spawn_local(async move {
            let (stream, _) = list.accept().await.unwrap();
            let mut link = Framed::new(stream, MessageCodec::<ToList, FromList>::new(1 << 16));
            while let Some(Ok(call)) = link.next().await {
                let line = ListEntry {
                    address,
                    name: "n".into(),
                    state: NodeState::Ready,
                    kind: 0,
                    rack: 0,
                    zone: 0,
                    incarnation: 1,
                    age: None,
                    free_cores: None,
                    free_memory: None,
                };
                let answer = match call {
                    ToList::Hello { version, .. } => FromList::Welcome { version },
                    _ => FromList::Update {
                        generation: 1,
                        scope: Scope::Full,
                        entries: vec![line],
                    },
                };
                link.send(&answer).await.unwrap();
            }
        });
        for standing in [u32::MAX, 0] {
            let (stream, _) = node.accept().await.unwrap();
            let mut link = Framed::new(
                stream,
                MessageCodec::<ToNode, FromNode>::new(MAX_NODE_FRAME_BYTES),
            );
            let Some(Ok(ToNode::Hello { version, .. })) = link.next().await else {
                panic!("no greeting")
            };
            let welcome = FromNode::Welcome {
                version,
                node: ProcessIdentity {
                    name: "n".into(),
                    incarnation: 1,
                },
                known_tasks: standing,
                is_complete: true,
            };
            link.send(&welcome).await.unwrap();
            if standing > 0 {
                // Closed at once, not after what it promised has been waited for.
                let closed = tokio::time::timeout(Duration::from_secs(20), link.next()).await;
                assert!(matches!(closed, Ok(None)));
                assert_eq!(controller.status().connected_nodes, 0);
            } else {
                until(|| controller.status().connected_nodes == 1).await;
            }
        }
    });
}
