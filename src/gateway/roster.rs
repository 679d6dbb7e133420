//! The backend servers that the platform's registry names.
//!
//! Keys are small and never reused: an entry that is gone keeps its place, so
//! that work which still runs there can be told apart from a new server's.

use std::collections::HashMap;

use la_arena::Arena;
use la_arena::Idx;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

/// Key of a backend server.
pub type ServerKey = Idx<Server>;

/// What the registry says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its id; another start has another id, or a later `started_unix_ms`.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Address for calls, `ip:port`.
    pub addr: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it stays cold.
    pub cold_left: Millis,
    /// When it started, in ms of Unix time; 0: unknown.
    pub started_unix_ms: u64,
}

/// A backend server as this instance knows it.
#[derive(Debug, Clone)]
pub struct Server {
    /// What the registry said last.
    pub entry: ServerEntry,
    /// Whether the registry still names it.
    pub listed: bool,
    /// Until when it counts as cold.
    pub cold_until: Millis,
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Roster {
    servers: Arena<Server>,
    by_id: HashMap<String, ServerKey>,
    by_hash: HashMap<u64, ServerKey>,
}

/// Returns the short name of a backend server between instances.
#[must_use]
pub fn id_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// What a new entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters for placement.
    Same,
    /// A server that was not known, or has started anew.
    Started(ServerKey),
    /// Its state or how cold it is.
    Updated(ServerKey),
}

impl Roster {
    /// Takes over an entry.
    pub fn upsert(&mut self, now: Millis, entry: ServerEntry) -> Change {
        let cold_until = match entry.cold_left {
            Millis::ZERO => Millis::ZERO,
            left => now + left,
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
            && entry.cold_left == Millis::ZERO;
        server.entry = entry;
        server.listed = true;
        server.cold_until = server.cold_until.max(cold_until);
        if same {
            Change::Same
        } else {
            Change::Updated(key)
        }
    }

    /// Marks a server as gone; returns its key if it was listed.
    pub fn remove(&mut self, id: &str) -> Option<ServerKey> {
        let &key = self.by_id.get(id)?;
        let server = &mut self.servers[key];
        if !server.listed {
            return None;
        }
        server.listed = false;
        Some(key)
    }

    /// Returns a server.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> &Server {
        &self.servers[key]
    }

    /// Extends the time for which a server counts as cold.
    pub fn mark_cold(&mut self, key: ServerKey, until: Millis) {
        let server = &mut self.servers[key];
        server.cold_until = server.cold_until.max(until);
    }

    /// Returns the server with this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the server with this short name.
    #[must_use]
    pub fn find_hash(&self, hash: u64) -> Option<ServerKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the listed server with this address.
    #[must_use]
    pub fn find_addr(&self, addr: &str) -> Option<ServerKey> {
        self.listed()
            .find(|(_, server)| server.entry.addr == addr)
            .map(|(key, _)| key)
    }

    /// Returns all servers that the registry names.
    pub fn listed(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter().filter(|(_, server)| server.listed)
    }

    fn is_restart(&self, key: ServerKey, entry: &ServerEntry) -> bool {
        self.servers[key].entry.started_unix_ms != entry.started_unix_ms
    }
}
