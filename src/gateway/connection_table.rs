//! Which of the callers' connections stay open when there are too many.
//!
//! A new connection takes the place of the one that is of least use: first those
//! that have sent nothing whole, then those that do not read, then idle ones. A
//! connection whose request has been submitted stays. It is meant for crowds that
//! open connections and stay silent, beside callers that send at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::gateway::connection::Activity;
use crate::gateway::connection::ConnectionState;

/// Time in one state before a connection that has been answered, or that sends or
/// reads, may be closed for another one.
const MIN_CLOSABLE_TIME: Duration = Duration::from_millis(300);

/// How early a connection is closed for another one; the greatest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseRank {
    /// It has been answered before, and is idle.
    Idle,
    /// A body arrives.
    Sending,
    /// The caller takes nothing of what is being written.
    NotReading,
    /// It has never been answered, and no head has come.
    Unused,
}

/// Returns how early a connection is closed for another one; `None` if it is not.
#[must_use]
pub fn close_rank(
    activity: Activity,
    has_answered: bool,
    elapsed: Duration,
    blocked: Option<Duration>,
) -> Option<(CloseRank, Duration)> {
    let rank = match activity {
        // The oldest goes first, and an ordinary caller sends its head at once.
        Activity::Idle | Activity::Head if !has_answered => {
            return Some((CloseRank::Unused, elapsed));
        }
        Activity::Idle | Activity::Head => (CloseRank::Idle, elapsed),
        Activity::Body => (CloseRank::Sending, elapsed),
        Activity::Response | Activity::Flushing => (CloseRank::NotReading, blocked?),
        Activity::Request | Activity::Aborted => return None,
    };
    (rank.1 >= MIN_CLOSABLE_TIME).then_some(rank)
}

/// The open connections of a listener.
#[derive(Debug, Clone)]
pub struct ConnectionTable(Rc<Table>);

#[derive(Debug)]
struct Table {
    max: usize,
    open: RefCell<HashMap<u64, OpenConnection>>,
    next_id: Cell<u64>,
}

#[derive(Debug)]
struct OpenConnection {
    state: ConnectionState,
    /// Tells its task to end.
    close: Rc<Notify>,
}

/// The place of a connection in its table, until this is dropped.
#[derive(Debug)]
pub struct Place {
    table: ConnectionTable,
    id: u64,
    close: Rc<Notify>,
}

impl ConnectionTable {
    /// Returns an empty table for a number of connections.
    #[must_use]
    pub fn new(max: usize) -> ConnectionTable {
        ConnectionTable(Rc::new(Table {
            max,
            open: RefCell::default(),
            next_id: Cell::new(0),
        }))
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.open.borrow().len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives a new connection a place, and tells another one to close if there are
    /// too many. Returns its place, and how early the other one had to close;
    /// `None` if no place can be had.
    #[must_use]
    pub fn admit(&self, state: &ConnectionState) -> Option<(Place, Option<CloseRank>)> {
        let mut open = self.0.open.borrow_mut();
        let mut closed = None;
        if open.len() >= self.0.max {
            let (rank, id) = open
                .iter()
                .filter_map(|(id, other)| Some((rank_of(&other.state)?, *id)))
                .max()?;
            if let Some(other) = open.remove(&id) {
                other.close.notify_one();
            }
            closed = Some(rank.0);
        }
        let id = self.0.next_id.get();
        self.0.next_id.set(id + 1);
        let close = Rc::new(Notify::new());
        let connection = OpenConnection {
            state: state.clone(),
            close: Rc::clone(&close),
        };
        open.insert(id, connection);
        let place = Place {
            table: self.clone(),
            id,
            close,
        };
        Some((place, closed))
    }
}

fn rank_of(state: &ConnectionState) -> Option<(CloseRank, Duration)> {
    close_rank(
        state.activity(),
        state.has_answered(),
        state.elapsed(),
        state.blocked(),
    )
}

impl Place {
    /// Waits until the connection has to close for another one.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.table.0.open.borrow_mut().remove(&self.id);
    }
}
