//! The front for DRMAA clients: connections, sessions, and JSON-RPC calls turned into inputs of the core.

use crate::job_template::prepare_submission;
use crate::server::Server;
use futures_util::{SinkExt, StreamExt};
use peppercove_core::{Control, Input, JobId, JobState, Output, Rejection};
use peppercove_metrics as names;
use peppercove_protocol::drmaa::{ALL_JOBS, ANY_JOB, ControlAction, Errno, ProgramState};
use peppercove_protocol::rpc::{self, RpcError, RpcRequest, RpcResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, timeout};
use tokio_util::codec::{Framed, LinesCodec, LinesCodecError};

/// One connection, as seen by who has something to say to it.
struct Connection {
    session: Option<String>,
    notify: bool,
    out: mpsc::Sender<String>,
    close: Rc<Notify>,
}

/// The connections, and who waits for which job.
#[derive(Default)]
pub(crate) struct Sessions {
    next: u64,
    connections: BTreeMap<u64, Connection>,
    by_session: BTreeMap<String, BTreeSet<u64>>,
    waiters: BTreeMap<JobId, Rc<Notify>>,
    any: BTreeMap<String, Rc<Notify>>,
}

impl Sessions {
    /// An ask was answered: those who asked to be told are told, once.
    pub(crate) fn settled(&mut self, session: &str, job: JobId, settled: rpc::PlacementResult) {
        if let Some(waiter) = self.waiters.get(&job) {
            waiter.notify_waiters();
        }
        let call = RpcRequest {
            jsonrpc: "2.0".into(),
            id: None,
            method: "settled".into(),
            params: serde_json::to_value(settled).unwrap_or_default(),
        };
        let line = serde_json::to_string(&call).unwrap_or_default();
        for id in self.by_session.get(session).into_iter().flatten() {
            if let Some(c) = self.connections.get(id).filter(|c| c.notify) {
                c.say(line.clone());
            }
        }
    }

    /// A job is done or failed.
    pub(crate) fn finished(&mut self, session: &str, job: JobId) {
        if let Some(waiter) = self.waiters.remove(&job) {
            waiter.notify_waiters();
        }
        if let Some(waiter) = self.any.get(session) {
            waiter.notify_waiters();
        }
    }

    fn waiter(&mut self, job: JobId) -> Rc<Notify> {
        self.waiters.entry(job).or_default().clone()
    }

    fn any_waiter(&mut self, session: &str) -> Rc<Notify> {
        self.any.entry(session.into()).or_default().clone()
    }

    fn open(&mut self, connection: Connection) -> u64 {
        self.next += 1;
        self.connections.insert(self.next, connection);
        self.next
    }

    fn join(&mut self, id: u64, session: &str, notify: bool) {
        self.leave(id);
        if let Some(c) = self.connections.get_mut(&id) {
            (c.session, c.notify) = (Some(session.into()), notify);
            self.by_session
                .entry(session.into())
                .or_default()
                .insert(id);
        }
    }

    fn leave(&mut self, id: u64) {
        let Some(c) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(session) = c.session.take()
            && let Some(ids) = self.by_session.get_mut(&session)
        {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_session.remove(&session);
                self.any.remove(&session);
            }
        }
    }

    fn shut(&mut self, id: u64) {
        self.leave(id);
        self.connections.remove(&id);
        // Waiters of calls that went with their connection.
        self.waiters.retain(|_, w| Rc::strong_count(w) > 1);
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn is_flushed(&self) -> bool {
        self.connections
            .values()
            .all(|c| c.out.capacity() == c.out.max_capacity())
    }

    pub(crate) fn close(&mut self) {
        for c in self.connections.values() {
            c.close.notify_one();
        }
    }
}

impl Connection {
    /// A client that does not read what it is told loses its connection, and nobody else does.
    fn say(&self, line: String) {
        if self.out.try_send(line).is_err() {
            self.close.notify_one();
        }
    }
}

