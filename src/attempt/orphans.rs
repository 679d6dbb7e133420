//! Orphaned calls: abandoned calls that may still run on a backend server.
//!
//! Their capacity leases (`credit` in messages and metrics) stay in use until
//! the backend server reports the end, restarts or refuses connections; calls
//! to plain services, which cannot be cancelled, until
//! [`ORPHANED_SERVICE_CALL_TIMEOUT`] has passed. So abandoned calls to
//! engines never cause a concurrency limit to be exceeded; an abandoned call to
//! a plain service can if it runs longer than the timeout. Cancel orders to
//! engines are repeated until the lease is released.

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

/// Interval between two cancel orders for one stream.
pub const CANCEL_INTERVAL: Millis = Millis(1_000);
/// Time after which an orphaned call to a plain service is assumed to have
/// ended. Also the extra time for a call that continues only so that its result
/// is recorded.
pub const ORPHANED_SERVICE_CALL_TIMEOUT: Millis = Millis(30_000);

/// An abandoned call that may still run.
#[derive(Debug)]
struct OrphanedCall {
    request: RequestId,
    lease: LeaseUse,
    /// Boot number of the backend server when the call was abandoned.
    boot: Option<Boot>,
    abandoned_at: Millis,
    next_cancel_at: Millis,
    is_service: bool,
}

/// All calls that this instance abandoned and that may still run.
#[derive(Debug, Default)]
pub struct OrphanedCalls {
    calls: Vec<OrphanedCall>,
}

impl OrphanedCalls {
    /// Keeps the capacity lease of an abandoned call and, if it runs on an
    /// engine, orders its cancellation.
    pub fn add(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        request: RequestId,
        lease: LeaseUse,
        is_service: bool,
    ) {
        let boot = fleet.backend(lease.backend).boot;
        let mut call = OrphanedCall {
            request,
            lease,
            boot,
            abandoned_at: cx.now,
            next_cancel_at: cx.now,
            is_service,
        };
        call.send_cancel(cx, fleet);
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

    /// Repeats cancel orders that are due; returns the capacity leases of
    /// service calls that have reached [`ORPHANED_SERVICE_CALL_TIMEOUT`].
    pub fn tick(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) -> Vec<LeaseUse> {
        for call in &mut self.calls {
            if call.next_cancel_at <= cx.now {
                call.send_cancel(cx, fleet);
            }
        }
        let now = cx.now;
        self.remove_where(|call| {
            call.is_service && now.since(call.abandoned_at) >= ORPHANED_SERVICE_CALL_TIMEOUT
        })
    }

    /// Removes a call that the backend server reports as cancelled; returns its
    /// capacity lease, or nothing if the call is unknown.
    pub fn on_cancelled(&mut self, backend: BackendKey, request: RequestId) -> Vec<LeaseUse> {
        self.remove_where(|call| call.lease.backend == backend && call.request == request)
    }

    /// Removes the calls of a backend server that refuses connections, so that
    /// none of its processes can still run them; returns their capacity leases.
    pub fn on_connection_refused(&mut self, backend: BackendKey) -> Vec<LeaseUse> {
        self.remove_where(|call| call.lease.backend == backend)
    }

    /// Applies a load report: removes the calls of earlier boots of the backend
    /// server and returns their capacity leases.
    pub fn on_load_report(&mut self, backend: BackendKey, report: &LoadReport) -> Vec<LeaseUse> {
        let boot = report.boot;
        self.remove_where(|call| {
            call.lease.backend == backend && call.boot.is_some_and(|known| known != boot)
        })
    }

    fn remove_where(&mut self, ended: impl Fn(&OrphanedCall) -> bool) -> Vec<LeaseUse> {
        let (removed, kept) = self.calls.drain(..).partition(ended);
        self.calls = kept;
        let removed: Vec<OrphanedCall> = removed;
        removed.into_iter().map(|call| call.lease).collect()
    }
}

impl OrphanedCall {
    /// Orders the engine to cancel the stream; does nothing for a plain
    /// service.
    fn send_cancel(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) {
        self.next_cancel_at = cx.now + CANCEL_INTERVAL;
        if self.is_service {
            return;
        }
        let backend = fleet.backend(self.lease.backend);
        cx.out.push(Output::Order {
            backend: backend.name.clone(),
            addr: backend.addr.clone(),
            order: BackendOrder::Cancel {
                request: self.request,
                epoch: self.lease.epoch,
            },
        });
    }
}
