//! Estimate of what an engine's prefix cache holds.

use {crate::prompt::Prompt, indexmap::IndexMap};

/// Prompt parts remembered for one engine, about 24 bytes each.
const PARTS_MAX: usize = 4_096;

/// Share of an engine's memory that is assumed to hold cached prompts; running requests use the rest.
const MEMORY_SHARE: f64 = 0.7;

/// Estimate of an engine's prefix cache, with least-recently-used eviction.
///
/// The age of a part is measured in tokens that the engine has processed since the part was last used, for requests of
/// all routers. A part whose age exceeds the cache capacity counts as evicted.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Prompt tokens that the engine has processed.
    processed: u64,
    /// Parts by chain hash, with the value of `processed` when each was last used; the least recently used first.
    parts: IndexMap<u32, u64>,
    /// Capacity in tokens.
    capacity: u64,
}

impl Cache {
    /// The empty cache of an engine with memory for `tokens`.
    ///
    /// ```
    /// use siskin_dispatch::{cache::Cache, prompt::Prompt};
    /// let mut cache = Cache::new(100_000);
    /// let prompt = Prompt::new("m", [(1, 1_000), (2, 50)]);
    /// assert_eq!(cache.cached_tokens(&prompt), 0);
    /// cache.record_prompt(&prompt);
    /// assert_eq!(cache.cached_tokens(&Prompt::new("m", [(1, 1_000), (3, 70)])), 1_000);
    /// cache.record_processed(100_000);
    /// assert_eq!(cache.cached_tokens(&prompt), 0, "evicted by other prompts");
    /// ```
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self { capacity: scaled(tokens, MEMORY_SHARE), ..Self::default() }
    }

    /// Tokens at the start of a prompt that are likely cached and need no prefill.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        let kept = prompt.parts().iter().take_while(|part| self.contains(part.chain));
        kept.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that a request with this prompt was sent to the engine.
    pub fn record_prompt(&mut self, prompt: &Prompt) {
        self.record_processed(prompt.tokens() - self.cached_tokens(prompt));
        for part in prompt.parts() {
            self.record_part(part.chain);
        }
    }

    /// Records that a part was processed or reused, possibly for another router's request.
    pub fn record_part(&mut self, chain: u32) {
        self.parts.shift_remove(&chain);
        self.parts.insert(chain, self.processed);
        if self.parts.len() > PARTS_MAX {
            // Evicts several parts at a time, because each removal at the front shifts all others.
            self.parts.drain(..PARTS_MAX / 8);
        }
    }

    /// Records that the engine processed this many tokens for other requests.
    pub const fn record_processed(&mut self, tokens: u64) {
        self.processed += tokens;
    }

    /// Whether a part is likely cached.
    #[must_use]
    pub fn contains(&self, chain: u32) -> bool {
        self.parts.get(&chain).is_some_and(|&used| self.processed - used < self.capacity)
    }
}

/// Multiplies a number of tokens by a share.
#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn scaled(tokens: u64, share: f64) -> u64 {
    (tokens as f64 * share) as u64
}
