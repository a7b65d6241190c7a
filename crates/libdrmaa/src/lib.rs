//! The C binding of DRMAA 1.0 (GFD.133) over the Rust client: `libdrmaa.so`, with `drmaa.h` beside it.
//!
//! The only package with `unsafe`: what comes in are pointers of C callers. Every function checks them for null,
//! copies what it reads, cuts what it writes to the caller's buffer, and returns an error number; none unwinds. One
//! session a process is active at a time, as the specification has it; all calls but `drmaa_init` and `drmaa_exit`
//! may come from any number of threads.
//!
//! # Safety
//! For all functions: a pointer that is not null points to what the header says: strings end with a zero byte,
//! buffers are as long as their length says, vectors of strings end with a null pointer, and handles come from this
//! library and were not given back.
#![allow(unsafe_code)]
#![allow(clippy::missing_safety_doc)]

use peppercove_drmaa::{
    ALL_JOBS, ANY_JOB, ControlAction, Errno, Error, JobInfo, JobTemplate, Session,
};
use std::ffi::{CStr, c_char, c_int, c_long, c_uint};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

static SESSION: RwLock<Option<Arc<Session>>> = RwLock::new(None);

/// A job template handle.
pub struct Template(Mutex<JobTemplate>);

/// A vector of strings handle; reading moves on.
pub struct Strings {
    values: Vec<String>,
    next: Mutex<usize>,
}

type Done = Result<(), Error>;

fn invalid(what: &str) -> Error {
    Error::new(Errno::InvalidArgument, what)
}

/// Runs a call; its error goes into the caller's buffer and its number is returned.
unsafe fn call(diagnosis: *mut c_char, length: usize, f: impl FnOnce() -> Done) -> c_int {
    let result = catch_unwind(AssertUnwindSafe(f))
        .unwrap_or_else(|_| Err(Error::new(Errno::InternalError, "a fault in the library")));
    match result {
        Ok(()) => Errno::Success.number(),
        Err(error) => {
            let mut text = error.message;
            if let Some(after) = error.retry_after {
                text += &format!(" (retry after {} ms)", after.as_millis());
            }
            // SAFETY: the caller's buffer is as long as it says.
            unsafe { write(diagnosis, length, &text) };
            error.errno.number()
        }
    }
}

/// Writes text into a buffer, cut to its length, always with an end.
unsafe fn write(to: *mut c_char, length: usize, text: &str) {
    if to.is_null() || length == 0 {
        return;
    }
    let bytes = text.as_bytes();
    let mut end = bytes.len().min(length - 1);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    // SAFETY: end is below length, so both fit into the caller's buffer.
    unsafe {
        std::ptr::copy_nonoverlapping(bytes.as_ptr().cast(), to, end);
        *to.add(end) = 0;
    }
}

/// Writes text that must not be cut.
unsafe fn write_whole(to: *mut c_char, length: usize, text: &str) -> Done {
    if to.is_null() || text.len() >= length {
        return Err(invalid(&format!(
            "a buffer of {} bytes or more is needed",
            text.len() + 1
        )));
    }
    // SAFETY: the text and its end fit.
    unsafe { write(to, length, text) };
    Ok(())
}

unsafe fn read(from: *const c_char, what: &str) -> Result<String, Error> {
    if from.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    // SAFETY: strings end with a zero byte.
    let text = unsafe { CStr::from_ptr(from) };
    text.to_str()
        .map(str::to_owned)
        .map_err(|_| invalid(&format!("{what} is not UTF-8")))
}

/// Reads a vector of strings that ends with a null pointer.
unsafe fn read_all(from: *const *const c_char, what: &str) -> Result<Vec<String>, Error> {
    if from.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    let mut values = Vec::new();
    loop {
        // SAFETY: the vector goes on until its null pointer.
        let next = unsafe { *from.add(values.len()) };
        if next.is_null() {
            return Ok(values);
        }
        // SAFETY: its elements are strings.
        values.push(unsafe { read(next, what) }?);
    }
}

unsafe fn give<T>(to: *mut T, value: T, what: &str) -> Done {
    if to.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    // SAFETY: the caller's place for a value of this type.
    unsafe { to.write(value) };
    Ok(())
}

