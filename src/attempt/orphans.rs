//! Orphaned calls: abandoned calls that may still run on a backend server.
//!
//! Their capacity leases (`credit` in messages and metrics) stay in use until
//! the backend server reports that the calls have ended, so that abandoned
//! calls never cause a concurrency limit to be exceeded. Cancels are repeated
//! until then.

use crate::backend::BackendOrder;
use crate::backend::LoadReport;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::Boot;
use crate::id::RequestId;

/// Interval between two cancels of one stream.
pub const CANCEL_INTERVAL: Millis = Millis(1_000);
/// Time after which an orphaned call to a plain service is assumed to have
/// ended.
pub const SERVICE_LINGER: Millis = Millis(30_000);

/// An abandoned call that may still run.
#[derive(Debug)]
struct OrphanedCall {
    request: RequestId,
    held: LeaseUse,
    boot: Option<Boot>,
    since: Millis,
    next_cancel: Millis,
    is_service: bool,
}

/// All calls that this instance abandoned and that may still run.
#[derive(Debug, Default)]
pub struct Lingers {
    calls: Vec<OrphanedCall>,
}

impl Lingers {
    /// Keeps the capacity lease of an abandoned call, and cancels the call.
    pub fn add(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        request: RequestId,
        held: LeaseUse,
        is_service: bool,
    ) {
        let boot = fleet.backend(held.backend).boot;
        let mut call = OrphanedCall {
            request,
            held,
            boot,
            since: cx.now,
            next_cancel: cx.now,
            is_service,
        };
        call.cancel(cx, fleet);
        self.calls.push(call);
    }

    /// Returns the number of orphaned calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether there are no orphaned calls.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Repeats cancels that are due; returns the capacity leases of service
    /// calls that have reached [`SERVICE_LINGER`].
    pub fn tick(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) -> Vec<LeaseUse> {
        for call in &mut self.calls {
            if call.next_cancel <= cx.now {
                call.cancel(cx, fleet);
            }
        }
        let now = cx.now;
        self.remove_where(|call| call.is_service && now.since(call.since) >= SERVICE_LINGER)
    }

    /// Removes a call that the backend server reports as cancelled; returns its
    /// capacity lease.
    pub fn cancelled(&mut self, backend: BackendKey, request: RequestId) -> Vec<LeaseUse> {
        self.remove_where(|call| call.held.backend == backend && call.request == request)
    }

    /// Removes the calls of a backend server that restarted or disappeared;
    /// returns their capacity leases.
    pub fn restarted(&mut self, backend: BackendKey) -> Vec<LeaseUse> {
        self.remove_where(|call| call.held.backend == backend)
    }

    /// Applies a load report: removes the calls of earlier boots of the backend
    /// server and returns their capacity leases.
    pub fn report(&mut self, backend: BackendKey, report: &LoadReport) -> Vec<LeaseUse> {
        let boot = report.boot;
        self.remove_where(|call| {
            call.held.backend == backend && call.boot.is_some_and(|known| known != boot)
        })
    }

    fn remove_where(&mut self, ended: impl Fn(&OrphanedCall) -> bool) -> Vec<LeaseUse> {
        let (removed, kept) = self.calls.drain(..).partition(ended);
        self.calls = kept;
        let removed: Vec<OrphanedCall> = removed;
        removed.into_iter().map(|call| call.held).collect()
    }
}

impl OrphanedCall {
    fn cancel(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) {
        self.next_cancel = cx.now + CANCEL_INTERVAL;
        if self.is_service {
            return;
        }
        let backend = fleet.backend(self.held.backend);
        cx.out.push(Output::Order {
            backend: backend.name.clone(),
            addr: backend.addr.clone(),
            order: BackendOrder::Cancel {
                request: self.request,
                epoch: self.held.epoch,
            },
        });
    }
}
