//! The HTTP adapter towards engines and plain services, as docs/PROTOCOLS.md
//! has it.
//!
//! Streams go through `attohttpc`, whose time limit is for each read: it bounds
//! silence and lets a stream take as long as it makes progress. Orders go
//! through `minreq`, whose time limit is for the whole exchange. Each call has
//! a connection of its own, so that none inherits one that fell silent.

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
use crate::backend::traffic::BackendEdge;
use crate::backend::traffic::Flow;
use crate::verdict::Verdict;

/// Longest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: u64 = 4096;

/// Shortest silence bound; a socket takes no limit of zero.
const LEAST_SILENCE: Duration = Duration::from_millis(1);

/// Bounds of the HTTP adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// This instance's name, which engines report as a stream's owner.
    pub owner: String,
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// Time for a whole order, in seconds.
    pub order_timeout_secs: u64,
    /// Longest answer of a plain service, in bytes.
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
pub struct HttpEdge {
    cfg: HttpSettings,
}

impl HttpEdge {
    /// Returns an adapter.
    #[must_use]
    pub fn new(cfg: HttpSettings) -> HttpEdge {
        HttpEdge { cfg }
    }
}

impl BackendEdge for HttpEdge {
    fn call(&self, call: &Call, flow: &mut Flow) -> AttemptEnd {
        let Some(begun) = flow.begin() else {
            let offset = flow.side().offset();
            return AttemptEnd::Cancelled { offset };
        };
        match &*call.work {
            Work::Prompt(prompt) => stream::run(&self.cfg, call, prompt, &begun, flow),
            Work::Service(service) => service::run(&self.cfg, call, service, flow),
        }
    }

    fn order(&self, addr: &str, order: &BackendOrder) -> BackendAnswer {
        order::run(&self.cfg, addr, order)
    }
}

/// Sends a call and reads the head of the answer.
///
/// # Errors
///
/// Returns the attempt's end if no backend server took the call.
fn send(
    cfg: &HttpSettings,
    call: &Call,
    flow: &Flow,
    request: RequestBuilder,
    body: Vec<u8>,
) -> Result<Response, AttemptEnd> {
    let left = Rc::new(Cell::new(false));
    let body = TrackedBody {
        body,
        left: Rc::clone(&left),
    };
    let sent = request
        .connect_timeout(cfg.connect_timeout)
        .read_timeout(call.silence.as_duration().max(LEAST_SILENCE))
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .body(body)
        .send();
    let offset = flow.side().offset();
    match sent {
        Ok(response) => sort(response, offset),
        // No byte of the body left: no backend server can have run it.
        Err(_) if !left.get() => Err(AttemptEnd::Refused),
        Err(error) if is_silence(&error) => Err(silent(offset)),
        Err(_) => Err(broken(offset)),
    }
}

/// Tells an accepted call from a refused one by the answer's head.
fn sort(response: Response, offset: u32) -> Result<Response, AttemptEnd> {
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let read = response.take(MAX_REFUSAL_BYTES).read_to_end(&mut body);
    let rejection = read.ok().and_then(|_| parse_rejection(status, &body));
    Err(match rejection {
        Some(rejection) => AttemptEnd::Rejected(rejection),
        // Whoever answered does not promise that nothing ran.
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

fn is_silence(error: &attohttpc::Error) -> bool {
    matches!(error.kind(), ErrorKind::Io(error) if is_timeout(error))
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// A body that notes when its first byte may have left.
struct TrackedBody {
    body: Vec<u8>,
    left: Rc<Cell<bool>>,
}

impl Body for TrackedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.body.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.left.set(true);
        writer.write_all(&self.body)
    }
}
