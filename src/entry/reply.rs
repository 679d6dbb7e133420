//! Answers written to callers as their relays give them.

use std::io;
use std::time::Duration;

use tiny_http::Request;

use super::error::error_body;
use super::http::Answer;
use super::openai::Shape;
use super::sse::Events;
use crate::control::Input;
use crate::control::Reply;
use crate::id::RequestId;
use crate::relay::CallerEvent;
use crate::relay::CallerSide;
use crate::relay::Finish;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// How long a thread waits for its relay before it looks again.
const WAIT: Duration = Duration::from_secs(1);

/// A caller who waits for an answer. Unless the final word came, dropping it
/// tells the core that the caller left.
pub(super) struct Caller {
    side: CallerSide,
    control: flume::Sender<Input>,
    answered: bool,
}

impl Caller {
    pub(super) fn new(side: CallerSide, control: flume::Sender<Input>) -> Caller {
        Caller {
            side,
            control,
            answered: false,
        }
    }

    fn request(&self) -> RequestId {
        self.side.request()
    }

    /// Waits for what comes next, as long as it takes: the core gives every
    /// request its final word by the request's deadline.
    fn next(&mut self) -> CallerEvent {
        loop {
            if let Some(event) = self.next_within(WAIT) {
                return event;
            }
            if self.control.is_disconnected() {
                self.answered = true;
                return ended();
            }
        }
    }

    fn next_within(&mut self, wait: Duration) -> Option<CallerEvent> {
        let event = self.side.next(wait);
        if matches!(event, Some(CallerEvent::End { .. })) {
            self.answered = true;
        }
        event
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        // First, so that no frame passes once the core knows.
        self.side.close();
        if !self.answered {
            let request = self.request();
            let _ = self.control.send(Input::CallerGone { request });
        }
    }
}

/// Returns the final word of a process whose control thread has ended.
fn ended() -> CallerEvent {
    let refusal = Refusal::may_have_run(Reason::Unavailable, "this instance has ended");
    CallerEvent::End {
        reply: Reply::Refused(refusal),
        finish: None,
    }
}

/// Writes an engine's answer once it is whole.
pub(super) fn whole(req: Request, mut caller: Caller, shape: &Shape) {
    let mut answer = String::new();
    let mut length = 0;
    let request = caller.request();
    let word = loop {
        match caller.next() {
            CallerEvent::Text { text, tokens } => {
                answer.push_str(&text);
                length += tokens;
            }
            CallerEvent::Body { .. } => {}
            CallerEvent::End { reply, finish } => break (reply, finish),
        }
    };
    let answer = match word {
        (Reply::Complete, finish) => {
            let finish = finish.unwrap_or(Finish::Stop);
            Answer::json(200, &shape.whole(&answer, length, finish))
                .map(|answer| answer.with_header("X-Request-Id", request.to_string()))
        }
        (Reply::Recorded { status, body }, _) => Ok(recorded(request, status, body)),
        (Reply::Refused(refusal), _) => Err(refusal),
    };
    answer
        .unwrap_or_else(|refusal| Answer::refusal(&refusal, Some(request)))
        .send(req);
}

/// Writes a plain service's answer once the core has said that it stands.
pub(super) fn service(req: Request, mut caller: Caller) {
    let request = caller.request();
    let mut answer = None;
    let reply = loop {
        match caller.next() {
            CallerEvent::Body { status, body } => answer = Some((status, body)),
            CallerEvent::Text { .. } => {}
            CallerEvent::End { reply, .. } => break reply,
        }
    };
    let answer = match (reply, answer) {
        (Reply::Complete, Some((status, body))) => recorded(request, status, body),
        (Reply::Recorded { status, body }, _) => recorded(request, status, body),
        (Reply::Complete, None) => {
            let text = "the answer was lost on this instance";
            let refusal = Refusal::may_have_run(Reason::BackendFailed, text);
            Answer::refusal(&refusal, Some(request))
        }
        (Reply::Refused(refusal), _) => Answer::refusal(&refusal, Some(request)),
    };
    answer.send(req);
}

fn recorded(request: RequestId, status: u16, body: Vec<u8>) -> Answer {
    Answer::new(status, "application/json", body).with_header("X-Request-Id", request.to_string())
}

/// Streams an engine's answer.
///
/// The head waits a while for the first event, so that an early refusal is
/// answered with its own status.
pub(super) fn stream(
    req: Request,
    mut caller: Caller,
    shape: &Shape,
    usage: bool,
    interval: Duration,
) {
    let first = caller.next_within(interval);
    if let Some(CallerEvent::End {
        reply: Reply::Refused(refusal),
        ..
    }) = &first
    {
        Answer::refusal(refusal, Some(caller.request())).send(req);
        return;
    }
    let Ok(events) = Events::start(req, caller.request()) else {
        return;
    };
    let stream = Stream {
        events,
        shape,
        usage,
        tokens: 0,
        begun: false,
    };
    // An error means that the caller left; dropping `caller` tells the core.
    let _ = stream.run(&mut caller, first, interval);
}

struct Stream<'a> {
    events: Events,
    shape: &'a Shape,
    usage: bool,
    tokens: u32,
    begun: bool,
}

impl Stream<'_> {
    fn run(
        mut self,
        caller: &mut Caller,
        first: Option<CallerEvent>,
        interval: Duration,
    ) -> io::Result<()> {
        let mut event = first;
        loop {
            match event {
                None if caller.control.is_disconnected() => {
                    caller.answered = true;
                    event = Some(ended());
                    continue;
                }
                None => self.events.comment()?,
                Some(CallerEvent::Text { text, tokens }) => self.text(&text, tokens)?,
                Some(CallerEvent::Body { .. }) => {}
                Some(CallerEvent::End { reply, finish }) => return self.end(reply, finish),
            }
            event = caller.next_within(interval);
        }
    }

    fn text(&mut self, text: &str, tokens: u32) -> io::Result<()> {
        self.tokens += tokens;
        let first = !std::mem::replace(&mut self.begun, true);
        self.events.data(&self.shape.part(text, first))
    }

    /// Ends the stream: as whole only if the core says that it is.
    fn end(mut self, reply: Reply, finish: Option<Finish>) -> io::Result<()> {
        match (reply, finish) {
            (Reply::Complete, Some(finish)) => {
                self.events.data(&self.shape.last(finish))?;
                if self.usage {
                    self.events.data(&self.shape.usage_part(self.tokens))?;
                }
                self.events.done()
            }
            (Reply::Refused(refusal), _) => self.fail(&refusal),
            (Reply::Complete | Reply::Recorded { .. }, _) => {
                let text = "the end of the answer was lost on this instance";
                self.fail(&Refusal::may_have_run(Reason::BackendFailed, text))
            }
        }
    }

    fn fail(&mut self, refusal: &Refusal) -> io::Result<()> {
        let body = error_body(refusal, Some(self.shape.request));
        self.events.error(&body)
    }
}
