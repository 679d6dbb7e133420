//! Memory reservations on engines for one attempt of a prompt. A request that
//! reserves or releases memory is called an order, as in the engines'
//! interface.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::adapter::engine;
use crate::clock::Millis;
use crate::gateway::forward::Traffic;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Input;
use crate::gateway::message::Reservation;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::Upstream;

/// Time limit of an order to an engine. Engines normally answer within a few
/// ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Renewals within a reservation's time to live, so that a lost order does not
/// end the reservation.
const RENEWALS_PER_TTL: u64 = 3;

/// Attempts to release a reservation. One that is still held after these
/// expires by itself.
const RELEASE_ATTEMPTS: usize = 3;

/// Interval of repeated releases after an order went unanswered, because the
/// engine may execute that order seconds later.
const LATE_RELEASE_PERIOD: Millis = Millis(500);
/// The last repeated release is sent this long before the reservation leak
/// limit, to allow for the delivery of the order.
const LATE_RELEASE_MARGIN: Millis = Millis(100);

/// Reserves, renews and releases engine memory for one request.
#[derive(Debug)]
pub struct MemoryReservations {
    traffic: Rc<Traffic>,
    /// Id of the request, for log lines.
    request: String,
    /// Whether an order went unanswered, so that the engine may still execute
    /// it.
    unanswered: Rc<Cell<bool>>,
}

impl MemoryReservations {
    /// Creates the state for the reservations of the request with this id;
    /// reserves nothing yet.
    #[must_use]
    pub fn new(traffic: &Rc<Traffic>, request: &str) -> MemoryReservations {
        MemoryReservations {
            traffic: Rc::clone(traffic),
            request: request.to_owned(),
            unanswered: Rc::default(),
        }
    }

    /// Reserves memory on all engines that hold the prompt. Releases everything
    /// if one of them refuses, or if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptEnd::NoMemory`] if an engine refuses or does not answer.
    pub async fn reserve(self, reservations: &[Reservation]) -> Result<HeldMemory, AttemptEnd> {
        let mut held = HeldMemory {
            memory: self,
            reservations: Vec::new(),
            renewals: JoinSet::new(),
        };
        for reservation in reservations {
            // Held from now on, because an order may take effect although it
            // goes unanswered.
            held.reservations.push(reservation.clone());
            let memory = &held.memory;
            let ttl = reservation.ttl.0;
            let order = engine::reserve(&reservation.id, reservation.tokens, ttl);
            match memory
                .order_and_report_memory(&reservation.addr, order)
                .await
            {
                Ok(StatusCode::OK) => {}
                answer => {
                    let unanswered = memory.unanswered.get() || answer.is_err();
                    memory.unanswered.set(unanswered);
                    log::info!(request = memory.request, engine = reservation.addr.as_str(), tokens = reservation.tokens, answer:? = answer; "memory not reserved");
                    return Err(AttemptEnd::NoMemory);
                }
            }
        }
        held.renew();
        Ok(held)
    }

    fn release(&self, reservation: Reservation) {
        let upstream = self.traffic.upstream.clone();
        let unanswered = self.unanswered.get();
        tokio::task::spawn_local(async move {
            release_with_retries(&upstream, &reservation).await;
            if !unanswered {
                return;
            }
            let mut waited = Millis::ZERO;
            for delay in late_release_times(reservation.leak_limit) {
                sleep(delay.since(waited).as_duration()).await;
                waited = delay;
                release_with_retries(&upstream, &reservation).await;
            }
        });
    }

    async fn order_and_report_memory(
        &self,
        addr: &str,
        body: Bytes,
    ) -> Result<StatusCode, CallError> {
        let answer = send_order(&self.traffic.upstream, addr, body).await?;
        if let Some(free) = engine::free_tokens(answer.body()) {
            self.traffic.send_input(Input::FreeMemoryReported {
                addr: addr.to_owned(),
                free,
            });
        }
        Ok(answer.status())
    }
}

/// Memory that is reserved for an attempt. It is renewed until it is dropped,
/// and then released in the background.
#[derive(Debug)]
pub struct HeldMemory {
    memory: MemoryReservations,
    reservations: Vec<Reservation>,
    renewals: JoinSet<()>,
}

impl HeldMemory {
    /// Renews the reservations. They expire after a short time, so that an
    /// instance that crashes leaves no memory reserved. Each one is renewed by a
    /// task of its own, so that an engine that leaves orders unanswered does not
    /// delay the others.
    fn renew(&mut self) {
        for reservation in self.reservations.clone() {
            let upstream = self.memory.traffic.upstream.clone();
            let unanswered = Rc::clone(&self.memory.unanswered);
            self.renewals
                .spawn_local(renew_reservation(upstream, reservation, unanswered));
        }
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        for reservation in self.reservations.drain(..) {
            self.memory.release(reservation);
        }
    }
}

/// Returns the delays after the first release at which it is repeated, for when
/// an unanswered order may be executed late.
pub(super) fn late_release_times(leak_limit: Millis) -> impl Iterator<Item = Millis> {
    let last = leak_limit - LATE_RELEASE_MARGIN;
    (1..)
        .map(|n| LATE_RELEASE_PERIOD * n)
        .take_while(move |at| *at < last)
        .chain([last])
}

async fn renew_reservation(
    upstream: Upstream,
    reservation: Reservation,
    unanswered: Rc<Cell<bool>>,
) {
    let ttl = reservation.ttl.0;
    loop {
        sleep(Millis(ttl / RENEWALS_PER_TTL).as_duration()).await;
        let order = engine::reserve(&reservation.id, reservation.tokens, ttl);
        match send_order(&upstream, &reservation.addr, order).await {
            Ok(answer) if answer.status() == StatusCode::OK => {}
            answer => {
                unanswered.set(unanswered.get() || answer.is_err());
                let answer = answer.map(|answer| answer.status());
                log::info!(engine = reservation.addr.as_str(), reservation = reservation.id.as_str(), answer:? = answer; "memory not renewed");
            }
        }
    }
}

async fn release_with_retries(upstream: &Upstream, reservation: &Reservation) {
    for _ in 0..RELEASE_ATTEMPTS {
        let order = engine::release(&reservation.id);
        match send_order(upstream, &reservation.addr, order).await {
            Ok(_) => return,
            Err(error) => {
                log::info!(engine = reservation.addr.as_str(), error:% = error; "memory not released");
            }
        }
    }
}

async fn send_order(
    upstream: &Upstream,
    addr: &str,
    body: Bytes,
) -> Result<Response<Bytes>, CallError> {
    let request = Request::post(engine::ORDER_PATH)
        .header(header::HOST, addr)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    upstream.call(addr, request, ORDER_TIMEOUT).await
}
