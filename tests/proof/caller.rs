//! A caller: what it asked, what it read, and how it ended.

use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use skylarkhook::backend::Prompt;
use skylarkhook::backend::ServiceCall;
use skylarkhook::backend::Work;
use skylarkhook::clock::Millis;
use skylarkhook::control::Reply;
use skylarkhook::control::Submission;
use skylarkhook::id::Fingerprint;
use skylarkhook::id::RequestId;
use skylarkhook::relay::CallerEvent;
use skylarkhook::relay::CallerSide;
use skylarkhook::verdict::Refusal;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    Whole,
    Refused(Refusal),
    /// The instance died under it.
    Cut,
    /// The caller left.
    Gone,
}

#[derive(Debug)]
pub struct Caller {
    pub node: String,
    pub kind: String,
    pub work: Arc<Work>,
    pub submitted: Millis,
    pub first_token: Option<Millis>,
    pub ended: Option<(Millis, End)>,
    pub text: String,
    pub answer: Option<Vec<u8>>,
    request: RequestId,
    workspace: String,
    side: Option<CallerSide>,
}

impl Caller {
    pub fn prompt(request: u64, kind: &str, workspace: &str, tokens: u64, output: u32) -> Caller {
        let work = Work::Prompt(Prompt {
            model: super::world::MODEL.to_owned(),
            text: format!("prompt {request}"),
            tokens,
            prefix: request,
            max_tokens: output,
        });
        Caller::new(request, kind, workspace, work)
    }

    pub fn poison(request: u64, workspace: &str) -> Caller {
        let work = Work::Prompt(Prompt {
            model: super::world::MODEL.to_owned(),
            text: "poison".to_owned(),
            tokens: 1_000,
            prefix: 0,
            max_tokens: 20,
        });
        Caller::new(request, "poison", workspace, work)
    }

    pub fn call(request: u64, workspace: &str, key: &str) -> Caller {
        let work = Work::Service(ServiceCall {
            service: "callbacks".to_owned(),
            operation: "log".to_owned(),
            body: format!("body of {key}").into_bytes(),
            idempotency_key: Some(key.to_owned()),
        });
        Caller::new(request, "outcome", workspace, work)
    }

    fn new(request: u64, kind: &str, workspace: &str, work: Work) -> Caller {
        Caller {
            node: String::new(),
            kind: kind.to_owned(),
            work: Arc::new(work),
            submitted: Millis::ZERO,
            first_token: None,
            ended: None,
            text: String::new(),
            answer: None,
            request: RequestId(request),
            workspace: workspace.to_owned(),
            side: None,
        }
    }

    pub fn request(&self) -> RequestId {
        self.request
    }

    pub fn token(offset: u32) -> String {
        format!("t{offset} ")
    }

    pub fn open(&mut self, now: Millis, node: &str, side: CallerSide) {
        self.submitted = now;
        self.node = node.to_owned();
        self.side = Some(side);
    }

    pub fn submission(&self) -> Submission {
        let fingerprint = match &*self.work {
            Work::Prompt(prompt) if prompt.text == "poison" => Fingerprint(13),
            _ => Fingerprint(self.request.0 + 1_000),
        };
        Submission {
            request: self.request,
            token_sha256: token_sha256(&self.workspace),
            kind: Some(match self.kind.as_str() {
                "poison" => "summary".to_owned(),
                kind => kind.to_owned(),
            }),
            time_limit: None,
            importance: None,
            fingerprint,
            work: Arc::clone(&self.work),
        }
    }

    pub fn cut(&mut self, now: Millis) {
        self.side = None;
        self.ended.get_or_insert((now, End::Cut));
    }

    pub fn go(&mut self) {
        self.side = None;
        self.ended.get_or_insert((self.submitted, End::Gone));
    }

    /// Reads all that has come.
    pub fn read(&mut self, now: Millis) {
        while let Some(side) = &self.side {
            let Some(event) = side.next(Duration::ZERO) else {
                return;
            };
            match event {
                CallerEvent::Text { text, .. } => {
                    self.first_token.get_or_insert(now);
                    self.text.push_str(&text);
                }
                CallerEvent::Body { body, .. } => self.answer = Some(body),
                CallerEvent::End { reply, .. } => self.end(now, reply),
            }
        }
    }

    fn end(&mut self, now: Millis, reply: Reply) {
        self.side = None;
        let end = match reply {
            Reply::Complete => End::Whole,
            Reply::Recorded { body, .. } => {
                self.answer = Some(body);
                End::Whole
            }
            Reply::Refused(refusal) => End::Refused(refusal),
        };
        self.ended.get_or_insert((now, end));
    }

    /// Returns whether the caller read exactly the answer it asked for.
    pub fn is_right(&self) -> bool {
        match &*self.work {
            Work::Prompt(prompt) => {
                let expected: String = (0..prompt.max_tokens).map(Caller::token).collect();
                self.text == expected
            }
            Work::Service(call) => self.answer.as_ref() == Some(&call.body),
        }
    }

    /// Returns whether what the caller read is the beginning of its answer.
    pub fn is_prefix(&self) -> bool {
        let expected: String = (0..20_000).map(Caller::token).collect();
        expected.starts_with(&self.text)
    }
}

/// Returns the SHA-256 of a workspace's token, which is its name.
pub fn token_sha256(workspace: &str) -> String {
    let digest = Sha256::digest(workspace);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
