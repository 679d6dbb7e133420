//! Commands of callers.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::time::Duration;

use attohttpc::RequestBuilder;
use attohttpc::Response;
use attohttpc::body::Bytes;
use serde_json::Value;
use serde_json::json;

use super::Cli;
use super::args::Ask;
use super::args::Call;
use super::args::Output;
use super::client::ErrorBody;
use super::client::address;
use super::client::token;
use super::exit::Exit;
use super::exit::Failure;

/// Time limit for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Time without a byte after which a plain service's answer is given up.
const CALL_SILENCE: Duration = Duration::from_secs(120);
/// Longest text read from the standard input, in bytes.
const MAX_INPUT_BYTES: u64 = 256 * 1024 * 1024;

impl Cli<'_> {
    pub(super) fn ask(&mut self, args: &Ask) -> Result<(), Failure> {
        let mut body = json!({
            "model": args.model,
            "stream": self.output == Output::Text,
            "messages": [{"role": "user", "content": or_stdin(&args.prompt)?}],
        });
        if let Some(max_tokens) = args.max_tokens {
            body["max_tokens"] = json!(max_tokens);
        }
        let silence = Duration::from_secs(args.silence_seconds);
        let mut request = self.post("/v1/chat/completions", silence)?;
        if let Some(kind) = &args.kind {
            request = request.header("X-Request-Kind", kind);
        }
        let response = self.exchange(request.bytes(body.to_string().into_bytes()))?;
        match self.output {
            Output::Text => self.stream(response),
            Output::Json => {
                let text = response.text().map_err(|error| broken(&error))?;
                self.line(text)
            }
        }
    }

    pub(super) fn call(&mut self, args: &Call) -> Result<(), Failure> {
        let path = format!("/v1/services/{}/{}", args.service, args.operation);
        let mut request = self.post(&path, CALL_SILENCE)?;
        if let Some(key) = &args.key {
            request = request.header("Idempotency-Key", key);
        }
        let body = or_stdin(&args.body)?.into_bytes();
        let response = self.exchange(request.bytes(body))?;
        let text = response.text().map_err(|error| broken(&error))?;
        self.line(text)
    }

    fn post(&self, path: &str, silence: Duration) -> Result<RequestBuilder, Failure> {
        let addr = address(&self.callers)?;
        let token = token(self.token_file.as_deref())?;
        let request = attohttpc::post(format!("http://{addr}{path}"))
            .connect_timeout(CONNECT_LIMIT)
            .read_timeout(silence)
            .follow_redirects(false)
            .header("Content-Type", "application/json")
            .bearer_auth(token.expose());
        Ok(request)
    }

    /// Sends a request; an answer that is no success becomes a failure.
    fn exchange(&self, request: RequestBuilder<Bytes<Vec<u8>>>) -> Result<Response, Failure> {
        let response = request.send().map_err(|error| {
            let text = format!("no answer from {}: {error}", self.callers);
            match error.to_string().contains("refused") {
                true => Failure::new(Exit::Unreachable, text),
                false => Failure::new(Exit::MayHaveRun, text),
            }
        })?;
        if response.is_success() {
            return Ok(response);
        }
        let status = response.status();
        let text = response.text().unwrap_or_default();
        Err(match serde_json::from_str::<ErrorBody>(&text) {
            Ok(body) => body.error.failure(),
            Err(_) => {
                let text = format!("unexpected answer from {}: status {status}", self.callers);
                Failure::new(Exit::MayHaveRun, text)
            }
        })
    }

    /// Writes a streamed answer as it comes; only `[DONE]` makes it whole.
    fn stream(&mut self, response: Response) -> Result<(), Failure> {
        let (_, _, reader) = response.split();
        for line in BufReader::new(reader).lines() {
            let line = line.map_err(|error| broken(&error))?;
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return self.line("");
            }
            if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
                self.line("")?;
                return Err(body.error.failure());
            }
            self.part(data)?;
        }
        self.line("")?;
        let text = "the answer broke off before it was whole";
        Err(Failure::new(Exit::MayHaveRun, text))
    }

    fn part(&mut self, data: &str) -> Result<(), Failure> {
        let part: Value = serde_json::from_str(data).unwrap_or_default();
        let text = part["choices"][0]["delta"]["content"].as_str();
        let written = write!(self.out, "{}", text.unwrap_or_default());
        written
            .and_then(|()| self.out.flush())
            .map_err(|error| Failure::output(&error))
    }
}

fn broken(error: &dyn std::fmt::Display) -> Failure {
    Failure::new(Exit::MayHaveRun, format!("the answer broke off: {error}"))
}

/// Returns a text, or for `-` what the standard input gives.
fn or_stdin(text: &str) -> Result<String, Failure> {
    if text != "-" {
        return Ok(text.to_owned());
    }
    let mut read = String::new();
    std::io::stdin()
        .take(MAX_INPUT_BYTES)
        .read_to_string(&mut read)
        .map_err(|error| Failure::usage(format!("standard input: {error}")))?;
    Ok(read)
}
