//! The backend servers listed in the platform's registry.
//!
//! Keys are dense indices and never reused: a removed entry keeps its key, so
//! that requests that still run there are not attributed to a new server.

use std::collections::HashMap;

use la_arena::Arena;
use la_arena::Idx;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Key of a backend server.
pub type ServerKey = Idx<Server>;

/// A backend server's entry in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Id; a restarted server has another id or a later `started_unix_ms`.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Address for requests, `ip:port`.
    pub addr: String,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Remaining time in the cold state.
    pub cold_remaining: Millis,
    /// Start time, in ms of Unix time; 0 if unknown.
    pub started_unix_ms: u64,
    /// Number of the server's writes to the registry since its start; 0 if
    /// unknown.
    pub writes: u64,
}

impl ServerEntry {
    /// Returns whether the server wrote this entry after the other one.
    #[must_use]
    pub fn is_later_than(&self, other: &ServerEntry) -> bool {
        (self.started_unix_ms, self.writes) > (other.started_unix_ms, other.writes)
    }
}

/// A backend server as known to this instance.
#[derive(Debug, Clone)]
pub struct Server {
    /// Latest registry entry.
    pub entry: ServerEntry,
    /// Whether the registry still lists it.
    pub listed: bool,
    /// Time until which it is treated as cold.
    pub cold_until: Millis,
}

/// All backend servers, listed or removed.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: Arena<Server>,
    by_id: HashMap<String, ServerKey>,
    by_hash: HashMap<u64, ServerKey>,
}

/// Returns the hash that identifies a backend server in messages between
/// instances.
#[must_use]
pub fn id_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Effect of applying an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server was listed, its state and address are unchanged, and it is
    /// not cold.
    Unchanged,
    /// A new or restarted server.
    Started(ServerKey),
    /// Its state, address or cold time changed.
    Updated(ServerKey),
}

impl ServerTable {
    /// Adds or updates an entry.
    pub fn upsert(&mut self, now: Millis, entry: ServerEntry) -> Change {
        let cold_until = match entry.cold_remaining {
            Millis::ZERO => Millis::ZERO,
            remaining => now + remaining,
        };
        let known = self.by_id.get(&entry.id).copied();
        let Some(key) = known.filter(|&key| !self.is_restart(key, &entry)) else {
            let id = entry.id.clone();
            let key = self.servers.alloc(Server {
                entry,
                listed: true,
                cold_until,
            });
            self.by_hash.insert(id_hash(&id), key);
            if let Some(old) = self.by_id.insert(id, key) {
                self.servers[old].listed = false;
            }
            return Change::Started(key);
        };
        let server = &mut self.servers[key];
        let same = server.listed
            && server.entry.draining == entry.draining
            && server.entry.addr == entry.addr
            && entry.cold_remaining == Millis::ZERO;
        server.entry = entry;
        server.listed = true;
        server.cold_until = server.cold_until.max(cold_until);
        if same {
            Change::Unchanged
        } else {
            Change::Updated(key)
        }
    }

    /// Marks a server as removed; returns its key if it was listed.
    pub fn remove(&mut self, id: &str) -> Option<ServerKey> {
        let &key = self.by_id.get(id)?;
        let server = &mut self.servers[key];
        if !server.listed {
            return None;
        }
        server.listed = false;
        Some(key)
    }

    /// Returns the server with this key.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> &Server {
        &self.servers[key]
    }

    /// Returns the hash that identifies this start of a server in messages between
    /// instances.
    #[must_use]
    pub fn incarnation_hash(&self, key: ServerKey) -> u64 {
        let entry = &self.servers[key].entry;
        xxh3_64_with_seed(entry.id.as_bytes(), entry.started_unix_ms)
    }

    /// Extends the time for which a server is treated as cold.
    pub fn mark_cold(&mut self, key: ServerKey, until: Millis) {
        let server = &mut self.servers[key];
        server.cold_until = server.cold_until.max(until);
    }

    /// Returns the key of the latest server with this id.
    #[must_use]
    pub fn find_by_id(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the key of the server with this id hash.
    #[must_use]
    pub fn find_by_id_hash(&self, hash: u64) -> Option<ServerKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the key of the listed server with this address.
    #[must_use]
    pub fn find_by_addr(&self, addr: &str) -> Option<ServerKey> {
        self.listed()
            .find(|(_, server)| server.entry.addr == addr)
            .map(|(key, _)| key)
    }

    /// Returns all listed servers.
    pub fn listed(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter().filter(|(_, server)| server.listed)
    }

    fn is_restart(&self, key: ServerKey, entry: &ServerEntry) -> bool {
        self.servers[key].entry.started_unix_ms != entry.started_unix_ms
    }
}