/// Takes connections in, up to the bound.
pub(crate) async fn accept(shell: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely: others may close theirs.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let full = shell.sessions.borrow().connections.len() >= shell.config.limits.clients;
        let served = serve(shell.clone(), stream, full);
        spawn_local(served);
    }
}

async fn serve(shell: Rc<Server>, stream: TcpStream, full: bool) {
    let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(rpc::MAX_LINE_BYTES));
    if full {
        let fault = try_later(
            shell.config.limits.retry_after,
            "too many clients are connected",
        );
        let _ = timeout(
            Duration::from_secs(1),
            lines.send(reply(Value::Null, Err(fault))),
        )
        .await;
        return;
    }
    let (out, mut queue) = mpsc::channel(shell.config.limits.client_queue);
    let close = Rc::new(Notify::new());
    let connection = Connection {
        session: None,
        notify: false,
        out: out.clone(),
        close: close.clone(),
    };
    let id = shell.sessions.borrow_mut().open(connection);
    let mut calls = JoinSet::new();
    let mut begun: Option<Instant> = None;
    let idle = shell.config.limits.client_idle;
    let mut look = tokio::time::interval(idle / 2);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            biased;
            () = close.notified() => break,
            Some(line) = queue.recv() => {
                let write = async {
                    lines.feed(line).await?;
                    while let Ok(line) = queue.try_recv() {
                        lines.feed(line).await?;
                    }
                    SinkExt::<String>::flush(&mut lines).await
                };
                if !matches!(timeout(idle, write).await, Ok(Ok(()))) {
                    break;
                }
            }
            line = lines.next() => match line {
                Some(Ok(line)) => {
                    begun = None;
                    let busy = calls.len() >= shell.config.limits.pending_calls;
                    if let Some(answer) = take_line(&shell, id, &line, &out, &mut calls, busy)
                        && out.try_send(answer).is_err() {
                            break;
                        }
                }
                Some(Err(LinesCodecError::MaxLineLengthExceeded)) => {
                    let what = format!("a line of more than {} bytes", rpc::MAX_LINE_BYTES);
                    let fault = RpcError::rpc(rpc::PARSE_ERROR, what);
                    let _ = timeout(Duration::from_secs(1), lines.send(reply(Value::Null, Err(fault)))).await;
                    break;
                }
                Some(Err(LinesCodecError::Io(_))) | None => break,
            },
            Some(_) = calls.join_next(), if !calls.is_empty() => {}
            _ = look.tick() => {
                // A line begun must be finished in time; a connection that says nothing may stay. The reader does
                // not return for half a line, so it is looked at from here.
                let half = !lines.read_buffer().is_empty();
                begun = if half { begun.or_else(|| Some(Instant::now())) } else { None };
                if begun.is_some_and(|at| at.elapsed() >= idle) {
                    break;
                }
            }
        }
    }
    while let Ok(line) = queue.try_recv() {
        if !matches!(
            timeout(Duration::from_millis(200), lines.send(line)).await,
            Ok(Ok(()))
        ) {
            break;
        }
    }
    shell.sessions.borrow_mut().shut(id);
}

fn reply(id: Value, result: Result<Value, RpcError>) -> String {
    let (result, error) = match result {
        Ok(result) => (Some(result), None),
        Err(fault) => (None, Some(fault)),
    };
    serde_json::to_string(&RpcResponse {
        jsonrpc: "2.0".into(),
        id,
        result,
        error,
    })
    .unwrap_or_default()
}

fn try_later(after: Duration, message: &str) -> RpcError {
    let mut fault = RpcError::drmaa(
        Errno::TryLater,
        format!("{message}; come again in {} ms", after.as_millis()),
    );
    if let Some(data) = &mut fault.data {
        data.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
    }
    fault
}

