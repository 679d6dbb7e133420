//! Streams that may still run on a backend server although nobody reads them.
//!
//! Their credit stays held until the backend server says that they are gone, so
//! that a limit is never exceeded by what was given up. Cancels are repeated.

use crate::backend::BackendOrder;
use crate::backend::LoadReport;
use crate::capacity::CreditUse;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::Boot;
use crate::id::RequestId;

/// Time between two cancels of one stream.
pub const CANCEL_PERIOD: Millis = Millis(1_000);
/// Time after which a plain service's call that nobody waits for counts as over.
pub const SERVICE_LINGER: Millis = Millis(30_000);

/// A stream that may still run.
#[derive(Debug)]
struct Lingering {
    request: RequestId,
    held: CreditUse,
    boot: Option<Boot>,
    since: Millis,
    next_cancel: Millis,
    service: bool,
}

/// All streams that this instance gave up and that may still run.
#[derive(Debug, Default)]
pub struct Lingers {
    streams: Vec<Lingering>,
}

impl Lingers {
    /// Keeps the credit of a stream that was given up, and cancels the stream.
    pub fn add(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        request: RequestId,
        held: CreditUse,
        service: bool,
    ) {
        let boot = fleet.backend(held.backend).boot;
        let mut stream = Lingering {
            request,
            held,
            boot,
            since: cx.now,
            next_cancel: cx.now,
            service,
        };
        stream.cancel(cx, fleet);
        self.streams.push(stream);
    }

    /// Returns how many streams may still run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no given-up stream can still run.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Repeats due cancels; returns the credits of calls that are over by time.
    pub fn tick(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) -> Vec<CreditUse> {
        for stream in &mut self.streams {
            if stream.next_cancel <= cx.now {
                stream.cancel(cx, fleet);
            }
        }
        let now = cx.now;
        self.take(|stream| stream.service && now.since(stream.since) >= SERVICE_LINGER)
    }

    /// Takes over that a stream is gone; returns its credit.
    pub fn cancelled(&mut self, backend: BackendKey, request: RequestId) -> Vec<CreditUse> {
        self.take(|stream| stream.held.backend == backend && stream.request == request)
    }

    /// Takes over that a backend server restarted or is gone; returns the
    /// credits of what it ran.
    pub fn restarted(&mut self, backend: BackendKey) -> Vec<CreditUse> {
        self.take(|stream| stream.held.backend == backend)
    }

    /// Takes over a load report: another boot number ends what ran before it.
    pub fn report(&mut self, backend: BackendKey, report: &LoadReport) -> Vec<CreditUse> {
        let boot = report.boot;
        self.take(|stream| {
            stream.held.backend == backend && stream.boot.is_some_and(|known| known != boot)
        })
    }

    fn take(&mut self, over: impl Fn(&Lingering) -> bool) -> Vec<CreditUse> {
        let (gone, kept) = self.streams.drain(..).partition(over);
        self.streams = kept;
        let gone: Vec<Lingering> = gone;
        gone.into_iter().map(|stream| stream.held).collect()
    }
}

impl Lingering {
    fn cancel(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) {
        self.next_cancel = cx.now + CANCEL_PERIOD;
        if self.service {
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
