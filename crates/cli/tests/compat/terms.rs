//! How names in the `Debug` output of `replay` differ from those of 0ad3387.
//!
//! `replay` prints the outputs of the core as the code names them. A rename there changes what it prints, and nothing
//! else may: each pair below replaces one whole name in the text that 0ad3387 printed, before that is compared to the
//! last byte. Names in JSON, journals and frames have no such table: they stay.

/// `(old, new)`: a type, variant or field. `Offer.job` is the name `job` directly within `Offer` alone, by its old name, and
/// `.Done` the name `Done` alone that begins an output.
const NAMES: &[(&str, &str)] = &[
    // Identifiers and the parts of a task's copy.
    ("MachineId", "NodeId"),
    ("Copy", "TaskCopy"),
    ("Copy.life", "incarnation"),
    ("Copy.at", "attempt"),
    ("Trace", "AttemptId"),
    ("Trace.attempt", "number"),
    ("Adopt.life", "incarnation"),
    ("Adopt.was", "previous_request"),
    ("StopStanding.life", "incarnation"),
    ("StopStanding.was", "previous_request"),
    ("Sent.node_life", "node_incarnation"),
    ("Sent.of", "spec"),
    ("Of", "TaskSpec"),
    ("Runs", "Running"),
    // Outputs.
    (".TurnedAway", "Rejected"),
    ("TurnedAway.why", "reason"),
    (".Done", "ControlAccepted"),
    (".Settled", "Answered"),
    (".Offer", "Dispatch"),
    (".Watch", "WatchNodes"),
    (".Withdraw", "CancelAttempt"),
    (".Act", "ControlTask"),
    (".StopStanding", "DiscardOrphan"),
    // Why a call was turned away.
    ("Full", "LimitReached"),
    ("Stopping", "ShuttingDown"),
    ("InDoubt", "OutcomeAmbiguous"),
    ("RanAlready", "AlreadyRan"),
    ("NotKnown", "OutcomeUnknown"),
    ("AskedElsewhere", "RequestedElsewhere"),
    ("TaskTaken", "TaskInUse"),
    ("WrongState", "InvalidState"),
    // Answers, ends and entries of the journal.
    ("Settled.Withdrawn", "Cancelled"),
    ("Settled.Refused", "Rejected"),
    ("Ran", "Completed"),
    ("GivenUp", "Evicted"),
];

/// `(old, new)`: a part of a line for the people on call, within `Log("...")`.
const LOG_TEXTS: &[(&str, &str)] = &[
    ("machine ", "node "),
    ("fault: ask ", "fault: request "),
    (" answers nothing", " is unresponsive"),
    (" answers again", " responds again"),
];

/// The text that 0ad3387 printed, with today's names.
pub fn translate(text: &str) -> String {
    text.lines()
        .map(|line| translate_line(line, NAMES, LOG_TEXTS) + "\n")
        .collect()
}

fn translate_line(line: &str, names: &[(&str, &str)], log_texts: &[(&str, &str)]) -> String {
    if let Some((at, log)) = line.split_once(" Log(") {
        let log = log_texts
            .iter()
            .fold(log.to_owned(), |log, (old, new)| log.replace(old, new));
        let name = new_name(names, "", "Log");
        return format!("{at} {name}({log}");
    }
    let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let (mut made, mut rest, mut within) = (String::new(), line, vec![""]);
    while let Some(first) = rest.chars().next() {
        let length = match first {
            '"' => end_of_string(rest),
            c if is_name(c) => rest.find(|c| !is_name(c)).unwrap_or(rest.len()),
            c => c.len_utf8(),
        };
        let (part, after) = rest.split_at(length);
        rest = after;
        match first {
            c if c.is_ascii_alphabetic() => {
                let container = within.last().unwrap_or(&"");
                made += new_name(names, container, part);
                if after.starts_with(" {") || after.starts_with('(') {
                    within.push(part);
                }
                continue;
            }
            // Those of a struct or variant were pushed with its name.
            '[' => within.push(""),
            '(' if !made.ends_with(is_name) => within.push(""),
            ']' | ')' | '}' => drop(within.pop()),
            _ => {}
        }
        made += part;
    }
    made
}

/// Bytes of the quoted text at the start.
fn end_of_string(text: &str) -> usize {
    let mut escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return at + 1,
            _ => {}
        }
    }
    text.len()
}

fn new_name<'a>(names: &[(&str, &'a str)], container: &str, name: &'a str) -> &'a str {
    let field = format!("{container}.{name}");
    let found = |wanted: &str| {
        names
            .iter()
            .find(|(old, _)| *old == wanted)
            .map(|(_, new)| *new)
    };
    found(&field).or_else(|| found(name)).unwrap_or(name)
}

#[test]
fn only_whole_names_are_replaced_and_texts_and_numbers_stay() {
    let names = [
        ("Copy", "TaskCopy"),
        ("Offer.job", "job_id"),
        ("at", "attempt_id"),
        (".Log", "Message"),
        (".Done", "Over"),
    ];
    let line = r#"12 Offer { job: JobId(3), at: [Copy { at: 1, job: "Copy \" at" }, (Copied, 1)], job: 2 }"#;
    let expected = r#"12 Offer { job_id: JobId(3), attempt_id: [TaskCopy { attempt_id: 1, job: "Copy \" at" }, (Copied, 1)], job_id: 2 }"#;
    assert_eq!(translate_line(line, &names, &[]), expected);
    assert_eq!(translate_line(line, &[], &[]), line);
    assert_eq!(
        translate_line("1 Done { of: Done }", &names, &[]),
        "1 Over { of: Done }"
    );
    let log = r#"12 Log("node n1 at 3")"#;
    assert_eq!(
        translate_line(log, &names, &[("node", "peer")]),
        r#"12 Message("peer n1 at 3")"#
    );
}
