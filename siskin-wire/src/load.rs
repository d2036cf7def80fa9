//! What routers that forward requests tell each other about the load that they put on endpoints.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::{Customer, Endpoint},
    std::ops::RangeInclusive,
};

/// Whose load a digest tells of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender's own, told to the hub of its group.
    #[default]
    Own,
    /// That of the sender's group, told to the hubs of other groups.
    Group,
    /// That of all routers but the receiver, told by a hub to its group.
    Fleet,
}

/// Load that routers have put on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Requests sent and not answered to the end.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not begun to answer.
    pub backlog: u32,
    /// Prompt tokens sent since the last digest to the same receiver.
    pub read: u32,
    /// Prompt tokens per millisecond that the endpoint reads, as the routers have seen; 0 if they do not know.
    pub rate: u16,
    /// Routers whose mean `rate` is.
    pub rated: u16,
    /// Routers that the endpoint has asked to back off.
    pub backing_off: u16,
}

/// An endpoint that has said that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Milliseconds since it first said so.
    pub age_ms: u32,
}

/// A part of a prompt that an endpoint now keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Hash of the model and of all parts up to and including this one.
    pub chain: u32,
}

/// Costs of a customer's requests since the last digest to the same receiver, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer.
    pub customer: Customer,
    /// All requests, the refused ones included.
    pub asked: u32,
    /// Requests sent to an endpoint.
    pub begun: u32,
}

/// What a router tells another a few times a second, in one or several datagrams. A lost one is not repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Whose load this is.
    pub scope: Scope,
    /// Configuration version in force, 0 for none.
    pub config_version: u64,
    /// Revision of the newest change to the list of endpoints that the router has seen.
    pub directory_revision: u64,
    /// Milliseconds since the platform's store told the sender of all changes; [`Digest::NEVER`] if it does not.
    pub store_age_ms: u16,
    /// Numbers of the endpoints that `loads` speaks of. The router has no load on those between them that it leaves out.
    pub covers: RangeInclusive<u32>,
    /// Endpoints on which the router has load.
    pub loads: Vec<Load>,
    /// Parts sent to endpoints that were not known to keep them.
    pub kept: Vec<Kept>,
    /// Costs by customer.
    pub usages: Vec<Usage>,
    /// Endpoints that have said that they leave. That is told again and again, as a digest may be lost.
    pub leaving: Vec<Leaving>,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            scope: Scope::Own,
            config_version: 0,
            directory_revision: 0,
            store_age_ms: Self::NEVER,
            covers: 0..=u32::MAX,
            loads: Vec::new(),
            kept: Vec::new(),
            usages: Vec::new(),
            leaving: Vec::new(),
        }
    }
}

/// Loads in one datagram.
const LOADS_MAX: usize = 40;

/// Kept parts in one datagram.
const KEPT_MAX: usize = 16;

/// Customers in one datagram.
const USAGES_MAX: usize = 16;

/// Endpoints that leave in one datagram.
const LEAVING_MAX: usize = 16;

impl Digest {
    /// The store does not tell the sender of changes.
    pub const NEVER: u16 = u16::MAX;

    /// Splits a digest into parts that each fit a datagram.
    ///
    /// ```
    /// use {siskin_types::id::Endpoint, siskin_wire::load::{Digest, Load}};
    /// let load = |id| Load {
    ///     endpoint: Endpoint(id), in_flight: 1, backlog: 5_000, read: 7, rate: 50, rated: 1, backing_off: 0,
    /// };
    /// let parts = Digest { loads: (0..100).map(load).collect(), ..Digest::default() }.split();
    /// assert_eq!(parts.len(), 3);
    /// assert_eq!(parts.iter().map(|part| part.loads.len()).sum::<usize>(), 100);
    /// assert_eq!((*parts[0].covers.start(), *parts[2].covers.end()), (0, u32::MAX));
    /// ```
    #[must_use]
    pub fn split(mut self) -> Vec<Self> {
        self.loads.sort_unstable_by_key(|load| load.endpoint);
        let mut parts = Vec::new();
        let mut start = 0;
        loop {
            let rest = self.loads.split_off(self.loads.len().min(LOADS_MAX));
            let last = rest.is_empty();
            let end = self.loads.last().filter(|_| !last).map_or(u32::MAX, |load| load.endpoint.0);
            parts.push(Self {
                scope: self.scope,
                covers: start..=end,
                loads: std::mem::replace(&mut self.loads, rest),
                kept: take(&mut self.kept, KEPT_MAX),
                usages: take(&mut self.usages, USAGES_MAX),
                leaving: take(&mut self.leaving, LEAVING_MAX),
                config_version: self.config_version,
                directory_revision: self.directory_revision,
                store_age_ms: self.store_age_ms,
            });
            start = end.saturating_add(1);
            if last && !self.is_more_than_loads() {
                return parts;
            }
            if last {
                // The remaining parts speak of no endpoint's load.
                parts.extend(self.without_loads());
                return parts;
            }
        }
    }

    const fn is_more_than_loads(&self) -> bool {
        !(self.kept.is_empty() && self.usages.is_empty() && self.leaving.is_empty())
    }

    /// Parts for what is left beside the loads.
    #[expect(clippy::reversed_empty_ranges, reason = "the empty range: no endpoint is spoken of")]
    fn without_loads(&mut self) -> Vec<Self> {
        let mut parts = Vec::new();
        while self.is_more_than_loads() {
            parts.push(Self {
                scope: self.scope,
                config_version: self.config_version,
                directory_revision: self.directory_revision,
                store_age_ms: self.store_age_ms,
                covers: 1..=0,
                loads: Vec::new(),
                kept: take(&mut self.kept, KEPT_MAX),
                usages: take(&mut self.usages, USAGES_MAX),
                leaving: take(&mut self.leaving, LEAVING_MAX),
            });
        }
        parts
    }
}

/// Takes at most this many items from the front.
fn take<T>(items: &mut Vec<T>, count: usize) -> Vec<T> {
    items.drain(..items.len().min(count)).collect()
}
