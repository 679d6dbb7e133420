//! Orders to engines outside any attempt.

use std::io;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::BackendAnswer;
use super::BackendOrder;
use super::HttpSettings;
use crate::backend::CacheEvent;

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

/// Gives an order and waits for the answer.
pub(super) fn run(cfg: &HttpSettings, addr: &str, order: &BackendOrder) -> BackendAnswer {
    let request = request(addr, order)
        .with_timeout(cfg.order_timeout_secs)
        .with_max_headers_size(MAX_HEAD_BYTES)
        .with_follow_redirects(false);
    let response = match request.send() {
        Ok(response) => response,
        Err(error) => {
            let refused = is_refused(&error);
            return BackendAnswer::Failed { refused };
        }
    };
    if response.status_code != 200 {
        return BackendAnswer::Failed { refused: false };
    }
    answer(order, response.as_bytes()).unwrap_or(BackendAnswer::Failed { refused: false })
}

fn request(addr: &str, order: &BackendOrder) -> minreq::Request {
    match order {
        BackendOrder::Cancel { request, epoch } => {
            let body = json!({"request": request.to_string(), "epoch": epoch});
            minreq::post(format!("http://{addr}/v1/cancel"))
                .with_header("Content-Type", "application/json")
                .with_body(body.to_string())
        }
        BackendOrder::Load => minreq::get(format!("http://{addr}/v1/load")),
        BackendOrder::CacheEvents { after } => {
            minreq::get(format!("http://{addr}/v1/cache-events?after={after}"))
        }
    }
}

fn answer(order: &BackendOrder, body: &[u8]) -> Option<BackendAnswer> {
    match order {
        BackendOrder::Cancel { request, .. } => {
            // Either way the stream does not run any more.
            Some(BackendAnswer::Cancelled { request: *request })
        }
        BackendOrder::Load => parse(body).map(BackendAnswer::Load),
        BackendOrder::CacheEvents { .. } => {
            parse(body).map(|feed: CacheEvents| BackendAnswer::CacheEvents(feed.events))
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn is_refused(error: &minreq::Error) -> bool {
    matches!(error, minreq::Error::IoError(error)
        if error.kind() == io::ErrorKind::ConnectionRefused)
}
