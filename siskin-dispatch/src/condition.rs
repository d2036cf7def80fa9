//! What endpoints report of themselves, and whether requests may be sent to them.
//!
//! An endpoint that is leaving (draining before it stops) is marked in the platform's list or reports it in its
//! answers. The operator may drain a data centre, whose endpoints then accept no new requests until the drain ends. An
//! overloaded endpoint may ask a router to back off for a while, or name a limit that holds for all routers together (see
//! [`limit`]). A cold endpoint gets only requests that have a permit (see [`warm_up`]). All of this applies to one instance of
//! the endpoint: after a restart it is another [`Endpoint`].
//!
//! Routers announce to each other that an endpoint is leaving, and the announcement is never withdrawn: a list older
//! than the endpoint's own answer must not return it to use. A back-off applies only to the router that was asked; for
//! the others it is a sign of load. When a back-off ends, a single trial request is sent before others follow, and the
//! end is jittered so that routers do not resume at the same moment.

mod cold;
mod limits;

use {
    crate::{
        limit::{self, Rate},
        prompt::mix,
        warm_up,
    },
    indexmap::IndexMap,
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load,
    std::time::Duration,
};

/// How long other routers are told that an endpoint is leaving. Routers that start later learn it from the endpoint's
/// answers.
const LEAVING_ANNOUNCED_FOR: Duration = Duration::from_secs(60);

/// How long the state of an endpoint that is no longer listed is kept, in case it is listed again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// Most unlisted endpoints whose state is kept.
const UNLISTED_MAX: usize = 1_024;

/// Longest back-off. An endpoint that wants a longer one has to ask again when this one ends.
const BACKOFF_MAX: Duration = Duration::from_secs(3_600);

/// Largest jitter added to a back-off, as a share of it, so that routers do not resume at the same moment.
const JITTER_SHARE: f64 = 0.25;

/// Largest jitter added to a back-off.
const JITTER_MAX: Duration = Duration::from_secs(1);

/// Time after which another trial request is sent if the previous one has no answer yet.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Where the information that an endpoint accepts no new requests came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint, in an answer to this router.
    Answer,
    /// Another router.
    Peer,
    /// The platform's list.
    Store,
    /// The drain of its data centre.
    Drain,
}

impl Source {
    /// All sources.
    pub const ALL: [Self; 4] = [Self::Answer, Self::Peer, Self::Store, Self::Drain];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::Drain => "drain",
        }
    }
}

/// Whether requests may be sent to an endpoint. Retries and resumed streams count as requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Requests may be sent.
    Open,
    /// The back-off has ended; one trial request may be sent.
    Trial,
    /// No request may be sent.
    Blocked(Reason),
}

/// Why no request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is leaving.
    Leaving(Source),
    /// Its data centre is drained.
    Drained,
    /// It asked this router to back off until this time.
    Backoff(Instant),
    /// The back-off has ended, and the trial request has no answer yet.
    Trial,
    /// This router's part of the endpoint's limit is used up until this time, or the endpoint is cold and this router has no permit.
    Limited(Instant),
}

impl Reason {
    /// Name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Leaving(_) => "leaving",
            Self::Drained => "drained",
            Self::Backoff(_) => "backoff",
            Self::Trial => "trial",
            Self::Limited(_) => "limited",
        }
    }
}

/// A change in what an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is leaving.
    Leaving {
        /// Where this was learned from.
        source: Source,
        /// Time since this was first reported.
        age: Duration,
    },
    /// It asked this router to back off.
    BackingOff {
        /// Length of the back-off, including jitter.
        time: Duration,
    },
    /// It takes requests again after a back-off.
    Resumed,
    /// It named a limit, or another one than before.
    Limited {
        /// The limit.
        rate: Rate,
        /// Where this was learned from.
        source: Source,
    },
    /// It no longer names a limit.
    LimitEnded {
        /// Where this was learned from.
        source: Source,
    },
    /// It is cold.
    Cold {
        /// Time for which it remains cold.
        time: Duration,
        /// Where this was learned from.
        source: Source,
    },
    /// It is no longer cold.
    Warm,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    since: Instant,
    source: Source,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    /// When the trial request was sent.
    trial_sent: Option<Instant>,
}

