//! Replays a recorded session. The adapter must reply to its frames with the same bytes as commit
//! 0ad3387, except for log lines, and must encode each action as that commit did.

use peppercove::adapter_protocol::Reply;
use peppercove::{Action, NodeId, RequestId};
use peppercove_test_support::hex::decode as bytes;
use std::io::{Read, Write};
use std::process::{Command, Stdio};

/// Replacements `(old, new)` for texts in log lines that have been reworded since the recording.
/// Apart from these, replies must not differ.
const LOG_TEXTS: &[(&str, &str)] = &[
    ("machine ", "node "),
    (" answers nothing", " is unresponsive"),
    (" answers again", " responds again"),
];

const SESSION: &str = include_str!("session/session.tap");

/// Returns the recorded frames of one direction, after a check of their recorded lengths.
fn frames(direction: &str) -> Vec<Vec<u8>> {
    let lines: Vec<&str> = SESSION.lines().collect();
    let recorded = lines
        .chunks(2)
        .filter(|pair| pair[0].starts_with(direction));
    recorded
        .map(|pair| {
            let frame = bytes(pair[1]);
            assert!(
                pair[0].ends_with(&format!(" {} bytes", frame.len())),
                "{}",
                pair[0]
            );
            frame
        })
        .collect()
}

/// Returns the length of the first action in `reply`, including its code.
fn length_of_action(reply: &[u8]) -> usize {
    let end_of_text_at =
        |at: usize| at + 2 + usize::from(u16::from_le_bytes([reply[at], reply[at + 1]]));
    match reply[0] {
        1 => 2,
        2 => 7,
        3 => 3,
        5 | 8 => 9,
        6 => 11,
        7 => end_of_text_at(5),
        9 => end_of_text_at(1),
        10 => 17,
        11 => 19,
        14 => 13,
        other => panic!("unknown action code {other}"),
    }
}

/// Returns the reply with `texts` replaced in its log lines.
fn replace_log_texts(reply: &[u8], texts: &[(&str, &str)]) -> Vec<u8> {
    let (mut result, mut rest) = (vec![0; 4], &reply[4..]);
    while !rest.is_empty() {
        let (action, after) = rest.split_at(length_of_action(rest));
        rest = after;
        if action[0] != 9 {
            result.extend(action);
            continue;
        }
        let old = std::str::from_utf8(&action[3..]).unwrap().to_owned();
        let text = texts
            .iter()
            .fold(old, |text, (old, new)| text.replace(old, new));
        result.push(9);
        result.extend((text.len() as u16).to_le_bytes());
        result.extend(text.as_bytes());
    }
    let length = result.len() as u32 - 4;
    result[..4].copy_from_slice(&length.to_le_bytes());
    result
}

#[test]
fn only_log_texts_are_replaced() {
    let reply = bytes("10000000030000090300616263020a204c09e81b");
    let expected = bytes("1100000003000009040061786364020a204c09e81b");
    assert_eq!(
        replace_log_texts(&reply, &[("b", "x"), ("c", "cd")]),
        expected
    );
    for reply in frames("<<") {
        assert_eq!(replace_log_texts(&reply, &[]), reply);
    }
}

#[test]
fn a_recorded_session_gets_the_replies_of_0ad3387() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_peppercove-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let (mut input, mut output) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
    let (requests, replies) = (frames(">>"), frames("<<"));
    assert!(requests.len() > 300 && requests.len() == replies.len());
    for (number, (frame, expected)) in requests.iter().zip(&replies).enumerate() {
        let expected = replace_log_texts(expected, LOG_TEXTS);
        input.write_all(frame).unwrap();
        let mut reply = vec![0; 4];
        output.read_exact(&mut reply).unwrap();
        let length = u32::from_le_bytes([reply[0], reply[1], reply[2], reply[3]]);
        reply.resize(4 + length as usize, 0);
        output.read_exact(&mut reply[4..]).unwrap();
        assert_eq!(reply, expected, "frame {number}");
    }
    drop(input);
    assert!(child.wait().unwrap().success());
}

#[test]
fn each_action_has_the_bytes_of_0ad3387() {
    let (request, node) = (
        RequestId(0x0004_21a3_d055_1b7c),
        NodeId((0x0a20_4c09 << 16) | 0x1be8),
    );
    let cases = [
        (Action::WatchNodes, "0101"),
        (Action::Probe(node), "020a204c09e81b"),
        (Action::Migrate(request), "057c1b55d0a3210400"),
        (
            Action::CancelAttempt {
                request,
                attempt: 258,
            },
            "067c1b55d0a32104000201",
        ),
        (Action::Broadcast(b"abc".to_vec()), "07ffffffff0300616263"),
        (Action::Fail(request), "087c1b55d0a3210400"),
        (Action::Log("abc".into()), "090300616263"),
        (
            Action::SetTimer {
                label: 0x4d,
                at: 0x87fd7a,
            },
            "0a4d000000000000007afd870000000000",
        ),
        (
            Action::Dispatch {
                request,
                node,
                timeout: Some(80_000),
                send_by: None,
            },
            "0b7c1b55d0a3210400803801000a204c09e81b",
        ),
        (
            Action::Dispatch {
                request,
                node,
                timeout: None,
                send_by: None,
            },
            "0b7c1b55d0a3210400000000000a204c09e81b",
        ),
        (
            Action::Reject {
                request,
                retry_after: Some(1 << 40),
            },
            "0e7c1b55d0a3210400ffffffff",
        ),
        (
            Action::Reject {
                request,
                retry_after: None,
            },
            "0e7c1b55d0a321040000000000",
        ),
    ];
    for (action, expected) in cases {
        let mut reply = Reply::default();
        reply.push(0x0201, std::slice::from_ref(&action));
        let expected = bytes(expected);
        let length = (3 + expected.len() as u32).to_le_bytes();
        assert_eq!(
            reply.finish(),
            [&length[..], &[3, 1, 2], &expected].concat(),
            "{action:?}"
        );
    }
}
