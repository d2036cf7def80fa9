//! What an engine has likely kept of the prompts that it read.

use {crate::prompt::Prompt, indexmap::IndexMap};

/// Parts remembered for one engine, about 24 bytes each.
const PARTS_MAX: usize = 4_096;

/// Share of an engine's memory that is counted on for prompts; running requests use the rest.
const MEMORY_SHARE: f64 = 0.7;

/// Estimate of an engine's cache with the least recently used part leaving first.
///
/// The age of a part is counted in tokens that the engine has read since the part was last used, by requests of all
/// routers: once that exceeds the engine's memory, the part is gone.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Tokens that the engine has read.
    read: u64,
    /// Parts by chain hash, with the tokens read when each was last used; the least recently used first.
    parts: IndexMap<u32, u64>,
    /// Tokens that fit.
    capacity: u64,
}

impl Cache {
    /// The empty cache of an engine with memory for `tokens`.
    ///
    /// ```
    /// use siskin_dispatch::{cache::Cache, prompt::Prompt};
    /// let mut cache = Cache::new(100_000);
    /// let prompt = Prompt::new("m", [(1, 1_000), (2, 50)]);
    /// assert_eq!(cache.cached(&prompt), 0);
    /// cache.record(&prompt);
    /// assert_eq!(cache.cached(&Prompt::new("m", [(1, 1_000), (3, 70)])), 1_000);
    /// cache.advance(100_000);
    /// assert_eq!(cache.cached(&prompt), 0, "other prompts have taken the memory");
    /// ```
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self { capacity: scaled(tokens, MEMORY_SHARE), ..Self::default() }
    }

    /// Tokens at the start of a prompt that need not be read again.
    #[must_use]
    pub fn cached(&self, prompt: &Prompt) -> u64 {
        let kept = prompt.parts().iter().take_while(|part| self.holds(part.chain));
        kept.map(|part| u64::from(part.tokens)).sum()
    }

    /// A request with this prompt was sent to the engine.
    pub fn record(&mut self, prompt: &Prompt) {
        self.advance(prompt.tokens() - self.cached(prompt));
        for part in prompt.parts() {
            self.note(part.chain);
        }
    }

    /// A part was read or used, maybe by another router's request.
    pub fn note(&mut self, chain: u32) {
        self.parts.shift_remove(&chain);
        self.parts.insert(chain, self.read);
        if self.parts.len() > PARTS_MAX {
            // Removes a block at once, because each removal at the front moves all others.
            self.parts.drain(..PARTS_MAX / 8);
        }
    }

    /// Other requests made the engine read this much.
    pub const fn advance(&mut self, tokens: u64) {
        self.read += tokens;
    }

    /// Whether a part is likely kept.
    #[must_use]
    pub fn holds(&self, chain: u32) -> bool {
        self.parts.get(&chain).is_some_and(|&used| self.read - used < self.capacity)
    }
}

/// A share of an amount of tokens.
#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn scaled(tokens: u64, share: f64) -> u64 {
    (tokens as f64 * share) as u64
}
