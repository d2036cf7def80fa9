//! Identifiers of the things that routers talk about.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

macro_rules! numbered {
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

numbered! {
    /// A customer: one party that shares the capacity, known by its number in the configuration.
    Customer, "c"
}
numbered! {
    /// An endpoint: a model engine or an application service.
    Endpoint, "e"
}
numbered! {
    /// A pool: a set of endpoints whose slots are shared by one owner.
    Pool, "p"
}
numbered! {
    /// A model, known by its number in the configuration.
    Model, "m"
}
numbered! {
    /// A router process's VM. A restarted process keeps its node number and takes a new incarnation.
    Node, "n"
}

/// Identifies one request over the whole fleet and over router restarts.
///
/// ```
/// use siskin_types::id::{Node, Request};
/// let request = Request { node: Node(3), incarnation: 17, sequence: 42 };
/// let text = request.to_string();
/// assert_eq!(text.parse::<Request>().unwrap(), request);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The router that took the request.
    pub node: Node,
    /// That router's incarnation, so that numbers given out before a restart are not reused.
    pub incarnation: u64,
    /// Counts the requests of that incarnation.
    pub sequence: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{:x}", self.node.0, self.incarnation, self.sequence)
    }
}

/// The text is not a request identifier.
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
        let fail = |source| ParseError { text: text.to_owned(), source };
        let mut parts = text.split('-');
        let (Some(node), Some(incarnation), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(fail(None));
        };
        Ok(Self {
            node: Node(u32::from_str_radix(node, 16).map_err(|error| fail(Some(error)))?),
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|error| fail(Some(error)))?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|error| fail(Some(error)))?,
        })
    }
}
