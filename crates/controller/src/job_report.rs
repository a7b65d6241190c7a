//! Builds what clients receive about jobs: the answer to a placement request, and how a job ended.

use peppercove::{Micros, NodeId};
use peppercove_core::nodes::Nodes;
use peppercove_core::{Answer, Job, JobState, TaskEnd};
use peppercove_protocol::rpc::{JobInfo, PlacementOutcome, PlacementResult};

/// Builds the placement result of a job.
pub(crate) fn placement_result(
    job: &Job,
    job_id: String,
    answer: Answer,
    nodes: &Nodes,
) -> PlacementResult {
    let (outcome, node, retry_after) = match answer {
        Answer::Placed(node) => (PlacementOutcome::Placed, Some(node), None),
        Answer::Rejected(retry_after) => (PlacementOutcome::Refused, None, retry_after),
        Answer::Failed => (PlacementOutcome::Failed, None, None),
        Answer::Cancelled => (PlacementOutcome::Withdrawn, None, None),
    };
    PlacementResult {
        job_id,
        submission_key: job.submission.key.clone(),
        outcome,
        node: node.map(|node| node_name(node, nodes)),
        retry_after_ms: retry_after.map(millis_rounded_up),
    }
}

fn node_name(id: NodeId, nodes: &Nodes) -> String {
    let name = nodes.get(id).map(|node| node.name.clone());
    name.unwrap_or_else(|| format!("{:x}", id.0))
}

/// Builds the result of `wait` for a finished job.
pub(crate) fn job_info(job: &Job, job_id: String) -> JobInfo {
    let mut info = JobInfo {
        job_id,
        ..JobInfo::default()
    };
    add_answer(&mut info, job.answer);
    match job.end {
        Some(TaskEnd::Exited {
            status,
            wall,
            cpu,
            memory,
        }) => {
            info.exit_status = Some(status);
            add_usage(&mut info, wall, cpu, memory);
        }
        Some(TaskEnd::Signalled {
            signal,
            wall,
            cpu,
            memory,
        }) => {
            info.signal = Some(signal);
            add_usage(&mut info, wall, cpu, memory);
        }
        Some(TaskEnd::Evicted) => add(&mut info, "end", "given-up".into()),
        Some(TaskEnd::Lost) => add(&mut info, "end", "lost".into()),
        None => info.aborted = job.state == JobState::Failed,
    }
    info
}

fn add(info: &mut JobInfo, name: &str, value: String) {
    info.rusage.insert(name.into(), value);
}

fn add_answer(info: &mut JobInfo, answer: Option<Answer>) {
    let outcome = match answer {
        Some(Answer::Placed(_)) => "placed",
        Some(Answer::Rejected(retry_after)) => {
            if let Some(retry_after) = retry_after {
                add(
                    info,
                    "retry_after_ms",
                    millis_rounded_up(retry_after).to_string(),
                );
            }
            "refused"
        }
        Some(Answer::Failed) => "failed",
        Some(Answer::Cancelled) | None => "withdrawn",
    };
    add(info, "outcome", outcome.into());
}

fn add_usage(info: &mut JobInfo, wall: Micros, cpu: Micros, memory: f64) {
    add(info, "wallclock_s", format!("{:.6}", wall as f64 / 1e6));
    add(info, "cpu_s", format!("{:.6}", cpu as f64 / 1e6));
    add(info, "memory", format!("{memory:.3}"));
}

fn millis_rounded_up(micros: Micros) -> u64 {
    micros.div_ceil(1000)
}
