//! Calls to plain services.

use std::io::Read;

use attohttpc::Response;
use attohttpc::header::CONTENT_LENGTH;

use super::AttemptEnd;
use super::AttemptEvent;
use super::Call;
use super::CallOutput;
use super::HttpSettings;
use super::broken;
use super::is_timeout;
use super::send;
use super::silent;
use crate::backend::ServiceCall;

/// Runs a call to its end. The answer also goes to the core, which records it,
/// so the call continues if the caller disconnects.
pub(super) fn run(
    cfg: &HttpSettings,
    call: &Call,
    service: &ServiceCall,
    output: &mut CallOutput,
) -> AttemptEnd {
    let ServiceCall {
        service,
        operation,
        body,
        idempotency_key,
    } = service;
    let url = format!("http://{}/v1/call/{service}/{operation}", call.addr);
    let mut request = attohttpc::post(url)
        .header("Content-Type", "application/json")
        .header("X-Request-Id", call.attempt.request.to_string());
    if let Some(key) = idempotency_key {
        request = match request.try_header("Idempotency-Key", key) {
            Ok(request) => request,
            Err(_) => return AttemptEnd::Rejected(super::Rejection::Invalid),
        };
    }
    let response = match send(cfg, call, output, request, body.clone()) {
        Err(end) => return end,
        Ok(response) => response,
    };
    output.send_event(AttemptEvent::Accepted);
    let status = response.status().as_u16();
    let length = content_length(&response);
    let mut answer = Vec::new();
    let limit = cfg.max_answer_bytes;
    match response.take(limit + 1).read_to_end(&mut answer) {
        Ok(_) if answer.len() as u64 > limit => broken(0),
        // `attohttpc` treats an early close of the connection as end of body.
        Ok(_) if length.is_some_and(|length| length != answer.len() as u64) => broken(0),
        Ok(_) => {
            output.first_token();
            // The core records the answer even if the caller has disconnected.
            let _ = output.side().answer(status, answer.clone());
            output.send_event(AttemptEvent::Answer {
                status,
                body: answer,
            });
            AttemptEnd::Whole { tokens: 0 }
        }
        Err(error) if is_timeout(&error) => silent(0),
        Err(_) => broken(0),
    }
}

fn content_length(response: &Response) -> Option<u64> {
    let value = response.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
