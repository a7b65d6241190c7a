//! Figures pushed to a stand-in receiver: each sample once and in order, whatever the receiver does.

use peppercove_config::{Config, RemoteWriteSettings, embedded_default};
use peppercove_controller::Controller;
use peppercove_metrics as names;
use peppercove_standins::Clock;
use peppercove_standins::list::FakeNodeList;
use peppercove_standins::receiver::Receiver;
use std::path::Path;
use std::time::Duration;
use tokio::task::LocalSet;

fn on_loopback(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn until(check: impl Fn() -> bool) {
    for _ in 0..10_000 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("it never came");
}

async fn controller(
    list: &FakeNodeList,
    receiver: &Receiver,
    folder: &Path,
    second: bool,
) -> Controller {
    let mut config = Config::parse(embedded_default()).unwrap();
    config.network.node_list = list.address().into();
    config.push = Some(RemoteWriteSettings {
        receiver: receiver.address(),
        path: "/api/v1/write".into(),
        prefers_v2: second,
        interval: Duration::from_millis(60),
        timeout: Duration::from_millis(500),
        batch: 64,
        retry_least: Duration::from_millis(20),
        retry_most: Duration::from_millis(100),
        per_second: 1000.0,
        wal_path: folder.to_owned(),
        wal_max_bytes: 1 << 20,
        wal_max_age: Duration::from_secs(600),
        cpu_share: 1.0,
        pressed_share: 0.5,
        calm_below: Duration::from_secs(1),
        pressed_from: Duration::from_secs(2),
        labels: vec![("room".into(), "a".into())],
    });
    Controller::start(config).await.unwrap()
}

fn figure(controller: &Controller, name: &str, label: &str) -> f64 {
    let points = controller.gather_metrics();
    let fits = |p: &&peppercove_metrics::MetricPoint| {
        p.name == name && p.labels.iter().any(|(_, v)| v == label)
    };
    points.iter().find(fits).map_or(0.0, |p| p.value)
}

fn pushed(controller: &Controller, outcome: &str) -> f64 {
    figure(controller, "peppercove_push_samples_total", outcome)
}

#[test]
fn every_sample_arrives_once_and_in_order_whatever_the_receiver_does() {
    on_loopback(async {
        let list = FakeNodeList::start(Clock::default(), 50_000, Duration::from_secs(1))
            .await
            .unwrap();
        let (receiver, folder) = (
            Receiver::start().await.unwrap(),
            tempfile::tempdir().unwrap(),
        );
        let c = controller(&list, &receiver, folder.path(), true).await;
        until(|| receiver.samples("peppercove_open_asks") >= 2).await;
        receiver.change_faults(|t| t.down = true);
        until(|| figure(&c, "peppercove_push_requests_total", "no-answer") >= 2.0).await;
        receiver.change_faults(|t| (t.down, t.answers) = (false, Some((503, None))));
        until(|| figure(&c, "peppercove_push_requests_total", "503") >= 2.0).await;
        receiver.change_faults(|t| t.answers = Some((429, Some(0))));
        until(|| figure(&c, "peppercove_push_requests_total", "429") >= 1.0).await;
        receiver.change_faults(|t| (t.answers, t.slow) = (None, Duration::from_millis(700)));
        until(|| figure(&c, "peppercove_push_requests_total", "no-answer") >= 4.0).await;
        receiver.change_faults(|t| t.slow = Duration::ZERO);
        let made = pushed(&c, "made");
        until(|| pushed(&c, "pushed") >= made).await;
        let points = c.gather_metrics();
        for name in [
            names::PUSHED,
            names::PUSHES,
            names::WAL_BYTES,
            names::EVENT_LOOP_LAG,
        ] {
            assert!(points.iter().any(|p| p.name == name), "{name} has no value");
        }
        // A slow answer that came too late was taken all the same: its batch came twice, and was stored once.
        assert_eq!(receiver.protocol_violations(), Vec::<String>::new());
        assert_eq!(pushed(&c, "dropped-refused"), 0.0);
        assert!(
            receiver.accepted_samples() as f64 >= made,
            "nothing is lost"
        );
        for (labels, samples) in receiver.series() {
            assert!(samples.is_sorted_by(|a, b| a.0 < b.0), "{labels:?}");
            assert!(
                labels.contains(&("instance".into(), "controller-0".into())),
                "{labels:?}"
            );
            assert!(labels.contains(&("room".into(), "a".into())), "{labels:?}");
        }
    });
}

#[test]
fn made_is_pushed_and_dropped_over_a_restart_with_the_receiver_down() {
    on_loopback(async {
        let list = FakeNodeList::start(Clock::default(), 50_000, Duration::from_secs(1))
            .await
            .unwrap();
        let (receiver, folder) = (
            Receiver::start().await.unwrap(),
            tempfile::tempdir().unwrap(),
        );
        receiver.change_faults(|t| t.down = true);
        let first = controller(&list, &receiver, folder.path(), false).await;
        until(|| pushed(&first, "made") > 100.0).await;
        let made = pushed(&first, "made");
        drop(first);
        // The dropped controller's tasks end when the runtime comes to them.
        tokio::task::yield_now().await;
        assert_eq!(receiver.accepted_samples(), 0);
        receiver.change_faults(|t| t.down = false);
        let second = controller(&list, &receiver, folder.path(), false).await;
        until(|| receiver.accepted_samples() as f64 >= made).await;
        assert_eq!(
            receiver.protocol_violations(),
            Vec::<String>::new(),
            "in order over the restart, none twice"
        );
        assert_eq!(pushed(&second, "dropped-damaged"), 0.0);
    });
}

#[test]
fn one_refused_series_is_dropped_alone_and_the_other_version_is_found() {
    on_loopback(async {
        let list = FakeNodeList::start(Clock::default(), 50_000, Duration::from_secs(1))
            .await
            .unwrap();
        let (receiver, folder) = (
            Receiver::start().await.unwrap(),
            tempfile::tempdir().unwrap(),
        );
        receiver.change_faults(|t| {
            t.only = Some(1);
            t.refuses = Some("peppercove_doubtful_tasks".into());
        });
        let c = controller(&list, &receiver, folder.path(), true).await;
        until(|| {
            pushed(&c, "dropped-refused") >= 2.0 && receiver.samples("peppercove_open_asks") >= 2
        })
        .await;
        assert_eq!(receiver.samples("peppercove_doubtful_tasks"), 0);
        assert!(receiver.requests()[&415] >= 1);
        assert_eq!(receiver.protocol_violations(), Vec::<String>::new());
        until(|| pushed(&c, "pushed") > 0.0).await;
        assert!(receiver.accepted_samples() as f64 >= pushed(&c, "pushed"));
    });
}
