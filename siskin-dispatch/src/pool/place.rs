//! The choice of an endpoint by expected time, where endpoints say how busy they are.

use {
    super::{
        Demand, Pool,
        choose::{FULL_TOKENS, preference_cost, running_cost, wait_limit},
        endpoint::State,
    },
    crate::prompt::mix,
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

/// Part of the target latency by which expected times may differ and still count as equal. Routers with the same view choose
/// different ones of such endpoints, so that they do not all send to the same.
const EQUAL_AIM_PART: f64 = 0.1;

/// Difference of the other costs up to which they count as equal, in tokens. It is less than the cost of an endpoint in another
/// data centre.
const EQUAL_TOKENS: u64 = 250;

/// What placing a request at an endpoint would cost.
struct Candidate<'b, 'a> {
    endpoint: &'b (Endpoint, &'a State),
    /// Expected time until the response begins, in milliseconds.
    time: f64,
    /// Cost of what does not delay this request, in tokens: repeated prefill later, connections, failures.
    preference: u64,
    /// Time and other costs, in milliseconds.
    total: f64,
}

impl Pool {
    /// The endpoint at which placing the request costs least, or one of those that are about as good, by the request's number.
    pub(super) fn cheapest_by_work<'a, 'b>(
        &self,
        now: Instant,
        demand: &Demand,
        homes: [Option<Endpoint>; 2],
        endpoints: impl Iterator<Item = &'b (Endpoint, &'a State)>,
    ) -> Option<&'b (Endpoint, &'a State)>
    where
        'a: 'b,
    {
        let sizes = (demand.prompt.tokens(), demand.prompt.shared_tokens());
        let candidate = |endpoint| self.candidate(now, demand, sizes, homes, endpoint);
        let mut candidates: Vec<Candidate<'b, 'a>> = Vec::with_capacity(self.endpoints.len());
        candidates.extend(endpoints.map(candidate));
        let best = candidates.iter().min_by(|a, b| a.total.total_cmp(&b.total))?;
        let time_max = best.time + millis(demand.aim) * EQUAL_AIM_PART;
        let time_max = time_max.min(millis(wait_limit(demand)).max(best.time));
        let preference_max = best.preference + EQUAL_TOKENS;
        let equal = candidates.iter().filter(|candidate| {
            candidate.time <= time_max && candidate.preference <= preference_max
        });
        equal
            .map(|candidate| candidate.endpoint)
            .max_by_key(|(id, _)| mix(demand.number, u64::from(id.0)))
    }

    /// What placing the request at an endpoint would cost, given the tokens of its prompt and of the shared parts of that.
    fn candidate<'a, 'b>(
        &self,
        now: Instant,
        demand: &Demand,
        (tokens, shared): (u64, u64),
        homes: [Option<Endpoint>; 2],
        endpoint: &'b (Endpoint, &'a State),
    ) -> Candidate<'b, 'a> {
        let (id, state) = *endpoint;
        let cached = state.cache.cached_tokens(&demand.prompt);
        let tokens = tokens - cached;
        let shared = shared.saturating_sub(cached);
        let occupancy = state.work.occupancy(now, state.total_in_flight());
        let has_free_slot = occupancy.requests + 1.0 <= f64::from(state.slots);
        // The wait is computed only where there is one: most endpoints have a free slot.
        let wait =
            if has_free_slot { 0.0 } else { millis(self.view(now, state).wait(state.slots)) };
        let token_millis = state.prefill_millis(1);
        let time =
            tokens_as_f64(state.backlog() + tokens) * token_millis * occupancy.slowness + wait;
        let full = if !has_free_slot || state.is_full(now) { FULL_TOKENS } else { 0 };
        let preference = full + preference_cost(now, shared, id, state, homes);
        let total = time + tokens_as_f64(preference + running_cost(state)) * token_millis;
        Candidate { endpoint, time, preference, total }
    }
}

#[expect(clippy::cast_precision_loss)]
const fn tokens_as_f64(tokens: u64) -> f64 {
    tokens as f64
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
