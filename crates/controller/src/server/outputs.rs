//! Executes the outputs of the core.

use super::{Answer, CallReply, Input, JobId, NodeEndpoint, Output, Server, VecDeque};
use peppercove_exchange::encode_output;
use peppercove_metrics as names;

impl Server {
    /// Executes an output. Appends resulting inputs to `inputs` and replies to calls to `replies`.
    pub(super) fn execute(
        &self,
        output: Output,
        inputs: &mut VecDeque<Input>,
        replies: &mut Vec<CallReply>,
    ) {
        match output {
            Output::Accepted { ticket, job } => replies.push(CallReply::Accepted { ticket, job }),
            Output::ControlAccepted { .. } => replies.push(CallReply::ControlAccepted),
            Output::Rejected { ticket, reason } => {
                replies.push(CallReply::Rejected { ticket, reason });
            }
            Output::Answered { job, answer } => self.on_answered(job, answer),
            Output::Finished(job) => self.on_finished(job),
            Output::Connect {
                node,
                address,
                name,
            } => {
                self.connect(
                    NodeEndpoint {
                        id: node,
                        address,
                        name,
                    },
                    inputs,
                );
            }
            Output::Disconnect(node) => self.nodes.remove(node),
            Output::Journal(entries) => self.write_journal(&entries),
            Output::Dispatch { .. } => self.dispatch(&output, inputs),
            Output::CancelAttempt { .. }
            | Output::ControlTask { .. }
            | Output::Adopt { .. }
            | Output::DiscardOrphan { .. }
            | Output::Probe(_) => {
                self.send_output(&output);
            }
            Output::WatchNodes => self.list_requested.notify_one(),
            Output::Broadcast(message) => self.broadcast(message),
            Output::Log(line) => tracing::warn!(target: "peppercove::module", "{line}"),
        }
    }

    fn on_answered(&self, job: JobId, answer: Answer) {
        self.request_answered.notify_one();
        let core = self.core.borrow();
        let Some(job) = core.jobs().get(job) else {
            return;
        };
        let latency = self.clock.now().saturating_sub(job.requested_at);
        let has_request_time = job.requested_at > 0;
        let class = self.class_name(job.submission.class);
        self.metrics
            .count_answer(class, answer, has_request_time.then_some(latency));
        let result = self.placement_result(job, answer);
        self.clients
            .borrow()
            .notify_answered(&job.submission.session, job.id, result);
    }

    fn on_finished(&self, job: JobId) {
        let core = self.core.borrow();
        if let Some(job) = core.jobs().get(job) {
            self.clients
                .borrow_mut()
                .notify_finished(&job.submission.session, job.id);
        }
    }

    fn connect(&self, endpoint: NodeEndpoint, inputs: &mut VecDeque<Input>) {
        let Some(server) = self.weak_self.upgrade() else {
            return;
        };
        let node = endpoint.id;
        let task = (self.connect_node)(server, endpoint);
        let had_connection = self.nodes.insert(node, task);
        if had_connection {
            inputs.push_back(Input::NodeDisconnected(node));
        }
    }

    fn dispatch(&self, output: &Output, inputs: &mut VecDeque<Input>) {
        let Output::Dispatch {
            node,
            request,
            attempt,
            ..
        } = *output
        else {
            return;
        };
        self.metrics.add(names::ATTEMPTS, &[], 1.0);
        // An attempt that is not in the journal is not sent, because the next incarnation could not account for it.
        if !self.is_journal_intact() || !self.send_output(output) {
            inputs.push_back(Input::DispatchFailed {
                node,
                request,
                attempt,
            });
        }
    }

    fn broadcast(&self, message: Vec<u8>) {
        if let Some(queue) = self.peer_messages.borrow().as_ref() {
            // If the queue is full the message is dropped; peers tolerate lost messages.
            let _ = queue.try_send(message);
        }
    }

    /// Encodes an output and queues it for its node. Returns `false` if the node is not connected or its queue is full.
    fn send_output(&self, output: &Output) -> bool {
        let core = self.core.borrow();
        let find_job = |job| core.jobs().get(job);
        let frame = encode_output(&self.config, self.clock.now(), output, find_job);
        frame.is_some_and(|(node, message)| self.send_to_node(node, message))
    }
}