/// Answers a line at once, or starts the call that waits and answers later.
fn take_line(
    shell: &Rc<Server>,
    connection: u64,
    line: &str,
    out: &mpsc::Sender<String>,
    calls: &mut JoinSet<()>,
    busy: bool,
) -> Option<String> {
    let value: Value = match serde_json::from_str(line) {
        Ok(value) => value,
        Err(e) => {
            return Some(reply(
                Value::Null,
                Err(RpcError::rpc(rpc::PARSE_ERROR, format!("not JSON: {e}"))),
            ));
        }
    };
    let id = value.get("id").cloned().unwrap_or_default();
    let call: RpcRequest = match serde_json::from_value(value) {
        Ok(call) => call,
        Err(e) => {
            return Some(reply(
                id,
                Err(RpcError::rpc(
                    rpc::INVALID_REQUEST,
                    format!("not a call: {e}"),
                )),
            ));
        }
    };
    if call.jsonrpc != "2.0" {
        return Some(reply(
            id,
            Err(RpcError::rpc(
                rpc::INVALID_REQUEST,
                "jsonrpc must be \"2.0\"",
            )),
        ));
    }
    let waits = matches!(call.method.as_str(), "wait" | "synchronize" | "outcome");
    if !waits {
        let result = answer(shell, connection, &call);
        return call.id.map(|id| reply(id, result));
    }
    if busy {
        let fault = try_later(
            shell.config.limits.retry_after,
            "too many calls of this connection wait",
        );
        return Some(reply(id, Err(fault)));
    }
    let (shell, out) = (shell.clone(), out.clone());
    calls.spawn_local(async move {
        let result = answer_waiting(&shell, connection, &call).await;
        // The queue is bounded by the calls that may wait, so there is room unless the client does not read.
        let _ = out.send(reply(id, result)).await;
    });
    None
}

fn params<T: DeserializeOwned>(call: &RpcRequest) -> Result<T, RpcError> {
    // GFD.133 gives every parameter a name, so only objects are read.
    let params = if call.params.is_null() {
        json!({})
    } else {
        call.params.clone()
    };
    serde_json::from_value(params).map_err(|e| {
        RpcError::rpc(
            rpc::INVALID_PARAMS,
            format!("parameters of {}: {e}", call.method),
        )
    })
}

fn result<T: Serialize>(value: T) -> Result<Value, RpcError> {
    serde_json::to_value(value).map_err(|e| RpcError::drmaa(Errno::InternalError, e.to_string()))
}

fn session_of(shell: &Server, connection: u64) -> Result<String, RpcError> {
    let sessions = shell.sessions.borrow();
    let session = sessions
        .connections
        .get(&connection)
        .and_then(|c| c.session.clone());
    session.ok_or_else(|| RpcError::drmaa(Errno::NoActiveSession, "init comes first"))
}

fn answer(shell: &Rc<Server>, connection: u64, call: &RpcRequest) -> Result<Value, RpcError> {
    match call.method.as_str() {
        "init" => init(shell, connection, &params(call)?),
        "exit" => {
            session_of(shell, connection)?;
            shell.sessions.borrow_mut().leave(connection);
            Ok(json!({}))
        }
        "runJob" => {
            let session = session_of(shell, connection)?;
            let p: rpc::RunJob = params(call)?;
            let job = submit(shell, &session, &p.submission_key, &p.job_template, None)?;
            Ok(json!({ "jobId": shell.job_name(job) }))
        }
        "runBulkJobs" => run_bulk(shell, &session_of(shell, connection)?, &params(call)?),
        "findJob" => {
            let session = session_of(shell, connection)?;
            let p: rpc::FindJob = params(call)?;
            let job = shell
                .core
                .borrow()
                .jobs()
                .by_key(&session, &p.submission_key);
            let none = || {
                RpcError::drmaa(
                    Errno::InvalidJob,
                    "no job of this session was submitted under that key",
                )
            };
            Ok(json!({ "jobId": shell.job_name(job.ok_or_else(none)?) }))
        }
        "control" => control(shell, &session_of(shell, connection)?, &params(call)?),
        "jobPs" => {
            let session = session_of(shell, connection)?;
            let p: rpc::JobRef = params(call)?;
            let job = own_job(shell, &session, &p.job_id)?;
            let core = shell.core.borrow();
            let state = core
                .jobs()
                .get(job)
                .map_or(ProgramState::Undetermined, |j| state_of(j.state));
            Ok(json!({ "state": state.number(), "name": state.name() }))
        }
        other => Err(RpcError::rpc(
            rpc::METHOD_NOT_FOUND,
            format!("there is no method '{other}'"),
        )),
    }
}

