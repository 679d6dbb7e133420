//! The HTTP adapter for engines and plain services; docs/PROTOCOLS.md specifies
//! the protocol.
//!
//! Calls use `attohttpc`, whose read timeout applies to each read: it limits the
//! time without progress but not the duration of a stream. The steps of gangs,
//! which take as long as an engine computes, use it too. Other commands use
//! `minreq`, whose timeout applies to the whole exchange. Each call opens its own
//! connection, so that none reuses a half-open one.

mod frame;
mod order;
mod service;
mod stream;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::io;
use std::io::Read;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use attohttpc::ErrorKind;
use attohttpc::RequestBuilder;
use attohttpc::Response;
use attohttpc::body::Body;
use attohttpc::body::BodyKind;

use self::frame::parse_rejection;
use crate::backend::AttemptEnd;
use crate::backend::AttemptEvent;
use crate::backend::BackendAnswer;
use crate::backend::BackendOrder;
use crate::backend::Call;
use crate::backend::Rejection;
use crate::backend::Work;
use crate::backend::traffic::BackendClient;
use crate::backend::traffic::CallOutput;
use crate::verdict::Verdict;

/// Maximum length that is read of a rejection's body.
const MAX_REFUSAL_BYTES: u64 = 4096;

/// Minimum read timeout; a socket does not accept a timeout of zero.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// Settings of the HTTP adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// This instance's name, which engines report as a stream's owner.
    pub owner: String,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout for a whole command that is not a gang's step, in seconds.
    pub order_timeout_secs: u64,
    /// Maximum length of a plain service's answer, in bytes.
    pub max_answer_bytes: u64,
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings {
            owner: String::new(),
            connect_timeout: Duration::from_secs(1),
            order_timeout_secs: 2,
            max_answer_bytes: 4 * 1024 * 1024,
        }
    }
}

/// The HTTP adapter.
#[derive(Debug, Clone)]
pub struct HttpBackendClient {
    cfg: HttpSettings,
}

impl HttpBackendClient {
    /// Returns an adapter.
    #[must_use]
    pub fn new(cfg: HttpSettings) -> HttpBackendClient {
        HttpBackendClient { cfg }
    }
}

impl BackendClient for HttpBackendClient {
    fn call(&self, call: &Call, output: &mut CallOutput) -> AttemptEnd {
        let Some(prefix) = output.begin() else {
            let offset = output.side().offset();
            return AttemptEnd::Cancelled { offset };
        };
        match &*call.work {
            // The end of the earlier attempt crossed the order to leave it.
            Work::Prompt(_) if prefix.finish.is_some() => AttemptEnd::Whole {
                tokens: prefix.offset,
            },
            Work::Prompt(prompt) => stream::run(&self.cfg, call, prompt, &prefix, output),
            Work::Service(service) => service::run(&self.cfg, call, service, output),
        }
    }

    fn order(&self, addr: &str, order: &BackendOrder) -> BackendAnswer {
        order::run(&self.cfg, addr, order)
    }
}

/// Sends a call and reads the response head.
///
/// # Errors
///
/// Returns the attempt's end if the call was not accepted.
fn send(
    cfg: &HttpSettings,
    call: &Call,
    output: &CallOutput,
    request: RequestBuilder,
    body: Vec<u8>,
) -> Result<Response, AttemptEnd> {
    let body_started = Rc::new(Cell::new(false));
    let body = TrackedBody {
        body,
        body_started: Rc::clone(&body_started),
    };
    let sent = request
        .connect_timeout(cfg.connect_timeout)
        .read_timeout(call.silence.as_duration().max(MIN_READ_TIMEOUT))
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .body(body)
        .send();
    let offset = output.side().offset();
    match sent {
        Ok(response) => check_status(response, offset),
        // No byte of the body was sent, so no backend server can have run the
        // call.
        Err(_) if !body_started.get() => Err(AttemptEnd::Refused),
        Err(error) if is_read_timeout(&error) => Err(silent(offset)),
        Err(_) => Err(broken(offset)),
    }
}

/// Returns an accepted response, or the attempt's end for a rejected one.
fn check_status(response: Response, offset: u32) -> Result<Response, AttemptEnd> {
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let read = response.take(MAX_REFUSAL_BYTES).read_to_end(&mut body);
    let rejection = read.ok().and_then(|_| parse_rejection(status, &body));
    Err(match rejection {
        Some(rejection) => AttemptEnd::Rejected(rejection),
        // Not a rejection of the protocol: no guarantee that nothing ran.
        None => broken(offset),
    })
}

fn broken(offset: u32) -> AttemptEnd {
    AttemptEnd::Broken {
        verdict: Verdict::MayHaveRun,
        offset,
    }
}

fn silent(offset: u32) -> AttemptEnd {
    AttemptEnd::Silent {
        verdict: Verdict::MayHaveRun,
        offset,
    }
}

fn is_read_timeout(error: &attohttpc::Error) -> bool {
    matches!(error.kind(), ErrorKind::Io(error) if is_timeout(error))
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// A body that records when its first byte may have been sent.
struct TrackedBody {
    body: Vec<u8>,
    body_started: Rc<Cell<bool>>,
}

impl Body for TrackedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.body.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.body_started.set(true);
        writer.write_all(&self.body)
    }
}