/// What the platform's list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its data centre is drained.
    pub drained: bool,
}

/// State of one endpoint; kept only while the endpoint is leaving, drained, backing off, limited or cold.
#[derive(Clone, Debug, Default)]
struct Condition {
    /// When the endpoint was found missing from the platform's list; `None` while it is listed.
    unlisted: Option<Instant>,
    /// Reported by the endpoint or by another router; never withdrawn.
    leaving: Option<Leaving>,
    /// Reported by the platform's list, which may withdraw it.
    listed_leaving: Option<Leaving>,
    /// Whether its data centre is drained, as the platform's list says.
    drained: bool,
    backoff: Option<Backoff>,
    limit: Option<limit::Usage>,
    cold: Option<warm_up::State>,
}

impl Condition {
    fn leaving(&self) -> Option<Leaving> {
        self.leaving.or(self.listed_leaving)
    }

    /// By what the endpoint accepts no new requests until that is withdrawn; `None` if it does.
    fn closed_by(&self) -> Option<Source> {
        let leaving = self.leaving().map(|leaving| leaving.source);
        leaving.or(self.drained.then_some(Source::Drain))
    }

    fn is_empty(&self) -> bool {
        let is_unlimited = self.limit.is_none() && self.cold.is_none();
        self.closed_by().is_none() && self.backoff.is_none() && is_unlimited
    }

    fn availability(&self, now: Instant, demand: &limit::Demand) -> Availability {
        if let Some(leaving) = self.leaving() {
            return Availability::Blocked(Reason::Leaving(leaving.source));
        }
        if self.drained {
            return Availability::Blocked(Reason::Drained);
        }
        let unlimited = match self.backoff {
            None => Availability::Open,
            Some(Backoff { until, .. }) if now < until => {
                return Availability::Blocked(Reason::Backoff(until));
            }
            Some(Backoff { trial_sent: Some(at), .. }) if now - at < TRIAL_TIMEOUT => {
                return Availability::Blocked(Reason::Trial);
            }
            Some(_) => Availability::Trial,
        };
        let limit = self.limit.as_ref();
        let limited_until = limit.and_then(|limit| limit.blocked_until(now, demand.part(now)));
        let cold_until = self.cold.as_ref().and_then(|cold| cold.blocked_until(now));
        let blocked_until = limited_until.max(cold_until);
        blocked_until.map_or(unlimited, |until| Availability::Blocked(Reason::Limited(until)))
    }

    fn is_limited(&self) -> bool {
        self.limit.as_ref().is_some_and(|limit| limit.rate().is_some())
    }
}

/// Which endpoints of a service are leaving, drained, backing off, limited or cold.
///
/// ```
/// use {
///     siskin_dispatch::condition::{Availability, Conditions, Source},
///     siskin_types::{id::Endpoint, time::Instant},
///     std::time::Duration,
/// };
/// let (now, second) = (Instant::from_micros(1_000_000), Duration::from_secs(1));
/// let mut conditions = Conditions::default();
/// conditions.record_leaving(now, Endpoint(1), Source::Answer, Duration::ZERO);
/// conditions.record_backoff(now, Endpoint(2), 4 * second);
/// assert!(matches!(conditions.availability(now + 600 * second, Endpoint(1)), Availability::Blocked(_)));
/// assert!(matches!(conditions.availability(now + 3 * second, Endpoint(2)), Availability::Blocked(_)));
/// assert_eq!(conditions.availability(now + 6 * second, Endpoint(2)), Availability::Trial);
/// assert_eq!(conditions.availability(now, Endpoint(3)), Availability::Open);
/// ```
#[derive(Debug, Default)]
pub struct Conditions {
    by_endpoint: IndexMap<Endpoint, Condition>,
    changes: Vec<(Endpoint, Change)>,
    /// Demand for the service, by which limits are divided.
    demand: limit::Demand,
    /// How endpoints warm up; `None` if they need not.
    warm_up: Option<warm_up::Options>,
}

