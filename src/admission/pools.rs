//! Assigns waiting jobs to pools.

use std::collections::HashMap;

use crate::admission::entry::Entry;
use crate::admission::pool::Pool;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::RequestId;
use crate::routing::LaneKey;
use crate::routing::Router;

/// All pools of an instance.
#[derive(Debug, Default)]
pub struct Pools {
    pools: Vec<Pool>,
    /// Index in `pools`.
    pool_by_lane: HashMap<LaneKey, usize>,
    /// Index in `pools`.
    pool_by_backend: HashMap<BackendKey, usize>,
}

impl Pools {
    /// Returns all pools.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.pools.iter()
    }

    /// Returns all pools.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Pool> {
        self.pools.iter_mut()
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pools.iter().map(Pool::len).sum()
    }

    /// Adds a job to the pool of its lane.
    pub fn insert(&mut self, router: &Router, fleet: &Fleet, entry: Entry) {
        let index = match self.pool_by_lane.get(&entry.lane) {
            Some(&index) => index,
            None => self.assign_lane(router, fleet, entry.lane),
        };
        self.pools[index].insert(fleet, entry);
    }

    /// Removes a job.
    pub fn remove(&mut self, request: RequestId) -> Option<Entry> {
        self.pools.iter_mut().find_map(|pool| pool.remove(request))
    }

    /// Returns the least important job below an importance.
    #[must_use]
    pub fn least_important(&self, below: u8) -> Option<RequestId> {
        let least = self
            .pools
            .iter()
            .filter_map(|pool| pool.least_important(below));
        least.min().map(|(_, request)| request)
    }

    /// Removes all pools and returns their jobs in order of their sequence
    /// numbers.
    pub fn take_entries(&mut self) -> Vec<Entry> {
        let pools = std::mem::take(self).pools;
        let parts = pools.into_iter().map(Pool::into_parts);
        let mut entries: Vec<Entry> = parts.flat_map(|(_, entries)| entries).collect();
        entries.sort_by_key(|entry| entry.sequence);
        entries
    }

    /// Assigns a new lane to a pool, and merges the pools that share a backend
    /// server with it. Returns the index of the pool.
    fn assign_lane(&mut self, router: &Router, fleet: &Fleet, lane: LaneKey) -> usize {
        let servers = router
            .get_lane(lane)
            .into_iter()
            .flat_map(|lane| lane.backends());
        let backends: Vec<BackendKey> = servers.map(|server| server.backend).collect();
        let mut overlapping: Vec<usize> = backends
            .iter()
            .filter_map(|backend| self.pool_by_backend.get(backend).copied())
            .collect();
        overlapping.sort_unstable();
        overlapping.dedup();
        let index = overlapping.first().copied().unwrap_or_else(|| {
            self.pools.push(Pool::default());
            self.pools.len() - 1
        });
        for &other in overlapping.iter().skip(1) {
            let (merged, entries) = std::mem::take(&mut self.pools[other]).into_parts();
            for pool in self
                .pool_by_lane
                .values_mut()
                .filter(|pool| **pool == other)
            {
                *pool = index;
            }
            for backend in merged {
                self.pool_by_backend.insert(backend, index);
                self.pools[index].add_backend(backend);
            }
            for entry in entries {
                self.pools[index].insert(fleet, entry);
            }
        }
        for backend in backends {
            if self.pool_by_backend.insert(backend, index).is_none() {
                self.pools[index].add_backend(backend);
            }
        }
        self.pool_by_lane.insert(lane, index);
        index
    }
}
