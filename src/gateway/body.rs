//! Reading of bodies within the memory budget.
//!
//! A body is copied into one buffer as it arrives, so that many small chunks cost
//! no more than a single large one. Before a request's body takes anything from
//! the budget, the request is checked, so that one without a route or a key holds
//! nothing. If the budget is used up, the slowest and largest of the bodies that
//! are being read yields.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::gateway::body_reads::BodyReads;
use crate::gateway::body_reads::ReadingBody;
use crate::gateway::connection::ConnectionCount;
use crate::gateway::memory_budget::Exhausted;
use crate::gateway::memory_budget::Holder;
use crate::gateway::memory_budget::LeasedBuffer;
use crate::gateway::memory_budget::MemoryBudget;
use crate::gateway::memory_budget::UNLEASED_BYTES;
use crate::verdict::Refusal;

/// Time within which a body that has to yield gives its memory back.
const YIELD_TIME: Duration = Duration::from_millis(200);
/// Bodies that are asked to yield for one that makes progress.
const MAX_YIELDS: usize = 8;
/// Time for which the rest of a body is read after its request was refused, so
/// that the caller sees the refusal and not a reset connection.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Bytes of such a rest.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
/// Rests that are read at a time; others are reset, as reading costs time that
/// ordinary callers need.
const MAX_DISCARDS: usize = 64;

/// Why a request's body was not read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// The connection ended inside it.
    Broken,
    /// The memory budget is used up.
    NoMemory,
    /// The request was refused when it was checked.
    Refused(Refusal),
}

/// Why an answer was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerError {
    /// It is larger than allowed.
    TooLarge,
    /// The connection ended inside it.
    Broken,
}

/// What the reading of bodies shares.
#[derive(Debug, Clone)]
pub struct BodyContext {
    /// The budget.
    pub budget: MemoryBudget,
    /// Bodies that are being read.
    pub reads: BodyReads,
    /// The clock.
    pub clock: Clock,
    /// Refused bodies whose rest is being read.
    pub discards: ConnectionCount,
}

impl BodyContext {
    /// Reads a request's body of at most `limit` bytes. Calls `check` before it
    /// holds more than what needs no lease.
    ///
    /// # Errors
    ///
    /// Returns why there is no body.
    pub async fn read_request<F>(
        &self,
        body: &mut Incoming,
        limit: usize,
        check: F,
    ) -> Result<Bytes, BodyError>
    where
        F: Future<Output = Result<(), Refusal>>,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let declared = body.size_hint().exact();
        let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if declared.is_some_and(|length| length > limit) {
            return Err(BodyError::TooLarge);
        }
        let mut check = Some(check);
        if let Some(length) = declared
            && length > UNLEASED_BYTES
        {
            if let Some(check) = check.take() {
                check.await.map_err(BodyError::Refused)?;
            }
            let reclaimable = self.reads.stalled_bytes(self.clock.now());
            let needed = length.saturating_sub(reclaimable);
            if !self.budget.has_room(Holder::Bodies, needed) {
                return Err(BodyError::NoMemory);
            }
        }
        let lease = self.budget.lease(Holder::Bodies);
        let mut buf = LeasedBuffer::new(lease, declared.unwrap_or(limit));
        let mut reading = None;
        loop {
            let data = match &reading {
                None => next_data(body).await,
                Some(reading) => tokio::select! {
                    biased;
                    data = next_data(body) => data,
                    () = ReadingBody::yielded(reading) => return Err(BodyError::NoMemory),
                },
            };
            let Some(data) = data.map_err(|()| BodyError::Broken)? else {
                return Ok(buf.into_bytes());
            };
            // Spares the copy of a small body that arrived in one piece.
            if buf.is_empty() && declared == Some(data.len()) && data.len() <= UNLEASED_BYTES {
                return Ok(data);
            }
            let length = buf.len().saturating_add(data.len());
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            if length > UNLEASED_BYTES {
                if let Some(check) = check.take() {
                    check.await.map_err(BodyError::Refused)?;
                }
                let reading = reading.get_or_insert_with(|| self.reads.begin(self.clock.now()));
                self.reserve(&mut buf, data.len(), reading).await?;
                buf.append(&data);
                reading.progress(self.clock.now(), &buf);
            } else {
                // No lease is needed.
                let _ = buf.reserve(data.len());
                buf.append(&data);
            }
        }
    }

    /// Reads the rest of a refused body without keeping it, within bounds.
    pub fn discard(&self, mut body: Incoming) {
        if self.discards.get() >= MAX_DISCARDS {
            return;
        }
        let counted = self.discards.count_connection();
        spawn_local(async move {
            // What is left after that is not waited for.
            let _ = timeout(DISCARD_TIME, discard_whole(&mut body, MAX_DISCARDED_BYTES)).await;
            drop(counted);
        });
    }

    /// Makes room for bytes that have arrived; others that are slower or larger
    /// yield for them.
    async fn reserve(
        &self,
        buf: &mut LeasedBuffer,
        added: usize,
        reading: &ReadingBody,
    ) -> Result<(), BodyError> {
        for _ in 0..MAX_YIELDS {
            if buf.reserve(added) == Ok(()) {
                return Ok(());
            }
            match self.reads.yield_one(self.clock.now()) {
                Some(id) if id != reading.id() => {}
                _ => return Err(BodyError::NoMemory),
            }
            if timeout(YIELD_TIME, buf.wait_to_reserve(added))
                .await
                .is_ok()
            {
                return Ok(());
            }
        }
        Err(BodyError::NoMemory)
    }
}

/// Reads an answer of at most `limit` bytes. Waits while the budget is used up:
/// its server has run the request.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn read_answer(
    budget: &MemoryBudget,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, AnswerError> {
    let declared = body.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > limit) {
        return Err(AnswerError::TooLarge);
    }
    let lease = budget.lease(Holder::Answers);
    let mut buf = LeasedBuffer::new(lease, declared.unwrap_or(limit));
    while let Some(data) = next_data(&mut body)
        .await
        .map_err(|()| AnswerError::Broken)?
    {
        if buf.is_empty() && declared == Some(data.len()) && data.len() <= UNLEASED_BYTES {
            return Ok(data);
        }
        if buf.len().saturating_add(data.len()) > limit {
            return Err(AnswerError::TooLarge);
        }
        if buf.reserve(data.len()) == Err(Exhausted) {
            buf.wait_to_reserve(data.len()).await;
        }
        buf.append(&data);
    }
    Ok(buf.into_bytes())
}

/// Reads at most `limit` bytes of a body without keeping them; returns whether
/// these were all.
pub async fn discard_whole(body: &mut Incoming, limit: usize) -> bool {
    let mut left = limit;
    loop {
        match next_data(body).await {
            Ok(None) => return true,
            Ok(Some(data)) if data.len() <= left => left -= data.len(),
            Ok(Some(_)) | Err(()) => return false,
        }
    }
}

/// Returns the next bytes of a body; `None` at its end.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, ()> {
    while let Some(frame) = body.frame().await {
        match frame.map_err(|_| ())?.into_data() {
            Ok(data) if data.is_empty() => {}
            Ok(data) => return Ok(Some(data)),
            Err(_trailers) => {}
        }
    }
    Ok(None)
}
