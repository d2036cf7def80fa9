//! Which features explain the crashes.

use {
    super::table::Crash,
    crate::{features::Features, timestamp::Timestamp},
    indexmap::{IndexMap, IndexSet},
    siskin_types::id::Feature,
    std::time::Duration,
};

/// Fewest crashes from which a cause is concluded.
pub(super) const CRASHES_MIN: usize = 2;

/// Number of crashes from which features of different requests that were present at the same crashes are all taken for
/// causes. With fewer, the next crash or response shows which of them it is.
const CRASHES_CERTAIN: usize = 3;

/// Number of endpoints that crashed together from which this was an outage, whose cost is not that of a request.
const OUTAGE_ENDPOINTS_MIN: usize = 3;

/// Features that crash endpoints when a request has all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cause {
    /// The features.
    pub features: Features,
    /// Positions of the crashes among those that are remembered.
    pub crashes: Vec<usize>,
    /// Number of these crashes, of which those that happened together count once.
    pub(super) independent_crashes: usize,
    /// Number of these crashes, of which only those of an outage count once.
    pub(super) endpoints_lost: usize,
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
pub(super) fn find_causes(crashes: &[Crash], outage_window: Duration) -> Vec<Cause> {
    let mut causes: Vec<Cause> = Vec::new();
    let mut unexplained: IndexSet<usize> = (0..crashes.len()).collect();
    loop {
        let candidates = leading_candidates(crashes, &unexplained, outage_window);
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
fn leading_candidates(
    crashes: &[Crash],
    unexplained: &IndexSet<usize>,
    outage_window: Duration,
) -> Vec<Cause> {
    let mut candidates: Vec<Cause> = Vec::new();
    let mut most = CRASHES_MIN;
    for (feature, present_at) in crashes_by_feature(crashes, unexplained) {
        let Some(last) = present_at.iter().map(|index| crashes[*index].at).max() else { continue };
        let groups = count_together(crashes, &present_at, outage_window);
        let independent_crashes = groups.len();
        if independent_crashes < most {
            continue;
        }
        if independent_crashes > most {
            candidates.clear();
            most = independent_crashes;
        }
        let cost = |group: &usize| if *group >= OUTAGE_ENDPOINTS_MIN { 1 } else { *group };
        let endpoints_lost = groups.iter().map(cost).sum();
        let features = shared_features(crashes, &present_at, feature);
        let candidate =
            Cause { features, crashes: present_at, independent_crashes, endpoints_lost, last };
        if !candidates.contains(&candidate) {
            candidates.push(candidate);
        }
    }
    candidates
}

/// Numbers of crashes that happened together: each crash and those within the window after it.
fn count_together(crashes: &[Crash], indices: &[usize], window: Duration) -> Vec<usize> {
    let mut times: Vec<Timestamp> = indices.iter().map(|index| crashes[*index].at).collect();
    times.sort_unstable();
    let mut groups: Vec<usize> = Vec::new();
    let mut first: Option<Timestamp> = None;
    for time in times {
        match groups.last_mut() {
            Some(group) if first.is_some_and(|first| time.duration_since(first) < window) => {
                *group += 1;
            }
            _ => {
                first = Some(time);
                groups.push(1);
            }
        }
    }
    groups
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
    let is_certain = candidate.independent_crashes >= CRASHES_CERTAIN;
    let mut others =
        candidates.iter().filter(|other| *other != candidate && other.overlaps(candidate));
    others.all(|other| {
        let is_more_specific = candidate.features.include(&other.features);
        let is_less_specific = other.features.include(&candidate.features);
        is_more_specific || (is_certain && !is_less_specific)
    })
}
