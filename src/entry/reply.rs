//! Writes answers to callers as their relays deliver them.

use std::io;
use std::time::Duration;

use tiny_http::Request;

use super::error::error_body;
use super::http::Answer;
use super::openai::ResponseFormat;
use super::sse::Events;
use crate::control::Input;
use crate::control::Reply;
use crate::id::RequestId;
use crate::relay::CallerEvent;
use crate::relay::CallerSide;
use crate::relay::Finish;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Interval at which a waiting thread checks whether the core still runs.
const CORE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A caller that waits for an answer. Dropping it before the final event
/// reports to the core that the caller disconnected.
pub(super) struct Caller {
    side: CallerSide,
    control: flume::Sender<Input>,
    finished: bool,
}

impl Caller {
    pub(super) fn new(side: CallerSide, control: flume::Sender<Input>) -> Caller {
        Caller {
            side,
            control,
            finished: false,
        }
    }

    fn request(&self) -> RequestId {
        self.side.request()
    }

    /// Waits for the next event without a time limit: the core completes every
    /// request by its deadline.
    fn next(&mut self) -> CallerEvent {
        loop {
            if let Some(event) = self.next_within(CORE_CHECK_INTERVAL) {
                return event;
            }
            if self.control.is_disconnected() {
                self.finished = true;
                return core_ended();
            }
        }
    }

    fn next_within(&mut self, wait: Duration) -> Option<CallerEvent> {
        let event = self.side.next(wait);
        if matches!(event, Some(CallerEvent::End { .. })) {
            self.finished = true;
        }
        event
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        // Closed first, so that no frame is delivered after the core is notified.
        self.side.close();
        if !self.finished {
            let request = self.request();
            let _ = self.control.send(Input::CallerGone { request });
        }
    }
}

/// Returns the final event for a caller whose control thread has ended.
fn core_ended() -> CallerEvent {
    let refusal = Refusal::may_have_run(Reason::Unavailable, "this instance has ended");
    CallerEvent::End {
        reply: Reply::Refused(refusal),
        finish: None,
    }
}

/// Writes an engine's answer once it is complete.
pub(super) fn whole(req: Request, mut caller: Caller, format: &ResponseFormat) {
    let mut answer = String::new();
    let mut output_tokens = 0;
    let request = caller.request();
    let outcome = loop {
        match caller.next() {
            CallerEvent::Text { text, tokens } => {
                answer.push_str(&text);
                output_tokens += tokens;
            }
            CallerEvent::Body { .. } => {}
            CallerEvent::End { reply, finish } => break (reply, finish),
        }
    };
    let answer = match outcome {
        (Reply::Complete, finish) => {
            let finish = finish.unwrap_or(Finish::Stop);
            Answer::json(200, &format.complete(&answer, output_tokens, finish))
                .map(|answer| answer.with_header("X-Request-Id", request.to_string()))
        }
        (Reply::Recorded { status, body }, _) => Ok(recorded(request, status, body)),
        (Reply::Refused(refusal), _) => Err(refusal),
    };
    answer
        .unwrap_or_else(|refusal| Answer::refusal(&refusal, Some(request)))
        .send(req);
}

/// Writes a plain service's answer once the core has confirmed it.
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
/// The response head is held back up to `interval` for the first event, so that
/// an early refusal is sent with its own status code.
pub(super) fn stream(
    req: Request,
    mut caller: Caller,
    format: &ResponseFormat,
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
        format,
        usage,
        tokens: 0,
        role_sent: false,
    };
    // An error means that the caller disconnected; dropping `caller` reports it.
    let _ = stream.run(&mut caller, first, interval);
}

struct Stream<'a> {
    events: Events,
    format: &'a ResponseFormat,
    usage: bool,
    tokens: u32,
    role_sent: bool,
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
                    caller.finished = true;
                    event = Some(core_ended());
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
        let first = !std::mem::replace(&mut self.role_sent, true);
        self.events.data(&self.format.text_chunk(text, first))
    }

    /// Ends the stream, as complete only if the core has confirmed it.
    fn end(mut self, reply: Reply, finish: Option<Finish>) -> io::Result<()> {
        match (reply, finish) {
            (Reply::Complete, Some(finish)) => {
                self.events.data(&self.format.finish_chunk(finish))?;
                if self.usage {
                    self.events.data(&self.format.usage_chunk(self.tokens))?;
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
        let body = error_body(refusal, Some(self.format.request));
        self.events.error(&body)
    }
}
