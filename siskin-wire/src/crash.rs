//! Crashes of endpoints and what was waiting there for a response, exchanged by routers that forward requests
//! unchanged.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::{Endpoint, Feature},
};

/// A request whose response had not begun when its endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Involvement {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Milliseconds since the crash.
    pub age_ms: u32,
    /// Features of the request.
    pub features: Vec<Feature>,
}

/// An endpoint has begun to respond to a request with this feature, so the feature crashes no endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    /// The feature.
    pub feature: Feature,
    /// Milliseconds since the response began.
    pub age_ms: u32,
}

/// Recent crashes that a router has recorded or received. A lost datagram is not retransmitted; the facts are sent again a little later.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the sender has just started and requests all facts that the receiver has.
    pub requests_all: bool,
    /// Requests that were waiting at endpoints that crashed.
    pub involvements: Vec<Involvement>,
    /// Features of such requests to which an endpoint has responded since.
    pub clearances: Vec<Clearance>,
}

/// Most features in one datagram of 1,400 bytes. An encoded one takes up to 10 bytes.
const FEATURES_MAX: usize = 96;

/// Space that the endpoint and the age of an entry take, in features.
const ENTRY_FEATURES: usize = 2;

impl Report {
    /// Whether the report says nothing and asks for nothing.
    ///
    /// ```
    /// assert!(siskin_wire::crash::Report::default().is_empty());
    /// ```
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        !self.requests_all && self.involvements.is_empty() && self.clearances.is_empty()
    }

    /// Splits a report into parts that each fit a datagram.
    ///
    /// ```
    /// use {
    ///     siskin_types::id::{Endpoint, Feature},
    ///     siskin_wire::crash::{Involvement, Report},
    /// };
    /// let involvement = |id| Involvement {
    ///     endpoint: Endpoint(id), age_ms: 0, features: vec![Feature(1); 4],
    /// };
    /// let report = Report { involvements: (0..40).map(involvement).collect(), ..Report::default() };
    /// let parts = report.split();
    /// assert_eq!(parts.len(), 3);
    /// assert_eq!(parts.iter().map(|part| part.involvements.len()).sum::<usize>(), 40);
    /// ```
    #[must_use]
    pub fn split(self) -> Vec<Self> {
        let mut parts = vec![Self { requests_all: self.requests_all, ..Self::default() }];
        let mut left = FEATURES_MAX;
        for involvement in self.involvements {
            let size = involvement.features.len() + ENTRY_FEATURES;
            part_with_room(&mut parts, &mut left, size).involvements.push(involvement);
        }
        for clearance in self.clearances {
            part_with_room(&mut parts, &mut left, ENTRY_FEATURES).clearances.push(clearance);
        }
        parts
    }
}

/// The last part, or a new one if the last one has no room for an entry of this size.
fn part_with_room<'a>(parts: &'a mut Vec<Report>, left: &mut usize, size: usize) -> &'a mut Report {
    if *left < size {
        parts.push(Report::default());
        *left = FEATURES_MAX;
    }
    *left = left.saturating_sub(size);
    let last = parts.len() - 1;
    &mut parts[last]
}
