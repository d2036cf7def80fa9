//! What endpoints say of themselves, and whether requests may be sent to them now.
//!
//! An endpoint that leaves says so in the platform's list or in its answers. One with too much to do may ask a router to
//! back off for a while. Both hold for one start of the endpoint: another start is another [`Endpoint`].
//!
//! That an endpoint leaves is passed on to all routers, and not taken back: a list that is older than the endpoint's own
//! answer must not bring it into use again. A back-off binds only the router that was asked; the others learn of it as a sign
//! of load. When it is over, one request is tried before the others follow, and each router begins at another moment.

use {
    crate::prompt::mix,
    indexmap::IndexMap,
    siskin_types::{id::Endpoint, time::Instant},
    siskin_wire::load,
    std::time::Duration,
};

/// Routers are told that an endpoint leaves for this long. Those that start later learn it from its answers.
const TOLD_FOR: Duration = Duration::from_secs(60);

/// What an endpoint that is no longer listed said of itself is kept for this long: its entry may come back.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// Endpoints that are not listed and of which something is kept.
const UNLISTED_MAX: usize = 1_024;

/// Longest back-off. Endpoints that ask for more are asked again then.
const BACKOFF_MAX: Duration = Duration::from_secs(3_600);

/// The end of a back-off is put off by up to this part of it, so that routers do not come back at the same moment.
const SPREAD_SHARE: f64 = 0.25;

/// Longest time by which the end of a back-off is put off.
const SPREAD_MAX: Duration = Duration::from_secs(1);

/// Time after which another request is tried if the first one has no answer yet.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Who said that an endpoint leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint, in an answer to this router.
    Answer,
    /// Another router.
    Peer,
    /// The platform's list.
    Store,
}

impl Source {
    /// All sources.
    pub const ALL: [Self; 3] = [Self::Answer, Self::Peer, Self::Store];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Whether requests may be sent to an endpoint. Retries and resumed streams are requests like others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// Requests may be sent.
    Open,
    /// The back-off is over; one request may be sent.
    Trial,
    /// No request may be sent.
    Shut(Reason),
}

/// Why no request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It leaves.
    Leaving(Source),
    /// It asked this router to back off until then.
    Backoff(Instant),
    /// The back-off is over, and the request that is tried has no answer yet.
    Trial,
}

impl Reason {
    /// Name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Leaving(_) => "leaving",
            Self::Backoff(_) => "backoff",
            Self::Trial => "trial",
        }
    }
}

/// Something that an endpoint said of itself and that was not known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// It leaves.
    Leaves {
        /// Who said so.
        source: Source,
        /// Time since it was first said.
        age: Duration,
    },
    /// It asked this router to back off.
    BacksOff {
        /// For how long, with what is added so that routers do not come back together.
        time: Duration,
    },
    /// It takes requests again after a back-off.
    Accepts,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    since: Instant,
    source: Source,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    /// When the request that is tried was sent.
    tried: Option<Instant>,
}

/// What one endpoint said; kept while it said anything.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    /// When the platform last listed the endpoint; `None` while it does.
    unlisted: Option<Instant>,
    /// By its own answer or by a peer; not taken back.
    leaving: Option<Leaving>,
    /// By the platform's list, which may take it back.
    listed_leaving: Option<Leaving>,
    backoff: Option<Backoff>,
}

impl Condition {
    fn leaving(&self) -> Option<Leaving> {
        self.leaving.or(self.listed_leaving)
    }

    fn is_empty(&self) -> bool {
        self.leaving().is_none() && self.backoff.is_none()
    }

    fn gate(&self, now: Instant) -> Gate {
        if let Some(leaving) = self.leaving() {
            return Gate::Shut(Reason::Leaving(leaving.source));
        }
        match self.backoff {
            None => Gate::Open,
            Some(Backoff { until, .. }) if now < until => Gate::Shut(Reason::Backoff(until)),
            Some(Backoff { tried: Some(at), .. }) if now - at < TRIAL_TIMEOUT => {
                Gate::Shut(Reason::Trial)
            }
            Some(_) => Gate::Trial,
        }
    }
}

/// What the endpoints of a service say of themselves.
///
/// ```
/// use {
///     siskin_dispatch::condition::{Gate, Register, Source},
///     siskin_types::{id::Endpoint, time::Instant},
///     std::time::Duration,
/// };
/// let (now, second) = (Instant::from_micros(1_000_000), Duration::from_secs(1));
/// let mut register = Register::default();
/// register.leaves(now, Endpoint(1), Source::Answer, Duration::ZERO);
/// register.backs_off(now, Endpoint(2), 4 * second);
/// assert!(matches!(register.gate(now + 600 * second, Endpoint(1)), Gate::Shut(_)));
/// assert!(matches!(register.gate(now + 3 * second, Endpoint(2)), Gate::Shut(_)));
/// assert_eq!(register.gate(now + 6 * second, Endpoint(2)), Gate::Trial);
/// assert_eq!(register.gate(now, Endpoint(3)), Gate::Open);
/// ```
#[derive(Debug, Default)]
pub struct Register {
    conditions: IndexMap<Endpoint, Condition>,
    news: Vec<(Endpoint, News)>,
    /// Tells routers apart, so that they come back at different moments.
    salt: u64,
}

impl Register {
    /// Sets the number that tells this router from the others.
    pub const fn set_salt(&mut self, salt: u64) {
        self.salt = salt;
    }

    /// Whether requests may be sent to an endpoint now.
    #[must_use]
    pub fn gate(&self, now: Instant, endpoint: Endpoint) -> Gate {
        self.conditions.get(&endpoint).map_or(Gate::Open, |condition| condition.gate(now))
    }

