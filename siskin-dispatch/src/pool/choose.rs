//! The choice of an endpoint for a request, and its refusal if no endpoint would answer soon enough.

use {
    super::{Demand, Pool, endpoint::State},
    crate::{
        cache::scaled,
        condition::{Availability, Reason},
        cost::Estimate,
        prompt::mix,
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

/// Weight of the shared part of a prompt at an endpoint that does not cache it: one for the prefill itself, and the
/// rest for the cache entries that it evicts there and for further copies that follow.
const REPLICA_WEIGHT: f64 = 10.0;

/// Cost of a request in flight, in tokens, because concurrent requests slow each other down.
const RUNNING_TOKENS: u64 = 120;

/// Cost of an endpoint without a free slot, in tokens.
pub(super) const FULL_TOKENS: u64 = 60_000;

/// Cost for each other router that an endpoint has asked to back off, in tokens; at most [`FULL_TOKENS`] together.
const BACKING_OFF_TOKENS: u64 = 6_000;

/// Cost of an endpoint that fails all its requests, in tokens.
const FAILING_TOKENS: u64 = 120_000;

/// Cost of an endpoint in another data centre, in tokens.
const REMOTE_TOKENS: u64 = 500;

/// Cost of an endpoint to which a connection has to be opened first, in tokens.
const UNCONNECTED_TOKENS: u64 = 4_500;

/// Share of failed responses from which an endpoint is avoided whatever it caches, unless all fail about as often.
const FAILURE_SHARE_AVOIDED: f64 = 0.3;

/// An endpoint is idle if the expected queue time is below this, and fewer than one in [`IDLE_SLOTS`] of its slots are
/// taken.
const IDLE_QUEUE_TIME: Duration = Duration::from_millis(10);

/// See [`IDLE_QUEUE_TIME`].
const IDLE_SLOTS: u32 = 8;

/// Shortest retry time of a refused request, as a share of its target latency: short enough that the retried request
/// can still be answered within it.
const RETRY_AFTER_MIN_AIM_SHARE: f64 = 0.3;

/// Longest retry time of a refused request, as a share of the time until its deadline, so that a second attempt is
/// worthwhile.
const RETRY_AFTER_MAX_SHARE: f64 = 0.3;

/// Largest jitter added to the retry time at the end of a back-off, as a share of the retry time.
const RETRY_AFTER_JITTER_SHARE: f64 = 0.5;

/// The endpoint chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time until the response begins.
    pub wait: Duration,
    /// Prompt tokens that it has to prefill.
    pub tokens: u64,
    /// Backlog of the endpoint in tokens, which it prefills before.
    pub backlog: u64,
    /// Requests in flight at the endpoint, of all routers.
    pub in_flight: u32,
    /// Number of endpoints that were skipped because they are leaving, drained or backing off.
    pub blocked: usize,
    /// Expected cost of the request; zero if unknown.
    pub cost: Estimate,
    /// Time that work takes at the endpoint now, relative to the usual one; 1 if unknown.
    pub slowness: f64,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// No endpoint can be reached, or all were tried already.
    Unreachable,
    /// All reachable endpoints have asked this router to back off, or take no more within their limits, and a back-off ends first.
    Backoff,
    /// No reachable endpoint takes more requests of this router now within its limit, or while it is cold.
    Limited,
    /// The expected wait is too long.
    Busy,
    /// The request crashes endpoints.
    CrashesEndpoints,
    /// This router stops before an endpoint can be expected to have answered.
    Stopping,
    /// No endpoint that accepts requests has the software version that began the stream which the request continues.
    VersionGone,
    /// It is not known which software version began the stream that the request continues.
    OriginUnknown,
}

impl Cause {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Unreachable => "unreachable",
            Self::Backoff => "backoff",
            Self::Limited => "limited",
            Self::Busy => "busy",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::Stopping => "stopping",
            Self::VersionGone => "version_gone",
            Self::OriginUnknown => "origin_unknown",
        }
    }
}

