//! Reading the platform's store: all items once, then each change.
//!
//! A watch waits only shortly, as each answer also proves how fresh the
//! configuration is: what is known is true as of the time at which the store
//! was asked. When the store has dropped the history that a watch needs, all
//! items are read again.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use tokio::time::sleep;

use crate::adapter::store;
use crate::adapter::store::Call;
use crate::adapter::store::Change;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::gateway::instances::Member;
use crate::gateway::message::Fact;
use crate::gateway::message::Input;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::Upstream;

/// Time that a watch waits in the store: two of them fit into the time within
/// which a change of the configuration has to be in force.
const WATCH_WAIT: Millis = Millis(900);
/// Time limit of a call beyond what it waits; the store answers in ms.
const CALL_LIMIT: Duration = Duration::from_millis(700);
/// Pause after a failed call; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between calls: a store that is back is seen soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Life of an instance's entry without renewal.
const ENTRY_TTL: Millis = Millis(30_000);
/// Period at which the entry is renewed.
const ENTRY_RENEWAL: Duration = Duration::from_secs(10);

/// Reads the store and tells the control thread.
#[derive(Debug)]
pub struct Feed {
    addr: String,
    upstream: Upstream,
    clock: Clock,
    inputs: Sender<Input>,
    /// Revision of the newest change of each key, so that an older state never
    /// replaces a newer one.
    seen: HashMap<String, u64>,
    config_revision: u64,
}

/// Why the store gave nothing.
enum FeedError {
    /// The history that a watch needs is gone.
    Compacted,
    Call(String),
}

impl Feed {
    /// Returns a feed that has read nothing.
    #[must_use]
    pub fn new(addr: String, upstream: Upstream, clock: Clock, inputs: Sender<Input>) -> Feed {
        Feed {
            addr,
            upstream,
            clock,
            inputs,
            seen: HashMap::new(),
            config_revision: 0,
        }
    }

    /// Reads until the process ends.
    pub async fn run(mut self) {
        let mut revision = None;
        let mut pause = FIRST_PAUSE;
        loop {
            let result = match revision {
                None => self.read_all().await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(next) => {
                    revision = Some(next);
                    pause = FIRST_PAUSE;
                }
                Err(FeedError::Compacted) => {
                    log::warn!(revision = revision.unwrap_or_default(); "store dropped its history; all items are read again");
                    revision = None;
                }
                Err(FeedError::Call(cause)) => {
                    log::warn!(cause = cause.as_str(), pause_ms = pause.as_millis() as u64; "store call failed");
                    self.tell(Input::StoreLost);
                    sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    async fn read_all(&mut self) -> Result<u64, FeedError> {
        let asked_at = self.clock.now();
        let mut changes = Vec::new();
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let bytes = self
                .call(&store::read_all(after.as_deref()), CALL_LIMIT)
                .await?;
            let page = decode(&bytes)?;
            // Pages are no snapshot: what changes between them is watched.
            let revision = *first_revision.get_or_insert(page.revision);
            after = page.changes.last().map(|change| change.key.clone());
            changes.extend(page.changes);
            if !page.more || after.is_none() {
                self.pass_on(asked_at, true, changes);
                return Ok(revision);
            }
        }
    }

    async fn watch(&mut self, after: u64) -> Result<u64, FeedError> {
        let asked_at = self.clock.now();
        let limit = CALL_LIMIT + WATCH_WAIT.as_duration();
        let bytes = self
            .call(&store::watch_all(after, WATCH_WAIT), limit)
            .await?;
        let page = decode(&bytes)?;
        self.pass_on(asked_at, false, page.changes);
        Ok(page.revision.max(after))
    }

    async fn call(&self, call: &Call, limit: Duration) -> Result<Bytes, FeedError> {
        let answer = call_store(&self.upstream, &self.addr, call, limit).await;
        let answer = answer.map_err(|error| FeedError::Call(error.to_string()))?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            StatusCode::GONE => Err(FeedError::Compacted),
            status => Err(FeedError::Call(format!("status {status}"))),
        }
    }

    fn pass_on(&mut self, asked_at: Millis, complete: bool, changes: Vec<Change>) {
        let mut facts: Vec<Fact> = Vec::new();
        for change in changes {
            let known = self.seen.get(&change.key).copied().unwrap_or_default();
            if change.revision < known {
                continue;
            }
            self.seen.insert(change.key.clone(), change.revision);
            if store::is_operators(&change.key) {
                self.config_revision = self.config_revision.max(change.revision);
            }
            match store::fact(&change) {
                Ok(Some(fact)) => facts.push(fact),
                Ok(None) => {}
                Err(error) => {
                    log::warn!(error:% = error, revision = change.revision; "item ignored")
                }
            }
        }
        self.tell(Input::Facts {
            asked_at,
            complete,
            config_revision: self.config_revision,
            facts,
        });
    }

    fn tell(&self, input: Input) {
        // The control thread ends only with the process.
        let _ = self.inputs.send(input);
    }
}

/// Keeps this instance's entry in the store until the process ends.
pub async fn keep_entry(addr: Rc<String>, upstream: Upstream, member: Member) {
    let mut pause = FIRST_PAUSE;
    loop {
        match write_entry(&addr, &upstream, &member).await {
            Ok(lease) => {
                pause = FIRST_PAUSE;
                renew(&addr, &upstream, lease).await;
            }
            Err(cause) => {
                log::warn!(cause = cause.as_str(); "own entry not written");
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn write_entry(addr: &str, upstream: &Upstream, member: &Member) -> Result<u64, String> {
    let answer = call_store(upstream, addr, &store::grant_lease(ENTRY_TTL), CALL_LIMIT)
        .await
        .map_err(|error| error.to_string())?;
    let lease = store::decode_lease(answer.body()).map_err(|error| error.to_string())?;
    let answer = call_store(upstream, addr, &store::register(member, lease), CALL_LIMIT)
        .await
        .map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()));
    }
    Ok(lease)
}

/// Renews a lease until it has ended.
async fn renew(addr: &str, upstream: &Upstream, lease: u64) {
    loop {
        sleep(ENTRY_RENEWAL).await;
        let answer = call_store(upstream, addr, &store::renew_lease(lease), CALL_LIMIT).await;
        match answer {
            Ok(answer) if answer.status() == StatusCode::NOT_FOUND => return,
            Ok(_) => {}
            Err(error) => log::info!(error:% = error; "own entry not renewed"),
        }
    }
}

async fn call_store(
    upstream: &Upstream,
    addr: &str,
    call: &Call,
    limit: Duration,
) -> Result<http::Response<Bytes>, CallError> {
    let request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, addr)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(call.body.clone()))
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    upstream.call(addr, request, limit).await
}

fn decode(bytes: &[u8]) -> Result<store::Changes, FeedError> {
    store::decode_changes(bytes).map_err(|error| FeedError::Call(error.to_string()))
}
