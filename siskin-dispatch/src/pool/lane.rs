//! Engines set apart for long prompts.
//!
//! An engine reads a prompt in chunks between the tokens of the streams that it runs. The chunks of a long prompt take
//! longer and longer, so every stream beside it pauses for too long between its events. All routers therefore send long
//! prompts to the same few engines, and other requests elsewhere.

use {crate::prompt::mix, siskin_types::id::Endpoint};

/// Share of a pool's engines that is set apart.
const SHARE: f64 = 1.0 / 6.0;

/// Smallest pool of which engines are set apart.
const POOL_MIN: usize = 4;

/// Seed of the ranking, so that the choice is independent of that of subjects' homes.
const SEED: u64 = 0x6c6f_6e67;

/// The engines set apart, the same at all routers that know the same engines.
pub(super) fn long(endpoints: impl Iterator<Item = Endpoint>) -> Vec<Endpoint> {
    let mut ranked: Vec<(u64, Endpoint)> =
        endpoints.map(|id| (mix(SEED, u64::from(id.0)), id)).collect();
    if ranked.len() < POOL_MIN {
        return Vec::new();
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    #[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = ((ranked.len() as f64 * SHARE) as usize).max(1);
    ranked.into_iter().take(count).map(|(_, id)| id).collect()
}