fn state_of(state: JobState) -> ProgramState {
    match state {
        JobState::OnHold => ProgramState::UserOnHold,
        JobState::Queued => ProgramState::QueuedActive,
        JobState::Running => ProgramState::Running,
        JobState::Suspended => ProgramState::UserSuspended,
        JobState::Done => ProgramState::Done,
        JobState::Failed => ProgramState::Failed,
    }
}

fn init(shell: &Server, connection: u64, p: &rpc::Init) -> Result<Value, RpcError> {
    if p.session.is_empty() || p.session.len() > 256 || p.session.contains('\n') {
        let what = "session must hold 1 to 256 bytes on one line";
        return Err(RpcError::drmaa(Errno::InvalidArgument, what));
    }
    let mut sessions = shell.sessions.borrow_mut();
    let known = sessions.by_session.contains_key(&p.session);
    if !known && sessions.by_session.len() >= shell.config.limits.sessions {
        return Err(try_later(
            shell.config.limits.retry_after,
            "too many sessions are open",
        ));
    }
    sessions.join(connection, &p.session, p.notify);
    let settle_ms = shell.config.scheduler.ambiguous_retry_delay.div_ceil(1000);
    let category = |(name, class): (&String, &peppercove::TaskClass)| {
        let safe = class.idempotency == peppercove::Idempotency::Idempotent;
        (
            name.clone(),
            rpc::Category {
                is_idempotent: safe,
                settle_ms,
            },
        )
    };
    result(rpc::SessionInfo {
        controller: shell.config.name.clone(),
        incarnation: shell.life,
        drm_system: "peppercove".into(),
        implementation: concat!("peppercove ", env!("CARGO_PKG_VERSION")).into(),
        default_category: shell.config.classes[usize::from(shell.config.default_class)].clone(),
        categories: shell
            .config
            .classes
            .iter()
            .zip(&shell.config.scheduler.classes)
            .map(category)
            .collect(),
    })
}

fn own_job(shell: &Server, session: &str, name: &str) -> Result<JobId, RpcError> {
    let core = shell.core.borrow();
    let job = shell.job_named(name).and_then(|id| core.jobs().get(id));
    let own = job
        .filter(|j| j.submission.session == session)
        .map(|j| j.id);
    own.ok_or_else(|| {
        RpcError::drmaa(
            Errno::InvalidJob,
            format!("there is no job '{name}' in this session"),
        )
    })
}

fn reason(why: Rejection) -> &'static str {
    match why {
        Rejection::LimitReached(_) => "full",
        Rejection::ShuttingDown(_) => "stopping",
        Rejection::OutcomeAmbiguous(_) => "in-doubt",
        Rejection::AlreadyRan => "ran-already",
        Rejection::OutcomeUnknown => "not-known",
        Rejection::RequestedElsewhere => "asked-elsewhere",
        Rejection::TaskInUse(_) => "task-taken",
        Rejection::NoSuchJob => "no-such-job",
        Rejection::InvalidState(_) => "wrong-state",
    }
}

