//! When a refused request may run once more, to show whether it still crashes endpoints.
//!
//! All routers derive the same times from the crashes that they know, and take turns by their numbers, so a fleet that
//! exchanges no further messages makes few trials at a time. Trials of one cause go to one endpoint, so that concurrent ones crash
//! only that one.

use {
    super::{Options, cause::Cause},
    crate::{features::Features, timestamp::Timestamp},
    indexmap::IndexMap,
    siskin_types::id::Node,
    std::time::Duration,
};

/// Number of groups of routers that take turns.
const GROUPS: u32 = 8;

/// Cycles of turns after which trials go to another endpoint, in case the first one does not respond.
const CYCLES_PER_ENDPOINT: u64 = 2;

/// The trials of one router.
#[derive(Debug, Default)]
pub(super) struct Trials {
    /// This router, by which its group is chosen.
    node: Node,
    /// When a trial of these causes was last allowed, by the number that identifies them.
    allowed: IndexMap<u64, Timestamp>,
}

/// Whether a refused request may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// It may run, at the endpoint that this number chooses.
    Now { number: u64 },
    /// It may not run before this time has passed.
    After(Duration),
}

impl Trials {
    pub(super) const fn set_node(&mut self, node: Node) {
        self.node = node;
    }

    /// Decides whether a request that has all features of these causes may run. A trial that is allowed counts as made.
    pub(super) fn take_turn(
        &mut self,
        now: Timestamp,
        options: &Options,
        request: &Features,
        causes: &[&Cause],
    ) -> Turn {
        let begin = |cause: &&Cause| cause.last.plus(trial_delay(options, request, cause));
        let Some(begin) = causes.iter().map(begin).max() else {
            return Turn::After(Duration::ZERO);
        };
        if now < begin {
            return Turn::After(begin.duration_since(now));
        }
        let slot = u64::try_from(
            now.duration_since(begin).as_millis() / options.trial_slot.as_millis().max(1),
        )
        .unwrap_or(u64::MAX);
        let own = u64::from(self.node.0 % GROUPS);
        let groups = u64::from(GROUPS);
        let slots_left = (own + groups - slot % groups) % groups;
        let causes_number = number_of(causes);
        let made = self.allowed.get(&causes_number);
        let is_recent = made.is_some_and(|made| now.duration_since(*made) < options.trial_slot);
        if slots_left > 0 || is_recent {
            let slots = u32::try_from(slots_left).unwrap_or(GROUPS);
            return Turn::After(options.trial_slot * if slots == 0 { GROUPS } else { slots });
        }
        self.allowed.insert(causes_number, now);
        let cycle = slot / groups;
        Turn::Now { number: causes_number.wrapping_add(cycle / CYCLES_PER_ENDPOINT) }
    }

    /// Forgets trials that no longer matter.
    pub(super) fn expire(&mut self, now: Timestamp, options: &Options) {
        self.allowed.retain(|_, made| now.duration_since(*made) < options.trial_slot);
    }
}

/// Time from the last crash of a cause to its next trial. It grows with each crash, and lasts until the cause is forgotten once the cause
/// has had all the endpoints that it may crash.
fn trial_delay(options: &Options, request: &Features, cause: &Cause) -> Duration {
    let is_one_request =
        request.content().is_some_and(|content| cause.features.as_slice().contains(&content));
    let crashes_max =
        if is_one_request { options.request_crashes_max } else { options.part_crashes_max };
    if cause.endpoints_lost >= crashes_max {
        return options.refusal_ttl;
    }
    let failed = u32::try_from(cause.endpoints_lost.saturating_sub(super::cause::CRASHES_MIN));
    let factor = options.trial_backoff.saturating_pow(failed.unwrap_or(u32::MAX));
    options.trial_delay.saturating_mul(factor).min(options.refusal_ttl)
}

/// A number that identifies causes, the same at all routers.
fn number_of(causes: &[&Cause]) -> u64 {
    let features = causes.iter().flat_map(|cause| cause.features.as_slice());
    features.fold(0, |number: u64, feature| number.rotate_left(1) ^ feature.0)
}
