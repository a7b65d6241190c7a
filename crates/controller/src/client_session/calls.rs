//! Parses a JSON-RPC call and passes it to its handler.

use super::responses::{response, try_later};
use super::{control, sessions, submission, waiting};
use crate::server::Server;
use peppercove_protocol::rpc::{self, RpcError, RpcRequest};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::rc::Rc;

/// The server and connection on which a call arrived.
#[derive(Clone)]
pub(super) struct CallContext {
    pub(super) server: Rc<Server>,
    /// The number of the connection in the client registry.
    pub(super) connection: u64,
}

/// Result of handling a line.
pub(super) enum CallOutcome {
    /// The response line to send.
    Response(String),
    /// The call was a notification, which gets no response.
    NoResponse,
    /// The response is produced later.
    Waiting(WaitingCall),
}

/// A call whose response is produced later.
pub(super) struct WaitingCall {
    context: CallContext,
    id: Value,
    method: WaitingMethod,
    call: RpcRequest,
}

impl WaitingCall {
    /// Waits for the result and returns the response line.
    pub(super) async fn respond(self) -> String {
        response(
            self.id,
            call_waiting(&self.context, self.method, &self.call).await,
        )
    }
}

/// A method that returns its result immediately.
enum ImmediateMethod {
    Init,
    Exit,
    RunJob,
    RunBulkJobs,
    FindJob,
    Control,
    JobState,
}

/// A method that may wait before it returns its result.
#[derive(Clone, Copy)]
enum WaitingMethod {
    Wait,
    Outcome,
    Synchronize,
}

enum Method {
    Immediate(ImmediateMethod),
    Waiting(WaitingMethod),
}

/// No method has the given name.
struct UnknownMethod;

impl TryFrom<&str> for Method {
    type Error = UnknownMethod;

    fn try_from(name: &str) -> Result<Method, UnknownMethod> {
        Ok(match name {
            "init" => Method::Immediate(ImmediateMethod::Init),
            "exit" => Method::Immediate(ImmediateMethod::Exit),
            "runJob" => Method::Immediate(ImmediateMethod::RunJob),
            "runBulkJobs" => Method::Immediate(ImmediateMethod::RunBulkJobs),
            "findJob" => Method::Immediate(ImmediateMethod::FindJob),
            "control" => Method::Immediate(ImmediateMethod::Control),
            "jobPs" => Method::Immediate(ImmediateMethod::JobState),
            "wait" => Method::Waiting(WaitingMethod::Wait),
            "outcome" => Method::Waiting(WaitingMethod::Outcome),
            "synchronize" => Method::Waiting(WaitingMethod::Synchronize),
            _ => return Err(UnknownMethod),
        })
    }
}

/// Handles the call in a line. If `may_wait` is false, a call to a waiting method is rejected.
pub(super) fn handle_line(context: &CallContext, line: &str, may_wait: bool) -> CallOutcome {
    let value: Value = match serde_json::from_str(line) {
        Ok(value) => value,
        Err(error) => {
            let error = RpcError::rpc(rpc::PARSE_ERROR, format!("not JSON: {error}"));
            return CallOutcome::Response(response(Value::Null, Err(error)));
        }
    };
    let id = value.get("id").cloned().unwrap_or_default();
    let call = match parse_call(value) {
        Ok(call) => call,
        Err(error) => return CallOutcome::Response(response(id, Err(error))),
    };
    match Method::try_from(call.method.as_str()) {
        Ok(Method::Waiting(method)) if may_wait => {
            let context = context.clone();
            CallOutcome::Waiting(WaitingCall {
                context,
                id,
                method,
                call,
            })
        }
        Ok(Method::Waiting(_)) => {
            let retry_after = context.server.config.limits.retry_after;
            let error = try_later(retry_after, "too many calls are waiting on this connection");
            CallOutcome::Response(response(id, Err(error)))
        }
        Ok(Method::Immediate(method)) => {
            let result = call_immediate(context, &method, &call);
            respond_unless_notification(call.id, result)
        }
        Err(UnknownMethod) => {
            let message = format!("unknown method '{}'", call.method);
            let error = RpcError::rpc(rpc::METHOD_NOT_FOUND, message);
            respond_unless_notification(call.id, Err(error))
        }
    }
}

fn respond_unless_notification(id: Option<Value>, result: Result<Value, RpcError>) -> CallOutcome {
    id.map_or(CallOutcome::NoResponse, |id| {
        CallOutcome::Response(response(id, result))
    })
}

fn parse_call(value: Value) -> Result<RpcRequest, RpcError> {
    let call: RpcRequest = serde_json::from_value(value).map_err(|error| {
        RpcError::rpc(
            rpc::INVALID_REQUEST,
            format!("not a JSON-RPC call: {error}"),
        )
    })?;
    if call.jsonrpc != "2.0" {
        return Err(RpcError::rpc(
            rpc::INVALID_REQUEST,
            "jsonrpc must be \"2.0\"",
        ));
    }
    Ok(call)
}

/// Parses the parameters of a call. GFD.133 names every parameter, so only objects are accepted.
fn params<T: DeserializeOwned>(call: &RpcRequest) -> Result<T, RpcError> {
    let params = if call.params.is_null() {
        json!({})
    } else {
        call.params.clone()
    };
    serde_json::from_value(params).map_err(|error| {
        let message = format!("invalid parameters of {}: {error}", call.method);
        RpcError::rpc(rpc::INVALID_PARAMS, message)
    })
}

fn call_immediate(
    context: &CallContext,
    method: &ImmediateMethod,
    call: &RpcRequest,
) -> Result<Value, RpcError> {
    let CallContext { server, connection } = context;
    let session = || sessions::session_of(server, *connection);
    match method {
        ImmediateMethod::Init => sessions::init(server, *connection, &params(call)?),
        ImmediateMethod::Exit => sessions::exit(server, *connection),
        ImmediateMethod::RunJob => submission::run_job(server, &session()?, &params(call)?),
        ImmediateMethod::RunBulkJobs => submission::run_bulk(server, &session()?, &params(call)?),
        ImmediateMethod::FindJob => submission::find_job(server, &session()?, &params(call)?),
        ImmediateMethod::Control => control::control(server, &session()?, &params(call)?),
        ImmediateMethod::JobState => control::job_state(server, &session()?, &params(call)?),
    }
}

async fn call_waiting(
    context: &CallContext,
    method: WaitingMethod,
    call: &RpcRequest,
) -> Result<Value, RpcError> {
    let server = &context.server;
    let session = sessions::session_of(server, context.connection)?;
    match method {
        WaitingMethod::Wait => waiting::wait(server, &session, &params(call)?).await,
        WaitingMethod::Outcome => waiting::outcome(server, &session, &params(call)?).await,
        WaitingMethod::Synchronize => waiting::synchronize(server, &session, &params(call)?).await,
    }
}
