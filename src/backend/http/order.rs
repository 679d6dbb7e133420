//! Commands to engines that are not part of an attempt.

use std::io;
use std::io::Read;

use attohttpc::ErrorKind;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use super::BackendAnswer;
use super::BackendOrder;
use super::HttpSettings;
use crate::backend::CacheEvent;
use crate::backend::Work;
use crate::gang::STEP_TIMEOUT;

/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length that is read of the answer to a step of a gang.
const MAX_STEP_ANSWER_BYTES: u64 = 64 * 1024;

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct Export {
    segment: String,
}

/// Why a command got no answer.
enum CommandError {
    Refused,
    Failed,
}

/// Sends a command and waits for the answer.
pub(super) fn run(cfg: &HttpSettings, addr: &str, order: &BackendOrder) -> BackendAnswer {
    let sent = match step_body(order) {
        Some((call, body)) => send_step(cfg, addr, call, &body),
        None => send(cfg, addr, order),
    };
    match sent {
        Ok(body) => answer(order, &body).unwrap_or_else(|| failed(order, false)),
        Err(CommandError::Refused) => failed(order, true),
        Err(CommandError::Failed) => failed(order, false),
    }
}

/// Sends a step of a gang. It takes as long as the engine computes, so only
/// connecting has a short timeout.
fn send_step(
    cfg: &HttpSettings,
    addr: &str,
    call: &str,
    body: &Value,
) -> Result<Vec<u8>, CommandError> {
    let sent = attohttpc::post(format!("http://{addr}/v1/{call}"))
        .header("Content-Type", "application/json")
        .connect_timeout(cfg.connect_timeout)
        .read_timeout(STEP_TIMEOUT.as_duration())
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .text(body.to_string())
        .send();
    let response = sent.map_err(|error| match error.kind() {
        ErrorKind::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            CommandError::Refused
        }
        _ => CommandError::Failed,
    })?;
    if response.status().as_u16() != 200 {
        return Err(CommandError::Failed);
    }
    let mut answer = Vec::new();
    match response
        .take(MAX_STEP_ANSWER_BYTES)
        .read_to_end(&mut answer)
    {
        Ok(_) => Ok(answer),
        Err(_) => Err(CommandError::Failed),
    }
}

/// Sends a command that is not a step of a gang.
fn send(cfg: &HttpSettings, addr: &str, order: &BackendOrder) -> Result<Vec<u8>, CommandError> {
    let request = request(addr, order)
        .ok_or(CommandError::Failed)?
        .with_timeout(cfg.order_timeout_secs)
        .with_max_headers_size(MAX_HEAD_BYTES)
        .with_follow_redirects(false);
    let response = request.send().map_err(|error| match is_refused(&error) {
        true => CommandError::Refused,
        false => CommandError::Failed,
    })?;
    match response.status_code {
        200 => Ok(response.into_bytes()),
        _ => Err(CommandError::Failed),
    }
}

/// Returns the answer that reports the failure of a command.
fn failed(order: &BackendOrder, refused: bool) -> BackendAnswer {
    match order {
        BackendOrder::Prefill { request, .. }
        | BackendOrder::Export { request, .. }
        | BackendOrder::Import { request, .. } => BackendAnswer::GangFailed {
            request: *request,
            refused,
        },
        BackendOrder::Cancel { .. } | BackendOrder::Load | BackendOrder::CacheEvents { .. } => {
            BackendAnswer::Failed { refused }
        }
    }
}

/// Returns the request of a command, or `None` for a step of a gang.
fn request(addr: &str, order: &BackendOrder) -> Option<minreq::Request> {
    match order {
        BackendOrder::Cancel { request, epoch } => {
            let body = json!({"request": request.to_string(), "epoch": epoch});
            let post = minreq::post(format!("http://{addr}/v1/cancel"))
                .with_header("Content-Type", "application/json")
                .with_body(body.to_string());
            Some(post)
        }
        BackendOrder::Load => Some(minreq::get(format!("http://{addr}/v1/load"))),
        BackendOrder::CacheEvents { after } => {
            let url = format!("http://{addr}/v1/cache-events?after={after}");
            Some(minreq::get(url))
        }
        BackendOrder::Prefill { .. }
        | BackendOrder::Export { .. }
        | BackendOrder::Import { .. } => None,
    }
}

/// Returns the call and body of a step of a gang, or `None` for another
/// command.
fn step_body(order: &BackendOrder) -> Option<(&'static str, Value)> {
    match order {
        BackendOrder::Prefill {
            request,
            epoch,
            owner,
            priority,
            from_token,
            to_token,
            memory_tokens,
            work,
        } => {
            let (model, text) = match &**work {
                Work::Prompt(prompt) => {
                    (prompt.model.as_str(), prompt.part(*from_token, *to_token))
                }
                Work::Service(_) => ("", ""),
            };
            let body = json!({
                "request": request.to_string(), "epoch": epoch, "owner": owner,
                "priority": priority, "model": model, "prompt": text,
                "from_token": from_token, "to_token": to_token,
                "memory_tokens": memory_tokens,
            });
            Some(("prefill", body))
        }
        BackendOrder::Export {
            request,
            epoch,
            from_token,
            to_token,
        } => {
            let body = json!({
                "request": request.to_string(), "epoch": epoch,
                "from_token": from_token, "to_token": to_token,
            });
            Some(("kv-export", body))
        }
        BackendOrder::Import {
            request,
            epoch,
            segment,
            addr,
        } => {
            let body = json!({
                "request": request.to_string(), "epoch": epoch,
                "segment": segment, "addr": addr,
            });
            Some(("kv-import", body))
        }
        BackendOrder::Cancel { .. } | BackendOrder::Load | BackendOrder::CacheEvents { .. } => None,
    }
}

fn answer(order: &BackendOrder, body: &[u8]) -> Option<BackendAnswer> {
    match order {
        BackendOrder::Cancel { request, .. } => {
            // Whether or not the stream was known, it no longer runs.
            Some(BackendAnswer::Cancelled { request: *request })
        }
        BackendOrder::Load => parse(body).map(BackendAnswer::Load),
        BackendOrder::CacheEvents { .. } => {
            parse(body).map(|feed: CacheEvents| BackendAnswer::CacheEvents(feed.events))
        }
        BackendOrder::Prefill {
            request, to_token, ..
        } => Some(BackendAnswer::Prefilled {
            request: *request,
            to_token: *to_token,
        }),
        BackendOrder::Export { request, .. } => {
            parse(body).map(|export: Export| BackendAnswer::Exported {
                request: *request,
                segment: export.segment,
            })
        }
        BackendOrder::Import { request, .. } => Some(BackendAnswer::Imported { request: *request }),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn is_refused(error: &minreq::Error) -> bool {
    matches!(error, minreq::Error::IoError(error)
        if error.kind() == io::ErrorKind::ConnectionRefused)
}
