//! Digests of the load that routers put on endpoints, exchanged by routers that forward requests unchanged.

use {
    serde::{Deserialize, Serialize},
    siskin_types::{
        id::{Customer, Endpoint},
        position::Position,
    },
    std::ops::RangeInclusive,
};

/// Whose load a digest describes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender's own load, sent to the hub of its group.
    #[default]
    Own,
    /// The load of the sender's group, sent to the hubs of other groups.
    Group,
    /// The load of all routers but the receiver, sent by a hub to its group.
    Fleet,
}

/// Load that routers have put on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Requests sent whose responses are not complete.
    pub in_flight: u32,
    /// Prompt tokens of requests whose responses have not begun.
    pub backlog: u32,
    /// Prompt tokens sent since the last digest to the same receiver.
    pub read: u32,
    /// Prompt tokens per millisecond that the endpoint processes, as measured by the routers; 0 if unknown.
    pub rate: u16,
    /// Number of routers over which `rate` is averaged.
    pub rated: u16,
    /// Number of routers that the endpoint has asked to back off.
    pub backing_off: u16,
}

/// An endpoint that has announced that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Milliseconds since its first announcement.
    pub age_ms: u32,
}

/// A part of a prompt that an endpoint has added to its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Chained hash of the model and of all parts of the prompt up to and including this one.
    pub chain: u32,
}

/// Costs of a customer's requests since the last digest to the same receiver, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer.
    pub customer: Customer,
    /// Cost of all requests, the refused ones included.
    pub asked: u32,
    /// Cost of the requests that were sent to an endpoint.
    pub begun: u32,
}

/// Load digest, sent a few times per second in one or several datagrams. A lost datagram is not retransmitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Whose load the digest describes.
    pub scope: Scope,
    /// Configuration version in force, 0 for none.
    pub config_version: u64,
    /// Position of the newest change to the list of endpoints that the router has seen.
    pub directory_position: Position,
    /// Milliseconds since the sender was last up to date with the platform's store; [`Digest::NEVER`] if the store does not
    /// report changes to it.
    pub store_age_ms: u16,
    /// Range of endpoint numbers that `loads` covers. Endpoints in the range that are not listed have no load.
    pub covers: RangeInclusive<u32>,
    /// Load on each endpoint that has any.
    pub loads: Vec<Load>,
    /// Prompt parts sent to endpoints that were not known to have them in their cache.
    pub kept: Vec<Kept>,
    /// Request costs by customer.
    pub usages: Vec<Usage>,
    /// Endpoints that have announced that they leave. Repeated in each digest, because a digest may be lost.
    pub leaving: Vec<Leaving>,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            scope: Scope::Own,
            config_version: 0,
            directory_position: Position::default(),
            store_age_ms: Self::NEVER,
            covers: 0..=u32::MAX,
            loads: Vec::new(),
            kept: Vec::new(),
            usages: Vec::new(),
            leaving: Vec::new(),
        }
    }
}

/// Most loads in one datagram.
const LOADS_MAX: usize = 40;

/// Most cached prompt parts in one datagram.
const KEPT_MAX: usize = 16;

/// Most customers in one datagram.
const USAGES_MAX: usize = 16;

/// Most leaving endpoints in one datagram.
const LEAVING_MAX: usize = 16;

impl Digest {
    /// Value of `store_age_ms` if the store does not report changes to the sender.
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
                kept: take_front(&mut self.kept, KEPT_MAX),
                usages: take_front(&mut self.usages, USAGES_MAX),
                leaving: take_front(&mut self.leaving, LEAVING_MAX),
                config_version: self.config_version,
                directory_position: self.directory_position,
                store_age_ms: self.store_age_ms,
            });
            start = end.saturating_add(1);
            if last && !self.has_other_entries() {
                return parts;
            }
            if last {
                // The remaining parts cover no endpoint.
                parts.extend(self.split_other_entries());
                return parts;
            }
        }
    }

    /// Whether entries other than loads are left.
    const fn has_other_entries(&self) -> bool {
        !(self.kept.is_empty() && self.usages.is_empty() && self.leaving.is_empty())
    }

    /// Splits the entries other than loads into parts that cover no endpoint.
    #[expect(clippy::reversed_empty_ranges, reason = "an empty range covers no endpoint")]
    fn split_other_entries(&mut self) -> Vec<Self> {
        let mut parts = Vec::new();
        while self.has_other_entries() {
            parts.push(Self {
                scope: self.scope,
                config_version: self.config_version,
                directory_position: self.directory_position,
                store_age_ms: self.store_age_ms,
                covers: 1..=0,
                loads: Vec::new(),
                kept: take_front(&mut self.kept, KEPT_MAX),
                usages: take_front(&mut self.usages, USAGES_MAX),
                leaving: take_front(&mut self.leaving, LEAVING_MAX),
            });
        }
        parts
    }
}

/// Removes and returns at most `count` items from the front.
fn take_front<T>(items: &mut Vec<T>, count: usize) -> Vec<T> {
    items.drain(..items.len().min(count)).collect()
}
