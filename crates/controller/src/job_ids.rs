//! Job ids as clients see them: `CONTROLLER.INCARNATION.NUMBER`, with the incarnation in hexadecimal.

use peppercove_core::JobId;

/// Formats and parses the job ids of one incarnation of a controller.
pub(crate) struct JobIds {
    controller: String,
    incarnation: u64,
}

impl JobIds {
    pub(crate) fn new(controller: &str, incarnation: u64) -> JobIds {
        JobIds {
            controller: controller.to_owned(),
            incarnation,
        }
    }

    pub(crate) fn format(&self, job: JobId) -> String {
        format!("{}.{:x}.{}", self.controller, self.incarnation, job.0)
    }

    /// Returns the job with this id, or `None` if the id does not belong to this incarnation.
    pub(crate) fn parse(&self, id: &str) -> Option<JobId> {
        let rest = id
            .strip_prefix(self.controller.as_str())?
            .strip_prefix('.')?;
        let (incarnation, number) = rest.split_once('.')?;
        let is_own = u64::from_str_radix(incarnation, 16).ok()? == self.incarnation;
        is_own.then_some(JobId(number.parse().ok()?))
    }
}
