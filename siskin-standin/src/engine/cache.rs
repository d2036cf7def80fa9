//! Prefix cache in limited memory.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Tokens in a cached block.
pub const BLOCK_TOKENS: u64 = 16;

/// Bytes of prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes in a cached block.
const BLOCK_BYTES: usize = 16 * TOKEN_BYTES;

/// Events kept for callers that ask for earlier ones.
const EVENTS_KEPT: usize = 4_096;

/// One event of `GET /cache/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event; numbers increase and may have gaps.
    pub number: u64,
    /// What happened.
    pub kind: Kind,
    /// Request that caused it.
    pub request: String,
    /// Hashes of the blocks, in hexadecimal. The hash of a block covers all blocks before it.
    pub blocks: Vec<String>,
}

/// What happened to cached blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The blocks are in the cache.
    Stored,
    /// The blocks were evicted.
    Removed,
}

/// Answer of `GET /cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Instance of the engine; a new instance starts with an empty cache.
    pub instance: u64,
    /// Events after the number asked for, oldest first.
    pub events: Vec<Event>,
    /// Number of the latest event that may be reported, for the next call.
    pub last: u64,
}

/// Least-recently-used cache of prompt blocks.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    gap: f64,
    random: SmallRng,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, Event)>,
    last: u64,
}

impl Cache {
    /// Makes a cache of `tokens` that loses each event with probability `gap`.
    pub(crate) fn new(tokens: u64, gap: f64, seed: u64) -> Self {
        Self {
            capacity: usize::try_from(tokens / BLOCK_TOKENS).unwrap_or(usize::MAX),
            gap,
            random: SmallRng::seed_from_u64(seed),
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            events: VecDeque::new(),
            last: 0,
        }
    }

    /// Looks `prompt` up and stores it; returns the tokens that were cached.
    pub(crate) fn admit(&mut self, request: &str, model: &str, prompt: &str) -> u64 {
        let blocks = blocks(model, prompt);
        let cached = blocks.iter().take_while(|block| self.used.contains_key(*block)).count();
        let mut stored = Vec::new();
        for block in &blocks {
            if !self.touch(*block) {
                stored.push(*block);
            }
        }
        let removed = self.evict();
        self.publish(Kind::Stored, request, &stored);
        self.publish(Kind::Removed, request, &removed);
        cached as u64 * BLOCK_TOKENS
    }

    /// Events after `after` that are at least `lag` old.
    pub(crate) fn events(&self, after: u64, lag: Duration, instance: u64) -> Events {
        let visible = |at: &Instant| at.elapsed() >= lag;
        let shown = self.events.iter().filter(|(at, _)| visible(at));
        let last = shown.clone().next_back().map(|(_, event)| event.number).unwrap_or_default();
        let events = shown.filter(|(_, event)| event.number > after);
        Events {
            instance,
            events: events.map(|(_, event)| event.clone()).collect(),
            last: last.max(after),
        }
    }

    /// Marks a block as used; true if it was cached.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let before = self.used.insert(block, self.clock);
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
        before.is_some()
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else { break };
            self.used.remove(&block);
            removed.push(block);
        }
        removed
    }

    fn publish(&mut self, kind: Kind, request: &str, blocks: &[u64]) {
        if blocks.is_empty() {
            return;
        }
        self.last += 1;
        if self.random.random_bool(self.gap) {
            return;
        }
        let blocks = blocks.iter().map(|block| format!("{block:016x}")).collect();
        let event = Event { number: self.last, kind, request: request.to_owned(), blocks };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}

/// Chained hashes of the whole blocks of a prompt.
fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
