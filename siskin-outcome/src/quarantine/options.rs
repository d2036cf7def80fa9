//! Settings of the register of crashes.

use std::time::Duration;

/// Settings of a [`Register`](super::Register).
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long a crash is remembered, and thereby how long its cause is refused.
    pub refusal_ttl: Duration,
    /// How long after its last crash a cause is provisional: a response that shows it to be none may not be known yet, so
    /// callers may come back soon.
    pub provisional_refusal: Duration,
    /// Two reports of a crash of one endpoint within this time are reports of the same crash.
    pub same_crash_window: Duration,
    /// Crashes of different endpoints within this time count once: an outage ends endpoints together, a request that crashes
    /// endpoints ends one after the other.
    pub outage_window: Duration,
    /// Time from the second crash with a cause to the first trial of a request with it.
    pub trial_delay: Duration,
    /// Factor by which that time grows with each further crash.
    pub trial_backoff: u32,
    /// Time for which a group of routers has its turn to make a trial: longer than the news of a crash mostly takes.
    pub trial_slot: Duration,
    /// Crashed endpoints from which a single request is not tried again.
    pub request_crashes_max: usize,
    /// Crashed endpoints from which a part of prompts is not tried again.
    pub part_crashes_max: usize,
    /// How long all facts of a crash are sent again. After that, only those that are needed for a refusal are.
    pub announcement_time: Duration,
    /// Interval at which facts are sent to a receiver again.
    pub repeat_interval: Duration,
    /// How long a clearance is remembered, for facts of an earlier crash that arrive later.
    pub clearance_ttl: Duration,
    /// A clearance of an uninvolved feature that is later by less than this is not passed on: its time grows by the delay of
    /// the network with each router that passes it on.
    pub clearance_precision: Duration,
    /// How long a router that has just started requests all facts from its peers, unless it receives some sooner.
    pub sync_timeout: Duration,
    /// Most crashes that are remembered. The oldest one that is not needed for a refusal is evicted first.
    pub max_crashes: usize,
    /// Most requests that are remembered of one crash.
    pub max_requests: usize,
    /// How long a response is remembered, for the news of a crash that happened before it.
    pub start_ttl: Duration,
    /// Most features of responses that are remembered.
    pub max_starts: usize,
    /// Most clearances that are remembered; the oldest is evicted first.
    pub max_clearances: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            refusal_ttl: Duration::from_secs(600),
            provisional_refusal: Duration::from_secs(1),
            same_crash_window: Duration::from_millis(1_500),
            outage_window: Duration::from_millis(150),
            trial_delay: Duration::from_secs(3),
            trial_backoff: 4,
            trial_slot: Duration::from_millis(300),
            request_crashes_max: 3,
            part_crashes_max: 5,
            announcement_time: Duration::from_secs(10),
            repeat_interval: Duration::from_secs(1),
            clearance_ttl: Duration::from_secs(60),
            clearance_precision: Duration::from_secs(1),
            sync_timeout: Duration::from_secs(2),
            max_crashes: 64,
            max_requests: 32,
            start_ttl: Duration::from_secs(2),
            max_starts: 4_096,
            max_clearances: 1_024,
        }
    }
}
