//! Names and numbers of DRMAA 1.0 (GFD.22, C binding GFD.133): errors, program states and control actions.

use serde::{Deserialize, Serialize};

macro_rules! numbered_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $number:literal $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum $name { $($(#[$vdoc])* $variant = $number,)* }
        impl $name {
            /// Every value, in the order of the specification.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];
            /// Returns the number in the C binding.
            pub fn number(self) -> i32 { self as i32 }
            /// Returns the name in the C binding.
            pub fn name(self) -> &'static str { match self { $($name::$variant => $text,)* } }
            /// Returns the value with a number, or `None` if there is none.
            pub fn from_number(number: i32) -> Option<$name> {
                $name::ALL.iter().copied().find(|v| v.number() == number)
            }
            /// Returns the value with a name, or `None` if there is none.
            pub fn from_name(name: &str) -> Option<$name> {
                $name::ALL.iter().copied().find(|v| v.name() == name)
            }
        }
    };
}

numbered_enum!(
    /// Error codes: GFD.133, section 3.1.
    Errno {
        /// Success.
        Success = 0 "DRMAA_ERRNO_SUCCESS",
        /// Unexpected or internal error.
        InternalError = 1 "DRMAA_ERRNO_INTERNAL_ERROR",
        /// Could not contact the DRM system.
        DrmCommunicationFailure = 2 "DRMAA_ERRNO_DRM_COMMUNICATION_FAILURE",
        /// The user is not authorized.
        AuthFailure = 3 "DRMAA_ERRNO_AUTH_FAILURE",
        /// An argument is invalid.
        InvalidArgument = 4 "DRMAA_ERRNO_INVALID_ARGUMENT",
        /// No session is active.
        NoActiveSession = 5 "DRMAA_ERRNO_NO_ACTIVE_SESSION",
        /// Out of memory.
        NoMemory = 6 "DRMAA_ERRNO_NO_MEMORY",
        /// The contact string is invalid.
        InvalidContactString = 7 "DRMAA_ERRNO_INVALID_CONTACT_STRING",
        /// No contact string was given, and there is no default.
        DefaultContactStringError = 8 "DRMAA_ERRNO_DEFAULT_CONTACT_STRING_ERROR",
        /// Several contact strings are available, and none is the default.
        NoDefaultContactStringSelected = 9 "DRMAA_ERRNO_NO_DEFAULT_CONTACT_STRING_SELECTED",
        /// Initialization of the session failed.
        DrmsInitFailed = 10 "DRMAA_ERRNO_DRMS_INIT_FAILED",
        /// A session is already active.
        AlreadyActiveSession = 11 "DRMAA_ERRNO_ALREADY_ACTIVE_SESSION",
        /// The session could not be closed.
        DrmsExitError = 12 "DRMAA_ERRNO_DRMS_EXIT_ERROR",
        /// An attribute has a wrong format.
        InvalidAttributeFormat = 13 "DRMAA_ERRNO_INVALID_ATTRIBUTE_FORMAT",
        /// An attribute has a wrong value.
        InvalidAttributeValue = 14 "DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE",
        /// Two attributes contradict each other.
        ConflictingAttributeValues = 15 "DRMAA_ERRNO_CONFLICTING_ATTRIBUTE_VALUES",
        /// The request cannot be served now; a retry may succeed.
        TryLater = 16 "DRMAA_ERRNO_TRY_LATER",
        /// Rejected by the DRM system; a retry will be rejected too.
        DeniedByDrm = 17 "DRMAA_ERRNO_DENIED_BY_DRM",
        /// The job does not exist in this session.
        InvalidJob = 18 "DRMAA_ERRNO_INVALID_JOB",
        /// The job's state does not allow resuming.
        ResumeInconsistentState = 19 "DRMAA_ERRNO_RESUME_INCONSISTENT_STATE",
        /// The job's state does not allow suspending.
        SuspendInconsistentState = 20 "DRMAA_ERRNO_SUSPEND_INCONSISTENT_STATE",
        /// The job's state does not allow holding.
        HoldInconsistentState = 21 "DRMAA_ERRNO_HOLD_INCONSISTENT_STATE",
        /// The job's state does not allow releasing.
        ReleaseInconsistentState = 22 "DRMAA_ERRNO_RELEASE_INCONSISTENT_STATE",
        /// The wait timed out.
        ExitTimeout = 23 "DRMAA_ERRNO_EXIT_TIMEOUT",
        /// No resource usage is available for the job.
        NoRusage = 24 "DRMAA_ERRNO_NO_RUSAGE",
        /// The end of a vector has been reached.
        NoMoreElements = 25 "DRMAA_ERRNO_NO_MORE_ELEMENTS",
    }
);

numbered_enum!(
    /// Program states: GFD.133, `drmaa_job_ps`.
    ProgramState {
        /// The state is not known.
        Undetermined = 0x00 "DRMAA_PS_UNDETERMINED",
        /// Queued and eligible to run.
        QueuedActive = 0x10 "DRMAA_PS_QUEUED_ACTIVE",
        /// Held by the system.
        SystemOnHold = 0x11 "DRMAA_PS_SYSTEM_ON_HOLD",
        /// Held by its user.
        UserOnHold = 0x12 "DRMAA_PS_USER_ON_HOLD",
        /// Held by both the system and its user.
        UserSystemOnHold = 0x13 "DRMAA_PS_USER_SYSTEM_ON_HOLD",
        /// Running.
        Running = 0x20 "DRMAA_PS_RUNNING",
        /// Suspended by the system.
        SystemSuspended = 0x21 "DRMAA_PS_SYSTEM_SUSPENDED",
        /// Suspended by its user.
        UserSuspended = 0x22 "DRMAA_PS_USER_SUSPENDED",
        /// Suspended by both the system and its user.
        UserSystemSuspended = 0x23 "DRMAA_PS_USER_SYSTEM_SUSPENDED",
        /// Finished normally.
        Done = 0x30 "DRMAA_PS_DONE",
        /// Finished, but failed.
        Failed = 0x40 "DRMAA_PS_FAILED",
    }
);

numbered_enum!(
    /// Control actions: GFD.133, `drmaa_control`.
    ControlAction {
        /// Suspend a running job.
        Suspend = 0 "DRMAA_CONTROL_SUSPEND",
        /// Resume a suspended job.
        Resume = 1 "DRMAA_CONTROL_RESUME",
        /// Hold a queued job.
        Hold = 2 "DRMAA_CONTROL_HOLD",
        /// Release a held job.
        Release = 3 "DRMAA_CONTROL_RELEASE",
        /// Terminate the job.
        Terminate = 4 "DRMAA_CONTROL_TERMINATE",
    }
);

/// Names of the required scalar attributes of a job template: GFD.133, section 3.2.2.
pub const SCALAR_ATTRIBUTES: &[&str] = &[
    "drmaa_remote_command",
    "drmaa_js_state",
    "drmaa_wd",
    "drmaa_job_category",
    "drmaa_native_specification",
    "drmaa_block_email",
    "drmaa_start_time",
    "drmaa_job_name",
    "drmaa_input_path",
    "drmaa_output_path",
    "drmaa_error_path",
    "drmaa_join_files",
];
/// Names of the required vector attributes of a job template.
pub const VECTOR_ATTRIBUTES: &[&str] = &["drmaa_v_argv", "drmaa_v_env", "drmaa_v_email"];

/// Job id that denotes all jobs of the session in `drmaa_control` and `drmaa_synchronize`.
pub const ALL_JOBS: &str = "DRMAA_JOB_IDS_SESSION_ALL";
/// Job id that denotes any job of the session in `drmaa_wait`.
pub const ANY_JOB: &str = "DRMAA_JOB_IDS_SESSION_ANY";
