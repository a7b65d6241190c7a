//! Pushing the figures: taken, kept on disk and sent as background work, which gives way to placing.

use crate::server::Server;
use peppercove_background::{Action, BackgroundScheduler, Cost, Event, WorkId};
use peppercove_config::RemoteWriteSettings;
use peppercove_metrics as names;
use peppercove_push::budget::{self, LAG_CHECK_INTERVAL, PushTask};
use peppercove_push::client::{
    BatchDisposition, ClientSettings, NextStep, RemoteWriteClient, RequestOutcome,
};
use peppercove_push::encode::{ENCODING, Version, encode};
use peppercove_push::wal::{LossCounts, WalLimits, WriteAheadLog};
use peppercove_push::{Sample, to_samples};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest head of an answer, in bytes.
const LONGEST_HEAD: usize = 16 << 10;

pub(crate) struct Pusher {
    settings: RemoteWriteSettings,
    backlog: WriteAheadLog,
    sender: RemoteWriteClient,
    background: BackgroundScheduler,
    lost: LossCounts,
    next_work: u64,
    next_take: u64,
    taking: bool,
    sending: bool,
}

impl Pusher {
    pub(crate) fn open(shell: &Server, settings: RemoteWriteSettings) -> io::Result<Pusher> {
        let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        let bounds = WalLimits {
            bytes: settings.wal_max_bytes,
            segment: (settings.wal_max_bytes / 16).max(1 << 10),
            age: i64::try_from(settings.wal_max_age.as_millis()).unwrap_or(i64::MAX),
        };
        let backlog = WriteAheadLog::open(&settings.wal_path, bounds)?;
        let version = if settings.prefers_v2 {
            Version::V2
        } else {
            Version::V1
        };
        let sender = ClientSettings {
            version,
            batch: settings.batch,
            min_backoff: micros(settings.retry_least),
            max_backoff: micros(settings.retry_most),
            per_second: settings.per_second,
        };
        let now = shell.clock.now();
        let (calm, pressed) = (micros(settings.calm_below), micros(settings.pressed_from));
        let shares = budget::settings(settings.cpu_share, settings.pressed_share, calm, pressed);
        Ok(Pusher {
            sender: RemoteWriteClient::new(sender, now, fastrand::u64(..)),
            background: BackgroundScheduler::new(shares, fastrand::u64(..)),
            // Scattered, so that controllers that start together do not all push together.
            next_take: now + fastrand::u64(0..=micros(settings.interval)),
            settings,
            backlog,
            lost: LossCounts::default(),
            next_work: 0,
            taking: false,
            sending: false,
        })
    }

