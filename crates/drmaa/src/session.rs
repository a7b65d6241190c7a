//! A session: where jobs are submitted, and how they are found again.

use crate::connection::{ANSWER, Connection, Failure};
use crate::{
    ALL_JOBS, ANY_JOB, ControlAction, Errno, Error, JobInfo, JobTemplate, PlacementResult,
    ProgramState,
};
use peppercove_protocol::drmaa::{SCALAR_ATTRIBUTES, VECTOR_ATTRIBUTES};
use peppercove_protocol::native;
use peppercove_protocol::rpc::Category;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest single wait at a controller: one that died is noticed after this.
const TURN: Duration = Duration::from_secs(5);
/// Between two tries to reach a controller that is away.
const PAUSE: Duration = Duration::from_millis(100);

/// Names of the scalar attributes that a job template may have (`drmaa_get_attribute_names`).
pub fn wanted_attributes() -> &'static [&'static str] {
    SCALAR_ATTRIBUTES
}

/// Names of the vector attributes (`drmaa_get_vector_attribute_names`).
pub fn wanted_vectors() -> &'static [&'static str] {
    VECTOR_ATTRIBUTES
}

/// One controller of the contact.
struct Endpoint {
    address: SocketAddr,
    idle: Vec<Connection>,
    /// Its name and life, as it said last.
    known: Option<(String, u64)>,
}

/// A job as this session submitted it.
#[derive(Clone)]
struct Submitted {
    endpoint: usize,
    /// Its id at its controller now.
    id: String,
    life: u64,
    key: String,
    template: JobTemplate,
}

struct Shared {
    endpoints: Vec<Endpoint>,
    /// Where the next job goes.
    current: usize,
    jobs: BTreeMap<String, Submitted>,
    categories: BTreeMap<String, Category>,
    default_category: String,
    drm_system: String,
    implementation: String,
    submitted: u64,
}

/// A DRMAA session, from `drmaa_init` to `drmaa_exit`.
pub struct Session {
    contact: String,
    name: String,
    shared: Mutex<Shared>,
}

impl Session {
    /// `drmaa_init`: opens a session at the first controller of the contact that answers.
    ///
    /// The contact is one or several `host:port`, separated by commas.
    ///
    /// # Errors
    /// `InvalidContactString` where it names none, `DrmCommunicationFailure` where none answers.
    pub fn init(contact: &str) -> Result<Session, Error> {
        let name = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
        Session::resume(contact, &name)
    }

