//! Identifiers and counters that cross module or process borders.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// Id of a caller's request, unique across all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Serializes a [`RequestId`] as 16 hexadecimal digits, its form in JSON documents.
#[derive(Debug, Clone, Copy)]
pub struct HexDigits;

impl SerializeAs<RequestId> for HexDigits {
    fn serialize_as<S: Serializer>(id: &RequestId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(id)
    }
}

impl<'de> DeserializeAs<'de, RequestId> for HexDigits {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<RequestId, D::Error> {
        let digits = String::deserialize(deserializer)?;
        u64::from_str_radix(&digits, 16)
            .map(RequestId)
            .map_err(Error::custom)
    }
}

/// Id of one attempt to run a request on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

/// Fencing token of a failure domain's assignment of coordinators (homes) to
/// backend servers; only increases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Revision of the operators' declarations; only increases. 0 means that none
/// is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Random number that identifies one run of a process, its "boot number".
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Boot(pub u64);

/// Hash of all that identifies a request: the caller's token and, for a prompt,
/// kind, model, output limit and text, or, for a service call, service,
/// operation and body. Equal for repeats of the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);
