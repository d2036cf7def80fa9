//! Changes that a router accumulates for a receiver between digests.

use {
    crate::share::Usage,
    indexmap::IndexMap,
    siskin_types::id::{Customer, Endpoint},
    siskin_wire::load::{self, Digest, Kept},
};

/// Most prompt parts queued for a receiver. Further ones are left out, which costs at most a prompt processed twice.
const PENDING_PARTS_MAX: usize = 256;

/// Prompt tokens sent, parts cached and costs of customers since the last digest to a receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Prompt tokens sent, by endpoint.
    pub reads: IndexMap<Endpoint, u32>,
    /// Parts that endpoints have newly cached.
    pub kept: Vec<Kept>,
    /// Costs by customer.
    pub usages: IndexMap<Customer, Usage>,
}

impl Changes {
    /// Extracts the changes from a digest.
    #[must_use]
    pub fn from_digest(digest: &Digest) -> Self {
        let usage = |usage: &load::Usage| {
            let costs = Usage { asked: u64::from(usage.asked), begun: u64::from(usage.begun) };
            (usage.customer, costs)
        };
        Self {
            reads: digest.loads.iter().map(|load| (load.endpoint, load.read)).collect(),
            kept: digest.kept.clone(),
            usages: digest.usages.iter().map(usage).collect(),
        }
    }

    /// Adds other changes to these.
    pub fn merge(&mut self, other: &Self) {
        for (endpoint, read) in &other.reads {
            let sum = self.reads.entry(*endpoint).or_default();
            *sum = sum.saturating_add(*read);
        }
        let room = PENDING_PARTS_MAX.saturating_sub(self.kept.len());
        self.kept.extend(other.kept.iter().take(room));
        for (customer, usage) in &other.usages {
            let sum = self.usages.entry(*customer).or_default();
            sum.asked += usage.asked;
            sum.begun += usage.begun;
        }
    }

    /// Whether there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reads.values().all(|read| *read == 0) && self.kept.is_empty() && self.usages.is_empty()
    }

    /// Writes the changes into a digest that already holds the loads. An endpoint with prompt tokens sent but no load
    /// left gets an entry as well.
    pub fn write_to(self, digest: &mut Digest) {
        for (endpoint, read) in self.reads {
            match digest.loads.iter_mut().find(|load| load.endpoint == endpoint) {
                Some(load) => load.read = read,
                None if read > 0 => digest.loads.push(load::Load {
                    endpoint,
                    in_flight: 0,
                    backlog: 0,
                    read,
                    rate: 0,
                    rated: 0,
                    backing_off: 0,
                }),
                None => {}
            }
        }
        digest.kept = self.kept;
        let costs = |amount| u32::try_from(amount).unwrap_or(u32::MAX);
        digest.usages = self
            .usages
            .into_iter()
            .map(|(customer, usage)| load::Usage {
                customer,
                asked: costs(usage.asked),
                begun: costs(usage.begun),
            })
            .collect();
    }
}