    /// Opens a session by the name of an earlier one, to wait on for its jobs.
    ///
    /// # Errors
    /// As [`Session::init`].
    pub fn resume(contact: &str, name: &str) -> Result<Session, Error> {
        let endpoints = addresses(contact)?;
        let shared = Shared {
            endpoints,
            current: 0,
            jobs: BTreeMap::new(),
            categories: BTreeMap::new(),
            default_category: String::new(),
            drm_system: String::new(),
            implementation: String::new(),
            submitted: 0,
        };
        let session = Session {
            contact: contact.into(),
            name: name.into(),
            shared: Mutex::new(shared),
        };
        let mut failures = Vec::new();
        let count = session.lock().endpoints.len();
        for i in 0..count {
            match session.connect(i) {
                Ok(connection) => {
                    session.lock().current = i;
                    session.give_back(i, connection);
                    return Ok(session);
                }
                Err(Failure::Answered(error)) => return Err(error),
                Err(Failure::NotSent(what) | Failure::Unknown(what)) => failures.push(what),
            }
        }
        Err(Error::new(
            Errno::DrmCommunicationFailure,
            failures.join("; "),
        ))
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        // What it holds is valid after every statement, so a panic elsewhere harms nothing here.
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its name, for [`Session::resume`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// `drmaa_get_contact`.
    pub fn contact(&self) -> &str {
        &self.contact
    }

    /// `drmaa_get_DRM_system`.
    pub fn drm_system(&self) -> String {
        self.lock().drm_system.clone()
    }

    /// `drmaa_get_DRMAA_implementation`.
    pub fn implementation(&self) -> String {
        self.lock().implementation.clone()
    }

    // ---- Connections ----

    fn connect(&self, endpoint: usize) -> Result<Connection, Failure> {
        let mut shared = self.lock();
        if let Some(idle) = shared.endpoints[endpoint].idle.pop() {
            return Ok(idle);
        }
        let address = shared.endpoints[endpoint].address;
        drop(shared);
        let connection = Connection::open(address, &self.name)?;
        let mut shared = self.lock();
        let info = &connection.info;
        shared.endpoints[endpoint].known = Some((info.controller.clone(), info.incarnation));
        shared.categories.clone_from(&info.categories);
        shared.default_category.clone_from(&info.default_category);
        shared.drm_system.clone_from(&info.drm_system);
        shared.implementation.clone_from(&info.implementation);
        Ok(connection)
    }

    fn give_back(&self, endpoint: usize, connection: Connection) {
        let idle = &mut self.lock().endpoints[endpoint].idle;
        if idle.len() < 16 {
            idle.push(connection);
        }
    }

    /// Makes a call. An idle connection may have broken since, so a call without effect is made once more.
    fn call_at(
        &self,
        endpoint: usize,
        method: &str,
        params: &Value,
        within: Duration,
    ) -> Result<(Value, u64), Failure> {
        let mut connection = self.connect(endpoint)?;
        let life = connection.info.incarnation;
        match connection.call(method, params.clone(), within) {
            Ok(value) => {
                self.give_back(endpoint, connection);
                Ok((value, life))
            }
            Err(Failure::Answered(error)) => {
                self.give_back(endpoint, connection);
                Err(Failure::Answered(error))
            }
            Err(failure) => {
                // The others that are idle are as old.
                self.lock().endpoints[endpoint].idle.clear();
                Err(failure)
            }
        }
    }

    fn settle(&self) -> Duration {
        let most = self
            .lock()
            .categories
            .values()
            .map(|c| c.settle_ms)
            .max()
            .unwrap_or(0);
        Duration::from_millis(most)
    }

    /// A second start of such a job does no harm.
    fn is_safe(&self, template: &JobTemplate) -> bool {
        let shared = self.lock();
        let spec = template
            .get("drmaa_native_specification")
            .unwrap_or_default();
        let named = native::parse(spec).ok().and_then(|n| n.class);
        let category = template
            .get("drmaa_job_category")
            .unwrap_or(&shared.default_category);
        shared
            .categories
            .get(named.as_deref().unwrap_or(category))
            .is_some_and(|c| c.is_idempotent)
    }

    // ---- Submission ----

    /// `drmaa_run_job`.
    ///
    /// # Errors
    /// What the controller says of the template; `TryLater` with the time where it is full; where its answer was
    /// lost and the job must not run twice, `DrmCommunicationFailure`.
    pub fn run_job(&self, template: &JobTemplate) -> Result<String, Error> {
        let key = self.next_key();
        let params = json!({ "jobTemplate": template, "submissionKey": key });
        let (value, endpoint, life) = self.submit("runJob", &params, &key, template)?;
        let id: String = field(&value, "jobId")?;
        self.remember(&id, endpoint, life, &key, template);
        Ok(id)
    }

    /// `drmaa_run_bulk_jobs`: one job for each of `start`, `start + incr`, … up to `end`.
    ///
    /// # Errors
    /// As [`Session::run_job`]; all jobs are taken, or none.
    pub fn run_bulk_jobs(
        &self,
        template: &JobTemplate,
        start: i64,
        end: i64,
        incr: i64,
    ) -> Result<Vec<String>, Error> {
        let key = self.next_key();
        let params = json!({
            "jobTemplate": template, "submissionKey": key, "start": start, "end": end, "incr": incr,
        });
        let first = format!("{key}#{start}");
        let (value, endpoint, life) = self.submit("runBulkJobs", &params, &first, template)?;
        let ids: Vec<String> = field(&value, "jobIds")?;
        for (i, id) in ids.iter().enumerate() {
            let key = format!("{key}#{}", start + i as i64 * incr);
            self.remember(id, endpoint, life, &key, template);
        }
        Ok(ids)
    }

    fn next_key(&self) -> String {
        let mut shared = self.lock();
        shared.submitted += 1;
        format!("{}-{}", shared.submitted, fastrand::u32(..))
    }

    fn remember(&self, id: &str, endpoint: usize, life: u64, key: &str, template: &JobTemplate) {
        let job = Submitted {
            endpoint,
            id: id.into(),
            life,
            key: key.into(),
            template: template.clone(),
        };
        self.lock().jobs.insert(id.into(), job);
    }

    fn submit(
        &self,
        method: &str,
        params: &Value,
        key: &str,
        template: &JobTemplate,
    ) -> Result<(Value, usize, u64), Error> {
        let (first, count) = {
            let shared = self.lock();
            (shared.current, shared.endpoints.len())
        };
        let mut failures = Vec::new();
        for i in 0..count {
            let endpoint = (first + i) % count;
            match self.call_at(endpoint, method, params, ANSWER) {
                Ok((value, life)) => {
                    self.lock().current = endpoint;
                    return Ok((value, endpoint, life));
                }
                Err(Failure::Answered(error)) => return Err(error),
                Err(Failure::NotSent(what)) => failures.push(what),
                Err(Failure::Unknown(what)) => {
                    match self.submit_again(endpoint, method, params, key) {
                        Some(Ok((value, life))) => return Ok((value, endpoint, life)),
                        Some(Err(error)) => return Err(error),
                        // It may have been taken in; elsewhere it would be another job.
                        None if !self.is_safe(template) => {
                            let what = format!("the job may have been submitted: {what}");
                            return Err(Error::new(Errno::DrmCommunicationFailure, what));
                        }
                        None => failures.push(what),
                    }
                }
            }
        }
        Err(Error::new(
            Errno::DrmCommunicationFailure,
            failures.join("; "),
        ))
    }

    /// A submission whose answer was lost, made again under its key. The same life of the controller gives the
    /// same job; another one knows it only if a node runs it. `None` where the fate of the first stays unknown.
    fn submit_again(
        &self,
        endpoint: usize,
        method: &str,
        params: &Value,
        key: &str,
    ) -> Option<Result<(Value, u64), Error>> {
        let was = self.lock().endpoints[endpoint].known.clone();
        let end = Instant::now() + self.settle();
        loop {
            let same = match self.connect(endpoint) {
                Ok(connection) => {
                    let same = was
                        .as_ref()
                        .is_some_and(|(_, life)| *life == connection.info.incarnation);
                    self.give_back(endpoint, connection);
                    Some(same)
                }
                Err(_) => None,
            };
            let made = match same {
                Some(true) => self.call_at(endpoint, method, params, ANSWER),
                Some(false) => {
                    let find = json!({ "submissionKey": key });
                    // A restarted controller finds a bulk job by its first index only; its others follow by key.
                    self.call_at(endpoint, "findJob", &find, ANSWER)
                }
                None => Err(Failure::NotSent(String::new())),
            };
            match made {
                Ok(found) => return Some(Ok(found)),
                Err(Failure::Answered(e)) if same == Some(true) => return Some(Err(e)),
                Err(_) if Instant::now() >= end => return None,
                Err(_) => std::thread::sleep(PAUSE),
            }
        }
    }

    // ---- Jobs ----

    fn find(&self, id: &str) -> Result<Submitted, Error> {
        let shared = self.lock();
        if let Some(job) = shared.jobs.get(id) {
            return Ok(job.clone());
        }
        // A job of an earlier session of this name: its controller is in its id.
        let own = |e: &Endpoint| {
            e.known.as_ref().is_some_and(|(n, _)| {
                id.strip_prefix(n.as_str())
                    .is_some_and(|r| r.starts_with('.'))
            })
        };
        let endpoint = shared.endpoints.iter().position(own);
        let endpoint = endpoint
            .ok_or_else(|| Error::new(Errno::InvalidJob, format!("there is no job '{id}'")))?;
        let life = shared.endpoints[endpoint]
            .known
            .as_ref()
            .map_or(0, |(_, life)| *life);
        let (key, template) = (String::new(), JobTemplate::default());
        Ok(Submitted {
            endpoint,
            id: id.into(),
            life,
            key,
            template,
        })
    }

    /// Makes a call about a job, wherever it has gone meanwhile.
    fn call_for(
        &self,
        id: &str,
        method: &str,
        extra: &Value,
        within: Duration,
        until: Option<Instant>,
    ) -> Result<Value, Error> {
        let give_up = Instant::now() + self.settle().max(ANSWER);
        let give_up = until.map_or(give_up, |u| u.max(give_up));
        loop {
            let job = self.find(id)?;
            let mut params = extra.clone();
            params["jobId"] = Value::from(job.id.clone());
            let what = match self.call_at(job.endpoint, method, &params, within) {
                Ok((value, _)) => return Ok(value),
                Err(Failure::Answered(e))
                    if e.errno == Errno::InvalidJob && self.is_elsewhere(&job) =>
                {
                    self.find_again(id, &job)?;
                    continue;
                }
                Err(Failure::Answered(error)) => return Err(error),
                Err(Failure::NotSent(what) | Failure::Unknown(what)) => what,
            };
            if Instant::now() >= give_up {
                return Err(Error::new(Errno::DrmCommunicationFailure, what));
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn is_elsewhere(&self, job: &Submitted) -> bool {
        let known = self.lock().endpoints[job.endpoint].known.clone();
        !job.key.is_empty() && known.is_some_and(|(_, life)| life != job.life)
    }

    /// The controller was restarted: it knows the job again if a node runs it. One that does no harm twice is
    /// submitted again; of another nothing more is known.
    fn find_again(&self, id: &str, job: &Submitted) -> Result<(), Error> {
        let end = Instant::now() + self.settle();
        let find = json!({ "submissionKey": job.key });
        loop {
            match self.call_at(job.endpoint, "findJob", &find, ANSWER) {
                Ok((value, life)) => {
                    self.moved(id, job.endpoint, field(&value, "jobId")?, life);
                    return Ok(());
                }
                Err(_) if Instant::now() < end => std::thread::sleep(PAUSE),
                Err(_) if self.is_safe(&job.template) => {
                    let params = json!({ "jobTemplate": job.template, "submissionKey": job.key });
                    let (value, endpoint, life) =
                        self.submit("runJob", &params, &job.key, &job.template)?;
                    self.moved(id, endpoint, field(&value, "jobId")?, life);
                    return Ok(());
                }
                Err(_) => {
                    let what = format!(
                        "the controller of job '{id}' was restarted, and nothing more is known of it"
                    );
                    return Err(Error::new(Errno::InvalidJob, what));
                }
            }
        }
    }

    fn moved(&self, id: &str, endpoint: usize, now: String, life: u64) {
        if let Some(job) = self.lock().jobs.get_mut(id) {
            (job.endpoint, job.id, job.life) = (endpoint, now, life);
        }
    }

    /// `drmaa_control`.
    ///
    /// # Errors
    /// What the controller says; the error of an inconsistent state is that of the action.
    pub fn control(&self, id: &str, action: ControlAction) -> Result<(), Error> {
        let extra = json!({ "action": action.name() });
        if id != ALL_JOBS {
            return self
                .call_for(id, "control", &extra, ANSWER, None)
                .map(|_| ());
        }
        let params = json!({ "jobId": ALL_JOBS, "action": action.name() });
        let endpoints: Vec<usize> = (0..self.lock().endpoints.len()).collect();
        self.at_each(&endpoints, "control", &params)
    }

    fn at_each(&self, endpoints: &[usize], method: &str, params: &Value) -> Result<(), Error> {
        for &endpoint in endpoints {
            match self.call_at(endpoint, method, params, ANSWER) {
                Ok(_) => {}
                Err(Failure::Answered(error)) => return Err(error),
                // A controller that is away holds nothing that can be acted on now, unless jobs went to it.
                Err(Failure::NotSent(what) | Failure::Unknown(what)) => {
                    if self.lock().jobs.values().any(|j| j.endpoint == endpoint) {
                        return Err(Error::new(Errno::DrmCommunicationFailure, what));
                    }
                }
            }
        }
        Ok(())
    }

    /// `drmaa_job_ps`.
    ///
    /// # Errors
    /// `InvalidJob` where it is not known.
    pub fn job_ps(&self, id: &str) -> Result<ProgramState, Error> {
        let value = self.call_for(id, "jobPs", &json!({}), ANSWER, None)?;
        let number: i32 = field(&value, "state")?;
        ProgramState::from_number(number)
            .ok_or_else(|| Error::new(Errno::InternalError, format!("no state {number}")))
    }

    /// Waits for the answer to a job's ask for a placing; `None` waits for ever.
    ///
    /// # Errors
    /// `ExitTimeout` when the time is over.
    pub fn outcome(&self, id: &str, timeout: Option<Duration>) -> Result<PlacementResult, Error> {
        let mut settled: PlacementResult = self.waited(id, "outcome", timeout)?;
        settled.job_id = id.into();
        Ok(settled)
    }

    /// `drmaa_wait`: waits until a job, or any job of the session, is done, and forgets it.
    ///
    /// # Errors
    /// `ExitTimeout` when the time is over, `InvalidJob` where there is none to wait for.
    pub fn wait(&self, id: &str, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        if id == ANY_JOB {
            return self.wait_any(timeout);
        }
        let mut finished: JobInfo = self.waited(id, "wait", timeout)?;
        finished.job_id = id.into();
        self.lock().jobs.remove(id);
        Ok(finished)
    }

    fn waited<T: DeserializeOwned>(
        &self,
        id: &str,
        method: &str,
        timeout: Option<Duration>,
    ) -> Result<T, Error> {
        let until = timeout.and_then(|t| Instant::now().checked_add(t));
        loop {
            let (turn, last) = turn(until);
            let extra = json!({ "timeoutMs": millis(turn) });
            match self.call_for(id, method, &extra, turn + ANSWER, until) {
                Ok(value) => return decode(value),
                Err(e) if e.errno == Errno::ExitTimeout && !last => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn wait_any(&self, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        let until = timeout.and_then(|t| Instant::now().checked_add(t));
        loop {
            let (mut endpoints, none) = {
                let shared = self.lock();
                let used: std::collections::BTreeSet<usize> =
                    shared.jobs.values().map(|j| j.endpoint).collect();
                (
                    used.into_iter().collect::<Vec<usize>>(),
                    shared.jobs.is_empty(),
                )
            };
            if none {
                endpoints.push(self.lock().current);
            }
            let (turn, mut last) = turn(until);
            // One controller is waited at for the whole turn; several take short turns.
            let share = if endpoints.len() > 1 {
                turn.min(Duration::from_millis(50))
            } else {
                turn
            };
            last &= share == turn;
            for endpoint in endpoints {
                let params = json!({ "jobId": ANY_JOB, "timeoutMs": millis(share) });
                match self.call_at(endpoint, "wait", &params, share + ANSWER) {
                    Ok((value, _)) => return self.reaped(decode(value)?),
                    Err(Failure::Answered(e)) if e.errno == Errno::ExitTimeout => {}
                    Err(Failure::Answered(e)) if e.errno == Errno::InvalidJob => {
                        self.none_left(endpoint, e)?
                    }
                    Err(Failure::Answered(e)) => return Err(e),
                    Err(Failure::NotSent(what) | Failure::Unknown(what)) => {
                        if until.is_some_and(|u| Instant::now() >= u) {
                            return Err(Error::new(Errno::DrmCommunicationFailure, what));
                        }
                        std::thread::sleep(PAUSE);
                    }
                }
            }
            if last {
                return Err(Error::new(Errno::ExitTimeout, "the time is over"));
            }
        }
    }

    /// A controller has no job of this session: those that went to it are found again, or known to be none.
    fn none_left(&self, endpoint: usize, error: Error) -> Result<(), Error> {
        let here: Vec<(String, Submitted)> = {
            let shared = self.lock();
            shared
                .jobs
                .iter()
                .filter(|(_, j)| j.endpoint == endpoint)
                .map(|(i, j)| (i.clone(), j.clone()))
                .collect()
        };
        if here.is_empty() {
            return Err(error);
        }
        for (id, job) in here {
            if !self.is_elsewhere(&job) {
                // Another thread has waited for it.
                self.lock().jobs.remove(&id);
            } else if let Err(error) = self.find_again(&id, &job) {
                self.lock().jobs.remove(&id);
                return Err(error);
            }
        }
        Ok(())
    }

    fn reaped(&self, mut finished: JobInfo) -> Result<JobInfo, Error> {
        let mut shared = self.lock();
        let ours = shared
            .jobs
            .iter()
            .find(|(_, j)| j.id == finished.job_id)
            .map(|(id, _)| id.clone());
        if let Some(id) = ours {
            shared.jobs.remove(&id);
            finished.job_id = id;
        }
        Ok(finished)
    }

    /// `drmaa_synchronize`: waits until all of the jobs are done.
    ///
    /// # Errors
    /// `ExitTimeout` when the time is over, `InvalidJob` where one is not known.
    pub fn synchronize(
        &self,
        ids: &[&str],
        timeout: Option<Duration>,
        dispose: bool,
    ) -> Result<(), Error> {
        let until = timeout.and_then(|t| Instant::now().checked_add(t));
        let ids: Vec<String> = if ids.contains(&ALL_JOBS) {
            self.lock().jobs.keys().cloned().collect()
        } else {
            ids.iter().map(|id| (*id).to_owned()).collect()
        };
        for id in &ids {
            loop {
                let (turn, last) = turn(until);
                let job = self.find(id)?;
                let params =
                    json!({ "jobIds": [job.id], "timeoutMs": millis(turn), "dispose": dispose });
                match self.call_at(job.endpoint, "synchronize", &params, turn + ANSWER) {
                    Ok(_) => break,
                    Err(Failure::Answered(e)) if e.errno == Errno::ExitTimeout && !last => {}
                    Err(Failure::Answered(e))
                        if e.errno == Errno::InvalidJob && self.is_elsewhere(&job) =>
                    {
                        self.find_again(id, &job)?;
                    }
                    Err(Failure::Answered(e)) => return Err(e),
                    Err(Failure::NotSent(what) | Failure::Unknown(what)) => {
                        if until.is_some_and(|u| Instant::now() >= u) {
                            return Err(Error::new(Errno::DrmCommunicationFailure, what));
                        }
                        std::thread::sleep(PAUSE);
                    }
                }
            }
            if dispose {
                self.lock().jobs.remove(id);
            }
        }
        Ok(())
    }

    /// `drmaa_exit`: ends the session; its jobs run on.
    ///
    /// # Errors
    /// None today; the specification allows for one.
    pub fn exit(self) -> Result<(), Error> {
        let mut shared = self.lock();
        for endpoint in &mut shared.endpoints {
            for mut connection in endpoint.idle.drain(..) {
                let _ = connection.call("exit", Value::Null, Duration::from_secs(1));
            }
        }
        Ok(())
    }
}

fn addresses(contact: &str) -> Result<Vec<Endpoint>, Error> {
    let invalid = |part: &str| {
        let what = format!("'{part}' is not host:port, as in 127.0.0.1:7070,127.0.0.1:7071");
        Error::new(Errno::InvalidContactString, what)
    };
    let mut endpoints = Vec::new();
    for part in contact.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let mut found = part.to_socket_addrs().map_err(|_| invalid(part))?;
        let address = found.next().ok_or_else(|| invalid(part))?;
        endpoints.push(Endpoint {
            address,
            idle: Vec::new(),
            known: None,
        });
    }
    if endpoints.is_empty() {
        Err(invalid(contact))
    } else {
        Ok(endpoints)
    }
}

/// How long to wait at a controller now, and whether the time is over after it.
fn turn(until: Option<Instant>) -> (Duration, bool) {
    match until.map(|u| u.saturating_duration_since(Instant::now())) {
        Some(left) if left <= TURN => (left, true),
        _ => (TURN, false),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn decode<T: DeserializeOwned>(value: Value) -> Result<T, Error> {
    serde_json::from_value(value)
        .map_err(|e| Error::new(Errno::InternalError, format!("unexpected result: {e}")))
}

fn field<T: DeserializeOwned>(value: &Value, name: &str) -> Result<T, Error> {
    let found = value.get(name).cloned().unwrap_or_default();
    serde_json::from_value(found)
        .map_err(|e| Error::new(Errno::InternalError, format!("{name}: {e}")))
}
