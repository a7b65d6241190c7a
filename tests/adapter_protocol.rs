//! Encoding and decoding of the adapter protocol: known frames, each kind of record and action, and
//! malformed input.

use peppercove::adapter_protocol::{Batch, Decoder, Incoming, ProtocolError, Reply};
use peppercove::*;
use peppercove_test_support::hex::decode as hex;

fn decode(decoder: &mut Decoder, frame: &str) -> Result<Batch, ProtocolError> {
    let bytes = hex(frame);
    let count = u32::from_le_bytes(bytes[4..8].try_into().unwrap());
    let now = u64::from_le_bytes(bytes[8..16].try_into().unwrap());
    assert_eq!(
        u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize,
        bytes.len() - 16
    );
    decoder.batch(now, count, &bytes[16..])
}

/// Decodes a body of `count` records addressed to instance 3.
fn records(decoder: &mut Decoder, count: u32, body: &str) -> Result<Vec<Incoming>, ProtocolError> {
    let body = hex(&format!("0e0300 {body}"));
    let batch = decoder.batch(1, count + 1, &body)?;
    assert!(batch.records.iter().all(|(i, _)| *i == 3));
    Ok(batch.records.into_iter().map(|(_, r)| r).collect())
}

fn event(incoming: &Incoming) -> &Event {
    match incoming {
        Incoming::Event(event) => event,
        other => panic!("expected an event, got {other:?}"),
    }
}

const NODE: NodeId = NodeId((0x0a204c09 << 16) | 0x1be8);

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let batch = decode(
        &mut Decoder::default(),
        "00000000 00000000 40420f0000000000",
    )
    .unwrap();
    assert_eq!(batch.now, 1_000_000);
    assert!(batch.records.is_empty());
    assert_eq!(Reply::default().finish(), [0; 4]);
}

#[test]
fn a_batch_for_two_instances_and_its_reply_have_the_documented_bytes() {
    let frame = "48000000 05000000 40420f0000000000 0e0300
        03 7c1b55d0a3210400 0000 00000000 31c2b4a59687f00d 80a90300 e02e0000 aabbccddeeff1122 00000040 0000c03f 01
        07 4d00000000000000 0e0500 06 0df0adba5e5e0500";
    let batch = decode(&mut Decoder::default(), frame).unwrap();
    assert_eq!(
        batch.records.iter().map(|(i, _)| *i).collect::<Vec<_>>(),
        [3, 3, 5]
    );
    let request = PlacementRequest {
        id: RequestId(0x000421a3d0551b7c),
        task: TaskKey(0x0df08796a5b4c231),
        service: ServiceId(0x2211ffeeddccbbaa),
        class: 0,
        tenant: 0,
        cores: 2.0,
        memory: 1.5,
        deadline_in: 240_000,
        expected_duration: Some(12_000),
        is_retry: false,
    };
    assert_eq!(event(&batch.records[0].1), &Event::Place(request.clone()));
    assert_eq!(event(&batch.records[1].1), &Event::Timer(0x4d));
    assert_eq!(
        event(&batch.records[2].1),
        &Event::RequestCancelled(RequestId(0x00055e5ebaadf00d))
    );
    let mut reply = Reply::default();
    let dispatch = Action::Dispatch {
        request: request.id,
        node: NODE,
        timeout: Some(80_000),
        send_by: None,
    };
    reply.push(
        3,
        &[
            dispatch,
            Action::SetTimer {
                label: 0x4d,
                at: 0x87fd7a,
            },
        ],
    );
    reply.push(5, &[Action::Log("two servers unknown".into())]);
    let expected = "3e000000 030300 0b 7c1b55d0a3210400 80380100 0a204c09 e81b
        0a 4d00000000000000 7afd870000000000 030500 09 1300 74776f2073657276657273 20756e6b6e6f776e";
    let mut expected = hex(expected);
    expected[0] = (expected.len() - 4) as u8;
    assert_eq!(reply.finish(), expected);
}

