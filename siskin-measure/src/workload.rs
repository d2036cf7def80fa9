//! Workloads: who sends what, how often and where.
//!
//! A schedule is computed in full before a run from a seed, so that all modes get the same calls at the
//! same times, whatever the answers are.

use {
    crate::{
        fault::Fault,
        mode::{Unknown, find},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{ops::RangeInclusive, str::FromStr, time::Duration},
};

/// Name of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Scenario {
    /// A large agency uses the system all day beside smaller customers: long layout plans, one-word
    /// tags and confirmations that must not run twice. Offered load is 1.6 times the capacity.
    Thistlebank,
    /// A rush at dawn enters at two routers: photo tags and long season summaries. Offered load is 2.6
    /// times the capacity, and half the capacity afterwards.
    Egirdir,
    /// The same rate at each router: 41 requests per second unless asked for otherwise, which is the rate for which
    /// control traffic is limited.
    Paced,
}

impl Scenario {
    /// All workloads.
    pub const ALL: [Self; 3] = [Self::Thistlebank, Self::Egirdir, Self::Paced];

    /// Its name in flags and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Thistlebank => "thistlebank",
            Self::Egirdir => "egirdir",
            Self::Paced => "paced",
        }
    }

    /// One line of explanation.
    #[must_use]
    pub const fn summary(self) -> &'static str {
        match self {
            Self::Thistlebank => {
                "one large agency and fifteen smaller customers, long plans and one-word tags"
            }
            Self::Egirdir => "a dawn rush through two routers, photo tags and season summaries",
            Self::Paced => "41 requests/s per router or another rate, for the cost of control",
        }
    }
}

impl FromStr for Scenario {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        find(&Self::ALL, Self::name, "scenario", name)
    }
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Long layout plan.
    Plan,
    /// One-word tag.
    Tag,
    /// Tags of a photo.
    Photo,
    /// Long season summary over a long shared prompt.
    Summary,
    /// A call to the application that must not run twice.
    Confirmation,
    /// The request that crashes engines.
    Crash,
}

impl Kind {
    /// Tokens of the answer.
    #[must_use]
    pub const fn output(self) -> RangeInclusive<u32> {
        match self {
            Self::Plan => 100..=300,
            Self::Tag => 1..=3,
            Self::Photo => 12..=32,
            Self::Summary => 150..=300,
            Self::Confirmation | Self::Crash => 1..=1,
        }
    }

    /// Bytes of the prompt that a customer's calls of this kind share.
    #[must_use]
    pub const fn shared_bytes(self) -> usize {
        match self {
            Self::Plan => 800,
            Self::Summary => 1_600,
            Self::Tag | Self::Photo => 128,
            Self::Confirmation | Self::Crash => 0,
        }
    }

    /// Expected time of a slot in tokens.
    fn mean_tokens(self) -> f64 {
        let output = self.output();
        f64::from(output.start() + output.end()) / 2.0
    }
}

/// Share of calls that ask for one JSON answer in place of a stream.
const WHOLE_ANSWERS: f64 = 0.2;

/// Confirmations per model call.
const CONFIRMATIONS: f64 = 0.05;

/// Requests per second and router of [`Scenario::Paced`] for which control traffic is limited.
pub const PACED_RATE: f64 = 41.0;

/// Name of a model by its number.
#[must_use]
pub fn model(number: u32) -> String {
    if number == 0 { "small".to_owned() } else { format!("small-{number}") }
}

/// Load of the flooding customer relative to the capacity.
const FLOOD_SHARE: f64 = 3.0;

/// Times that the crashing request is sent.
const CRASHES: u32 = 5;

/// A customer of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Share relative to the others.
    pub weight: u32,
    /// Offered load relative to the capacity of the engines.
    pub share: f64,
    /// Kinds of model call, with their frequencies.
    pub mix: &'static [(Kind, u32)],
}

/// A call of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Index of the customer.
    pub customer: usize,
    /// Index of the router that it enters at; more than there are: modulo.
    pub router: usize,
    /// What it asks for.
    pub kind: Kind,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Unique number that the answer has to repeat.
    pub nonce: u64,
}

/// What a schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The workload.
    pub scenario: Scenario,
    /// Seed.
    pub seed: u64,
    /// Length of the run.
    pub duration: Duration,
    /// Routers of the fleet.
    pub routers: u32,
    /// Customers.
    pub customers: u32,
    /// Slots of all engines.
    pub slots: u32,
    /// Time of a slot for one token.
    pub token_interval: Duration,
    /// Requests per second and router of [`Scenario::Paced`].
    pub rate: f64,
}

const LAYOUT: &[(Kind, u32)] = &[(Kind::Plan, 3), (Kind::Tag, 7)];
const SEASON: &[(Kind, u32)] = &[(Kind::Photo, 8), (Kind::Summary, 2)];
const SHORT: &[(Kind, u32)] = &[(Kind::Photo, 1)];

/// The customers of a workload.
#[must_use]
pub fn customers(options: &Options) -> Vec<Customer> {
    let count = options.customers;
    let share = |total: f64, among: u32| total / f64::from(among.max(1));
    match options.scenario {
        Scenario::Thistlebank => {
            // Three of the smaller customers want more than their share, the others less.
            let medium = (count.saturating_sub(1)).min(3);
            let small = count.saturating_sub(1 + medium);
            let agency = Customer { weight: 4, share: 0.8, mix: LAYOUT };
            let busy = Customer { weight: 1, share: share(0.6, medium), mix: LAYOUT };
            let quiet = Customer { weight: 1, share: share(0.24, small), mix: LAYOUT };
            let mut all = vec![agency];
            all.extend((0..medium).map(|_| busy.clone()));
            all.extend((0..small).map(|_| quiet.clone()));
            all
        }
        Scenario::Egirdir => {
            let each = Customer { weight: 1, share: share(1.3, count), mix: SEASON };
            vec![each; count as usize]
        }
        Scenario::Paced => {
            let rate = options.rate * f64::from(options.routers);
            let each = Customer {
                weight: 1,
                share: share(rate / pace(options, SHORT), count),
                mix: SHORT,
            };
            vec![each; count as usize]
        }
    }
}

