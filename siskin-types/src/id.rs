//! Identifiers of customers, endpoints, pools, models, nodes, requests and their features.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

numeric_id! {
    /// A customer: one of the parties that share the capacity, identified by its number in the configuration.
    Customer, "c"
}
numeric_id! {
    /// An endpoint: a model engine or an application service.
    Endpoint, "e"
}
numeric_id! {
    /// A pool: a set of endpoints whose slots one owner router distributes.
    Pool, "p"
}
numeric_id! {
    /// A model, identified by its number in the configuration.
    Model, "m"
}
numeric_id! {
    /// The VM of a router process. A restarted process keeps its node number and gets a new incarnation.
    Node, "n"
}

/// Hash of something by which requests are recognised when they come again: the content of one request, or one part of
/// its prompt, which other requests may share. It is the same at all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Feature(pub u64);

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one request, unique in the fleet and across router restarts.
///
/// ```
/// use siskin_types::id::{Node, Request};
/// let request = Request { node: Node(3), incarnation: 17, sequence: 42 };
/// let text = request.to_string();
/// assert_eq!(text.parse::<Request>().unwrap(), request);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The router that accepted the request.
    pub node: Node,
    /// That router's incarnation, so that identifiers assigned before a restart are not reused.
    pub incarnation: u64,
    /// Sequence number of the request in that incarnation.
    pub sequence: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{:x}", self.node.0, self.incarnation, self.sequence)
    }
}

/// A text that is not a request identifier.
#[derive(Debug, thiserror::Error)]
#[error(
    "request identifier '{text}' is malformed; expected three hexadecimal numbers joined by '-'"
)]
pub struct ParseError {
    text: String,
    source: Option<ParseIntError>,
}

impl FromStr for Request {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = |source| ParseError { text: text.to_owned(), source };
        let mut parts = text.split('-');
        let (Some(node), Some(incarnation), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(malformed(None));
        };
        Ok(Self {
            node: Node(u32::from_str_radix(node, 16).map_err(|error| malformed(Some(error)))?),
            incarnation: u64::from_str_radix(incarnation, 16)
                .map_err(|error| malformed(Some(error)))?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|error| malformed(Some(error)))?,
        })
    }
}
