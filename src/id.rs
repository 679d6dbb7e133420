//! Identifiers and counters that cross module or process borders.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// One caller's request; unique over all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Writes a [`RequestId`] as 16 hexadecimal digits, as JSON documents have it.
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

/// One try at a request on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is tried.
    pub request: RequestId,
    /// The number of the try, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

/// Fencing number of a failure domain's home assignment; only grows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Revision of the operators' declarations; only grows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Number that a process draws at its start and keeps until its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Boot(pub u64);

/// Hash of workspace, kind, model and prompt: the same request sent again has
/// the same fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);
