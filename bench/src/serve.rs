//! A whole set of stand-ins in one process, from an INI file or from code.
//!
//! Sections: `[store]`, `[list]`, `[engine NAME]`, `[service NAME]` and, for the
//! instance list, `[entry NAME]`. Keys are the fields of the settings types; a
//! dot reaches into `warm` and `cold`, a comma separates the parts of a list.

mod ini;
#[cfg(test)]
mod tests;

pub use self::ini::SetError;
pub use self::ini::typed;

use std::io;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::EngineConfig;
use crate::engine::EngineHandle;
use crate::engine::EngineStats;
use crate::list::ListConfig;
use crate::list::ListFault;
use crate::list::ListHandle;
use crate::service::ServiceConfig;
use crate::service::ServiceHandle;
use crate::service::ServiceStats;
use crate::store::StoreConfig;
use crate::store::StoreHandle;
use crate::store::StoreStats;
use skylarkhook::clock::Millis;
use skylarkhook::declaration::Labels;
use skylarkhook::fleet::Listing;
use skylarkhook::fleet::Role;

/// An instance of the system, for the instance list.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryConfig {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for callers, `ip:port`.
    pub addr: String,
    /// Its address for peers, `ip:port`.
    pub peer_addr: String,
}

/// Where the instance list stands.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListSection {
    /// Address to listen on, `ip:port`.
    pub addr: String,
    /// Time until a change shows.
    pub lag_ms: Millis,
}

impl Default for ListSection {
    fn default() -> ListSection {
        ListSection {
            addr: "127.0.0.1:0".to_owned(),
            lag_ms: Millis(500),
        }
    }
}

/// Settings of a set.
#[derive(Debug, Clone, Default)]
pub struct SetConfig {
    /// The key-value service.
    pub store: StoreConfig,
    /// The instance list.
    pub list: ListSection,
    /// Model engines.
    pub engines: Vec<EngineConfig>,
    /// Plain services.
    pub services: Vec<ServiceConfig>,
    /// Instances of the system, which run elsewhere.
    pub entries: Vec<EntryConfig>,
}

impl SetConfig {
    /// Reads an INI file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the section and what is wrong with it.
    pub fn read(path: &Path) -> Result<SetConfig, SetError> {
        ini::read(path)
    }
}

/// Counters of a whole set.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct SetStats {
    /// Of the key-value service.
    pub store: StoreStats,
    /// Of each engine.
    pub engines: Vec<EngineStats>,
    /// Of each plain service.
    pub services: Vec<ServiceStats>,
}

/// A running set of stand-ins.
pub struct Set {
    /// The key-value service.
    pub store: StoreHandle,
    /// The instance list.
    pub list: ListHandle,
    /// Model engines.
    pub engines: Vec<EngineHandle>,
    /// Plain services.
    pub services: Vec<ServiceHandle>,
}

impl Set {
    /// Starts a set.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start(cfg: SetConfig) -> io::Result<Set> {
        let store = StoreHandle::start(cfg.store)?;
        let engines = start_all(cfg.engines, EngineHandle::start)?;
        let services = start_all(cfg.services, ServiceHandle::start)?;
        let entries = cfg.entries.into_iter().map(entry_listing);
        let instances = entries
            .chain(engines.iter().map(EngineHandle::listing))
            .chain(services.iter().map(ServiceHandle::listing))
            .collect();
        let list = ListHandle::start(ListConfig {
            addr: cfg.list.addr,
            lag: cfg.list.lag_ms,
            instances,
        })?;
        Ok(Set {
            store,
            list,
            engines,
            services,
        })
    }

    /// Adds an instance of the system to the instance list, or replaces it.
    pub fn list_entry(&self, entry: EntryConfig) {
        self.list.fault(ListFault {
            add: Some(entry_listing(entry)),
            ..ListFault::default()
        });
    }

    /// Returns all counters.
    #[must_use]
    pub fn stats(&self) -> SetStats {
        SetStats {
            store: self.store.stats(),
            engines: self.engines.iter().map(EngineHandle::stats).collect(),
            services: self.services.iter().map(ServiceHandle::stats).collect(),
        }
    }
}

fn start_all<C, H>(configs: Vec<C>, start: fn(C) -> io::Result<H>) -> io::Result<Vec<H>> {
    configs.into_iter().map(start).collect()
}

fn entry_listing(entry: EntryConfig) -> Listing {
    Listing {
        name: entry.name,
        role: Role::Entry,
        domain: entry.domain,
        addr: entry.addr,
        peer_addr: entry.peer_addr,
        leaving: false,
        labels: Labels::new(),
    }
}
