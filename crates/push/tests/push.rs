//! Encoders against independent decoding, the backlog under damage, the sender under every answer.

use peppercove_push::client::{
    BatchDisposition, ClientSettings, NextStep, RemoteWriteClient, RequestOutcome,
};
use peppercove_push::encode::{Version, encode};
use peppercove_push::wal::{LossCounts, WalLimits, WriteAheadLog};
use peppercove_push::{STALE, Sample, SeriesKind, stale, to_samples};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::fs;

// ---- Decoding that shares nothing with the encoder: protobuf by hand ----

enum Field<'a> {
    Number(u64),
    Fixed(u64),
    Bytes(&'a [u8]),
}

fn varint(bytes: &mut &[u8]) -> u64 {
    let (mut value, mut shift) = (0u64, 0);
    loop {
        let b = bytes[0];
        *bytes = &bytes[1..];
        value |= u64::from(b & 0x7f) << shift;
        shift += 7;
        if b < 0x80 {
            return value;
        }
    }
}

fn fields(mut bytes: &[u8]) -> Vec<(u64, Field<'_>)> {
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let key = varint(&mut bytes);
        let field = match key & 7 {
            0 => Field::Number(varint(&mut bytes)),
            1 => {
                let (value, rest) = bytes.split_at(8);
                bytes = rest;
                Field::Fixed(u64::from_le_bytes(value.try_into().unwrap()))
            }
            2 => {
                let n = varint(&mut bytes) as usize;
                let (value, rest) = bytes.split_at(n);
                bytes = rest;
                Field::Bytes(value)
            }
            other => panic!("wire type {other}"),
        };
        all.push((key >> 3, field));
    }
    all
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn sample(bytes: &[u8]) -> (u64, i64) {
    let (mut value, mut at) = (0f64.to_bits(), 0);
    for (tag, field) in fields(bytes) {
        match (tag, field) {
            (1, Field::Fixed(bits)) => value = bits,
            (2, Field::Number(n)) => at = n as i64,
            _ => panic!("tag {tag} in a sample"),
        }
    }
    (value, at)
}

type Series = BTreeMap<Vec<(String, String)>, Vec<(u64, i64)>>;

fn decode(version: Version, bytes: &[u8]) -> Series {
    let bytes = snap::raw::Decoder::new().decompress_vec(bytes).unwrap();
    let (mut symbols, mut series) = (Vec::new(), Series::new());
    for (tag, field) in fields(&bytes) {
        let Field::Bytes(field) = field else {
            panic!("a message was expected")
        };
        match (version, tag) {
            (Version::V2, 4) => symbols.push(text(field)),
            (Version::V1, 1) | (Version::V2, 5) => {
                let (mut labels, mut samples) = (Vec::new(), Vec::new());
                for (tag, field) in fields(field) {
                    match (version, tag, field) {
                        (Version::V1, 1, Field::Bytes(label)) => {
                            let mut pair = (String::new(), String::new());
                            for (tag, part) in fields(label) {
                                let Field::Bytes(part) = part else {
                                    panic!("a text was expected")
                                };
                                if tag == 1 {
                                    pair.0 = text(part)
                                } else {
                                    pair.1 = text(part)
                                }
                            }
                            labels.push(pair);
                        }
                        (Version::V2, 1, Field::Bytes(mut refs)) => {
                            while !refs.is_empty() {
                                let (n, v) =
                                    (varint(&mut refs) as usize, varint(&mut refs) as usize);
                                labels.push((symbols[n].clone(), symbols[v].clone()));
                            }
                        }
                        (_, 2, Field::Bytes(s)) => samples.push(sample(s)),
                        (Version::V2, 5 | 6, _) => {}
                        _ => panic!("tag {tag} in a series"),
                    }
                }
                assert!(
                    labels.is_sorted_by(|a, b| a.0 < b.0),
                    "labels are sorted and unique: {labels:?}"
                );
                assert!(samples.is_sorted_by(|a, b| a.1 < b.1), "times grow");
                assert!(
                    series.insert(labels, samples).is_none(),
                    "a series stands once"
                );
            }
            _ => panic!("tag {tag} in a request"),
        }
    }
    if version == Version::V2 {
        assert_eq!(
            symbols.first().map(String::as_str),
            Some(""),
            "the first symbol is empty"
        );
    }
    series
}

fn any_samples() -> impl Strategy<Value = Vec<Sample>> {
    let label = ("[a-c]{1,2}", "\\PC{0,6}");
    let labels = prop::collection::btree_map(label.0, label.1, 1..4);
    let sample = (labels, any::<u64>(), any::<i64>()).prop_map(|(labels, bits, at)| Sample {
        labels: labels.into_iter().collect(),
        value: f64::from_bits(bits),
        timestamp_ms: at,
        kind: SeriesKind::Gauge,
        created: 0,
    });
    prop::collection::vec(sample, 0..40)
}

