//! Lines of the journal service, and how soon it is called again after a failure.

use bytes::BytesMut;
use peppercove_platform::endpoint_watch::{
    EndpointEvent, EndpointWatchError, LineDecoder, NodeLifecycle, RetryDelays, SILENCE_TIMEOUT,
    SequenceCheck, WatchLine, check_sequence, max_line_bytes, retry_delays,
};

#[test]
fn complete_lines_are_decoded_and_an_incomplete_one_stays_in_the_buffer() {
    let text = "41\n{\"pos\":42,\"hosts\":{\"version\":7,\"full\":false,\"servers\":[{\"id\":\"a\",\
        \"addr\":\"10.1.0.9:5070\",\"zone\":\"east\",\"kind\":\"std\",\"cell\":2,\"state\":\"leaving\",\
        \"weight\":4,\"started_ms\":0,\"room\":[1.5,-2]}]}}\n{\"pos\":4";
    let mut buffer = BytesMut::from(text);
    let mut lines = LineDecoder::new(max_line_bytes(64));
    let mut line = |buffer: &mut BytesMut| lines.next(buffer);
    assert_eq!(
        line(&mut buffer).expect("a number"),
        Some(WatchLine::Last(41))
    );
    let Ok(Some(WatchLine::Event(entry))) = line(&mut buffer) else {
        panic!("an event")
    };
    let host = &entry.hosts.as_ref().expect("hosts").servers[0];
    assert_eq!(
        (host.state, host.room, entry.pos),
        (Some(NodeLifecycle::Leaving), Some([1.5, -2.0]), 42)
    );
    assert!(matches!(line(&mut buffer), Ok(None)));
    assert_eq!(buffer[..], b"{\"pos\":4"[..]);
    buffer.extend_from_slice(b"\n");
    assert!(
        matches!(line(&mut buffer), Err(EndpointWatchError::Malformed(_))),
        "torn and then ended"
    );
}

#[test]
fn repeated_events_are_skipped_and_gaps_cause_a_resync() {
    let event = |pos| WatchLine::Event(EndpointEvent { pos, hosts: None });
    assert_eq!(
        [
            check_sequence(4, &event(4)),
            check_sequence(4, &event(5)),
            check_sequence(4, &event(6))
        ],
        [
            SequenceCheck::Skip,
            SequenceCheck::Apply,
            SequenceCheck::Resync
        ]
    );
    assert_eq!(
        [
            check_sequence(4, &WatchLine::Last(4)),
            check_sequence(4, &WatchLine::Last(5))
        ],
        [SequenceCheck::Skip, SequenceCheck::Resync]
    );
}

#[test]
fn retry_delays_end_before_unsent_events_count_as_received() {
    for dial_timeout in [0, 50_000, 250_000, 1_000_000] {
        let RetryDelays { first, max } = retry_delays(250_000, dial_timeout);
        // The platform gives 2 s after a close and 4 s after a stop, which is known after the silence.
        assert!(
            max + dial_timeout <= 2_000_000,
            "after a close, {dial_timeout}"
        );
        assert!(
            first <= 250_000 / 4,
            "after a reset, most of the drain grace is left"
        );
        assert!(
            SILENCE_TIMEOUT + max + dial_timeout <= 4_000_000,
            "after a stop, {dial_timeout}"
        );
    }
    let RetryDelays { first, max } = retry_delays(0, u64::MAX);
    assert!(first > 0 && max > 0, "never without a delay");
}

/// A limit that does not follow the memory closes every connection that brings a full list of 13,000 nodes, and
/// a scheduler of that fleet never has a list.
#[test]
fn full_list_of_13000_nodes_is_decoded_from_any_parts_and_an_endless_line_is_rejected() {
    let host = |i: u64| {
        format!(
            "{{\"id\":\"s-{i:08x}\",\"addr\":\"10.{}.{}.9:5070\",\"zone\":\"zone-{}\",\"kind\":\"std\",\"cell\":{},\
             \"state\":\"active\",\"weight\":4,\"started_ms\":1796139757000,\"room\":[15.25,30.5]}}",
            i / 250,
            i % 250,
            i % 44,
            i / 40
        )
    };
    let hosts: Vec<String> = (0..13_000).map(host).collect();
    let event = "{\"pos\":1,\"hosts\":{\"version\":1,\"full\":true,\"servers\":[";
    let text = format!("{event}{}]}}}}\n7\n", hosts.join(","));
    assert!(
        text.len() > 1 << 20,
        "longer than what any memory is let off: {}",
        text.len()
    );
    let (mut lines, mut buffer) = (LineDecoder::new(max_line_bytes(64)), BytesMut::new());
    let mut read = Vec::new();
    for part in text.as_bytes().chunks(64 << 10) {
        buffer.extend_from_slice(part);
        while let Some(line) = lines.next(&mut buffer).expect("within the bound") {
            read.push(line);
        }
    }
    let [WatchLine::Event(entry), WatchLine::Last(7)] = &read[..] else {
        panic!("the list, then the number")
    };
    assert_eq!(entry.hosts.as_ref().map(|h| h.servers.len()), Some(13_000));

    let (mut lines, mut buffer) = (LineDecoder::new(max_line_bytes(8)), BytesMut::new());
    let end = (0..2_000).find_map(|_| {
        buffer.extend_from_slice(&[b'7'; 1 << 10]);
        lines.next(&mut buffer).err()
    });
    assert!(matches!(end, Some(EndpointWatchError::LineTooLong(_))));
    assert!(
        buffer.len() <= (1 << 20) + (1 << 10),
        "no more of it is kept than the bound"
    );
}
