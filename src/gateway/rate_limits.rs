//! Rate limits that backend servers name in their responses.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::gateway::server_table::ServerKey;

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
}

/// Change of a server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It is this many requests per second from now on.
    Limited(f64),
    /// There is none any more.
    Lifted,
}

impl RateLimits {
    /// Applies what a response to a request sent at `sent_at` stated: a limit in
    /// requests per second, or none. Returns the change.
    pub fn apply_notice(
        &mut self,
        now: Millis,
        server: ServerKey,
        sent_at: Millis,
        per_s: Option<f64>,
    ) -> Option<Change> {
        let Some(per_s) = per_s else {
            // A response may have been on its way when the limit was named.
            let limit = self.servers.get(&server)?;
            if sent_at < limit.named_at {
                return None;
            }
            self.servers.remove(&server);
            return Some(Change::Lifted);
        };
        let limit = RateLimit {
            per_s,
            named_at: now,
        };
        let before = self.servers.insert(server, limit);
        let is_same = before.is_some_and(|before| before.per_s == per_s);
        (!is_same).then_some(Change::Limited(per_s))
    }
}
