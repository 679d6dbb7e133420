//! Recent work of each workspace, and which ones exceed their fair share.
//!
//! Each instance adds up the engine time of all prompts that it places or is
//! told of, as virtual token counters do (Sheng et al., Fairness in Serving
//! Large Language Models, 2024), but lets it decay: what a workspace has not
//! used is lent to the others, and is its own again within a second. Shares
//! count only while servers have no room to spare.
//!
//! Intended for one workspace that floods while others ask for little.

use std::collections::HashMap;

use crate::clock::Millis;

/// Time constant of the decay.
const WINDOW: Millis = Millis(1_000);
/// Factor by which the work of a workspace may exceed the mean before it counts
/// as over its share. Workspaces differ in size.
const MAX_SHARE_OF_MEAN: f64 = 1.5;
/// Share of the mean below which a workspace does not count as active.
const MIN_ACTIVE_SHARE: f64 = 0.01;
/// Maximum number of workspaces per service whose work is kept. More are not
/// told apart.
const MAX_WORKSPACES: usize = 1_024;

/// Identifies a workspace on all instances: a hash of its name. Zero is a caller
/// without workspace, or one that an earlier release does not state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct WorkspaceKey(pub u32);

impl WorkspaceKey {
    /// Returns whether a workspace is known.
    #[must_use]
    pub fn is_known(self) -> bool {
        self.0 != 0
    }
}

/// Work that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    ms: f64,
    at: Millis,
}

impl Work {
    fn value(&self, now: Millis) -> f64 {
        self.ms * (-(now.since(self.at).0 as f64) / WINDOW.0 as f64).exp()
    }
}

/// Recent work of all workspaces, by service.
#[derive(Debug, Default)]
pub struct FairShares {
    services: HashMap<String, HashMap<WorkspaceKey, Work>>,
}

impl FairShares {
    /// Records the engine time of a prompt, in ms.
    pub fn record(&mut self, now: Millis, service: &str, workspace: WorkspaceKey, ms: f64) {
        if !workspace.is_known() {
            return;
        }
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), HashMap::new());
        }
        let Some(works) = self.services.get_mut(service) else {
            return;
        };
        if works.len() >= MAX_WORKSPACES && !works.contains_key(&workspace) {
            return;
        }
        let work = works.entry(workspace).or_default();
        work.ms = work.value(now) + ms;
        work.at = now;
    }

    /// Returns whether a workspace has had more than its fair share.
    #[must_use]
    pub fn is_over_share(&self, now: Millis, service: &str, workspace: WorkspaceKey) -> bool {
        let Some(works) = self.services.get(service) else {
            return false;
        };
        let Some(own) = works.get(&workspace) else {
            return false;
        };
        let total: f64 = works.values().map(|work| work.value(now)).sum();
        let least = total / works.len() as f64 * MIN_ACTIVE_SHARE;
        let active = works.values().filter(|work| work.value(now) >= least);
        own.value(now) > total / active.count().max(1) as f64 * MAX_SHARE_OF_MEAN
    }

    /// Returns the number of workspaces with recent work at any service, and the
    /// largest share of a service's work that one of them has.
    #[must_use]
    pub fn summary(&self, now: Millis) -> (usize, f64) {
        let mut largest: f64 = 0.0;
        let mut count = 0;
        for works in self.services.values() {
            let total: f64 = works.values().map(|work| work.value(now)).sum();
            if total < 1.0 {
                continue;
            }
            count = count.max(works.values().filter(|work| work.value(now) >= 1.0).count());
            for work in works.values() {
                largest = largest.max(work.value(now) / total);
            }
        }
        (count, largest)
    }

    /// Drops workspaces without recent work.
    pub fn expire(&mut self, now: Millis) {
        for works in self.services.values_mut() {
            works.retain(|_, work| work.value(now) >= MIN_KEPT_MS);
        }
        self.services.retain(|_, works| !works.is_empty());
    }
}

/// Work below which a workspace is forgotten, in ms.
const MIN_KEPT_MS: f64 = 0.001;