proptest! {
    #[test]
    fn what_is_encoded_is_decoded_by_another(all in any_samples()) {
        let mut wanted = Series::new();
        for s in &all {
            wanted.entry(s.labels.clone()).or_default().push((s.value.to_bits(), s.timestamp_ms));
        }
        for samples in wanted.values_mut() {
            samples.sort_by_key(|s| s.1);
            samples.dedup_by_key(|s| s.1);
        }
        for version in [Version::V1, Version::V2] {
            prop_assert_eq!(&decode(version, &encode(version, &all)), &wanted);
        }
    }

    #[test]
    fn a_backlog_gives_back_what_it_took_over_restarts_and_damage(
        counts in prop::collection::vec(1..20usize, 1..5), flip in any::<Option<u16>>(), torn in 0..30u64,
    ) {
        let folder = tempfile::tempdir().unwrap();
        let bounds = WalLimits { bytes: 1 << 20, segment: 200, age: i64::MAX };
        let mut written = Vec::new();
        for count in &counts {
            let mut backlog = WriteAheadLog::open(folder.path(), bounds).unwrap();
            for _ in 0..*count {
                let n = written.len() as i64;
                backlog.append(n, format!("record {n}").as_bytes());
                written.push(n);
            }
        }
        let mut files: Vec<_> = fs::read_dir(folder.path()).unwrap().map(|e| e.unwrap().path()).collect();
        files.retain(|f| f.extension().is_some_and(|e| e == "seg"));
        files.sort();
        let whole: Vec<u64> = files.iter().map(|f| fs::metadata(f).unwrap().len()).collect();
        let largest = (0..files.len()).max_by_key(|i| whole[*i]).unwrap();
        let mut bytes = fs::read(&files[largest]).unwrap();
        if let Some(at) = flip && !bytes.is_empty() {
            let at = usize::from(at) % bytes.len();
            bytes[at] ^= 0x10;
        }
        bytes.truncate(bytes.len() - (torn as usize).min(bytes.len()));
        fs::write(&files[largest], &bytes).unwrap();
        let mut backlog = WriteAheadLog::open(folder.path(), bounds).unwrap();
        let mut read = Vec::new();
        loop {
            let records = backlog.peek(0, 7);
            if records.is_empty() { break }
            read.extend(records.iter().map(|r| r.at));
            for r in &records {
                prop_assert_eq!(&r.payload, &format!("record {}", r.at).into_bytes());
            }
            backlog.acknowledge(records.len());
        }
        prop_assert!(read.is_sorted_by(|a, b| a < b), "in order, none twice: {:?}", read);
        let harmed = flip.is_some() || torn > 0;
        prop_assert!(harmed || read == written, "{:?} of {:?}", read, written);
        // Damage costs at most what stood in the one segment.
        let in_one = written.len() - read.len();
        prop_assert!(in_one as u64 <= whole[largest] / 24 + 1);
        prop_assert_eq!(backlog.peek(0, 1), vec![]);
    }
}

#[test]
fn a_restart_goes_on_from_what_was_done() {
    let folder = tempfile::tempdir().unwrap();
    let bounds = WalLimits {
        bytes: 1 << 20,
        segment: 100,
        age: 1_000,
    };
    let mut backlog = WriteAheadLog::open(folder.path(), bounds).unwrap();
    (0..10).for_each(|i| backlog.append(i, b"0123456789"));
    assert!(
        WriteAheadLog::open(folder.path(), bounds).is_err(),
        "one process at a time"
    );
    assert_eq!(backlog.peek(0, 3).len(), 3);
    backlog.acknowledge(3);
    drop(backlog);
    let mut backlog = WriteAheadLog::open(folder.path(), bounds).unwrap();
    assert_eq!(backlog.peek(0, 1)[0].at, 3);
    // Records 3 to 6 are older than the bound.
    assert_eq!(backlog.peek(1_007, 1)[0].at, 7);
    assert_eq!(
        backlog.lost(),
        LossCounts {
            age: 4,
            ..LossCounts::default()
        }
    );
}

#[test]
fn room_is_made_oldest_first_and_counted() {
    let folder = tempfile::tempdir().unwrap();
    let mut backlog = WriteAheadLog::open(
        folder.path(),
        WalLimits {
            bytes: 300,
            segment: 100,
            age: i64::MAX,
        },
    )
    .unwrap();
    (0..50).for_each(|i| backlog.append(i, b"0123456789"));
    let first = backlog.peek(0, 1)[0].at;
    assert!(backlog.bytes() <= 300 && first > 30);
    assert_eq!(
        backlog.lost(),
        LossCounts {
            room: first as u64,
            ..LossCounts::default()
        },
        "made = kept + counted"
    );
}

fn sender() -> RemoteWriteClient {
    let settings = ClientSettings {
        version: Version::V2,
        batch: 8,
        min_backoff: 1_000,
        max_backoff: 16_000,
        per_second: 0.0,
    };
    RemoteWriteClient::new(settings, 0, 1)
}

