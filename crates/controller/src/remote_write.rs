//! Pushes metrics to a receiver. They are collected, stored in a write-ahead log and sent as background work, which has
//! lower priority than placements.

mod http;

use crate::server::Server;
use peppercove_background::{Action, BackgroundScheduler, Cost, Event, WorkId};
use peppercove_config::RemoteWriteSettings;
use peppercove_metrics as names;
use peppercove_push::budget::{self, LAG_CHECK_INTERVAL, PushTask};
use peppercove_push::client::{
    BatchDisposition, ClientSettings, NextStep, RemoteWriteClient, RequestOutcome,
};
use peppercove_push::encode::{Version, encode};
use peppercove_push::wal::{LossCounts, Record, WalLimits, WriteAheadLog};
use peppercove_push::{Sample, to_samples};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

/// Number of segments of the write-ahead log, and the minimum size of a segment in bytes.
const WAL_SEGMENTS: u64 = 16;
const MIN_SEGMENT_BYTES: u64 = 1 << 10;

/// Outcome of a request that sent a batch.
struct BatchSent {
    work: WorkId,
    samples: usize,
    outcome: RequestOutcome,
}

/// Pushes the metrics of a controller.
pub(crate) struct RemoteWriter {
    settings: RemoteWriteSettings,
    wal: WriteAheadLog,
    client: RemoteWriteClient,
    background: BackgroundScheduler,
    /// Losses of the write-ahead log that have been added to the metrics.
    counted_losses: LossCounts,
    last_work: u64,
    next_collection_at: u64,
    is_collecting: bool,
    is_sending: bool,
}

impl RemoteWriter {
    /// Opens the write-ahead log and creates the writer.
    pub(crate) fn open(server: &Server, settings: RemoteWriteSettings) -> io::Result<RemoteWriter> {
        let wal = WriteAheadLog::open(&settings.wal_path, wal_limits(&settings))?;
        let now = server.clock.now();
        let budget = budget::settings(
            settings.cpu_share,
            settings.pressed_share,
            micros(settings.calm_below),
            micros(settings.pressed_from),
        );
        Ok(RemoteWriter {
            client: RemoteWriteClient::new(client_settings(&settings), now, fastrand::u64(..)),
            background: BackgroundScheduler::new(budget, fastrand::u64(..)),
            // Randomized, so that controllers that start together do not push at the same time.
            next_collection_at: now + fastrand::u64(0..=micros(settings.interval)),
            settings,
            wal,
            counted_losses: LossCounts::default(),
            last_work: 0,
            is_collecting: false,
            is_sending: false,
        })
    }

    /// Collects and sends metrics until the task is aborted.
    pub(crate) async fn run(mut self, server: Rc<Server>) {
        let (sender, mut sent) = mpsc::channel::<BatchSent>(1);
        loop {
            let check_at = tokio::time::Instant::now() + Duration::from_micros(LAG_CHECK_INTERVAL);
            let mut actions = tokio::select! {
                () = sleep_until(check_at) => self.on_lag(&server, check_at.elapsed()),
                Some(batch) = sent.recv() => self.on_batch_sent(&server, &batch),
            };
            actions.extend(self.submit_due(&server));
            while let Some(action) = actions.pop() {
                match action {
                    Action::Start(work) => actions.extend(self.start(&server, work, &sender)),
                    // The work items are short: they are not paused, and nothing depends on their end.
                    Action::Pause(_) | Action::Resume(_) | Action::End(..) => {}
                }
            }
        }
    }

    /// Reports the lag of the event loop to the background scheduler.
    fn on_lag(&mut self, server: &Server, lag: Duration) -> Vec<Action> {
        server
            .metrics
            .set(names::EVENT_LOOP_LAG, &[], lag.as_secs_f64());
        let event = Event::PlacementLatency(micros(lag));
        self.background
            .handle(server.clock.now(), event)
            .into_iter()
            .collect()
    }

    /// Submits the work that is due: collecting metrics or sending a batch.
    fn submit_due(&mut self, server: &Server) -> Vec<Action> {
        let now = server.clock.now();
        let mut actions = Vec::new();
        if !self.is_collecting && now >= self.next_collection_at {
            self.is_collecting = true;
            actions.extend(self.submit(now, PushTask::Collect));
        }
        if !self.is_sending && self.wal.bytes() > 0 {
            self.is_sending = true;
            actions.extend(self.submit(now, PushTask::Send));
        }
        actions
    }

    fn submit(&mut self, now: u64, task: PushTask) -> Vec<Action> {
        self.last_work += 1;
        let event = Event::Submit {
            work: work_id(self.last_work, task),
            class: task.class_index(),
            cost: task.expected_cost(),
            deadline: None,
        };
        self.background.handle(now, event)
    }

    fn start(
        &mut self,
        server: &Rc<Server>,
        work: WorkId,
        sender: &mpsc::Sender<BatchSent>,
    ) -> Vec<Action> {
        let started_at = Instant::now();
        match task_of(work) {
            PushTask::Collect => {
                self.collect(server);
                self.finish(server, work, started_at.elapsed())
            }
            PushTask::Send => {
                let is_sent = self.send_batch(server, work, sender);
                if is_sent {
                    return Vec::new();
                }
                self.finish(server, work, started_at.elapsed())
            }
        }
    }