#[test]
fn each_kind_of_action_has_its_bytes() {
    let request = RequestId(0x0102);
    let reject = |retry_after| Action::Reject {
        request,
        retry_after,
    };
    let cases = [
        (Action::WatchNodes, "01 01"),
        (Action::Probe(NODE), "02 0a204c09 e81b"),
        (Action::Migrate(request), "05 0201000000000000"),
        (
            Action::CancelAttempt {
                request,
                attempt: 3,
            },
            "06 0201000000000000 0300",
        ),
        (
            Action::Broadcast(b"abc".to_vec()),
            "07 ffffffff 0300 616263",
        ),
        (Action::Fail(request), "08 0201000000000000"),
        (Action::Log("abc".into()), "09 0300 616263"),
        (
            Action::SetTimer { label: 1, at: 2 },
            "0a 0100000000000000 0200000000000000",
        ),
        (
            Action::Dispatch {
                request,
                node: NODE,
                timeout: None,
                send_by: None,
            },
            "0b 0201000000000000 00000000 0a204c09 e81b",
        ),
        (
            Action::Dispatch {
                request,
                node: NODE,
                timeout: Some(u64::MAX),
                send_by: Some(1),
            },
            "0b 0201000000000000 ffffffff 0a204c09 e81b",
        ),
        (reject(None), "0e 0201000000000000 00000000"),
        (reject(Some(7)), "0e 0201000000000000 07000000"),
    ];
    for (action, expected) in cases {
        let mut reply = Reply::default();
        reply.push(5, std::slice::from_ref(&action));
        let expected = hex(&format!("03 0500 {expected}"));
        assert_eq!(reply.finish()[4..], expected, "{action:?}");
    }
}

#[test]
fn a_node_list_refers_to_the_latest_definition_of_its_number() {
    let body = "0d 00 02000000
        00006040 0a204c09 e81b 0000803f 0000 00 0000000000000000 01 00 00004041
        00009040 0a804d03 e91b 0000c03f 0700 00 20145d0000000000 02 01 00004041
        02 00 2900000000000000 02  0d 00 00000000  02 00 2a00000000000000 01";
    let decoded = records(&mut Decoder::default(), 4, body).unwrap();
    let Event::NodeList {
        kind,
        version,
        entries,
    } = event(&decoded[0])
    else {
        panic!("expected a node list")
    };
    assert_eq!(
        (*kind, *version, entries.len()),
        (ListUpdateKind::Cached, 0x29, 2)
    );
    assert_eq!(
        (entries[0].node, entries[0].state),
        (NODE, NodeStatus::Ready)
    );
    let second = (
        entries[1].state,
        entries[1].rack,
        entries[1].kind,
        entries[1].started_at,
    );
    assert_eq!(second, (NodeStatus::Draining, 7, 1, 0x5d1420));
    // Free capacity in an entry is ignored unless the settings declare that it is provided.
    assert_eq!(entries[0].free_cores, None);
    let empty = Event::NodeList {
        kind: ListUpdateKind::Full,
        version: 0x2a,
        entries: Vec::new(),
    };
    assert_eq!(event(&decoded[1]), &empty);
}

#[test]
fn each_kind_of_record_is_decoded() {
    let body =
        "0b 0df0adba5e5e0500 00000040 e02e0000 00000000 0000c03f 80a90300 01 aabbccddeeff1122
        31c2b4a59687f00d 0a804d03 e91b 0000
        0c 7c1b55d0a3210400 0000003f 02 0a204c09 e81b 0000
        04 7c1b55d0a3210400 0100 0a204c09 e81b c4090000
        05 7c1b55d0a3210400 0000 0a204c09 e81b ad01 44480000 00 01 00
        08 c800 c4090000 0a204c09 e81b 00
        09 01000000 0300 616263
        0a";
    let decoded = records(&mut Decoder::default(), 7, body).unwrap();
    let Event::RunningTask { request, .. } = event(&decoded[0]) else {
        panic!("expected a running task")
    };
    assert_eq!(
        (request.cores, request.memory, request.deadline_in),
        (2.0, 1.5, 240_000)
    );
    let request = RequestId(0x000421a3d0551b7c);
    let update = Event::TaskUpdated {
        request,
        attempt: 0,
        node: NODE,
        update: TaskUpdate::CoresUsed(0.5),
    };
    assert_eq!(event(&decoded[1]), &update);
    assert_eq!(
        event(&decoded[2]),
        &Event::Placed {
            request,
            attempt: 1,
            node: NODE
        }
    );
    let ended = Event::AttemptEnded {
        request,
        attempt: 0,
        node: NODE,
        outcome: AttemptOutcome::Rejected,
        reason: EndReason::InsufficientCores,
        is_final: false,
        load: None,
    };
    assert_eq!(event(&decoded[3]), &ended);
    assert_eq!(
        event(&decoded[4]),
        &Event::Probed {
            node: NODE,
            answered: true,
            load: None
        }
    );
    assert_eq!(
        event(&decoded[5]),
        &Event::Peer {
            from: 1,
            message: b"abc".to_vec()
        }
    );
    assert!(matches!(decoded[6], Incoming::Stop));
}