/// Calls per second that fill all slots.
fn pace(options: &Options, mix: &[(Kind, u32)]) -> f64 {
    let total: u32 = mix.iter().map(|(_, parts)| parts).sum();
    let tokens = mix.iter().map(|(kind, parts)| kind.mean_tokens() * f64::from(*parts));
    let mean = tokens.sum::<f64>() / f64::from(total);
    f64::from(options.slots) / (mean * options.token_interval.as_secs_f64())
}

/// Part of the run that is the rush of [`Scenario::Egirdir`].
const RUSH: f64 = 0.4;

/// Load relative to the average at a part of the run.
fn intensity(scenario: Scenario, part: f64) -> f64 {
    match scenario {
        Scenario::Thistlebank | Scenario::Paced => 1.0,
        Scenario::Egirdir if part < RUSH => 2.0,
        Scenario::Egirdir => 0.4,
    }
}

/// Largest value of [`intensity`].
const INTENSITY_MAX: f64 = 2.0;

/// Routers that a rush enters at.
const RUSH_ROUTERS: u32 = 2;

/// The calls of a run in order of time.
///
/// ```
/// use siskin_measure::workload::{Options, Scenario, schedule};
/// use std::time::Duration;
/// let options = Options {
///     scenario: Scenario::Thistlebank,
///     seed: 7,
///     duration: Duration::from_secs(2),
///     routers: 8,
///     customers: 16,
///     slots: 32,
///     token_interval: Duration::from_millis(4),
///     rate: 41.0,
/// };
/// let calls = schedule(&options, &[]);
/// assert!(!calls.is_empty());
/// assert_eq!(calls, schedule(&options, &[]));
/// ```
#[must_use]
pub fn schedule(options: &Options, faults: &[Fault]) -> Vec<Call> {
    let mut source =
        Source { options, random: SmallRng::seed_from_u64(options.seed), calls: vec![] };
    for (index, customer) in customers(options).iter().enumerate() {
        let rate = customer.share * pace(options, customer.mix);
        source.poisson(index, customer.mix, rate, 0.0..=1.0);
        source.poisson(index, &[(Kind::Confirmation, 1)], rate * CONFIRMATIONS, 0.0..=1.0);
    }
    let last = options.customers.saturating_sub(1) as usize;
    let middle = 1.0 / 3.0..=2.0 / 3.0;
    if faults.contains(&Fault::Flood) {
        source.poisson(last, LAYOUT, FLOOD_SHARE * pace(options, LAYOUT), middle.clone());
    }
    if faults.contains(&Fault::Crash) {
        source.crashes(last, &middle);
    }
    let mut calls = source.calls;
    calls.sort_by(|one, other| one.at.cmp(&other.at).then(one.nonce.cmp(&other.nonce)));
    calls
}

struct Source<'a> {
    options: &'a Options,
    random: SmallRng,
    calls: Vec<Call>,
}

impl Source<'_> {
    /// Adds calls at random times of a part of the run, `rate` per second on average.
    fn poisson(
        &mut self,
        customer: usize,
        mix: &[(Kind, u32)],
        rate: f64,
        part: RangeInclusive<f64>,
    ) {
        let length = self.options.duration.as_secs_f64();
        let mut at = part.start() * length;
        loop {
            // Thinning: candidates at the highest rate, of which some are kept.
            at -=
                self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / (rate * INTENSITY_MAX);
            if at.is_nan() || at >= part.end() * length {
                return;
            }
            let intensity = intensity(self.options.scenario, at / length);
            if self.random.random_bool(intensity / INTENSITY_MAX) {
                let kind = self.pick(mix);
                self.add(Duration::from_secs_f64(at), customer, kind);
            }
        }
    }

    fn crashes(&mut self, customer: usize, part: &RangeInclusive<f64>) {
        let length = self.options.duration;
        let spacing = length.mul_f64((part.end() - part.start()) / f64::from(CRASHES));
        for number in 0..CRASHES {
            self.add(length.mul_f64(*part.start()) + spacing * number, customer, Kind::Crash);
        }
    }

    fn pick(&mut self, mix: &[(Kind, u32)]) -> Kind {
        let total: u32 = mix.iter().map(|(_, parts)| parts).sum();
        let mut left = self.random.random_range(0..total);
        for (kind, parts) in mix {
            if left < *parts {
                return *kind;
            }
            left -= parts;
        }
        mix[0].0
    }

    fn add(&mut self, at: Duration, customer: usize, kind: Kind) {
        let routers = self.options.routers.max(1);
        let part = at.as_secs_f64() / self.options.duration.as_secs_f64();
        let rush = self.options.scenario == Scenario::Egirdir && part < RUSH;
        let entries = if rush { routers.min(RUSH_ROUTERS) } else { routers };
        let call = Call {
            at,
            customer,
            router: self.random.random_range(0..entries) as usize,
            kind,
            tokens: self.random.random_range(kind.output()),
            stream: !self.random.random_bool(WHOLE_ANSWERS),
            nonce: self.calls.len() as u64,
        };
        self.calls.push(call);
    }
}