    pub(crate) async fn keep(mut self, shell: Rc<Server>) {
        let (told, mut outcomes) = mpsc::channel::<(WorkId, usize, RequestOutcome)>(1);
        loop {
            let due = tokio::time::Instant::now() + Duration::from_micros(LAG_CHECK_INTERVAL);
            let mut actions = Vec::new();
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    let late = due.elapsed();
                    shell.figures.set(names::EVENT_LOOP_LAG, &[], late.as_secs_f64());
                    let late = u64::try_from(late.as_micros()).unwrap_or(u64::MAX);
                    actions.extend(self.background.handle(shell.clock.now(), Event::PlacementLatency(late)));
                }
                Some((work, count, outcome)) = outcomes.recv() => {
                    actions.extend(self.answered(&shell, work, count, outcome));
                }
            }
            actions.extend(self.submit_due(&shell));
            while let Some(action) = actions.pop() {
                if let Action::Start(work) = action {
                    actions.extend(self.start(&shell, work, &told));
                }
            }
        }
    }

    /// Asks for the work that is due: figures to be taken, a batch to be sent.
    fn submit_due(&mut self, shell: &Server) -> Vec<Action> {
        let now = shell.clock.now();
        let mut actions = Vec::new();
        if !self.taking && now >= self.next_take {
            self.taking = true;
            actions.extend(self.submit(now, PushTask::Collect));
        }
        if !self.sending && self.backlog.bytes() > 0 {
            self.sending = true;
            actions.extend(self.submit(now, PushTask::Send));
        }
        actions
    }

    fn submit(&mut self, now: u64, duty: PushTask) -> Vec<Action> {
        // The number of a work names its class, so that a start needs no table.
        self.next_work += 1;
        let (class, cost) = (duty.class(), duty.expected());
        let work = WorkId(self.next_work * 2 + class as u64);
        self.background.handle(
            now,
            Event::Submit {
                work,
                class,
                cost,
                deadline: None,
            },
        )
    }

    fn start(
        &mut self,
        shell: &Rc<Server>,
        work: WorkId,
        told: &mpsc::Sender<(WorkId, usize, RequestOutcome)>,
    ) -> Vec<Action> {
        let began = Instant::now();
        if work.0 % 2 == PushTask::Collect as u64 {
            self.take(shell);
            return self.finish(shell, work, began.elapsed());
        }
        let now = shell.clock.now();
        let waiting = self.backlog.peek(millis(now), self.settings.batch);
        self.count_lost(shell);
        let NextStep::Send(count, version) = self.sender.next(now, waiting.len()) else {
            return self.finish(shell, work, began.elapsed());
        };
        let decode =
            |r: &peppercove_push::wal::Record| postcard::from_bytes::<Sample>(&r.payload).ok();
        let batch: Vec<Sample> = waiting[..count].iter().filter_map(decode).collect();
        let body = encode(version, &batch);
        let (settings, told) = (self.settings.clone(), told.clone());
        spawn_local(async move {
            let request = post(&settings, version, &body);
            let outcome = timeout(settings.timeout, request).await;
            let outcome = outcome
                .unwrap_or(Ok(RequestOutcome::NoAnswer))
                .unwrap_or(RequestOutcome::NoAnswer);
            let _ = told.send((work, count, outcome)).await;
        });
        Vec::new()
    }

    fn finish(&mut self, shell: &Server, work: WorkId, took: Duration) -> Vec<Action> {
        if work.0 % 2 == PushTask::Collect as u64 {
            self.taking = false;
        } else {
            self.sending = false;
        }
        let cost = Cost {
            cpu: took.as_micros() as f64,
            bytes: 0.0,
            requests: 0.0,
        };
        self.background
            .handle(shell.clock.now(), Event::Completed(work, cost))
    }

    fn take(&mut self, shell: &Server) {
        let now = shell.clock.now();
        let every = u64::try_from(self.settings.interval.as_micros()).unwrap_or(u64::MAX);
        self.next_take = self
            .next_take
            .max(now.saturating_sub(every))
            .saturating_add(every);
        shell
            .figures
            .set(names::WAL_BYTES, &[], self.backlog.bytes() as f64);
        let mut external = vec![("instance".to_owned(), shell.config.name.clone())];
        external.extend(self.settings.labels.iter().cloned());
        let made = to_samples(
            &shell.figures.gather(shell),
            &external,
            millis(now),
            millis(shell.clock.began()),
        );
        for sample in &made {
            let bytes = postcard::to_stdvec(sample).unwrap_or_default();
            self.backlog.append(sample.timestamp_ms, &bytes);
        }
        // Told with the next ones: a figure cannot hold the push that carries it.
        shell
            .figures
            .add(names::PUSHED, &["made"], made.len() as f64);
        self.count_lost(shell);
    }

    /// What the backlog lost since it was looked at last.
    fn count_lost(&mut self, shell: &Server) {
        let (now, was) = (self.backlog.lost(), self.lost);
        self.lost = now;
        for (reason, more) in [
            ("dropped-room", now.room - was.room),
            ("dropped-age", now.age - was.age),
            ("dropped-damaged", now.damaged - was.damaged),
            ("dropped-unwritten", now.unwritten - was.unwritten),
        ] {
            shell.figures.add(names::PUSHED, &[reason], more as f64);
        }
    }

    fn answered(
        &mut self,
        shell: &Server,
        work: WorkId,
        count: usize,
        outcome: RequestOutcome,
    ) -> Vec<Action> {
        let began = Instant::now();
        let status = match outcome {
            RequestOutcome::Status(status, _) => status.to_string(),
            RequestOutcome::NoAnswer => "no-answer".into(),
        };
        shell.figures.add(names::PUSHES, &[&status], 1.0);
        match self.sender.on_outcome(shell.clock.now(), outcome) {
            BatchDisposition::Done(done) => {
                debug_assert_eq!(done, count);
                self.backlog.acknowledge(done);
                shell.figures.add(names::PUSHED, &["pushed"], done as f64);
            }
            BatchDisposition::Drop => {
                self.backlog.acknowledge(1);
                tracing::warn!(
                    status,
                    "the receiver refuses a sample for good; it is dropped"
                );
                shell.figures.add(names::PUSHED, &["dropped-refused"], 1.0);
            }
            BatchDisposition::Keep => {}
        }
        self.finish(shell, work, began.elapsed())
    }
}

fn millis(micros: u64) -> i64 {
    i64::try_from(micros / 1_000).unwrap_or(i64::MAX)
}

/// One request on a connection of its own.
async fn post(
    settings: &RemoteWriteSettings,
    version: Version,
    body: &[u8],
) -> io::Result<RequestOutcome> {
    let mut stream = TcpStream::connect(settings.receiver).await?;
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nUser-Agent: peppercove/{}\r\nContent-Type: {}\r\nContent-Encoding: {ENCODING}\r\n\
         X-Prometheus-Remote-Write-Version: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        settings.path,
        settings.receiver,
        env!("CARGO_PKG_VERSION"),
        version.content_type(),
        version.header(),
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    let mut answer = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&answer) {
            Ok(httparse::Status::Complete(_)) => {
                let status = response.code.unwrap_or(0);
                let named = |h: &&httparse::Header<'_>| h.name.eq_ignore_ascii_case("retry-after");
                let after = response
                    .headers
                    .iter()
                    .find(named)
                    .and_then(|h| std::str::from_utf8(h.value).ok());
                // A date is not read: it would trust the receiver's clock. The growing waits stand then.
                let after = after
                    .and_then(|v| v.trim().parse::<u64>().ok())
                    .map(|s| s.saturating_mul(1_000_000));
                return Ok(RequestOutcome::Status(status, after));
            }
            Ok(httparse::Status::Partial) if answer.len() < LONGEST_HEAD => {}
            _ => return Err(io::Error::other("no answer of HTTP")),
        }
        if stream.read_buf(&mut answer).await? == 0 {
            return Err(io::Error::other("the answer broke off"));
        }
    }
}
