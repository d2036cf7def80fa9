//! The choice of an endpoint for a request, and the refusal if none would answer soon enough.

use {
    super::{Demand, Pool, endpoint::State},
    crate::{
        cache::scaled,
        condition::{Gate, Reason},
        prompt::mix,
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

/// How many times the shared part of a prompt counts when it would be read at an endpoint that does not keep it: once
/// for the reading itself, and the rest for what it displaces there and for the copies that follow.
const REPLICA_WEIGHT: f64 = 10.0;

/// Tokens that count for a request in flight, because requests that run side by side slow each other down.
const RUNNING_TOKENS: u64 = 120;

/// Tokens that count for an endpoint without a free slot.
const FULL_TOKENS: u64 = 60_000;

/// Tokens that count for each other router that an endpoint has asked to back off, at most [`FULL_TOKENS`] together.
const BACKING_OFF_TOKENS: u64 = 6_000;

/// Tokens that count for an endpoint that fails all its requests.
const FAILING_TOKENS: u64 = 120_000;

/// Tokens that count for an endpoint in another data centre.
const FAR_TOKENS: u64 = 500;

/// Tokens that count for an endpoint to which a connection has to be opened first.
const UNCONNECTED_TOKENS: u64 = 4_500;

/// Share of failed answers at which an endpoint is avoided whatever it keeps, if others fail less.
const FAILING_AVOIDED: f64 = 0.3;

/// An endpoint is idle if nothing waits for longer than this, and less than one in [`IDLE_SLOTS`] of its slots is taken.
const IDLE_AHEAD: Duration = Duration::from_millis(10);

/// See [`IDLE_AHEAD`].
const IDLE_SLOTS: u32 = 8;

/// Shortest time after which a refused request may come back, as a share of its aim: early enough that its answer can
/// still begin within the aim.
const RETURN_AIM_SHARE: f64 = 0.3;

/// Largest share of the remaining time that a refused request is asked to wait, so that a second try is worthwhile.
const RETURN_SHARE: f64 = 0.3;

/// Part of the time until the end of a back-off over which callers that come back are spread.
const RETURN_SPREAD: f64 = 0.5;

/// The endpoint for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time until the answer begins.
    pub wait: Duration,
    /// Prompt tokens that it has to read.
    pub tokens: u64,
    /// Tokens that others' requests make it read before.
    pub backlog: u64,
    /// Requests that it has.
    pub in_flight: u32,
    /// Endpoints that were passed over as they leave or want no requests now.
    pub shut: usize,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The service has no endpoint that takes requests.
    NoEndpoint,
    /// No endpoint can be reached, or all were tried.
    Unreachable,
    /// All endpoints that could be reached have asked this router to back off.
    Backoff,
    /// The wait would be too long.
    Busy,
}

impl Why {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Unreachable => "unreachable",
            Self::Backoff => "backoff",
            Self::Busy => "busy",
        }
    }
}

/// A request is not sent anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub why: Why,
    /// When the caller may come back.
    pub retry_after: Duration,
    /// Expected time until an answer would have begun.
    pub wait: Duration,
}

impl Refusal {
    /// The same refusal, with a time to come back that differs between callers if they would all come back at the end of a
    /// back-off. `random` is different for each request.
    ///
    /// ```
    /// use {siskin_dispatch::pool::{Refusal, Why}, std::time::Duration};
    /// let second = Duration::from_secs(1);
    /// let refusal = Refusal { why: Why::Backoff, retry_after: second, wait: second };
    /// assert_eq!(refusal.spread(0).retry_after, second);
    /// assert!(refusal.spread(u32::MAX).retry_after > Duration::from_millis(1_400));
    /// ```
    #[must_use]
    pub fn spread(self, random: u32) -> Self {
        match self.why {
            Why::Backoff => {
                let share = f64::from(random) / f64::from(u32::MAX);
                let retry_after = self.retry_after.mul_f64(1.0 + RETURN_SPREAD * share);
                Self { retry_after, ..self }
            }
            Why::NoEndpoint | Why::Unreachable | Why::Busy => self,
        }
    }
}