unsafe fn handle<'a, T>(from: *const T, what: &str) -> Result<&'a T, Error> {
    // SAFETY: handles come from this library and were not given back.
    unsafe { from.as_ref() }.ok_or_else(|| invalid(&format!("{what} is null")))
}

fn strings(values: Vec<String>) -> *mut Strings {
    Box::into_raw(Box::new(Strings {
        values,
        next: Mutex::new(0),
    }))
}

fn session() -> Result<Arc<Session>, Error> {
    let session = SESSION
        .read()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    session.ok_or_else(|| Error::new(Errno::NoActiveSession, "drmaa_init comes first"))
}

// ---- Session ----

/// `drmaa_init`. A null contact is that of the environment variable `PEPPERCOVE_CONTACT`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_init(
    contact: *const c_char,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let mut active = SESSION.write().unwrap_or_else(PoisonError::into_inner);
            if active.is_some() {
                return Err(Error::new(
                    Errno::AlreadyActiveSession,
                    "a session is active",
                ));
            }
            let given = if contact.is_null() {
                String::new()
            } else {
                read(contact, "contact")?
            };
            let contact = if given.is_empty() {
                std::env::var("PEPPERCOVE_CONTACT").map_err(|_| {
                    let what = "no contact is given and PEPPERCOVE_CONTACT is not set";
                    Error::new(Errno::NoDefaultContactStringSelected, what)
                })?
            } else {
                given
            };
            *active = Some(Arc::new(Session::init(&contact)?));
            Ok(())
        })
    }
}

/// `drmaa_exit`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_exit(diagnosis: *mut c_char, length: usize) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let active = SESSION
                .write()
                .unwrap_or_else(PoisonError::into_inner)
                .take();
            let active =
                active.ok_or_else(|| Error::new(Errno::NoActiveSession, "no session is active"))?;
            // Calls of other threads that are under way end with their own errors.
            Arc::try_unwrap(active).map_or(Ok(()), Session::exit)
        })
    }
}

// ---- Job templates ----

/// `drmaa_allocate_job_template`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_allocate_job_template(
    jt: *mut *mut Template,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            session()?;
            if jt.is_null() {
                return Err(invalid("jt is null"));
            }
            give(
                jt,
                Box::into_raw(Box::new(Template(Mutex::default()))),
                "jt",
            )
        })
    }
}

/// `drmaa_delete_job_template`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_delete_job_template(
    jt: *mut Template,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            handle(jt, "jt")?;
            drop(Box::from_raw(jt));
            Ok(())
        })
    }
}

fn known(name: &str, names: &[&str]) -> Done {
    let unknown = || {
        invalid(&format!(
            "there is no attribute '{name}'; there are: {}",
            names.join(", ")
        ))
    };
    if names.contains(&name) {
        Ok(())
    } else {
        Err(unknown())
    }
}

fn scalars() -> &'static [&'static str] {
    peppercove_drmaa::attribute_names()
}

fn vectors() -> &'static [&'static str] {
    peppercove_drmaa::vector_attribute_names()
}

/// `drmaa_set_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_set_attribute(
    jt: *mut Template,
    name: *const c_char,
    value: *const c_char,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let template = handle(jt, "jt")?;
            let (name, value) = (read(name, "name")?, read(value, "value")?);
            known(&name, scalars())?;
            template
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .attributes
                .insert(name, value);
            Ok(())
        })
    }
}

/// `drmaa_get_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_attribute(
    jt: *mut Template,
    name: *const c_char,
    value: *mut c_char,
    value_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let template = handle(jt, "jt")?;
            let name = read(name, "name")?;
            known(&name, scalars())?;
            let template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
            let text = template.attributes.get(&name).map_or("", String::as_str);
            write_whole(value, value_length, text)
        })
    }
}

/// `drmaa_set_vector_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_set_vector_attribute(
    jt: *mut Template,
    name: *const c_char,
    value: *const *const c_char,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let template = handle(jt, "jt")?;
            let (name, values) = (read(name, "name")?, read_all(value, "value")?);
            known(&name, vectors())?;
            template
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .vectors
                .insert(name, values);
            Ok(())
        })
    }
}

