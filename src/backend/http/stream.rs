//! Calls to engines, which answer with a stream of frames.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::time::Instant;

use attohttpc::Response;
use serde::Serialize;

use super::AttemptEnd;
use super::AttemptEvent;
use super::Call;
use super::CallOutput;
use super::HttpSettings;
use super::broken;
use super::frame::Frame;
use super::frame::MAX_LINE_BYTES;
use super::frame::parse_frame;
use super::is_timeout;
use super::send;
use super::silent;
use crate::backend::CallStart;
use crate::backend::Prompt;
use crate::relay::AnswerPrefix;
use crate::relay::Finish;
use crate::relay::PushResult;

#[derive(Serialize)]
struct Submit<'a> {
    request: String,
    attempt: u32,
    owner: &'a str,
    epoch: u64,
    priority: u8,
    model: &'a str,
    prompt: &'a str,
    prompt_tokens: u64,
    prefix: u64,
    max_tokens: u32,
    offset: u32,
    generated: &'a str,
}

#[derive(Serialize)]
struct Resume<'a> {
    request: String,
    attempt: u32,
    owner: &'a str,
    epoch: u64,
    offset: u32,
}

/// Sends the call and reads its stream to the end.
pub(super) fn run(
    cfg: &HttpSettings,
    call: &Call,
    prompt: &Prompt,
    prefix: &AnswerPrefix,
    output: &mut CallOutput,
) -> AttemptEnd {
    let (path, body) = match call.start {
        CallStart::Fresh | CallStart::Continue { .. } => {
            ("generate", submit(cfg, call, prompt, prefix))
        }
        CallStart::Resume { .. } => ("resume", resume(cfg, call, prefix)),
    };
    let Ok(body) = body else {
        return AttemptEnd::Rejected(super::Rejection::Invalid);
    };
    let request = attohttpc::post(format!("http://{}/v1/{path}", call.addr))
        .header("Content-Type", "application/json");
    match send(cfg, call, output, request, body) {
        Err(end) => end,
        Ok(response) => {
            output.send_event(AttemptEvent::Accepted);
            read_stream(call, prompt.max_tokens, response, output)
        }
    }
}

fn submit(
    cfg: &HttpSettings,
    call: &Call,
    prompt: &Prompt,
    prefix: &AnswerPrefix,
) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Submit {
        request: call.attempt.request.to_string(),
        attempt: call.attempt.number,
        owner: &cfg.owner,
        epoch: call.epoch.0,
        priority: call.priority,
        model: &prompt.model,
        prompt: &prompt.text,
        prompt_tokens: prompt.tokens,
        prefix: prompt.prefix,
        max_tokens: prompt.max_tokens,
        offset: prefix.offset,
        generated: &prefix.text,
    })
}

fn resume(cfg: &HttpSettings, call: &Call, prefix: &AnswerPrefix) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Resume {
        request: call.attempt.request.to_string(),
        attempt: call.attempt.number,
        owner: &cfg.owner,
        epoch: call.epoch.0,
        offset: prefix.offset,
    })
}

/// Reads a stream to its end.
fn read_stream(
    call: &Call,
    max_tokens: u32,
    response: Response,
    output: &mut CallOutput,
) -> AttemptEnd {
    let mut lines = BufReader::new(response);
    let mut line = Vec::new();
    let mut last_progress = Instant::now();
    loop {
        line.clear();
        let line_read = next_line(&mut lines, &mut line);
        if output.side().is_dropped() {
            let offset = output.side().offset();
            return AttemptEnd::Cancelled { offset };
        }
        if let Err(end) = line_read {
            let offset = output.side().offset();
            return end.attempt_end(offset);
        }
        match handle_frame(call, max_tokens, parse_frame(&line), output) {
            Step::End(end) => return end,
            Step::Progress => last_progress = Instant::now(),
            Step::NoProgress if last_progress.elapsed() >= call.silence.as_duration() => {
                return silent(output.side().offset());
            }
            Step::NoProgress => {}
        }
    }
}

/// Why no line could be read.
enum LineError {
    Silent,
    Broken,
}

impl LineError {
    fn attempt_end(self, offset: u32) -> AttemptEnd {
        match self {
            LineError::Silent => silent(offset),
            LineError::Broken => broken(offset),
        }
    }
}

impl From<io::Error> for LineError {
    fn from(error: io::Error) -> LineError {
        match is_timeout(&error) {
            true => LineError::Silent,
            false => LineError::Broken,
        }
    }
}

/// Reads one line. A line without a line feed (body ended or line too long)
/// counts as broken.
fn next_line(lines: &mut impl BufRead, line: &mut Vec<u8>) -> Result<(), LineError> {
    lines.take(MAX_LINE_BYTES).read_until(b'\n', line)?;
    match line.last() {
        Some(b'\n') => Ok(()),
        _ => Err(LineError::Broken),
    }
}

/// Effect of a frame on the attempt.
enum Step {
    Progress,
    NoProgress,
    End(AttemptEnd),
}

fn handle_frame(call: &Call, max_tokens: u32, frame: Frame, output: &mut CallOutput) -> Step {
    match frame {
        Frame::KeepAlive => Step::Progress,
        Frame::Malformed => Step::End(broken(output.side().offset())),
        Frame::Token { attempt, .. } | Frame::Finish { attempt, .. } if attempt != call.attempt => {
            output.side().count_stale();
            Step::NoProgress
        }
        Frame::Token { offset, .. } if offset >= max_tokens => {
            Step::End(broken(output.side().offset()))
        }
        Frame::Token { offset, text, .. } => handle_token(offset, &text, output),
        Frame::Finish { offset, finish, .. } => Step::End(finish_stream(offset, finish, output)),
    }
}

fn handle_token(offset: u32, text: &str, output: &mut CallOutput) -> Step {
    match output.side().push(offset, text) {
        PushResult::Accepted => {
            output.first_token();
            output.progress(offset + 1);
            Step::Progress
        }
        PushResult::Stale => Step::Progress,
        PushResult::Gap => Step::End(broken(output.side().offset())),
        PushResult::Closed => {
            let offset = output.side().offset();
            Step::End(AttemptEnd::Cancelled { offset })
        }
    }
}

/// Returns the end of a finished stream. The answer is complete only if the
/// relay has received as many tokens as the engine reports.
fn finish_stream(tokens: u32, finish: Finish, output: &CallOutput) -> AttemptEnd {
    let offset = output.side().offset();
    if offset != tokens {
        return broken(offset);
    }
    output.side().set_finish(finish);
    AttemptEnd::Whole { tokens }
}