/// The refusal of a request, which is sent to no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Expected time until the response would have begun.
    pub wait: Duration,
}

impl Refusal {
    /// Adds jitter to the retry time of a back-off or a limit, at whose end all refused callers would retry at once. `random`
    /// differs between requests.
    ///
    /// ```
    /// use {siskin_dispatch::pool::{Refusal, Cause}, std::time::Duration};
    /// let second = Duration::from_secs(1);
    /// let refusal = Refusal { cause: Cause::Backoff, retry_after: second, wait: second };
    /// assert_eq!(refusal.with_jitter(0).retry_after, second);
    /// assert!(refusal.with_jitter(u32::MAX).retry_after > Duration::from_millis(1_400));
    /// ```
    #[must_use]
    pub fn with_jitter(self, random: u32) -> Self {
        match self.cause {
            Cause::Backoff | Cause::Limited => {
                let share = f64::from(random) / f64::from(u32::MAX);
                let retry_after = self.retry_after.mul_f64(1.0 + RETRY_AFTER_JITTER_SHARE * share);
                Self { retry_after, ..self }
            }
            Cause::NoEndpoint
            | Cause::Unreachable
            | Cause::Busy
            | Cause::CrashesEndpoints
            | Cause::Stopping
            | Cause::VersionGone
            | Cause::OriginUnknown => self,
        }
    }
}

impl Pool {
    /// Chooses the endpoint for a request, other than the excluded ones.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no endpoint would begin to answer soon enough.
    pub fn choose_endpoint(
        &self,
        now: Instant,
        demand: &Demand,
        exclude: &[Endpoint],
    ) -> Result<Placement, Refusal> {
        let open: Vec<(Endpoint, &State)> = self.open_endpoints().collect();
        if open.is_empty() {
            return Err(build_refusal(Cause::NoEndpoint, demand, Duration::ZERO));
        }
        let usable = |id| !exclude.contains(&id) && self.health.usable(now, id);
        let (reachable, blocked): (Vec<_>, Vec<_>) =
            open.iter().copied().filter(|(id, _)| usable(*id)).partition(|(id, _)| {
                !matches!(self.availability(now, *id), Availability::Blocked(_))
            });
        let estimate = self.estimate(&demand.cost);
        let reachable = self.retain_fitting(demand, &estimate, reachable)?;
        let least_failing =
            reachable.iter().map(|(_, state)| state.failure_share(now)).fold(1.0, f64::min);
        let homes = home_endpoints(demand, open.iter().map(|(id, _)| *id));
        let sound = reachable.iter().filter(|(_, state)| {
            state.failure_share(now) < FAILURE_SHARE_AVOIDED.max(2.0 * least_failing)
        });
        let best = demand.isolation.and_then(|number| {
            let in_time =
                sound.clone().filter(|(_, state)| self.begins_in_time(now, demand, state));
            in_time.max_by_key(|(id, _)| mix(number, u64::from(id.0)))
        });
        let best = best.or_else(|| self.cheapest(now, demand, homes, sound));
        let best = best.or_else(|| self.cheapest(now, demand, homes, reachable.iter()));
        let Some((id, state)) = best else {
            let availabilities = blocked.iter().map(|(id, _)| self.availability(now, *id));
            return Err(match first_opening(now, availabilities) {
                Some((left, cause)) => build_blocked_refusal(demand, left, cause),
                None => build_refusal(Cause::Unreachable, demand, Duration::ZERO),
            });
        };
        if !self.begins_in_time(now, demand, state) {
            return Err(build_refusal(Cause::Busy, demand, self.weighted_wait(now, demand, state)));
        }
        let tokens = tokens_to_prefill(demand, state);
        Ok(Placement {
            endpoint: *id,
            wait: self.expected_queue_time(now, state) + state.prefill_time(now, tokens),
            tokens,
            backlog: state.backlog(),
            in_flight: state.total_in_flight(),
            blocked: blocked.len() + self.closed_sources().count(),
            cost: estimate,
            slowness: state.work.slowness(now),
        })
    }

