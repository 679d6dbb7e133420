//! Messages about coordinators (`homes`) and capacity leases (`credit`).

use serde::Deserialize;
use serde::Serialize;

use super::Amount;
use super::CoordinatorsDocument;
use crate::clock::Millis;
use crate::condition::Condition;
use crate::condition::ConditionReport;
use crate::id::Boot;
use crate::id::Epoch;

/// A message between instances about capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// From a user to a coordinator: the capacity that the user needs.
    Ask(LeaseRequest),
    /// From a coordinator to a user: the answer to a lease request.
    Grants(Grants),
    /// From a coordinator to a user: capacity to return.
    Recall(Vec<Recall>),
    /// From a former coordinator to its successor.
    Handover(Handover),
    /// Requests the coordinators of the receiver's failure domain.
    AskHomes,
    /// Reports the coordinators of the sender's failure domain.
    Homes {
        /// The failure domain.
        domain: String,
        /// Document that names its coordinators.
        document: CoordinatorsDocument,
    },
}

/// Capacity that a user needs on the backend servers of one coordinator.
///
/// After sending it, the user ignores answers to its earlier requests for the
/// same backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Number of the lease request; increases over all lease requests of one
    /// process.
    pub number: u64,
    /// Newest epoch of the coordinators that the user knows.
    pub epoch: Epoch,
    /// One item for each backend server.
    pub items: Vec<LeaseRequestItem>,
}

/// Capacity that a user needs on one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequestItem {
    /// Name of the backend server.
    pub backend: String,
    /// Capacity that the user's attempts occupy there.
    pub used: Amount,
    /// Lease that the user holds, including the used part.
    pub credit: Amount,
    /// Capacity that the largest waiting request needs.
    pub largest: Amount,
    /// Sum of the weights of the waiting requests; the weight of a request is
    /// its importance plus one.
    pub weight: u64,
    /// Condition signals that the user observed since the last lease request.
    pub news: Option<ConditionReport>,
}

/// A coordinator's answer to a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grants {
    /// Number of the lease request that it answers.
    pub number: u64,
    /// Epoch under which the leases are granted.
    pub epoch: Epoch,
    /// Lifetime of the leases, from when the lease request was sent.
    pub life: Millis,
    /// One item for each backend server.
    pub items: Vec<Grant>,
}

/// A lease on the capacity of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Name of the backend server.
    pub backend: String,
    /// Maximum that the user may have in flight there.
    pub credit: Amount,
    /// Condition of the backend server.
    pub condition: Condition,
}

/// Tells a user to lower its lease immediately and to confirm that with its
/// next lease request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recall {
    /// Name of the backend server.
    pub backend: String,
    /// Amount that the user may keep; running attempts continue in any case.
    pub keep: Amount,
}

/// A former coordinator's state of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Epoch in which the receiver became the coordinator.
    pub epoch: Epoch,
    /// Name of the backend server.
    pub backend: String,
    /// Condition of the backend server.
    pub condition: Condition,
    /// Remaining time for which the receiver must not grant leases.
    pub wait: Millis,
    /// Whether the accounts cover all running work; if not, the receiver waits
    /// for a load report.
    pub known: bool,
    /// Accounts of the users.
    pub accounts: Vec<HandedOverAccount>,
    /// Reserved static shares of removed holders: the holder's name, and the
    /// divisor of the limit that gives its share.
    pub ghosts: Vec<(String, u64)>,
}

/// Account of one user in a [`Handover`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandedOverAccount {
    /// Name of the user's instance.
    pub user: String,
    /// Boot number of the user's instance.
    pub boot: Boot,
    /// Number of its last lease request.
    pub number: u64,
    /// Capacity that its attempts occupy.
    pub used: Amount,
    /// Granted lease; zero once it has expired and was replaced by the running
    /// work in `used`.
    pub credit: Amount,
}
