//! Submissions at the controller: conversion to inputs of its core, and its replies to the clients.

use super::clients::{JobRequest, Reply};
use super::events::ProcessId;
use super::{Simulator, class_index};
use peppercove::{ServiceId, TaskKey};
use peppercove_core::{Answer, Input, JobId, Program, Rejection, Submission};
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::PlacementOutcome;
use xxhash_rust::xxh3::xxh3_64;

impl Simulator<'_> {
    /// Handles the arrival of a submission at a controller.
    pub(super) fn on_submission(&mut self, process: ProcessId, request: &JobRequest) {
        if !self.is_running(process) {
            return self.record_hazard("a controller dies before it reads a submission");
        }
        let submission = Box::new(self.to_submission(process.controller, request));
        // The core recognizes a repeated key as the same job. The ticket maps its reply back to the request.
        let ticket = ticket_of(&request.key);
        let input = Input::Submit { ticket, submission };
        self.input(process.controller, input);
    }

    fn to_submission(&self, controller: usize, request: &JobRequest) -> Submission {
        let config = &self.controllers[controller].config;
        let job = &request.job;
        let class = class_index(config, &job.class);
        let tenant = job.tenant.as_ref();
        let tenant = tenant.and_then(|tenant| config.tenants.iter().position(|t| t == tenant));
        let tenant = tenant.unwrap_or(0);
        let service = format!("{class} {tenant} {}", job.service);
        let (default_cores, default_memory) = config.class_defaults[class];
        let first_controller = request.first_controller;
        Submission {
            session: self.clients[controller].session.clone(),
            key: request.key.clone(),
            task: TaskKey(xxh3_64(format!("task {:x}", request.task).as_bytes())),
            service: ServiceId(xxh3_64(service.as_bytes())),
            class: class as u16,
            tenant: tenant as u32,
            cores: job.cores.unwrap_or(default_cores),
            memory: job.memory.unwrap_or(default_memory),
            deadline_in: config.scheduler.classes[class].deadline,
            expected_duration: None,
            is_retry: request.retries > 0,
            requested_elsewhere: first_controller.is_some_and(|first| first != controller),
            on_hold: false,
            program: Program {
                command: "sleep".into(),
                env: vec![format!("PEPPERCOVE_LIFE_US={}", job.run_time.as_micros())],
                ..Program::default()
            },
        }
    }

    pub(super) fn send_accepted(&mut self, process: ProcessId, ticket: u64, job: JobId) {
        if let Some(key) = self.key_of_ticket(process.controller, ticket) {
            let job = self.job_name(process, job);
            self.send_reply(process, Reply::Accepted { key, job });
        }
    }

    pub(super) fn send_rejected(&mut self, process: ProcessId, ticket: u64, reason: Rejection) {
        let Some(key) = self.key_of_ticket(process.controller, ticket) else {
            return;
        };
        let (errno, retry_after) = match reason {
            Rejection::LimitReached(wait)
            | Rejection::ShuttingDown(wait)
            | Rejection::OutcomeAmbiguous(wait) => (Errno::TryLater, Some(wait.div_ceil(1000))),
            Rejection::AlreadyRan
            | Rejection::OutcomeUnknown
            | Rejection::RequestedElsewhere
            | Rejection::TaskInUse(_) => (Errno::DeniedByDrm, None),
            Rejection::NoSuchJob | Rejection::InvalidState(_) => (Errno::InvalidJob, None),
        };
        self.send_reply(
            process,
            Reply::Rejected {
                key,
                errno,
                retry_after,
            },
        );
    }

    pub(super) fn send_outcome(&mut self, process: ProcessId, job_id: JobId, answer: Answer) {
        let running = self.controllers[process.controller].process.as_ref();
        let Some(job) = running.and_then(|running| running.core.jobs().get(job_id)) else {
            return;
        };
        if job.submission.session != self.clients[process.controller].session {
            return;
        }
        let reply = Reply::Outcome {
            key: job.submission.key.clone(),
            job: self.job_name(process, job_id),
            outcome: match answer {
                Answer::Placed(_) => PlacementOutcome::Placed,
                Answer::Rejected(_) => PlacementOutcome::Refused,
                Answer::Failed => PlacementOutcome::Failed,
                Answer::Cancelled => PlacementOutcome::Withdrawn,
            },
        };
        self.send_reply(process, reply);
    }

    fn key_of_ticket(&self, controller: usize, ticket: u64) -> Option<String> {
        let mut keys = self.clients[controller].sent.keys();
        keys.find(|key| ticket_of(key) == ticket).cloned()
    }

    fn job_name(&self, process: ProcessId, job: JobId) -> String {
        let name = self.controllers[process.controller].name();
        format!("{name}.{:x}.{}", process.incarnation, job.0)
    }
}

fn ticket_of(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}
