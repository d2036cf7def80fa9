//! Which endpoints likely have the start of a prompt in their prefix cache.
//!
//! A prompt is divided into blocks, and each block's hash covers all blocks before it, so an equal hash means an equal
//! prefix. All routers of a fleet place a prefix on the same endpoints; the table also learns from a router's own
//! dispatches and evicts the least recently used blocks. Both are hints: a wrong one costs only a slower first token.

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

/// Most blocks of a prompt that are hashed; long prompts rarely differ only beyond them.
const BLOCKS_MAX: usize = 64;

/// Most endpoints remembered for one block.
const ENDPOINTS_PER_BLOCK: usize = 4;

/// Number of endpoints on which a prefix is placed.
const ENDPOINTS_PER_PREFIX: usize = 4;

/// Hashes of the blocks of one prompt, each covering all text up to the end of its block.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain(Vec<u64>);

impl Chain {
    /// Hashes a prompt. Only complete blocks count, as engines cache complete blocks.
    ///
    /// ```
    /// use siskin_route::prefix::Chain;
    /// let base = "x".repeat(1_024);
    /// let longer = format!("{base}{}", "y".repeat(512));
    /// assert_eq!(Chain::new(1, &base).len(), 2);
    /// assert_eq!(Chain::new(1, &longer).shared_blocks(&Chain::new(1, &base)), 2);
    /// assert_eq!(Chain::new(2, &longer).shared_blocks(&Chain::new(1, &base)), 0);
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
    pub fn shared_blocks(&self, other: &Self) -> usize {
        self.0.iter().zip(&other.0).take_while(|(left, right)| left == right).count()
    }
}

/// Chooses the endpoints on which all routers place a prefix, best first, by rendezvous hashing of the prompt's first
/// block.
///
/// Without a common placement, each router would learn its own endpoints for a prefix, and the prefix would be spread
/// over all of them.
///
/// ```
/// use {siskin_route::prefix::{Chain, place}, siskin_types::id::Endpoint};
/// let engines = [Endpoint(1), Endpoint(2), Endpoint(3)];
/// let shared_text = "s".repeat(512);
/// let order = place(&Chain::new(1, &format!("{shared_text}{}", "a".repeat(512))), engines.into_iter());
/// assert_eq!(order.len(), 3);
/// assert_eq!(order, place(&Chain::new(1, &format!("{shared_text}{}", "b".repeat(512))), engines.into_iter()));
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
    scored.into_iter().map(|(_, endpoint)| endpoint).take(ENDPOINTS_PER_PREFIX).collect()
}

/// Bounded table of the endpoints that have processed each block, with two generations in place of an exact LRU order.
#[derive(Debug)]
pub struct Table {
    capacity: usize,
    /// Blocks used since the last change of generations.
    current: IndexMap<u64, Vec<Endpoint>>,
    /// Blocks last used in the previous generation; evicted at the next change unless used again.
    previous: IndexMap<u64, Vec<Endpoint>>,
}

impl Table {
    /// Creates a table that remembers at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, current: IndexMap::new(), previous: IndexMap::new() }
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

    /// The endpoints that likely have the prefix cached, the one with the longest cached part first.
    ///
    /// ```
    /// use {siskin_route::prefix::{Chain, Table}, siskin_types::id::Endpoint};
    /// let mut table = Table::new(1_000);
    /// let shared_text = "s".repeat(1_024);
    /// let plan = format!("{shared_text}{}", "p".repeat(512));
    /// table.record(&Chain::new(1, &plan), Endpoint(7));
    /// table.record(&Chain::new(1, &shared_text), Endpoint(8));
    /// assert_eq!(table.likely_endpoints(&Chain::new(1, &plan)), [Endpoint(7), Endpoint(8)]);
    /// ```
    #[must_use]
    pub fn likely_endpoints(&self, chain: &Chain) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for block in chain.0.iter().rev() {
            let known = self.current.get(block).or_else(|| self.previous.get(block));
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

    /// Removes an endpoint whose cache is empty, because it restarted or loaded another model.
    pub fn forget(&mut self, endpoint: Endpoint) {
        for endpoints in self.current.values_mut().chain(self.previous.values_mut()) {
            endpoints.retain(|&known| known != endpoint);
        }
    }

    /// Number of blocks remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no blocks are remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }

    /// Moves a block into the current generation, and starts a new generation first if that one is full.
    fn promote(&mut self, block: u64) -> &mut Vec<Endpoint> {
        if !self.current.contains_key(&block) && self.current.len() >= self.capacity.div_ceil(2) {
            self.previous = std::mem::take(&mut self.current);
        }
        let before = self.previous.swap_remove(&block).unwrap_or_default();
        self.current.entry(block).or_insert(before)
    }
}