#[test]
fn failures_that_may_pass_wait_and_keep_the_batch() {
    let mut s = sender();
    assert!(
        matches!(s.next(0, 20), NextStep::Wait(_)),
        "the first batch is scattered"
    );
    let mut now = 2_000;
    let mut waits = Vec::new();
    for outcome in [
        RequestOutcome::NoAnswer,
        RequestOutcome::Status(503, None),
        RequestOutcome::Status(500, None),
        RequestOutcome::Status(429, None),
    ] {
        assert_eq!(s.next(now, 20), NextStep::Send(8, Version::V2));
        assert_eq!(s.on_outcome(now, outcome), BatchDisposition::Keep);
        let NextStep::Wait(at) = s.next(now, 20) else {
            panic!("it waits")
        };
        waits.push(at - now);
        now = at;
    }
    for (i, wait) in waits.iter().enumerate() {
        assert!((500 << i..=1_000 << i).contains(wait), "{waits:?}");
    }
    s.next(now, 20);
    assert_eq!(
        s.on_outcome(now, RequestOutcome::Status(429, Some(12_000))),
        BatchDisposition::Keep
    );
    assert!(
        matches!(s.next(now, 20), NextStep::Wait(at) if at >= now + 12_000),
        "Retry-After is kept"
    );
    s.next(now + 20_000, 20);
    assert_eq!(
        s.on_outcome(now + 20_000, RequestOutcome::Status(204, None)),
        BatchDisposition::Done(8)
    );
    assert_eq!(s.next(now + 20_000, 0), NextStep::Idle);
}

#[test]
fn a_receiver_of_the_other_version_is_served_in_it() {
    let mut s = sender();
    assert_eq!(s.next(2_000, 3), NextStep::Send(3, Version::V2));
    assert_eq!(
        s.on_outcome(2_000, RequestOutcome::Status(415, None)),
        BatchDisposition::Keep
    );
    assert_eq!(s.next(2_000, 3), NextStep::Send(3, Version::V1));
    assert_eq!(
        s.on_outcome(2_000, RequestOutcome::Status(200, None)),
        BatchDisposition::Done(3)
    );
    assert_eq!(s.version(), Version::V1);
}

proptest! {
    /// A receiver refuses some records for good: all others get through, in order, and each is sent a bounded number
    /// of times.
    #[test]
    fn only_what_is_refused_is_dropped(bad in prop::collection::btree_set(0..40usize, 0..6), flaky in any::<u64>()) {
        let (mut s, mut rng) = (sender(), fastrand::Rng::with_seed(flaky));
        let mut left: std::collections::VecDeque<usize> = (0..40).collect();
        let (mut taken, mut dropped, mut now, mut sends) = (Vec::new(), Vec::new(), 2_000, 0);
        loop {
            match s.next(now, left.len()) {
                NextStep::Idle => break,
                NextStep::Wait(at) => now = at,
                NextStep::Send(count, _) => {
                    sends += 1;
                    let refused = left.iter().take(count).any(|r| bad.contains(r));
                    let outcome = match rng.u8(0..4) {
                        0 => RequestOutcome::NoAnswer,
                        _ if refused => RequestOutcome::Status(400, None),
                        _ => RequestOutcome::Status(200, None),
                    };
                    match s.on_outcome(now, outcome) {
                        BatchDisposition::Done(n) => taken.extend(left.drain(..n)),
                        BatchDisposition::Drop => dropped.extend(left.pop_front()),
                        BatchDisposition::Keep => {}
                    }
                }
            }
            prop_assert!(sends < 600);
        }
        prop_assert_eq!(&dropped, &bad.iter().copied().collect::<Vec<_>>());
        prop_assert!(taken.is_sorted() && taken.len() + dropped.len() == 40);
    }
}

#[test]
fn samples_tell_instances_apart_and_end_with_a_marker() {
    let metrics = peppercove_metrics::Metrics::new();
    metrics
        .set(peppercove_metrics::OPEN_REQUESTS, &[], 3.0)
        .unwrap();
    metrics
        .add(peppercove_metrics::SUBMISSIONS_REJECTED, &["full"], 2.0)
        .unwrap();
    let external = [
        ("instance".to_owned(), "c1".to_owned()),
        ("reason".to_owned(), "overruled".to_owned()),
    ];
    let all = to_samples(&metrics.gather(), &external, 1_000, 500);
    let label = |s: &Sample, n: &str| {
        s.labels
            .iter()
            .find(|(l, _)| l == n)
            .map(|(_, v)| v.clone())
    };
    assert!(
        all.iter()
            .all(|s| label(s, "instance").as_deref() == Some("c1") && s.labels.is_sorted())
    );
    let counter = all.iter().find(|s| s.kind == SeriesKind::Counter).unwrap();
    assert_eq!(
        (label(counter, "reason").as_deref(), counter.created),
        (Some("full"), 500),
        "its own label stands"
    );
    let end = stale(counter, 2_000);
    assert_eq!(
        (end.value.to_bits(), end.timestamp_ms, &end.labels),
        (STALE, 2_000, &counter.labels)
    );
}