/// `drmaa_get_vector_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_vector_attribute(
    jt: *mut Template,
    name: *const c_char,
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let template = handle(jt, "jt")?;
            let name = read(name, "name")?;
            known(&name, vectors())?;
            let template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
            let found = template.vectors.get(&name).cloned().unwrap_or_default();
            hand_out(values, found, "values")
        })
    }
}

unsafe fn hand_out(to: *mut *mut Strings, values: Vec<String>, what: &str) -> Done {
    if to.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    // SAFETY: just checked; the handle is given back by the release function.
    unsafe { give(to, strings(values), what) }
}

/// `drmaa_get_attribute_names`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_attribute_names(
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            session()?;
            hand_out(
                values,
                scalars().iter().map(|n| (*n).into()).collect(),
                "values",
            )
        })
    }
}

/// `drmaa_get_vector_attribute_names`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_vector_attribute_names(
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            session()?;
            hand_out(
                values,
                vectors().iter().map(|n| (*n).into()).collect(),
                "values",
            )
        })
    }
}

// ---- String vectors ----

unsafe fn next(values: *mut Strings, value: *mut c_char, length: usize) -> c_int {
    // SAFETY: by the contract of the callers.
    unsafe {
        call(std::ptr::null_mut(), 0, || {
            let strings = handle(values, "values")?;
            let mut at = strings.next.lock().unwrap_or_else(PoisonError::into_inner);
            let text = strings.values.get(*at);
            let text = text.ok_or_else(|| Error::new(Errno::NoMoreElements, "no more elements"))?;
            write_whole(value, length, text)?;
            *at += 1;
            Ok(())
        })
    }
}

unsafe fn count(values: *mut Strings, size: *mut usize) -> c_int {
    // SAFETY: by the contract of the callers.
    unsafe {
        call(std::ptr::null_mut(), 0, || {
            give(size, handle(values, "values")?.values.len(), "size")
        })
    }
}

unsafe fn release(values: *mut Strings) {
    if !values.is_null() {
        // SAFETY: handles come from this library and were not given back.
        drop(unsafe { Box::from_raw(values) });
    }
}

macro_rules! string_vector {
    ($next:ident, $count:ident, $release:ident) => {
        /// The next element; `DRMAA_ERRNO_NO_MORE_ELEMENTS` after the last.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $next(
            values: *mut Strings,
            value: *mut c_char,
            length: usize,
        ) -> c_int {
            unsafe { next(values, value, length) }
        }
        /// How many elements there are.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $count(values: *mut Strings, size: *mut usize) -> c_int {
            unsafe { count(values, size) }
        }
        /// Gives the vector back.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $release(values: *mut Strings) {
            unsafe { release(values) }
        }
    };
}
string_vector!(
    drmaa_get_next_attr_name,
    drmaa_get_num_attr_names,
    drmaa_release_attr_names
);
string_vector!(
    drmaa_get_next_attr_value,
    drmaa_get_num_attr_values,
    drmaa_release_attr_values
);
string_vector!(
    drmaa_get_next_job_id,
    drmaa_get_num_job_ids,
    drmaa_release_job_ids
);

// ---- Jobs ----

/// `drmaa_run_job`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_run_job(
    job_id: *mut c_char,
    job_id_length: usize,
    jt: *const Template,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            if job_id.is_null() || job_id_length == 0 {
                return Err(invalid("job_id is null or has no length"));
            }
            let template = handle(jt, "jt")?
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            let id = session()?.run_job(&template)?;
            write_whole(job_id, job_id_length, &id)
        })
    }
}

/// `drmaa_run_bulk_jobs`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_run_bulk_jobs(
    job_ids: *mut *mut Strings,
    jt: *const Template,
    start: c_int,
    end: c_int,
    incr: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            if job_ids.is_null() {
                return Err(invalid("jobids is null"));
            }
            let template = handle(jt, "jt")?
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            let ids = session()?.run_bulk_jobs(&template, start.into(), end.into(), incr.into())?;
            hand_out(job_ids, ids, "jobids")
        })
    }
}

