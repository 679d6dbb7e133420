//! Memory reserved on engines for one send of a prompt.

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
use crate::gateway::message::Input;
use crate::gateway::message::Reservation;
use crate::gateway::message::SendEnd;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::Upstream;

/// Time limit of an order to an engine; it answers in a few ms.
const ORDER_LIMIT: Duration = Duration::from_millis(300);

/// Times that a reservation is renewed before it would end, so that one order
/// may get lost.
const RENEWALS_A_HOLD: u64 = 3;

/// Times that an order which gives memory back is sent; what still holds after
/// these ends with its own time.
const RELEASE_TRIES: usize = 3;

/// Period at which memory is given back again after an order went unanswered:
/// an engine may carry that order out seconds later.
const LATE_RELEASE_PERIOD: Millis = Millis(500);
/// Time before memory counts as leaked at which it is given back for the last
/// time: an order's way to the engine.
const LATE_RELEASE_MARGIN: Millis = Millis(100);

/// Reserves memory for a request.
#[derive(Debug)]
pub struct Memory {
    traffic: Rc<Traffic>,
    /// The request's id, for the log.
    request: String,
    /// Whether an order went unanswered, so that it may be carried out yet.
    unanswered: Rc<Cell<bool>>,
}

impl Memory {
    /// Returns what reserves memory for the request with this id.
    #[must_use]
    pub fn new(traffic: &Rc<Traffic>, request: &str) -> Memory {
        Memory {
            traffic: Rc::clone(traffic),
            request: request.to_owned(),
            unanswered: Rc::default(),
        }
    }

    /// Reserves memory on all engines that are to hold the prompt.
    pub async fn reserve(&self, wanted: &[Reservation]) -> Result<Vec<Reservation>, SendEnd> {
        let mut reserved = Vec::new();
        for reservation in wanted {
            let hold = reservation.hold.0;
            let order = engine::reserve(&reservation.name, reservation.tokens, hold);
            match self.order(&reservation.addr, order).await {
                Ok(StatusCode::OK) => reserved.push(reservation.clone()),
                answer => {
                    self.unanswered
                        .set(self.unanswered.get() || answer.is_err());
                    log::info!(request = self.request, engine = reservation.addr.as_str(), tokens = reservation.tokens, answer:? = answer; "memory not reserved");
                    // Without an answer the order may have taken effect.
                    reserved.push(reservation.clone());
                    for made in reserved {
                        self.release(made);
                    }
                    return Err(SendEnd::NoMemory);
                }
            }
        }
        Ok(reserved)
    }

    /// Renews reservations as long as it is polled: they hold only shortly, so that
    /// an instance that dies leaves no memory set aside. Each is renewed by itself,
    /// as an engine that leaves orders unanswered must not hold up the others.
    pub async fn renew(&self, reservations: Vec<Reservation>) {
        let mut renewals = JoinSet::new();
        for reservation in reservations {
            let upstream = self.traffic.upstream.clone();
            let unanswered = Rc::clone(&self.unanswered);
            renewals.spawn_local(renew_one(upstream, reservation, unanswered));
        }
        while renewals.join_next().await.is_some() {}
        std::future::pending().await
    }

    /// Gives memory back, without making the caller wait for it.
    pub fn release(&self, reservation: Reservation) {
        let upstream = self.traffic.upstream.clone();
        let unanswered = self.unanswered.get();
        tokio::task::spawn_local(async move {
            release_now(&upstream, &reservation).await;
            if !unanswered {
                return;
            }
            let mut waited = Millis::ZERO;
            for at in late_releases(reservation.free_limit) {
                sleep(at.since(waited).as_duration()).await;
                waited = at;
                release_now(&upstream, &reservation).await;
            }
        });
    }

    async fn order(&self, addr: &str, body: Bytes) -> Result<StatusCode, CallError> {
        let answer = send_order(&self.traffic.upstream, addr, body).await?;
        if let Some(free) = engine::free_tokens(answer.body()) {
            self.traffic.tell(Input::MemorySeen {
                addr: addr.to_owned(),
                free,
            });
        }
        Ok(answer.status())
    }
}

/// Returns when memory is given back again where an order may be carried out
/// late, from the first time on.
pub(super) fn late_releases(free_limit: Millis) -> impl Iterator<Item = Millis> {
    let last = free_limit - LATE_RELEASE_MARGIN;
    (1..)
        .map(|n| LATE_RELEASE_PERIOD * n)
        .take_while(move |at| *at < last)
        .chain([last])
}

async fn renew_one(upstream: Upstream, reservation: Reservation, unanswered: Rc<Cell<bool>>) {
    let hold = reservation.hold.0;
    loop {
        sleep(Millis(hold / RENEWALS_A_HOLD).as_duration()).await;
        let order = engine::reserve(&reservation.name, reservation.tokens, hold);
        match send_order(&upstream, &reservation.addr, order).await {
            Ok(answer) if answer.status() == StatusCode::OK => {}
            answer => {
                unanswered.set(unanswered.get() || answer.is_err());
                let answer = answer.map(|answer| answer.status());
                log::info!(engine = reservation.addr.as_str(), reservation = reservation.name.as_str(), answer:? = answer; "memory not renewed");
            }
        }
    }
}

async fn release_now(upstream: &Upstream, reservation: &Reservation) {
    for _ in 0..RELEASE_TRIES {
        let order = engine::release(&reservation.name);
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
    upstream.call(addr, request, ORDER_LIMIT).await
}
