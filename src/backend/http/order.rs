//! Commands to engines that are not part of an attempt.

use std::io;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use super::BackendAnswer;
use super::BackendOrder;
use super::HttpSettings;
use crate::backend::CacheEvent;
use crate::backend::Work;

/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct Export {
    segment: String,
}

/// Sends a command and waits for the answer.
pub(super) fn run(cfg: &HttpSettings, addr: &str, order: &BackendOrder) -> BackendAnswer {
    let request = request(addr, order)
        .with_timeout(cfg.order_timeout_secs)
        .with_max_headers_size(MAX_HEAD_BYTES)
        .with_follow_redirects(false);
    let response = match request.send() {
        Ok(response) => response,
        Err(error) => {
            return failed(order, is_refused(&error));
        }
    };
    if response.status_code != 200 {
        return failed(order, false);
    }
    answer(order, response.as_bytes()).unwrap_or_else(|| failed(order, false))
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

fn request(addr: &str, order: &BackendOrder) -> minreq::Request {
    match order {
        BackendOrder::Cancel { request, epoch } => {
            let body = json!({"request": request.to_string(), "epoch": epoch});
            post(addr, "cancel", &body)
        }
        BackendOrder::Load => minreq::get(format!("http://{addr}/v1/load")),
        BackendOrder::CacheEvents { after } => {
            minreq::get(format!("http://{addr}/v1/cache-events?after={after}"))
        }
        BackendOrder::Prefill { .. }
        | BackendOrder::Export { .. }
        | BackendOrder::Import { .. } => gang_request(addr, order),
    }
}

fn gang_request(addr: &str, order: &BackendOrder) -> minreq::Request {
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
            post(addr, "prefill", &body)
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
            post(addr, "kv-export", &body)
        }
        BackendOrder::Import {
            request,
            epoch,
            segment,
            addr: from,
        } => {
            let body = json!({
                "request": request.to_string(), "epoch": epoch,
                "segment": segment, "addr": from,
            });
            post(addr, "kv-import", &body)
        }
        BackendOrder::Cancel { .. } | BackendOrder::Load | BackendOrder::CacheEvents { .. } => {
            request(addr, order)
        }
    }
}

fn post(addr: &str, call: &str, body: &Value) -> minreq::Request {
    minreq::post(format!("http://{addr}/v1/{call}"))
        .with_header("Content-Type", "application/json")
        .with_body(body.to_string())
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