fn turned_away(shell: &Server, why: Rejection, control: Option<Control>) -> RpcError {
    let micros = Duration::from_micros;
    match why {
        Rejection::LimitReached(after) => try_later(micros(after), "a bound is met"),
        Rejection::ShuttingDown(after) => try_later(micros(after), "the controller stops"),
        Rejection::OutcomeAmbiguous(after) => {
            try_later(micros(after), "an earlier attempt of the task may run")
        }
        Rejection::AlreadyRan => RpcError::drmaa(
            Errno::DeniedByDrm,
            "the task ran, or may have run, and must not be started twice",
        ),
        Rejection::RequestedElsewhere => {
            let what = "another controller was asked for the task before and may have started it: ask that one";
            RpcError::drmaa(Errno::DeniedByDrm, what)
        }
        Rejection::OutcomeUnknown => {
            let what = "the task was asked for before this controller started, which keeps no journal of what it sends";
            RpcError::drmaa(Errno::DeniedByDrm, what)
        }
        Rejection::TaskInUse(job) => {
            let what = format!(
                "the task is that of job {}, which is not finished",
                shell.job_name(job)
            );
            RpcError::drmaa(Errno::DeniedByDrm, what)
        }
        Rejection::NoSuchJob => RpcError::drmaa(Errno::InvalidJob, "there is no such job"),
        Rejection::InvalidState(state) => {
            let errno = match control {
                Some(Control::Suspend) => Errno::SuspendInconsistentState,
                Some(Control::Resume) => Errno::ResumeInconsistentState,
                Some(Control::Hold) => Errno::HoldInconsistentState,
                Some(Control::Release) => Errno::ReleaseInconsistentState,
                Some(Control::Terminate) | None => Errno::InvalidJob,
            };
            RpcError::drmaa(errno, format!("the job is {}", state_of(state).name()))
        }
    }
}

fn submit(
    shell: &Rc<Server>,
    session: &str,
    key: &str,
    template: &rpc::JobTemplate,
    index: Option<i64>,
) -> Result<JobId, RpcError> {
    // The same key again is the same job, whatever else the call says.
    if let Some(job) = shell.core.borrow().jobs().by_key(session, key) {
        return Ok(job);
    }
    let prepared =
        prepare_submission(&shell.config, session, key, template, index).inspect_err(|_| {
            shell
                .figures
                .add(names::SUBMISSIONS_REJECTED, &["invalid"], 1.0)
        })?;
    let ticket = shell.ticket();
    let class = prepared.submission.class;
    let submission = Box::new(prepared.submission);
    for output in shell.input(Input::Submit { ticket, submission }) {
        match output {
            Output::Accepted { ticket: t, job } if t == ticket => {
                shell
                    .figures
                    .add(names::SUBMISSIONS, &[shell.class_name(class)], 1.0);
                if let Some(at) = prepared.start_at {
                    release_at(shell, job, at);
                }
                return Ok(job);
            }
            Output::Rejected {
                ticket: t,
                reason: why,
            } if t == ticket => {
                shell
                    .figures
                    .add(names::SUBMISSIONS_REJECTED, &[reason(why)], 1.0);
                return Err(turned_away(shell, why, None));
            }
            _ => {}
        }
    }
    Err(RpcError::drmaa(
        Errno::InternalError,
        "the submission was left without an answer",
    ))
}

/// `drmaa_start_time`: the job is on hold until then.
fn release_at(shell: &Rc<Server>, job: JobId, at: i64) {
    let now = i64::try_from(shell.clock.now() / 1_000_000).unwrap_or(i64::MAX);
    let wait = Duration::from_secs(u64::try_from(at - now).unwrap_or(0));
    let shell = Rc::downgrade(shell);
    spawn_local(async move {
        tokio::time::sleep(wait).await;
        if let Some(shell) = shell.upgrade() {
            let ticket = shell.ticket();
            shell.input(Input::Control {
                ticket,
                job,
                control: Control::Release,
            });
        }
    });
}

