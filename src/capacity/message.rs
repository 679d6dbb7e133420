//! Messages about homes and credits.

use serde::Deserialize;
use serde::Serialize;

use super::Amount;
use super::HomesDocument;
use crate::clock::Millis;
use crate::condition::Condition;
use crate::condition::News;
use crate::id::Boot;
use crate::id::Epoch;

/// A message between instances about limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// From a user to a home: all that it needs.
    Ask(Ask),
    /// From a home to a user: the answer.
    Grants(Grants),
    /// From a home to a user: what it should give back.
    Recall(Vec<Recall>),
    /// From a former home to its successor.
    Handover(Handover),
    /// Asks for the homes of the receiver's failure domain.
    AskHomes,
    /// The homes of the sender's failure domain.
    Homes {
        /// The failure domain.
        domain: String,
        /// Who its homes are.
        document: HomesDocument,
    },
}

/// What a user needs of the backend servers of one home.
///
/// With it the user gives up whatever answer to an earlier ask it has not
/// received yet for the same backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ask {
    /// Number of the ask; grows over all asks of one process.
    pub number: u64,
    /// The newest epoch of the homes that the user knows.
    pub epoch: Epoch,
    /// One item a backend server.
    pub items: Vec<AskItem>,
}

/// What a user needs of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AskItem {
    /// The backend server's name.
    pub backend: String,
    /// What runs there on behalf of the user.
    pub used: Amount,
    /// The credit that the user holds, the used part included.
    pub credit: Amount,
    /// The largest request that waits.
    pub largest: Amount,
    /// Waiting requests, each weighted by its importance.
    pub weight: u64,
    /// What the user saw of its condition since the last ask.
    pub news: Option<News>,
}

/// A home's answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grants {
    /// Number of the ask.
    pub number: u64,
    /// The epoch under which the credits are granted.
    pub epoch: Epoch,
    /// Life of the credits, from the sending of the ask.
    pub life: Millis,
    /// One item a backend server.
    pub items: Vec<Grant>,
}

/// Credit of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The backend server's name.
    pub backend: String,
    /// What the user may have there in flight.
    pub credit: Amount,
    /// The backend server's condition.
    pub condition: Condition,
}

/// Asks a user to lower its credit at once and to confirm that.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recall {
    /// The backend server's name.
    pub backend: String,
    /// What the user may keep; what runs goes on in any case.
    pub keep: Amount,
}

/// What a former home knows of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// The epoch in which the receiver became its home.
    pub epoch: Epoch,
    /// The backend server's name.
    pub backend: String,
    /// Its condition.
    pub condition: Condition,
    /// Time for which no credits may be given yet.
    pub wait: Millis,
    /// Whether all that runs is on the accounts.
    pub known: bool,
    /// Its users.
    pub accounts: Vec<HandedAccount>,
    /// Static shares that are kept: name, and the limit divided by what.
    pub ghosts: Vec<(String, u64)>,
}

/// What one user holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandedAccount {
    /// The user's name.
    pub user: String,
    /// The user's boot number.
    pub boot: Boot,
    /// Number of its last ask.
    pub number: u64,
    /// What runs on its behalf.
    pub used: Amount,
    /// The most it may have in flight.
    pub credit: Amount,
}