/// `drmaa_control`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_control(
    job_id: *const c_char,
    action: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let id = read(job_id, "jobid")?;
            let action = ControlAction::from_number(action)
                .ok_or_else(|| invalid(&format!("there is no action {action}")))?;
            session()?.control(&id, action)
        })
    }
}

/// `drmaa_job_ps`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_job_ps(
    job_id: *const c_char,
    remote_ps: *mut c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let state = session()?.job_ps(&read(job_id, "job_id")?)?;
            give(remote_ps, state.number(), "remote_ps")
        })
    }
}

/// A time-out in seconds: -1 waits for ever, 0 does not wait.
fn time(seconds: c_long) -> Result<Option<Duration>, Error> {
    match seconds {
        -1 => Ok(None),
        s => u64::try_from(s)
            .map(|s| Some(Duration::from_secs(s)))
            .map_err(|_| invalid("the timeout is negative")),
    }
}

/// `drmaa_synchronize`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_synchronize(
    job_ids: *const *const c_char,
    timeout: c_long,
    dispose: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let ids = read_all(job_ids, "job_ids")?;
            let mut ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            if ids.contains(&ALL_JOBS) {
                ids = vec![ALL_JOBS];
            }
            session()?.synchronize(&ids, time(timeout)?, dispose != 0)
        })
    }
}

/// `drmaa_wait`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wait(
    job_id: *const c_char,
    job_id_out: *mut c_char,
    job_id_out_length: usize,
    stat: *mut c_int,
    timeout: c_long,
    rusage: *mut *mut Strings,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let id = read(job_id, "job_id")?;
            let id = if id == ANY_JOB { ANY_JOB } else { &id };
            let finished = session()?.wait(id, time(timeout)?)?;
            // Each place is the caller's choice: null means that it does not ask.
            write(job_id_out, job_id_out_length, &finished.job_id);
            if !stat.is_null() {
                stat.write(encode(&finished));
            }
            if !rusage.is_null() {
                let pairs = finished
                    .rusage
                    .iter()
                    .map(|(name, value)| format!("{name}={value}"));
                rusage.write(strings(pairs.collect()));
            }
            Ok(())
        })
    }
}

// ---- What `stat` means: opaque to callers, read by the functions below ----

const EXITED: c_int = 1;
const SIGNALLED: c_int = 2;
const ABORTED: c_int = 4;

fn encode(finished: &JobInfo) -> c_int {
    match (finished.exit_status, finished.signal) {
        (Some(status), _) => EXITED | (status & 0xff) << 8,
        (None, Some(signal)) => SIGNALLED | (signal & 0xff) << 8,
        (None, None) if finished.aborted => ABORTED,
        // Given up or lost with its node: it ran, and nobody knows how it ended.
        (None, None) => 0,
    }
}

unsafe fn flag(to: *mut c_int, set: bool, diagnosis: *mut c_char, length: usize) -> c_int {
    // SAFETY: by the contract of the callers.
    unsafe {
        call(diagnosis, length, || {
            give(to, c_int::from(set), "the result")
        })
    }
}

/// `drmaa_wifexited`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wifexited(
    exited: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe { flag(exited, stat & EXITED != 0, diagnosis, length) }
}

/// `drmaa_wexitstatus`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wexitstatus(
    exit_status: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            // Existing clients ask without having asked whether it exited; the value then means nothing.
            give(
                exit_status,
                if stat & EXITED == 0 {
                    0
                } else {
                    stat >> 8 & 0xff
                },
                "exit_status",
            )
        })
    }
}

/// `drmaa_wifsignaled`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wifsignaled(
    signaled: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe { flag(signaled, stat & SIGNALLED != 0, diagnosis, length) }
}

/// `drmaa_wtermsig`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wtermsig(
    signal: *mut c_char,
    signal_length: usize,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let name = match stat >> 8 & 0xff {
                // As for the exit status: asked for without a signal, the name is empty.
                _ if stat & SIGNALLED == 0 => String::new(),
                1 => "SIGHUP".into(),
                2 => "SIGINT".into(),
                3 => "SIGQUIT".into(),
                6 => "SIGABRT".into(),
                9 => "SIGKILL".into(),
                11 => "SIGSEGV".into(),
                15 => "SIGTERM".into(),
                other => format!("signal {other}"),
            };
            write_whole(signal, signal_length, &name)
        })
    }
}

