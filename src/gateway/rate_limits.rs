//! Rate limits that backend servers name in their responses.
//!
//! A limit applies to all instances together. It is divided between as many
//! instances as it has requests per second, and a few more, so that each can
//! enforce its share without messages and the first requests of all of them do
//! not exceed the limit. Which instances these are depends on the server.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::gateway::server_table::ServerKey;

/// Instances that share a limit, beyond one for each request per second.
const EXTRA_SHARERS: usize = 2;
/// Time whose requests an instance may send at once after sending none.
const BURST_TIME: Millis = Millis(500);
/// Interval at which a limit that is still named is announced to the other
/// instances.
const ANNOUNCE_PERIOD: Millis = Millis(500);
/// Time after which a limit that no instance has reported again is dropped: an
/// instance without a share may have missed its end.
const EXPIRY: Millis = Millis(60_000);

/// Rate limits of the backend servers that name one.
#[derive(Debug, Default)]
pub struct RateLimits {
    servers: HashMap<ServerKey, RateLimit>,
}

#[derive(Debug)]
struct RateLimit {
    /// Requests per second from all instances together.
    per_s: f64,
    /// When it was last named.
    named_at: Millis,
    /// When this or another instance last announced it.
    announced_at: Millis,
    /// Requests that this instance could send at `counted_at`, fractions
    /// included.
    tokens: f64,
    counted_at: Millis,
}

/// Change of a server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It is this many requests per second from now on.
    Limited(f64),
    /// There is none any more.
    Lifted,
}

/// Where a notice comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A response to a request that this instance sent at this time.
    Response(Millis),
    /// Another instance.
    Peer,
}

impl RateLimits {
    /// Applies what a server stated: a limit in requests per second, or none.
    /// Returns the change.
    pub fn apply_notice(
        &mut self,
        now: Millis,
        server: ServerKey,
        source: Source,
        per_s: Option<f64>,
    ) -> Option<Change> {
        let Some(per_s) = per_s else {
            let limit = self.servers.get(&server)?;
            // The response may have been on its way when the limit was named.
            if matches!(source, Source::Response(sent_at) if sent_at < limit.named_at) {
                return None;
            }
            self.servers.remove(&server);
            return Some(Change::Lifted);
        };
        let mut is_new = false;
        let limit = self.servers.entry(server).or_insert_with(|| {
            is_new = true;
            RateLimit {
                per_s,
                named_at: now,
                announced_at: Millis::ZERO,
                tokens: 0.0,
                counted_at: now,
            }
        });
        let is_changed = is_new || limit.per_s != per_s;
        limit.per_s = per_s;
        limit.named_at = now;
        if source == Source::Peer {
            limit.announced_at = now;
        }
        is_changed.then_some(Change::Limited(per_s))
    }

    /// Returns whether a limit has to be announced to the other instances, and
    /// records that it is.
    pub fn take_announcement(&mut self, now: Millis, server: ServerKey) -> bool {
        let Some(limit) = self.servers.get_mut(&server) else {
            return false;
        };
        let is_due = now.since(limit.announced_at) >= ANNOUNCE_PERIOD;
        if is_due {
            limit.announced_at = now;
        }
        is_due
    }

    /// Drops limits that were not reported for long. Returns their servers.
    pub fn expire(&mut self, now: Millis) -> Vec<ServerKey> {
        let mut expired = Vec::new();
        self.servers.retain(|&server, limit| {
            let is_expired = now.since(limit.named_at) >= EXPIRY;
            if is_expired {
                expired.push(server);
            }
            !is_expired
        });
        expired
    }

    /// Returns the limit of a server in requests per second, if it names one.
    #[must_use]
    pub fn per_s(&self, server: ServerKey) -> Option<f64> {
        self.servers.get(&server).map(|limit| limit.per_s)
    }

    /// Returns the time until an instance whose share is `share_per_s` may send
    /// the next request to a server: zero if it may now, [`Millis::NEVER`] if it
    /// has no share.
    #[must_use]
    pub fn wait(&self, now: Millis, server: ServerKey, share_per_s: f64) -> Millis {
        let Some(limit) = self.servers.get(&server) else {
            return Millis::ZERO;
        };
        let missing = 1.0 - limit.tokens_at(now, share_per_s);
        if missing <= 0.0 {
            return Millis::ZERO;
        }
        if share_per_s <= 0.0 {
            return Millis::NEVER;
        }
        Millis((missing / share_per_s * 1_000.0).ceil() as u64)
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, now: Millis, server: ServerKey, share_per_s: f64) {
        if let Some(limit) = self.servers.get_mut(&server) {
            limit.tokens = limit.tokens_at(now, share_per_s) - 1.0;
            limit.counted_at = now;
        }
    }
}

impl RateLimit {
    fn tokens_at(&self, now: Millis, share_per_s: f64) -> f64 {
        let most = (share_per_s * BURST_TIME.as_secs_f64()).max(1.0);
        let gained = now.since(self.counted_at).as_secs_f64() * share_per_s;
        (self.tokens + gained).min(most)
    }
}

/// Returns how many requests per second an instance may send to a server that
/// accepts `per_s`. `rank` is the number of the `instances` that precede it in
/// an order of their own for this server.
#[must_use]
pub fn rate_share(per_s: f64, instances: usize, rank: usize) -> f64 {
    let sharers = (per_s.ceil() as usize)
        .saturating_add(EXTRA_SHARERS)
        .min(instances)
        .max(1);
    match rank < sharers {
        true => per_s / sharers as f64,
        false => 0.0,
    }
}