    /// The endpoint at which placing the request costs least.
    fn cheapest<'a, 'b>(
        &self,
        now: Instant,
        demand: &Demand,
        homes: [Option<Endpoint>; 2],
        endpoints: impl Iterator<Item = &'b (Endpoint, &'a State)>,
    ) -> Option<&'b (Endpoint, &'a State)>
    where
        'a: 'b,
    {
        if self.places_by_work() {
            return self.cheapest_by_work(now, demand, homes, endpoints);
        }
        endpoints.min_by_key(|(id, state)| placement_cost(now, demand, *id, state, homes))
    }

    /// Removes the endpoints whose memory the request would exceed. Refuses the request if none is left.
    fn retain_fitting<'a>(
        &self,
        demand: &Demand,
        estimate: &Estimate,
        mut endpoints: Vec<(Endpoint, &'a State)>,
    ) -> Result<Vec<(Endpoint, &'a State)>, Refusal> {
        let tokens = demand.prompt.tokens();
        let fits = !self.places_by_work() || self.fits_everywhere(tokens, estimate);
        if fits || endpoints.is_empty() {
            return Ok(endpoints);
        }
        endpoints.retain(|(_, state)| Self::fits(state, tokens, estimate));
        if endpoints.is_empty() {
            return Err(build_refusal(Cause::Busy, demand, Duration::ZERO));
        }
        Ok(endpoints)
    }

    /// Whether an endpoint is expected to begin the request within the time that it may wait.
    fn begins_in_time(&self, now: Instant, demand: &Demand, state: &State) -> bool {
        let wait_limit = wait_limit(demand).min(demand.allowed);
        demand.patience > 0.0 && self.weighted_wait(now, demand, state) <= wait_limit
    }

    /// Expected wait for the response to a request, in which its own prefill counts by its weight.
    fn weighted_wait(&self, now: Instant, demand: &Demand, state: &State) -> Duration {
        let own_prefill = state.prefill_time(now, tokens_to_prefill(demand, state));
        // A long prompt takes as long as several short ones and delays them.
        let weighted = own_prefill.mul_f64(demand.own_weight);
        let is_idle = self.is_idle(now, state);
        let weighted = if is_idle { weighted.min(wait_limit(demand) / 2) } else { weighted };
        self.expected_queue_time(now, state) + weighted
    }

    /// Whether an endpoint has so little load that a long prompt delays no other request.
    fn is_idle(&self, now: Instant, state: &State) -> bool {
        self.expected_queue_time(now, state) < IDLE_QUEUE_TIME
            && state.total_in_flight() < state.slots / IDLE_SLOTS
    }

    /// Expected time until an endpoint begins to process a request that is sent now.
    fn expected_queue_time(&self, now: Instant, state: &State) -> Duration {
        let reading = state.prefill_time(now, state.backlog());
        if self.places_by_work() {
            return reading + self.view(now, state).wait(state.slots);
        }
        let excess = (state.total_in_flight() + 1).saturating_sub(state.slots);
        reading + self.mean_time * excess / state.slots
    }
}

/// Longest time that a request may wait for its response.
pub(super) fn wait_limit(demand: &Demand) -> Duration {
    demand.aim.mul_f64(demand.patience)
}

/// Prompt tokens that an endpoint does not have in its cache.
fn tokens_to_prefill(demand: &Demand, state: &State) -> u64 {
    demand.prompt.tokens() - state.cache.cached_tokens(&demand.prompt)
}

