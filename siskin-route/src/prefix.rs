//! Which endpoints likely hold the start of a prompt in their prefix cache.
//!
//! A prompt is cut into blocks, and each block's hash covers all blocks before it, so an equal hash means an
//! equal prefix. All routers of a fleet place a prefix on the same endpoints; the table also learns from a router's
//! own dispatches and forgets the blocks used longest ago. Both are hints: a wrong one costs only a slower first token.

use {
    indexmap::IndexMap,
    siskin_types::id::Endpoint,
    std::{
        collections::hash_map::DefaultHasher,
        hash::{Hash, Hasher},
    },
};

/// Bytes of prompt text in a block.
const BLOCK_BYTES: usize = 512;

/// Blocks of one prompt that are looked at; longer prompts differ rarely only beyond it.
const BLOCKS_MAX: usize = 64;

/// Endpoints remembered for one block.
const ENDPOINTS_PER_BLOCK: usize = 4;

/// Endpoints on which a prefix is placed.
const CHOICES: usize = 4;

/// Hashes of the blocks of one prompt, each covering all text up to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain(Vec<u64>);

impl Chain {
    /// Hashes a prompt. Only whole blocks count, as engines cache whole blocks.
    ///
    /// ```
    /// use siskin_route::prefix::Chain;
    /// let base = "x".repeat(1_024);
    /// let longer = format!("{base}{}", "y".repeat(512));
    /// assert_eq!(Chain::new(1, &base).len(), 2);
    /// assert_eq!(Chain::new(1, &longer).shared(&Chain::new(1, &base)), 2);
    /// assert_eq!(Chain::new(2, &longer).shared(&Chain::new(1, &base)), 0);
    /// ```
    #[must_use]
    pub fn new(model: u32, prompt: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        model.hash(&mut hasher);
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(BLOCKS_MAX);
        Self(
            blocks
                .map(|block| {
                    block.hash(&mut hasher);
                    hasher.finish()
                })
                .collect(),
        )
    }

    /// Number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the prompt is shorter than a block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of leading blocks that two prompts share.
    #[must_use]
    pub fn shared(&self, other: &Self) -> usize {
        self.0.iter().zip(&other.0).take_while(|(left, right)| left == right).count()
    }
}

/// The endpoints on which all routers place a prefix, best first, by rendezvous hashing of the prompt's first block.
///
/// A router that only knew its own dispatches would spread each prefix over the endpoints by itself.
///
/// ```
/// use {siskin_route::prefix::{Chain, place}, siskin_types::id::Endpoint};
/// let engines = [Endpoint(1), Endpoint(2), Endpoint(3)];
/// let shared = "s".repeat(512);
/// let order = place(&Chain::new(1, &format!("{shared}{}", "a".repeat(512))), engines.into_iter());
/// assert_eq!(order.len(), 3);
/// assert_eq!(order, place(&Chain::new(1, &format!("{shared}{}", "b".repeat(512))), engines.into_iter()));
/// assert!(place(&Chain::new(1, "short"), engines.into_iter()).is_empty());
/// ```
#[must_use]
pub fn place(chain: &Chain, endpoints: impl Iterator<Item = Endpoint>) -> Vec<Endpoint> {
    let Some(first) = chain.0.first() else { return Vec::new() };
    let score = |endpoint: Endpoint| {
        let mut hasher = DefaultHasher::new();
        (first, endpoint).hash(&mut hasher);
        (hasher.finish(), endpoint)
    };
    let mut scored: Vec<_> = endpoints.map(score).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().map(|(_, endpoint)| endpoint).take(CHOICES).collect()
}

/// Bounded memory of which endpoints have seen which blocks.
#[derive(Debug)]
pub struct Table {
    capacity: usize,
    /// Blocks seen since the last turn of generations.
    young: IndexMap<u64, Vec<Endpoint>>,
    /// Blocks seen in the generation before; dropped at the next turn unless used again.
    old: IndexMap<u64, Vec<Endpoint>>,
}

impl Table {
    /// Makes a table that remembers at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, young: IndexMap::new(), old: IndexMap::new() }
    }

    /// Records that `endpoint` has processed a prompt.
    pub fn record(&mut self, chain: &Chain, endpoint: Endpoint) {
        for &block in &chain.0 {
            let endpoints = self.promote(block);
            endpoints.retain(|&known| known != endpoint);
            endpoints.insert(0, endpoint);
            endpoints.truncate(ENDPOINTS_PER_BLOCK);
        }
    }

    /// The endpoints that likely hold the prefix, the one with the longest part first.
    ///
    /// ```
    /// use {siskin_route::prefix::{Chain, Table}, siskin_types::id::Endpoint};
    /// let mut table = Table::new(1_000);
    /// let shared = "s".repeat(1_024);
    /// let plan = format!("{shared}{}", "p".repeat(512));
    /// table.record(&Chain::new(1, &plan), Endpoint(7));
    /// table.record(&Chain::new(1, &shared), Endpoint(8));
    /// assert_eq!(table.prefer(&Chain::new(1, &plan)), [Endpoint(7), Endpoint(8)]);
    /// ```
    #[must_use]
    pub fn prefer(&self, chain: &Chain) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for block in chain.0.iter().rev() {
            let known = self.young.get(block).or_else(|| self.old.get(block));
            for &endpoint in known.into_iter().flatten() {
                if !endpoints.contains(&endpoint) {
                    endpoints.push(endpoint);
                }
            }
            if endpoints.len() >= ENDPOINTS_PER_BLOCK {
                break;
            }
        }
        endpoints
    }

    /// Forgets an endpoint whose cache is empty, because it restarted or loaded another model.
    pub fn forget(&mut self, endpoint: Endpoint) {
        for endpoints in self.young.values_mut().chain(self.old.values_mut()) {
            endpoints.retain(|&known| known != endpoint);
        }
    }

    /// Number of blocks remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    /// Moves a block into the young generation, turning the generations when that is full.
    fn promote(&mut self, block: u64) -> &mut Vec<Endpoint> {
        if !self.young.contains_key(&block) && self.young.len() >= self.capacity.div_ceil(2) {
            self.old = std::mem::take(&mut self.young);
        }
        let before = self.old.swap_remove(&block).unwrap_or_default();
        self.young.entry(block).or_insert(before)
    }
}