fn run_bulk(shell: &Rc<Server>, session: &str, p: &rpc::RunBulkJobs) -> Result<Value, RpcError> {
    let invalid = |what: String| Err(RpcError::drmaa(Errno::InvalidArgument, what));
    if p.start < 1
        || p.incr == 0
        || (p.incr > 0) != (p.start <= p.end) && p.start != p.end
        || p.end < 1
    {
        return invalid(format!(
            "start {}, end {} and incr {} make no range",
            p.start, p.end, p.incr
        ));
    }
    let count = ((p.end - p.start) / p.incr + 1).unsigned_abs();
    if count > shell.config.limits.bulk_jobs as u64 {
        return invalid(format!(
            "{count} jobs are more than {} at once",
            shell.config.limits.bulk_jobs
        ));
    }
    if !shell.core.borrow().has_capacity(session, count as usize) {
        return Err(try_later(shell.config.limits.retry_after, "a bound is met"));
    }
    let mut jobs = Vec::new();
    for i in 0..count as i64 {
        let index = p.start + i * p.incr;
        let key = format!("{}#{index}", p.submission_key);
        match submit(shell, session, &key, &p.job_template, Some(index)) {
            Ok(job) => jobs.push(job),
            Err(fault) => {
                // All or none: what was taken in is ended again.
                for job in jobs {
                    let ticket = shell.ticket();
                    shell.input(Input::Control {
                        ticket,
                        job,
                        control: Control::Terminate,
                    });
                }
                return Err(fault);
            }
        }
    }
    let names: Vec<String> = jobs.into_iter().map(|j| shell.job_name(j)).collect();
    Ok(json!({ "jobIds": names }))
}

fn control(shell: &Rc<Server>, session: &str, p: &rpc::ControlJob) -> Result<Value, RpcError> {
    let action = ControlAction::from_name(&p.action).ok_or_else(|| {
        RpcError::drmaa(
            Errno::InvalidArgument,
            format!("there is no action '{}'", p.action),
        )
    })?;
    let control = match action {
        ControlAction::Suspend => Control::Suspend,
        ControlAction::Resume => Control::Resume,
        ControlAction::Hold => Control::Hold,
        ControlAction::Release => Control::Release,
        ControlAction::Terminate => Control::Terminate,
    };
    let all = p.job_id == ALL_JOBS;
    let jobs: Vec<JobId> = if all {
        let core = shell.core.borrow();
        core.jobs()
            .of_session(session)
            .filter(|j| !j.state.is_final())
            .map(|j| j.id)
            .collect()
    } else {
        vec![own_job(shell, session, &p.job_id)?]
    };
    let mut first_fault = None;
    for job in jobs {
        let ticket = shell.ticket();
        for output in shell.input(Input::Control {
            ticket,
            job,
            control,
        }) {
            if let Output::Rejected {
                ticket: t,
                reason: why,
            } = output
                && t == ticket
                && first_fault.is_none()
            {
                first_fault = Some(turned_away(shell, why, Some(control)));
            }
        }
    }
    first_fault.map_or(Ok(json!({})), Err)
}

// ---- Calls that wait ----

async fn answer_waiting(
    shell: &Server,
    connection: u64,
    call: &RpcRequest,
) -> Result<Value, RpcError> {
    let session = session_of(shell, connection)?;
    match call.method.as_str() {
        "wait" => {
            let p: rpc::Wait = params(call)?;
            wait(shell, &session, &p).await
        }
        "outcome" => {
            let p: rpc::Wait = params(call)?;
            outcome(shell, &session, &p).await
        }
        _ => {
            let p: rpc::Synchronize = params(call)?;
            synchronize(shell, &session, &p).await
        }
    }
}

/// Until when a call waits; `None` is for ever.
fn until(timeout_ms: Option<u64>) -> Option<Instant> {
    timeout_ms.and_then(|ms| Instant::now().checked_add(Duration::from_millis(ms)))
}

/// Waits for the notice until then; false when the time is over.
async fn noticed(notice: &Notify, until: Option<Instant>, check: impl Fn() -> bool) -> bool {
    let mut notified = std::pin::pin!(notice.notified());
    notified.as_mut().enable();
    if check() {
        return true;
    }
    match until {
        Some(at) => tokio::time::timeout_at(at, notified).await.is_ok(),
        None => {
            notified.await;
            true
        }
    }
}