    /// Starts sending a batch if the client permits; returns whether it did.
    fn send_batch(
        &mut self,
        server: &Server,
        work: WorkId,
        sender: &mpsc::Sender<BatchSent>,
    ) -> bool {
        let now = server.clock.now();
        let waiting = self.wal.peek(millis(now), self.settings.batch_size);
        self.count_losses(server);
        let (samples, version) = match self.client.next(now, waiting.len()) {
            NextStep::Send(samples, version) => (samples, version),
            NextStep::Wait(_) | NextStep::Idle => return false,
        };
        let decode = |record: &Record| postcard::from_bytes::<Sample>(&record.payload).ok();
        let batch: Vec<Sample> = waiting[..samples].iter().filter_map(decode).collect();
        let body = encode(version, &batch);
        let (settings, sender) = (self.settings.clone(), sender.clone());
        spawn_local(async move {
            let outcome =
                match timeout(settings.timeout, http::post(&settings, version, &body)).await {
                    Ok(Ok(outcome)) => outcome,
                    Ok(Err(_)) | Err(_) => RequestOutcome::NoResponse,
                };
            let _ = sender
                .send(BatchSent {
                    work,
                    samples,
                    outcome,
                })
                .await;
        });
        true
    }

    fn finish(&mut self, server: &Server, work: WorkId, elapsed: Duration) -> Vec<Action> {
        match task_of(work) {
            PushTask::Collect => self.is_collecting = false,
            PushTask::Send => self.is_sending = false,
        }
        let cost = Cost {
            cpu: elapsed.as_micros() as f64,
            bytes: 0.0,
            requests: 0.0,
        };
        self.background
            .handle(server.clock.now(), Event::Completed(work, cost))
    }

    /// Collects the metrics and appends them to the write-ahead log.
    fn collect(&mut self, server: &Server) {
        let now = server.clock.now();
        let interval = micros(self.settings.interval);
        let after = self.next_collection_at.max(now.saturating_sub(interval));
        self.next_collection_at = after.saturating_add(interval);
        server
            .metrics
            .set(names::WAL_BYTES, &[], self.wal.bytes() as f64);
        let mut labels = vec![("instance".to_owned(), server.config.name.clone())];
        labels.extend(self.settings.labels.iter().cloned());
        let points = server.gather_metrics();
        let samples = to_samples(
            &points,
            &labels,
            millis(now),
            millis(server.clock.start_time()),
        );
        for sample in &samples {
            let bytes = postcard::to_stdvec(sample).unwrap_or_default();
            self.wal.append(sample.timestamp_ms, &bytes);
        }
        // The increment is part of the next samples, because a metric cannot count the push that carries it.
        server
            .metrics
            .add(names::PUSH_SAMPLES, &["made"], samples.len() as f64);
        self.count_losses(server);
    }

    /// Adds the losses of the write-ahead log since the last call to the metrics.
    fn count_losses(&mut self, server: &Server) {
        let (now, last) = (self.wal.losses(), self.counted_losses);
        self.counted_losses = now;
        for (label, increment) in [
            ("dropped-room", now.over_size - last.over_size),
            ("dropped-age", now.expired - last.expired),
            ("dropped-damaged", now.damaged - last.damaged),
            ("dropped-unwritten", now.unwritten - last.unwritten),
        ] {
            server
                .metrics
                .add(names::PUSH_SAMPLES, &[label], increment as f64);
        }
    }

    fn on_batch_sent(&mut self, server: &Server, batch: &BatchSent) -> Vec<Action> {
        let started_at = Instant::now();
        let status = match batch.outcome {
            RequestOutcome::Status(status, _) => status.to_string(),
            RequestOutcome::NoResponse => "no-answer".into(),
        };
        server.metrics.add(names::PUSH_REQUESTS, &[&status], 1.0);
        match self.client.on_outcome(server.clock.now(), batch.outcome) {
            BatchDisposition::Acknowledge(samples) => {
                debug_assert_eq!(samples, batch.samples);
                self.wal.acknowledge(samples);
                server
                    .metrics
                    .add(names::PUSH_SAMPLES, &["pushed"], samples as f64);
            }
            BatchDisposition::Drop => {
                self.wal.acknowledge(1);
                tracing::warn!(
                    status,
                    "the receiver rejected a sample permanently; dropping it"
                );
                server
                    .metrics
                    .add(names::PUSH_SAMPLES, &["dropped-refused"], 1.0);
            }
            BatchDisposition::Keep => {}
        }
        self.finish(server, batch.work, started_at.elapsed())
    }
}

fn wal_limits(settings: &RemoteWriteSettings) -> WalLimits {
    WalLimits {
        max_bytes: settings.wal_max_bytes,
        segment_bytes: (settings.wal_max_bytes / WAL_SEGMENTS).max(MIN_SEGMENT_BYTES),
        max_age_ms: i64::try_from(settings.wal_max_age.as_millis()).unwrap_or(i64::MAX),
    }
}

fn client_settings(settings: &RemoteWriteSettings) -> ClientSettings {
    ClientSettings {
        version: if settings.prefers_v2 {
            Version::V2
        } else {
            Version::V1
        },
        max_batch_size: settings.batch_size,
        min_backoff: micros(settings.min_backoff),
        max_backoff: micros(settings.max_backoff),
        max_batches_per_second: settings.max_requests_per_second,
    }
}

/// Returns the id of a work item. The lowest bit encodes the task, so no lookup table is needed.
fn work_id(number: u64, task: PushTask) -> WorkId {
    WorkId(number * 2 + task.class_index() as u64)
}

fn task_of(work: WorkId) -> PushTask {
    if work.0 % 2 == PushTask::Collect.class_index() as u64 {
        PushTask::Collect
    } else {
        PushTask::Send
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(micros: u64) -> i64 {
    i64::try_from(micros / 1_000).unwrap_or(i64::MAX)
}