impl Pool {
    /// Chooses the endpoint for a request, other than the excluded ones.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no endpoint would begin to answer soon enough.
    pub fn choose(
        &self,
        now: Instant,
        demand: &Demand,
        exclude: &[Endpoint],
    ) -> Result<Placement, Refusal> {
        let open: Vec<(Endpoint, &State)> = self.open_endpoints().collect();
        if open.is_empty() {
            return Err(refusal(Why::NoEndpoint, demand, Duration::ZERO));
        }
        let usable = |id| !exclude.contains(&id) && self.health.usable(now, id);
        let (reachable, shut): (Vec<_>, Vec<_>) = open
            .iter()
            .copied()
            .filter(|(id, _)| usable(*id))
            .partition(|(id, _)| !matches!(self.gate(now, *id), Gate::Shut(_)));
        let least_failing = reachable.iter().map(|(_, state)| state.failing()).fold(1.0, f64::min);
        let homes = homes(demand, open.iter().map(|(id, _)| *id));
        let best = reachable
            .iter()
            .filter(|(_, state)| state.failing() < FAILING_AVOIDED.max(2.0 * least_failing))
            .min_by_key(|(id, state)| weight(now, demand, *id, state, homes));
        let best = best.or_else(|| {
            reachable.iter().min_by_key(|(id, state)| weight(now, demand, *id, state, homes))
        });
        let Some((id, state)) = best else {
            let gates = shut.iter().map(|(id, _)| self.gate(now, *id));
            return Err(match backoff_left(now, gates) {
                Some(left) => backoff(demand, left),
                None => refusal(Why::Unreachable, demand, Duration::ZERO),
            });
        };
        let tokens = demand.prompt.tokens() - state.cache.cached(&demand.prompt);
        let ahead = self.ahead(state);
        let own = state.reading_time(tokens);
        let patience = demand.aim.mul_f64(demand.patience);
        // A long prompt takes the time of several short ones, and makes the engine late for them.
        let counted = own.mul_f64(demand.own_weight);
        let counted = if self.idle(state) { counted.min(patience / 2) } else { counted };
        if demand.patience <= 0.0 || ahead + counted > patience.min(demand.allowed) {
            return Err(refusal(Why::Busy, demand, ahead + counted));
        }
        Ok(Placement {
            endpoint: *id,
            wait: ahead + own,
            tokens,
            backlog: state.backlog(),
            in_flight: state.in_flight_all(),
            shut: shut.len() + self.leaving().count(),
        })
    }

    /// Whether an endpoint has so little to do that a long prompt delays nobody.
    fn idle(&self, state: &State) -> bool {
        self.ahead(state) < IDLE_AHEAD && state.in_flight_all() < state.slots / IDLE_SLOTS
    }

    /// Expected time until an endpoint turns to a request that is sent now.
    fn ahead(&self, state: &State) -> Duration {
        let reading = state.reading_time(state.backlog());
        let excess = (state.in_flight_all() + 1).saturating_sub(state.slots);
        reading + self.mean_time * excess / state.slots
    }
}

/// The two endpoints on which all routers place a subject, by rendezvous hashing.
fn homes(demand: &Demand, endpoints: impl Iterator<Item = Endpoint>) -> [Option<Endpoint>; 2] {
    let Some(subject) = demand.prompt.subject() else { return [None; 2] };
    let mut best: [Option<(u64, Endpoint)>; 2] = [None; 2];
    for id in endpoints {
        let ranked = Some((mix(u64::from(subject.chain), u64::from(id.0)), id));
        if ranked > best[0] {
            best = [ranked, best[0]];
        } else if ranked > best[1] {
            best[1] = ranked;
        }
    }
    best.map(|ranked| ranked.map(|(_, id)| id))
}

/// What speaks against an endpoint, in tokens to be read.
fn weight(
    now: Instant,
    demand: &Demand,
    id: Endpoint,
    state: &State,
    homes: [Option<Endpoint>; 2],
) -> u64 {
    let cached = state.cache.cached(&demand.prompt);
    let tokens = demand.prompt.tokens() - cached;
    let shared = demand.prompt.shared_tokens().saturating_sub(cached);
    let replica = match homes {
        [Some(home), _] if home == id => 0,
        [_, Some(second)] if second == id => scaled(shared, REPLICA_WEIGHT / 2.0),
        _ => scaled(shared, REPLICA_WEIGHT),
    };
    let in_flight = state.in_flight_all();
    let running = u64::from(in_flight) * RUNNING_TOKENS * 64 / u64::from(state.slots);
    let full = if in_flight >= state.slots || state.full(now) { FULL_TOKENS } else { 0 };
    let failing = scaled(FAILING_TOKENS, state.failing());
    let far = if state.near { 0 } else { FAR_TOKENS };
    let backing_off = u64::from(state.peers_backing_off()) * BACKING_OFF_TOKENS;
    let backing_off = backing_off.min(FULL_TOKENS);
    let unconnected = if state.connected(now) { 0 } else { UNCONNECTED_TOKENS };
    let load = state.backlog() + tokens + replica + running;
    load + full + backing_off + failing + far + unconnected
}

/// Time until the first of these gates may be passed; `None` if there is none.
fn backoff_left(now: Instant, gates: impl Iterator<Item = Gate>) -> Option<Duration> {
    let left = |gate| match gate {
        Gate::Open | Gate::Trial | Gate::Shut(Reason::Trial) => Duration::ZERO,
        Gate::Shut(Reason::Backoff(until)) => until - now,
        Gate::Shut(Reason::Leaving(_)) => Duration::MAX,
    };
    gates.map(left).min()
}

/// The refusal of a request that could be sent after this time.
fn backoff(demand: &Demand, left: Duration) -> Refusal {
    let longest = demand.allowed.mul_f64(RETURN_SHARE);
    Refusal { why: Why::Backoff, wait: left, retry_after: left.min(longest) }
}

fn refusal(why: Why, demand: &Demand, wait: Duration) -> Refusal {
    let excess = wait.saturating_sub(demand.aim.mul_f64(demand.patience));
    let longest = demand.allowed.mul_f64(RETURN_SHARE);
    let soonest = demand.aim.mul_f64(RETURN_AIM_SHARE);
    Refusal { why, wait, retry_after: excess.max(soonest).min(longest) }
}