impl Conditions {
    /// Sets the number that distinguishes this router from others, for jitter.
    pub const fn set_salt(&mut self, salt: u64) {
        self.demand.set_salt(salt);
    }

    /// Whether requests may be sent to an endpoint now.
    #[must_use]
    pub fn availability(&self, now: Instant, endpoint: Endpoint) -> Availability {
        self.by_endpoint
            .get(&endpoint)
            .map_or(Availability::Open, |condition| condition.availability(now, &self.demand))
    }

    /// Whether an endpoint is leaving or its data centre is drained.
    #[must_use]
    pub fn is_closed(&self, endpoint: Endpoint) -> bool {
        self.by_endpoint.get(&endpoint).is_some_and(|condition| condition.closed_by().is_some())
    }

    /// Whether an endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant, endpoint: Endpoint) -> bool {
        self.by_endpoint.get(&endpoint).is_some_and(|condition| condition.is_cold(now))
    }

    /// Whether a back-off that an endpoint asked this router for has not ended yet.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant, endpoint: Endpoint) -> bool {
        matches!(self.availability(now, endpoint), Availability::Blocked(Reason::Backoff(_)))
    }

    /// Records that an endpoint is leaving, as reported by its answer or by another router. `age` is the time since the
    /// first report.
    pub fn record_leaving(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        source: Source,
        age: Duration,
    ) {
        let condition = self.by_endpoint.entry(endpoint).or_default();
        if condition.leaving.is_some() {
            return;
        }
        condition.leaving = Some(Leaving { since: now.saturating_sub(age), source });
        self.changes.push((endpoint, Change::Leaving { source, age }));
    }

    /// Starts a back-off. If several overlap, the latest end applies.
    pub fn record_backoff(&mut self, now: Instant, endpoint: Endpoint, time: Duration) {
        let time = self.add_jitter(endpoint, time.min(BACKOFF_MAX));
        let condition = self.by_endpoint.entry(endpoint).or_default();
        let until = now + time;
        if condition.backoff.is_some_and(|before| before.until >= until) {
            return;
        }
        condition.backoff = Some(Backoff { until, trial_sent: None });
        self.changes.push((endpoint, Change::BackingOff { time }));
    }

    /// Records that a request is about to be sent, which is the trial request if a back-off has ended.
    pub fn sent(&mut self, now: Instant, endpoint: Endpoint) {
        let Some(condition) = self.by_endpoint.get_mut(&endpoint) else { return };
        if let Some(backoff) = &mut condition.backoff {
            backoff.trial_sent = Some(now);
        }
        if let Some(limit) = &mut condition.limit {
            limit.record_sent(now, self.demand.part(now));
        }
        if let Some(cold) = &mut condition.cold {
            cold.record_sent(now);
        }
    }

    /// Records that an endpoint accepted a request. This ends a back-off whose time has passed.
    pub fn record_acceptance(&mut self, now: Instant, endpoint: Endpoint) {
        let Some(condition) = self.by_endpoint.get_mut(&endpoint) else { return };
        if condition.backoff.is_some_and(|backoff| backoff.until <= now) {
            condition.backoff = None;
            self.changes.push((endpoint, Change::Resumed));
        }
    }

    /// Applies the platform's list: the endpoints, and whether they are leaving or drained.
    pub fn update_listed(&mut self, now: Instant, listed: impl Iterator<Item = Listed>) {
        for condition in self.by_endpoint.values_mut() {
            condition.unlisted.get_or_insert(now);
        }
        for Listed { endpoint, leaving, drained } in listed {
            if leaving || drained {
                self.by_endpoint.entry(endpoint).or_default();
            }
            let Some(condition) = self.by_endpoint.get_mut(&endpoint) else { continue };
            condition.unlisted = None;
            condition.drained = drained;
            if !leaving {
                condition.listed_leaving = None;
            } else if condition.listed_leaving.is_none() {
                condition.listed_leaving = Some(Leaving { since: now, source: Source::Store });
                let change = Change::Leaving { source: Source::Store, age: Duration::ZERO };
                self.changes.push((endpoint, change));
            }
        }
        self.by_endpoint.retain(|_, condition| !condition.is_empty());
    }

    /// Shifts all times to account for a suspension of the process that its clock did not count.
    pub fn suspended(&mut self, time: Duration) {
        for condition in self.by_endpoint.values_mut() {
            if let Some(backoff) = &mut condition.backoff {
                backoff.until = backoff.until.saturating_sub(time);
            }
            if let Some(leaving) = &mut condition.leaving {
                leaving.since = leaving.since.saturating_sub(time);
            }
            if let Some(limit) = &mut condition.limit {
                limit.suspended(time);
            }
            if let Some(cold) = &mut condition.cold {
                cold.suspended(time);
            }
        }
    }

    /// Drops the state of endpoints that have been unlisted for long, and of the excess over `UNLISTED_MAX`, what has become
    /// old, and the reports of peers for which `kept` is false.
    pub fn expire(&mut self, now: Instant, kept: impl Fn(Node) -> bool) {
        self.expire_cold(now);
        self.demand.expire(now, &kept);
        let part = self.demand.part(now);
        for condition in self.by_endpoint.values_mut() {
            condition.limit.take_if(|limit| !limit.expire(now, part, &kept));
        }
        let unlisted_for = |condition: &Condition| condition.unlisted.map(|at| now - at);
        self.by_endpoint.retain(|_, condition| {
            unlisted_for(condition).is_none_or(|unlisted_for| unlisted_for < UNLISTED_RETENTION)
        });
        let unlisted = self.by_endpoint.values().filter(|one| one.unlisted.is_some()).count();
        let mut excess = unlisted.saturating_sub(UNLISTED_MAX);
        self.by_endpoint.retain(|_, condition| {
            let evicted = excess > 0 && condition.unlisted.is_some();
            excess -= usize::from(evicted);
            !evicted
        });
    }

    /// Leaving endpoints to announce to other routers.
    pub fn leaving_to_announce(&self, now: Instant) -> impl Iterator<Item = load::Leaving> {
        self.by_endpoint.iter().filter_map(move |(endpoint, condition)| {
            let age = now - condition.leaving?.since;
            let age_ms = u32::try_from(age.as_millis()).ok()?;
            (age < LEAVING_ANNOUNCED_FOR).then_some(load::Leaving { endpoint: *endpoint, age_ms })
        })
    }

    /// Takes the changes since the last call.
    pub fn take_condition_changes(&mut self) -> Vec<(Endpoint, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Sources by which listed endpoints are leaving or drained, one for each endpoint.
    pub fn closed_sources(&self) -> impl Iterator<Item = Source> {
        let listed = self.by_endpoint.values().filter(|condition| condition.unlisted.is_none());
        listed.filter_map(Condition::closed_by)
    }

    /// Number of endpoints whose back-off for this router has not ended.
    #[must_use]
    pub fn backing_off(&self, now: Instant) -> usize {
        self.by_endpoint.keys().filter(|endpoint| self.is_backing_off(now, **endpoint)).count()
    }

    /// The length of a back-off with a jitter that differs between routers.
    fn add_jitter(&self, endpoint: Endpoint, time: Duration) -> Duration {
        let share = random_share(self.demand.salt(), endpoint);
        time + time.mul_f64(JITTER_SHARE).min(JITTER_MAX).mul_f64(share)
    }
}

/// A number below 1 that differs between routers, which have different salts.
fn random_share(salt: u64, endpoint: Endpoint) -> f64 {
    let random = mix(salt, u64::from(endpoint.0)) % 1_024;
    #[expect(clippy::cast_precision_loss, reason = "below 1,024")]
    let share = random as f64 / 1_024.0;
    share
}