/// `drmaa_wcoredump`: nodes tell of none.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wcoredump(
    core_dumped: *mut c_int,
    _stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe { flag(core_dumped, false, diagnosis, length) }
}

/// `drmaa_wifaborted`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wifaborted(
    aborted: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe { flag(aborted, stat & ABORTED != 0, diagnosis, length) }
}

// ---- What the library is ----

/// `drmaa_strerror`.
#[unsafe(no_mangle)]
pub extern "C" fn drmaa_strerror(number: c_int) -> *const c_char {
    let text: &'static CStr = match Errno::from_number(number) {
        Some(Errno::Success) => c"the call went well",
        Some(Errno::InternalError) => c"unexpected or internal error",
        Some(Errno::DrmCommunicationFailure) => c"no controller can be reached",
        Some(Errno::AuthFailure) => c"not authorized",
        Some(Errno::InvalidArgument) => c"an argument is invalid",
        Some(Errno::NoActiveSession) => c"no session is active",
        Some(Errno::NoMemory) => c"no memory",
        Some(Errno::InvalidContactString) => c"the contact string is invalid",
        Some(Errno::DefaultContactStringError) => c"the default contact string cannot be used",
        Some(Errno::NoDefaultContactStringSelected) => c"no contact string is given",
        Some(Errno::DrmsInitFailed) => c"the session cannot be opened",
        Some(Errno::AlreadyActiveSession) => c"a session is already active",
        Some(Errno::DrmsExitError) => c"the session cannot be closed",
        Some(Errno::InvalidAttributeFormat) => c"an attribute has a wrong format",
        Some(Errno::InvalidAttributeValue) => c"an attribute has a wrong value",
        Some(Errno::ConflictingAttributeValues) => c"attributes contradict each other",
        Some(Errno::TryLater) => c"not now; a retry may succeed",
        Some(Errno::DeniedByDrm) => c"rejected; it will never be accepted",
        Some(Errno::InvalidJob) => c"there is no such job",
        Some(Errno::ResumeInconsistentState) => c"the job's state does not allow resuming",
        Some(Errno::SuspendInconsistentState) => c"the job's state does not allow suspending",
        Some(Errno::HoldInconsistentState) => c"the job's state does not allow holding",
        Some(Errno::ReleaseInconsistentState) => c"the job's state does not allow releasing",
        Some(Errno::ExitTimeout) => c"the time is over",
        Some(Errno::NoRusage) => c"no usage was recorded",
        Some(Errno::NoMoreElements) => c"no more elements",
        None => c"no error of DRMAA",
    };
    text.as_ptr()
}

/// `drmaa_get_contact`: the contact in use, or the default one before `drmaa_init`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_contact(
    contact: *mut c_char,
    contact_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let text = match session() {
                Ok(session) => session.contact().to_owned(),
                Err(_) => std::env::var("PEPPERCOVE_CONTACT").unwrap_or_default(),
            };
            write_whole(contact, contact_length, &text)
        })
    }
}

/// `drmaa_version`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_version(
    major: *mut c_uint,
    minor: *mut c_uint,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let (is_major, is_minor) = peppercove_drmaa::VERSION;
            give(major, is_major, "major")?;
            give(minor, is_minor, "minor")
        })
    }
}

/// `drmaa_get_DRM_system`.
#[unsafe(no_mangle)]
#[allow(non_snake_case)]
pub unsafe extern "C" fn drmaa_get_DRM_system(
    system: *mut c_char,
    system_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let text = session().map_or_else(|_| "peppercove".into(), |s| s.drm_system());
            write_whole(system, system_length, &text)
        })
    }
}

/// `drmaa_get_DRMAA_implementation`.
#[unsafe(no_mangle)]
#[allow(non_snake_case)]
pub unsafe extern "C" fn drmaa_get_DRMAA_implementation(
    implementation: *mut c_char,
    implementation_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    unsafe {
        call(diagnosis, length, || {
            let text = concat!("peppercove libdrmaa ", env!("CARGO_PKG_VERSION"));
            write_whole(implementation, implementation_length, text)
        })
    }
}