fn settings_json() -> String {
    r#"{"caps": {"max-attempts": 4, "may-cancel": true, "may-duplicate": false, "new-key": [1]},
    "classes": [{"deadline": 8000000, "group": "all", "objective": 800000, "repeat": "idempotent", "worth": 1.0},
      {"deadline": 5000000, "group": "cell", "objective": 600000, "repeat": "deduplicated", "window": 5000000,
       "worth": 2.0}],
    "fleet-size": 2, "registry-mode": "on_request", "tick": 2000, "unheard-of": {"a": null},
    "guarantees": {"answer-slack": 8000, "ask-every": 10000000, "cold-from": 0.2, "fall-multiple": 2.5,
      "stop-sending-within": 250000, "tip-after": 2000000, "warm-within": 9000000},
    "report": {"fields": ["waiting", "x0", "novel", "cpu"]},
    "specifics": {"accepts-memory": 1.5, "admit-cores": 2.0, "apart-by": ["off", "cell"], "class-calm": [1.0, 0.8],
      "class-fade": [1.0, 0.2], "class-kind": [-1, 0], "class-most": [2, 2], "cold-bears": 20.0,
      "confirms": "running", "makes-room": false, "make-sure": 3000000, "mean-memory": 2.0,
      "memory-by-kind": [64.0], "priority-by-class": [0, 1], "report-counts": "asked", "size-cores": [32],
      "start-seconds": [5.0, 6.0], "usual-cores": 1.0, "view": true}}"#
        .to_string()
}

fn start(text: &str) -> Result<Vec<Incoming>, ProtocolError> {
    let mut body = hex("0e0300 01 0500000000000000");
    body.extend((text.len() as u32).to_le_bytes());
    body.extend(text.as_bytes());
    // The settings are followed by the end of an attempt whose load report has four values, one of
    // them unknown and one of them not a number.
    body.extend(hex(
        "05 0100000000000000 0000 0a204c09 e81b c800 00000000 01 00",
    ));
    body.extend(hex("04 00004040 0000c07f 00000000 0000003f"));
    let batch = Decoder::default().batch(1, 3, &body)?;
    Ok(batch.records.into_iter().map(|(_, r)| r).collect())
}

#[test]
fn settings_are_read_and_unknown_keys_are_skipped() {
    let decoded = start(&settings_json()).unwrap();
    let Incoming::Start { seed, settings } = &decoded[0] else {
        panic!("expected a start record")
    };
    assert_eq!(
        (*seed, settings.schedulers, settings.classes.len()),
        (5, 2, 2)
    );
    assert_eq!(
        settings.classes[1].idempotency,
        Idempotency::Keyed {
            scope: DedupScope::Rack,
            window: 5_000_000
        }
    );
    assert_eq!(
        (
            settings.classes[1].topology_spread,
            settings.classes[1].node_kind
        ),
        (TopologySpread::Rack, Some(0))
    );
    assert_eq!(
        (settings.classes[0].node_kind, settings.is_list_polled),
        (None, true)
    );
    let Event::AttemptEnded { load, .. } = event(&decoded[1]) else {
        panic!("expected the end of an attempt")
    };
    let load = load.unwrap();
    assert_eq!(
        (
            load.queue_depth,
            load.free_cores,
            load.cpu_utilization,
            load.free_memory
        ),
        (Some(3.0), None, Some(0.5), None)
    );
}

#[test]
fn wrong_settings_are_reported_with_key_and_cause() {
    let cases = [
        ("{", "settings: "),
        (
            &settings_json().replace("\"fleet-size\": 2,", ""),
            "missing field `fleet-size`",
        ),
        (
            &settings_json().replace("idempotent", "sometimes"),
            "unknown value 'sometimes'",
        ),
        (
            &settings_json().replace("\"class-calm\": [1.0, 0.8]", "\"class-calm\": [1.0]"),
            "class-calm",
        ),
    ];
    for (text, expected) in cases {
        let error = start(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
        assert!(
            error.starts_with("record 1 at byte 3: ") && !error.contains('\n'),
            "{error}"
        );
    }
}

#[test]
fn malformed_frames_are_reported_with_position_and_cause() {
    let cases = [
        (
            1,
            "07 4d",
            "record 1 at byte 3: byte 4: 8 bytes expected, 1 left in the frame",
        ),
        (1, "63", "record 1 at byte 3: unknown record code 99"),
        (
            1,
            "01 0000000000000000 ffffff7f 7b7d",
            "record 1 at byte 3: byte 16: 2147483647 bytes expected, 2 left",
        ),
        (
            1,
            "07 4d00000000000000 00",
            "1 bytes left after the last record",
        ),
        (
            1,
            "02 00 0000000000000000 09",
            "unknown node list update kind 9",
        ),
        (1, "0d 00 ffffffff", "left in the frame"),
    ];
    for (count, body, expected) in cases {
        let error = records(&mut Decoder::default(), count, body)
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{error}");
    }
    let error = Decoder::default()
        .batch(1, 1, &hex("07 4d00000000000000"))
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("no instance was selected before the record"),
        "{error}"
    );
}
