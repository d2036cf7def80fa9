//! Recent crashes, what was waiting at the endpoints, and what has been cleared since.

use {
    super::{Options, cause::Cause},
    crate::{features::Features, timestamp::Timestamp},
    indexmap::IndexMap,
    siskin_types::id::{Endpoint, Feature},
    siskin_wire::crash::{Clearance, Involvement, Report},
};

/// One crash of an endpoint.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) endpoint: Endpoint,
    pub(super) at: Timestamp,
    /// Features of each request that was waiting there. Cleared features are left out.
    pub(super) requests: Vec<Features>,
    /// Version of the table at the last change.
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Cleared {
    at: Timestamp,
    version: u64,
}

#[derive(Debug)]
pub(super) struct Table {
    options: Options,
    crashes: Vec<Crash>,
    cleared: IndexMap<Feature, Cleared>,
    /// When this router last saw a response begin to a request with each feature.
    started: IndexMap<Feature, Timestamp>,
    /// Number of the last change.
    version: u64,
}

impl Table {
    pub(super) fn new(options: Options) -> Self {
        Self {
            options,
            crashes: Vec::new(),
            cleared: IndexMap::new(),
            started: IndexMap::new(),
            version: 0,
        }
    }

    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Whether a crash of the endpoint at about this time is known.
    pub(super) fn has_crash(&self, at: Timestamp, endpoint: Endpoint) -> bool {
        self.position(at, endpoint).is_some()
    }

    fn position(&self, at: Timestamp, endpoint: Endpoint) -> Option<usize> {
        let window = self.options.same_crash_window;
        self.crashes.iter().position(|crash| {
            let apart = at.duration_since(crash.at).max(crash.at.duration_since(at));
            crash.endpoint == endpoint && apart < window
        })
    }

    /// Whether a feature was present at a crash and has not been cleared since.
    pub(super) fn is_involved(&self, feature: Feature) -> bool {
        let involves = |request: &Features| request.as_slice().contains(&feature);
        self.crashes.iter().any(|crash| crash.requests.iter().any(involves))
    }

    /// Records a request that was waiting at a crash.
    pub(super) fn record_involvement(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        endpoint: Endpoint,
        features: &[Feature],
    ) {
        if now.duration_since(at) >= self.options.refusal_ttl {
            return;
        }
        for feature in features {
            // The news of the crash may arrive later than a response that began after it.
            let started = self.started.get(feature).copied();
            if let Some(started) = started.filter(|started| *started > at) {
                self.clear(started, *feature);
            }
        }
        let uncleared =
            |feature: &&Feature| self.cleared.get(*feature).is_none_or(|cleared| cleared.at <= at);
        let features: Vec<Feature> = features.iter().filter(uncleared).copied().collect();
        let features = Features::from_vec(features);
        let position = self.position(at, endpoint);
        let index = position.unwrap_or_else(|| {
            self.crashes.push(Crash { endpoint, at, requests: Vec::new(), version: 0 });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let known = crash.requests.iter().any(|request| request.include(&features));
        let known = known || features.as_slice().is_empty();
        if known || crash.requests.len() >= self.options.max_requests {
            if position.is_some() {
                return;
            }
        } else {
            // An earlier report of the same request may have left out features that did not matter.
            crash.requests.retain(|request| !features.include(request));
            crash.requests.push(features);
        }
        self.version += 1;
        crash.version = self.version;
    }

    /// Records that a response began to a request with this feature.
    pub(super) fn record_start(&mut self, now: Timestamp, feature: Feature) {
        if self.is_involved(feature) {
            self.clear(now, feature);
        }
        self.started.insert(feature, now);
        if self.started.len() > self.options.max_starts {
            let ttl = self.options.start_ttl;
            self.started.retain(|_, started| now.duration_since(*started) < ttl);
        }
        if self.started.len() > self.options.max_starts {
            self.started.clear();
        }
    }

    /// Clears a feature of all crashes before `at`.
    pub(super) fn clear(&mut self, at: Timestamp, feature: Feature) {
        let later = self.cleared.get(&feature).map(|known| at.duration_since(known.at));
        let is_news = later.is_none_or(|later| later >= self.options.clearance_precision);
        let involved = self.crashes.iter().filter(|crash| crash.at < at);
        let mut requests = involved.flat_map(|crash| &crash.requests);
        if !is_news && !requests.any(|request| request.as_slice().contains(&feature)) {
            return;
        }
        self.version += 1;
        let at = self.cleared.get(&feature).map_or(at, |known| known.at.max(at));
        self.cleared.insert(feature, Cleared { at, version: self.version });
        if self.cleared.len() > self.options.max_clearances {
            self.cleared.shift_remove_index(0);
        }
        for crash in self.crashes.iter_mut().filter(|crash| crash.at < at) {
            for request in &mut crash.requests {
                request.remove(feature);
            }
            crash.requests.retain(|request| !request.as_slice().is_empty());
        }
    }

    /// The facts that have changed since a version of the table; with version 0, all that may still matter to others.
    pub(super) fn report(&self, now: Timestamp, since: u64, causes: &[Cause]) -> Report {
        let mut report = Report::default();
        for (index, crash) in self.crashes.iter().enumerate() {
            let age = now.duration_since(crash.at);
            let is_new = crash.version > since && age < self.options.announcement_time;
            for request in &crash.requests {
                let features = if is_new {
                    request.as_slice().to_vec()
                } else if since == 0 {
                    features_of_causes(index, request, causes)
                } else {
                    continue;
                };
                if !features.is_empty() {
                    let age_ms = now.age_ms(crash.at);
                    let endpoint = crash.endpoint;
                    report.involvements.push(Involvement { endpoint, age_ms, features });
                }
            }
        }
        for (feature, cleared) in &self.cleared {
            let is_recent = now.duration_since(cleared.at) < self.options.announcement_time;
            if cleared.version > since && is_recent {
                let age_ms = now.age_ms(cleared.at);
                report.clearances.push(Clearance { feature: *feature, age_ms });
            }
        }
        report
    }

    /// Forgets what is too old.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let Options { refusal_ttl, clearance_ttl, .. } = self.options;
        self.cleared.retain(|_, cleared| now.duration_since(cleared.at) < clearance_ttl);
        let before = self.crashes.len();
        self.crashes.retain(|crash| now.duration_since(crash.at) < refusal_ttl);
        if self.crashes.len() != before {
            self.version += 1;
        }
    }

    /// Whether more crashes are remembered than allowed.
    pub(super) const fn exceeds_limit(&self) -> bool {
        self.crashes.len() > self.options.max_crashes
    }

    /// Evicts the oldest crash without a cause, or the oldest one.
    pub(super) fn evict(&mut self, causes: &[Cause]) {
        let has_cause = |index: &usize| causes.iter().any(|cause| cause.crashes.contains(index));
        let indices = 0..self.crashes.len();
        let evicted = indices.min_by_key(|index| (has_cause(index), self.crashes[*index].at));
        if let Some(index) = evicted {
            self.crashes.remove(index);
            self.version += 1;
        }
    }
}

/// The features of a request by which the causes of a crash were recognised in it.
fn features_of_causes(crash: usize, request: &Features, causes: &[Cause]) -> Vec<Feature> {
    let of_crash = causes.iter().filter(|cause| cause.crashes.contains(&crash));
    let in_request = of_crash.filter(|cause| request.include(&cause.features));
    let mut features: Vec<Feature> =
        in_request.flat_map(|cause| cause.features.as_slice()).copied().collect();
    features.sort_unstable();
    features.dedup();
    features
}