    /// Whether an endpoint leaves.
    #[must_use]
    pub fn is_leaving(&self, endpoint: Endpoint) -> bool {
        self.conditions.get(&endpoint).is_some_and(|condition| condition.leaving().is_some())
    }

    /// Whether an endpoint has asked this router to back off, and that is not over.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant, endpoint: Endpoint) -> bool {
        matches!(self.gate(now, endpoint), Gate::Shut(Reason::Backoff(_)))
    }

    /// An endpoint leaves, as its answer or a peer says. `age` is the time since that was first said.
    pub fn leaves(&mut self, now: Instant, endpoint: Endpoint, source: Source, age: Duration) {
        let condition = self.conditions.entry(endpoint).or_default();
        if condition.leaving.is_some() {
            return;
        }
        condition.leaving = Some(Leaving { since: now.saturating_sub(age), source });
        self.news.push((endpoint, News::Leaves { source, age }));
    }

    /// An endpoint asked this router to send nothing for a while. The latest end counts.
    pub fn backs_off(&mut self, now: Instant, endpoint: Endpoint, time: Duration) {
        let time = self.spread(endpoint, time.min(BACKOFF_MAX));
        let condition = self.conditions.entry(endpoint).or_default();
        let until = now + time;
        if condition.backoff.is_some_and(|before| before.until >= until) {
            return;
        }
        condition.backoff = Some(Backoff { until, tried: None });
        self.news.push((endpoint, News::BacksOff { time }));
    }

    /// A request is about to be sent.
    pub fn sent(&mut self, now: Instant, endpoint: Endpoint) {
        let backoff = self.conditions.get_mut(&endpoint).and_then(|known| known.backoff.as_mut());
        if let Some(backoff) = backoff {
            backoff.tried = Some(now);
        }
    }

    /// An endpoint has taken a request. That ends a back-off whose time is over.
    pub fn accepts(&mut self, now: Instant, endpoint: Endpoint) {
        let Some(condition) = self.conditions.get_mut(&endpoint) else { return };
        if condition.backoff.is_some_and(|backoff| backoff.until <= now) {
            condition.backoff = None;
            self.news.push((endpoint, News::Accepts));
        }
    }

    /// Takes over the platform's list: the endpoints, and whether they leave.
    pub fn list(&mut self, now: Instant, listed: impl Iterator<Item = (Endpoint, bool)>) {
        for condition in self.conditions.values_mut() {
            condition.unlisted.get_or_insert(now);
        }
        for (endpoint, leaving) in listed {
            if leaving {
                self.conditions.entry(endpoint).or_default();
            }
            let Some(condition) = self.conditions.get_mut(&endpoint) else { continue };
            condition.unlisted = None;
            if !leaving {
                condition.listed_leaving = None;
            } else if condition.listed_leaving.is_none() {
                condition.listed_leaving = Some(Leaving { since: now, source: Source::Store });
                let news = News::Leaves { source: Source::Store, age: Duration::ZERO };
                self.news.push((endpoint, news));
            }
        }
        self.conditions.retain(|_, condition| !condition.is_empty());
    }

    /// This process was suspended for a while that its clock does not count.
    pub fn suspended(&mut self, time: Duration) {
        for condition in self.conditions.values_mut() {
            if let Some(backoff) = &mut condition.backoff {
                backoff.until = backoff.until.saturating_sub(time);
            }
            if let Some(leaving) = &mut condition.leaving {
                leaving.since = leaving.since.saturating_sub(time);
            }
        }
    }

    /// Forgets what was said by endpoints that have been gone for long.
    pub fn expire(&mut self, now: Instant) {
        let gone = |condition: &Condition| condition.unlisted.map(|at| now - at);
        self.conditions.retain(|_, condition| gone(condition).is_none_or(|gone| gone < KEPT_FOR));
        let unlisted = self.conditions.values().filter(|one| one.unlisted.is_some()).count();
        let mut excess = unlisted.saturating_sub(UNLISTED_MAX);
        self.conditions.retain(|_, condition| {
            let dropped = excess > 0 && condition.unlisted.is_some();
            excess -= usize::from(dropped);
            !dropped
        });
    }

    /// What other routers are to be told.
    pub fn told(&self, now: Instant) -> impl Iterator<Item = load::Leaving> {
        self.conditions.iter().filter_map(move |(endpoint, condition)| {
            let age = now - condition.leaving?.since;
            let age_ms = u32::try_from(age.as_millis()).ok()?;
            (age < TOLD_FOR).then_some(load::Leaving { endpoint: *endpoint, age_ms })
        })
    }

    /// What has become known since this was last asked.
    pub fn take_news(&mut self) -> Vec<(Endpoint, News)> {
        std::mem::take(&mut self.news)
    }

    /// Listed endpoints that leave, by who said so.
    pub fn leaving(&self) -> impl Iterator<Item = Source> {
        let listed = self.conditions.values().filter(|condition| condition.unlisted.is_none());
        listed.filter_map(|condition| Some(condition.leaving()?.source))
    }

    /// Endpoints that have asked this router to back off.
    #[must_use]
    pub fn backing_off(&self, now: Instant) -> usize {
        self.conditions.keys().filter(|endpoint| self.is_backing_off(now, **endpoint)).count()
    }

    /// Time of a back-off with a part that differs from router to router.
    fn spread(&self, endpoint: Endpoint, time: Duration) -> Duration {
        let random = mix(self.salt, u64::from(endpoint.0)) % 1_024;
        #[expect(clippy::cast_precision_loss, reason = "below 1,024")]
        let share = random as f64 / 1_024.0;
        time + time.mul_f64(SPREAD_SHARE).min(SPREAD_MAX).mul_f64(share)
    }
}