fn timed_out() -> RpcError {
    RpcError::drmaa(Errno::ExitTimeout, "the time is over")
}

async fn wait(shell: &Server, session: &str, p: &rpc::Wait) -> Result<Value, RpcError> {
    let until = until(p.timeout_ms);
    if p.job_id != ANY_JOB {
        let job = own_job(shell, session, &p.job_id)?;
        until_finished(shell, job, until).await?;
        return reap(shell, job);
    }
    loop {
        let notice = shell.sessions.borrow_mut().any_waiter(session);
        let finished = || {
            let core = shell.core.borrow();
            core.jobs()
                .of_session(session)
                .find(|j| j.state.is_final())
                .map(|j| j.id)
        };
        if let Some(job) = finished() {
            return reap(shell, job);
        }
        if shell
            .core
            .borrow()
            .jobs()
            .of_session(session)
            .next()
            .is_none()
        {
            return Err(RpcError::drmaa(
                Errno::InvalidJob,
                "there is no job in this session",
            ));
        }
        if !noticed(&notice, until, || finished().is_some()).await {
            return Err(timed_out());
        }
    }
}

/// Gives what is known of a finished job, and forgets it: a job is waited for once.
fn reap(shell: &Server, job: JobId) -> Result<Value, RpcError> {
    let finished = shell
        .core
        .borrow()
        .jobs()
        .get(job)
        .map(|j| shell.finished_of(j));
    shell.input(Input::Dispose(job));
    match finished {
        Some(finished) => result(finished),
        None => Err(RpcError::drmaa(
            Errno::InvalidJob,
            "another call has waited for the job",
        )),
    }
}

async fn until_finished(
    shell: &Server,
    job: JobId,
    until: Option<Instant>,
) -> Result<(), RpcError> {
    // A job that is gone was reaped, so it was finished.
    let finished = || {
        shell
            .core
            .borrow()
            .jobs()
            .get(job)
            .is_none_or(|j| j.state.is_final())
    };
    while !finished() {
        let notice = shell.sessions.borrow_mut().waiter(job);
        if !noticed(&notice, until, finished).await {
            return Err(timed_out());
        }
    }
    Ok(())
}

async fn outcome(shell: &Server, session: &str, p: &rpc::Wait) -> Result<Value, RpcError> {
    let (job, until) = (own_job(shell, session, &p.job_id)?, until(p.timeout_ms));
    loop {
        let answer = || shell.core.borrow().jobs().get(job).map(|j| j.answer);
        match answer() {
            None => {
                return Err(RpcError::drmaa(
                    Errno::InvalidJob,
                    "the job was forgotten meanwhile",
                ));
            }
            Some(Some(answer)) => {
                let core = shell.core.borrow();
                let settled = core.jobs().get(job).map(|j| shell.settled_of(j, answer));
                return result(settled);
            }
            Some(None) => {}
        }
        let notice = shell.sessions.borrow_mut().waiter(job);
        if !noticed(&notice, until, || answer() != Some(None)).await {
            return Err(timed_out());
        }
    }
}

async fn synchronize(
    shell: &Server,
    session: &str,
    p: &rpc::Synchronize,
) -> Result<Value, RpcError> {
    let until = until(p.timeout_ms);
    let all = p.job_ids.iter().any(|j| j == ALL_JOBS);
    let jobs: Vec<JobId> = if all {
        shell
            .core
            .borrow()
            .jobs()
            .of_session(session)
            .map(|j| j.id)
            .collect()
    } else {
        p.job_ids
            .iter()
            .map(|name| own_job(shell, session, name))
            .collect::<Result<_, _>>()?
    };
    for job in &jobs {
        until_finished(shell, *job, until).await?;
    }
    if p.dispose {
        for job in jobs {
            shell.input(Input::Dispose(job));
        }
    }
    Ok(json!({}))
}
