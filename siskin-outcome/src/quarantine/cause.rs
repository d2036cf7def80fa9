//! Which features explain the crashes.

use {
    super::table::Crash,
    crate::{features::Features, timestamp::Timestamp},
    indexmap::{IndexMap, IndexSet},
    siskin_types::id::Feature,
};

/// Fewest crashes from which a cause is concluded.
const CRASHES_MIN: usize = 2;

/// Number of crashes from which features of different requests that were present at the same crashes are all taken for
/// causes. With fewer, the next crash or response shows which of them it is.
const CRASHES_CERTAIN: usize = 3;

/// Features that crash endpoints when a request has all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cause {
    /// The features.
    pub features: Features,
    /// Positions of the crashes among those that are remembered.
    pub crashes: Vec<usize>,
    /// When the last of these crashes happened.
    pub(super) last: Timestamp,
}

impl Cause {
    fn overlaps(&self, other: &Self) -> bool {
        self.crashes.iter().any(|crash| other.crashes.contains(crash))
    }
}

/// Finds the fewest causes that explain the crashes that can be explained. The features that were present at the most
/// crashes come first; a crash that they explain is no evidence against others.
pub(super) fn find_causes(crashes: &[Crash]) -> Vec<Cause> {
    let mut causes: Vec<Cause> = Vec::new();
    let mut unexplained: IndexSet<usize> = (0..crashes.len()).collect();
    loop {
        let candidates = leading_candidates(crashes, &unexplained);
        let conclusive = candidates.iter().filter(|one| is_conclusive(one, &candidates));
        let found: Vec<Cause> = conclusive.cloned().collect();
        if found.is_empty() {
            return causes;
        }
        unexplained.retain(|crash| !found.iter().any(|cause| cause.crashes.contains(crash)));
        causes.extend(found);
    }
}

/// The features that were present at the most unexplained crashes, each with all features that always occur with it.
fn leading_candidates(crashes: &[Crash], unexplained: &IndexSet<usize>) -> Vec<Cause> {
    let present = crashes_by_feature(crashes, unexplained);
    let most = present.values().map(Vec::len).max().unwrap_or(0);
    let mut candidates: Vec<Cause> = Vec::new();
    if most < CRASHES_MIN {
        return candidates;
    }
    for (feature, present_at) in present.into_iter().filter(|(_, at)| at.len() == most) {
        let Some(last) = present_at.iter().map(|index| crashes[*index].at).max() else { continue };
        let features = shared_features(crashes, &present_at, feature);
        let candidate = Cause { features, crashes: present_at, last };
        if !candidates.contains(&candidate) {
            candidates.push(candidate);
        }
    }
    candidates
}

/// The crashes at which each feature was present.
fn crashes_by_feature(
    crashes: &[Crash],
    included: &IndexSet<usize>,
) -> IndexMap<Feature, Vec<usize>> {
    let mut present: IndexMap<Feature, Vec<usize>> = IndexMap::new();
    for index in included {
        let requests = crashes[*index].requests.iter();
        for feature in requests.flat_map(Features::as_slice) {
            let present_at = present.entry(*feature).or_default();
            if present_at.last() != Some(index) {
                present_at.push(*index);
            }
        }
    }
    present
}

/// The features that all requests with `feature` had in common at these crashes, in ascending order.
fn shared_features(crashes: &[Crash], indices: &[usize], feature: Feature) -> Features {
    let requests = indices.iter().flat_map(|index| &crashes[*index].requests);
    let mut with_feature = requests.filter(|request| request.as_slice().contains(&feature));
    let first = with_feature.next().map(Features::as_slice).unwrap_or_default();
    let mut shared = first.to_vec();
    for request in with_feature {
        shared.retain(|one| request.as_slice().contains(one));
    }
    shared.sort_unstable();
    Features::from_vec(shared)
}

/// Whether a candidate may be taken for a cause. If a candidate with more features explains the same crashes, that one is.
fn is_conclusive(candidate: &Cause, candidates: &[Cause]) -> bool {
    let is_certain = candidate.crashes.len() >= CRASHES_CERTAIN;
    let mut others =
        candidates.iter().filter(|other| *other != candidate && other.overlaps(candidate));
    others.all(|other| {
        let is_more_specific = candidate.features.include(&other.features);
        let is_less_specific = other.features.include(&candidate.features);
        is_more_specific || (is_certain && !is_less_specific)
    })
}
