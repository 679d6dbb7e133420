//! Memory reserved on engines for one send of a prompt.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
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

/// Reserves memory for a request.
#[derive(Debug)]
pub struct Memory {
    traffic: Rc<Traffic>,
    /// The request's id, for the log.
    request: String,
}

impl Memory {
    /// Returns what reserves memory for the request with this id.
    #[must_use]
    pub fn new(traffic: &Rc<Traffic>, request: &str) -> Memory {
        Memory {
            traffic: Rc::clone(traffic),
            request: request.to_owned(),
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
    /// an instance that dies leaves no memory set aside.
    pub async fn renew(&self, reservations: Vec<Reservation>) {
        let period = reservations
            .iter()
            .map(|reservation| reservation.hold)
            .min();
        let Some(hold) = period else {
            return std::future::pending().await;
        };
        loop {
            sleep(Millis(hold.0 / RENEWALS_A_HOLD).as_duration()).await;
            for reservation in &reservations {
                let hold = reservation.hold.0;
                let order = engine::reserve(&reservation.name, reservation.tokens, hold);
                match send_order(&self.traffic.upstream, &reservation.addr, order).await {
                    Ok(answer) if answer.status() == StatusCode::OK => {}
                    answer => {
                        let answer = answer.map(|answer| answer.status());
                        log::info!(engine = reservation.addr.as_str(), reservation = reservation.name.as_str(), answer:? = answer; "memory not renewed");
                    }
                }
            }
        }
    }

    /// Gives memory back, without making the caller wait for it.
    pub fn release(&self, reservation: Reservation) {
        let upstream = self.traffic.upstream.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..RELEASE_TRIES {
                let order = engine::release(&reservation.name);
                match send_order(&upstream, &reservation.addr, order).await {
                    Ok(_) => return,
                    Err(error) => {
                        log::info!(engine = reservation.addr.as_str(), error:% = error; "memory not released");
                    }
                }
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
