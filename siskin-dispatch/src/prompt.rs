//! Prompts as sequences of hashed parts.

/// A part of a prompt, identified together with everything before it: an engine can reuse a cached part only if all
/// parts before it are cached as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// What identifies this part by itself, whatever comes before it.
    pub identity: u64,
    /// Hash of the model and of all parts up to and including this one.
    pub chain: u32,
    /// Length of this part.
    pub tokens: u32,
}

/// The parts of a prompt in order. The last one is specific to the request or its session; all others are shared
/// between requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    parts: Vec<Part>,
}

impl Prompt {
    /// Builds a prompt from its parts, given as pairs of identity and length in tokens. The hash of each part covers
    /// the model and all parts before it.
    ///
    /// ```
    /// use siskin_dispatch::prompt::Prompt;
    /// let first = Prompt::new("m", [(7, 100), (8, 50), (9, 20)]);
    /// let second = Prompt::new("m", [(7, 100), (8, 50), (10, 30)]);
    /// assert_eq!(first.subject(), second.subject());
    /// assert_ne!(first.subject(), Prompt::new("m", [(6, 100), (8, 50), (9, 20)]).subject());
    /// assert_eq!(first.tokens(), 170);
    /// ```
    #[must_use]
    pub fn new(model: &str, parts: impl IntoIterator<Item = (u64, u32)>) -> Self {
        let mut chain = mix(u64::MAX, model.len() as u64);
        for byte in model.bytes() {
            chain = mix(chain, u64::from(byte));
        }
        let parts = parts
            .into_iter()
            .map(|(identity, tokens)| {
                chain = mix(chain, identity);
                Part { identity, chain: upper_half(chain), tokens }
            })
            .collect();
        Self { parts }
    }

    /// The parts in order.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Length in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// The last shared part, by which requests on the same subject are recognised. A prompt of one part is its own
    /// subject.
    #[must_use]
    pub fn subject(&self) -> Option<Part> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.get(shared.saturating_sub(1)).copied()
    }

    /// The parts that other requests may share: all but the last one.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Length of the shared parts in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| u64::from(part.tokens)).sum()
    }
}

/// Mixes a value into a hash (the finalizer of `SplitMix64`). All routers must get the same result.
#[must_use]
pub(crate) const fn mix(hash: u64, value: u64) -> u64 {
    let mut mixed = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ value;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The upper half of a hash.
#[must_use]
pub(crate) const fn upper_half(hash: u64) -> u32 {
    (hash >> 32) as u32
}
