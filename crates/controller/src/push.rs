//! Pushing the figures: taken, kept on disk and sent as background work, which gives way to placing.

use crate::shell::Server;
use peppercove_background::{Action, Background, Cost, Event, WorkId};
use peppercove_config::Push;
use peppercove_metrics as names;
use peppercove_push::backlog::{Backlog, Bounds, Lost};
use peppercove_push::encode::{ENCODING, Version, encode};
use peppercove_push::sender::{Outcome, Sender, Settings, Step, Verdict};
use peppercove_push::shares::{self, Duty, LOOK};
use peppercove_push::{Sample, samples};
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
    settings: Push,
    backlog: Backlog,
    sender: Sender,
    background: Background,
    lost: Lost,
    next_work: u64,
    next_take: u64,
    taking: bool,
    sending: bool,
}

impl Pusher {
    pub(crate) fn open(shell: &Server, settings: Push) -> io::Result<Pusher> {
        let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        let bounds = Bounds {
            bytes: settings.backlog_bytes,
            segment: (settings.backlog_bytes / 16).max(1 << 10),
            age: i64::try_from(settings.backlog_age.as_millis()).unwrap_or(i64::MAX),
        };
        let backlog = Backlog::open(&settings.backlog, bounds)?;
        let version = if settings.second {
            Version::V2
        } else {
            Version::V1
        };
        let sender = Settings {
            version,
            batch: settings.batch,
            least: micros(settings.retry_least),
            most: micros(settings.retry_most),
            per_second: settings.per_second,
        };
        let now = shell.clock.now();
        let (calm, pressed) = (micros(settings.calm_below), micros(settings.pressed_from));
        let shares = shares::settings(settings.share, settings.pressed_share, calm, pressed);
        Ok(Pusher {
            sender: Sender::new(sender, now, fastrand::u64(..)),
            background: Background::new(shares, fastrand::u64(..)),
            // Scattered, so that controllers that start together do not all push together.
            next_take: now + fastrand::u64(0..=micros(settings.every)),
            settings,
            backlog,
            lost: Lost::default(),
            next_work: 0,
            taking: false,
            sending: false,
        })
    }

    pub(crate) async fn keep(mut self, shell: Rc<Server>) {
        let (told, mut outcomes) = mpsc::channel::<(WorkId, usize, Outcome)>(1);
        loop {
            let due = tokio::time::Instant::now() + Duration::from_micros(LOOK);
            let mut actions = Vec::new();
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    let late = due.elapsed();
                    shell.figures.set(names::LOOP_LATE, &[], late.as_secs_f64());
                    let late = u64::try_from(late.as_micros()).unwrap_or(u64::MAX);
                    actions.extend(self.background.handle(shell.clock.now(), Event::Placing(late)));
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
            actions.extend(self.submit(now, Duty::Take));
        }
        if !self.sending && self.backlog.bytes() > 0 {
            self.sending = true;
            actions.extend(self.submit(now, Duty::Send));
        }
        actions
    }

    fn submit(&mut self, now: u64, duty: Duty) -> Vec<Action> {
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
        told: &mpsc::Sender<(WorkId, usize, Outcome)>,
    ) -> Vec<Action> {
        let began = Instant::now();
        if work.0 % 2 == Duty::Take as u64 {
            self.take(shell);
            return self.finish(shell, work, began.elapsed());
        }
        let now = shell.clock.now();
        let waiting = self.backlog.peek(millis(now), self.settings.batch);
        self.count_lost(shell);
        let Step::Send(count, version) = self.sender.next(now, waiting.len()) else {
            return self.finish(shell, work, began.elapsed());
        };
        let decode =
            |r: &peppercove_push::backlog::Record| postcard::from_bytes::<Sample>(&r.payload).ok();
        let batch: Vec<Sample> = waiting[..count].iter().filter_map(decode).collect();
        let body = encode(version, &batch);
        let (settings, told) = (self.settings.clone(), told.clone());
        spawn_local(async move {
            let request = post(&settings, version, &body);
            let outcome = timeout(settings.timeout, request).await;
            let outcome = outcome
                .unwrap_or(Ok(Outcome::NoAnswer))
                .unwrap_or(Outcome::NoAnswer);
            let _ = told.send((work, count, outcome)).await;
        });
        Vec::new()
    }

    fn finish(&mut self, shell: &Server, work: WorkId, took: Duration) -> Vec<Action> {
        if work.0 % 2 == Duty::Take as u64 {
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
            .handle(shell.clock.now(), Event::Finished(work, cost))
    }

    fn take(&mut self, shell: &Server) {
        let now = shell.clock.now();
        let every = u64::try_from(self.settings.every.as_micros()).unwrap_or(u64::MAX);
        self.next_take = self
            .next_take
            .max(now.saturating_sub(every))
            .saturating_add(every);
        shell
            .figures
            .set(names::BACKLOG, &[], self.backlog.bytes() as f64);
        let mut external = vec![("instance".to_owned(), shell.config.name.clone())];
        external.extend(self.settings.labels.iter().cloned());
        let made = samples(
            &shell.figures.gather(shell),
            &external,
            millis(now),
            millis(shell.clock.began()),
        );
        for sample in &made {
            let bytes = postcard::to_stdvec(sample).unwrap_or_default();
            self.backlog.append(sample.at, &bytes);
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
        outcome: Outcome,
    ) -> Vec<Action> {
        let began = Instant::now();
        let status = match outcome {
            Outcome::Status(status, _) => status.to_string(),
            Outcome::NoAnswer => "no-answer".into(),
        };
        shell.figures.add(names::PUSHES, &[&status], 1.0);
        match self.sender.told(shell.clock.now(), outcome) {
            Verdict::Done(done) => {
                debug_assert_eq!(done, count);
                self.backlog.done(done);
                shell.figures.add(names::PUSHED, &["pushed"], done as f64);
            }
            Verdict::Drop => {
                self.backlog.done(1);
                tracing::warn!(
                    status,
                    "the receiver refuses a sample for good; it is dropped"
                );
                shell.figures.add(names::PUSHED, &["dropped-refused"], 1.0);
            }
            Verdict::Keep => {}
        }
        self.finish(shell, work, began.elapsed())
    }
}

fn millis(micros: u64) -> i64 {
    i64::try_from(micros / 1_000).unwrap_or(i64::MAX)
}

/// One request on a connection of its own.
async fn post(settings: &Push, version: Version, body: &[u8]) -> io::Result<Outcome> {
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
                return Ok(Outcome::Status(status, after));
            }
            Ok(httparse::Status::Partial) if answer.len() < LONGEST_HEAD => {}
            _ => return Err(io::Error::other("no answer of HTTP")),
        }
        if stream.read_buf(&mut answer).await? == 0 {
            return Err(io::Error::other("the answer broke off"));
        }
    }
}
