//! Questions to the core and the answers that come back.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::control::AdminAnswer;
use crate::control::AdminQuery;
use crate::control::Input;

/// Asks the core and matches answers with questions by ticket.
#[derive(Debug, Clone)]
pub struct Answers {
    control: flume::Sender<Input>,
    waiting: Arc<Mutex<Waiting>>,
}

#[derive(Debug, Default)]
struct Waiting {
    last: u64,
    by_ticket: HashMap<u64, flume::Sender<AdminAnswer>>,
}

impl Answers {
    /// Returns a table without questions.
    #[must_use]
    pub fn new(control: flume::Sender<Input>) -> Answers {
        Answers {
            control,
            waiting: Arc::default(),
        }
    }

    /// Asks the core; none if no answer came within `wait`.
    #[must_use]
    pub fn ask(&self, query: AdminQuery, wait: Duration) -> Option<AdminAnswer> {
        let (tx, rx) = flume::bounded(1);
        let ticket = self.waiting().issue(tx);
        let asked = self.control.send(Input::Admin {
            query_id: ticket,
            query,
        });
        let answer = asked.ok().and_then(|()| rx.recv_timeout(wait).ok());
        self.waiting().by_ticket.remove(&ticket);
        answer
    }

    /// Hands over an answer of the core ([`crate::control::Output::Admin`]); one
    /// that nobody waits for any more is dropped.
    pub fn answer(&self, ticket: u64, answer: AdminAnswer) {
        if let Some(tx) = self.waiting().by_ticket.remove(&ticket) {
            let _ = tx.try_send(answer);
        }
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    fn issue(&mut self, tx: flume::Sender<AdminAnswer>) -> u64 {
        self.last += 1;
        self.by_ticket.insert(self.last, tx);
        self.last
    }
}