/// The first and second home endpoint of the prompt's subject, the same on all routers, by rendezvous hashing.
fn home_endpoints(
    demand: &Demand,
    endpoints: impl Iterator<Item = Endpoint>,
) -> [Option<Endpoint>; 2] {
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

/// Cost of placing the request at an endpoint, in tokens to prefill.
fn placement_cost(
    now: Instant,
    demand: &Demand,
    id: Endpoint,
    state: &State,
    homes: [Option<Endpoint>; 2],
) -> u64 {
    let cached = state.cache.cached_tokens(&demand.prompt);
    let tokens = demand.prompt.tokens() - cached;
    let full =
        if state.total_in_flight() >= state.slots || state.is_full(now) { FULL_TOKENS } else { 0 };
    let shared = demand.prompt.shared_tokens().saturating_sub(cached);
    let preference = preference_cost(now, shared, id, state, homes);
    state.backlog() + tokens + running_cost(state) + full + preference
}

/// Cost of the requests in flight at an endpoint, in tokens.
pub(super) fn running_cost(state: &State) -> u64 {
    u64::from(state.total_in_flight()) * RUNNING_TOKENS * 64 / u64::from(state.slots)
}

/// Cost of placing a request at an endpoint, apart from the time until it begins. `shared` are the tokens of the shared parts of
/// its prompt that the endpoint does not cache.
pub(super) fn preference_cost(
    now: Instant,
    shared: u64,
    id: Endpoint,
    state: &State,
    homes: [Option<Endpoint>; 2],
) -> u64 {
    let replica = match homes {
        [Some(home), _] if home == id => 0,
        [_, Some(second)] if second == id => scaled(shared, REPLICA_WEIGHT / 2.0),
        _ => scaled(shared, REPLICA_WEIGHT),
    };
    let failing = scaled(FAILING_TOKENS, state.failure_share(now));
    let remote = if state.same_data_centre { 0 } else { REMOTE_TOKENS };
    let backing_off = u64::from(state.peers_backing_off()) * BACKING_OFF_TOKENS;
    let backing_off = backing_off.min(FULL_TOKENS);
    let unconnected = if state.is_connected(now) { 0 } else { UNCONNECTED_TOKENS };
    replica + failing + remote + backing_off + unconnected
}

/// Time until a request may be sent to the first of these endpoints, and why not now; `None` if there are none.
fn first_opening(
    now: Instant,
    availabilities: impl Iterator<Item = Availability>,
) -> Option<(Duration, Cause)> {
    let opening = |availability| match availability {
        Availability::Open | Availability::Trial | Availability::Blocked(Reason::Trial) => {
            (Duration::ZERO, Cause::Backoff)
        }
        Availability::Blocked(Reason::Backoff(until)) => (until - now, Cause::Backoff),
        Availability::Blocked(Reason::Limited(until)) => (until - now, Cause::Limited),
        Availability::Blocked(Reason::Leaving(_) | Reason::Drained) => {
            (Duration::MAX, Cause::Backoff)
        }
    };
    availabilities.map(opening).min_by_key(|(left, _)| *left)
}

/// Builds the refusal of a request that could be sent after the time `left`. At a limit, another router may be able to send it
/// sooner, so the retry time has the same bounds as after other refusals.
fn build_blocked_refusal(demand: &Demand, left: Duration, cause: Cause) -> Refusal {
    let max_retry_after = demand.allowed.mul_f64(RETRY_AFTER_MAX_SHARE);
    let min_retry_after = match cause {
        Cause::Limited => demand.aim.mul_f64(RETRY_AFTER_MIN_AIM_SHARE),
        _ => Duration::ZERO,
    };
    Refusal { cause, wait: left, retry_after: left.max(min_retry_after).min(max_retry_after) }
}

fn build_refusal(cause: Cause, demand: &Demand, wait: Duration) -> Refusal {
    let excess = wait.saturating_sub(demand.aim.mul_f64(demand.patience));
    let max_retry_after = demand.allowed.mul_f64(RETRY_AFTER_MAX_SHARE);
    let min_retry_after = demand.aim.mul_f64(RETRY_AFTER_MIN_AIM_SHARE);
    Refusal { cause, wait, retry_after: excess.max(min_retry_after).min(max_retry_after) }
}
