//! Requests suspected of crashing the endpoints of one pool.

use {
    crate::shared::{Shared, lock},
    indexmap::IndexMap,
    siskin_outcome::poison::{
        Action, Crash, Detector, Fingerprint, InFlight, Message, Options, Suspect, Verdict,
        copies::{self, Decision, Limiter},
    },
    siskin_types::{
        id::{Endpoint, Node, Pool, Request},
        time::Instant,
    },
    siskin_wire::Message as Envelope,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time,
    },
};

/// Confirmed crashes that are remembered for exchanges that wait for them.
const CONFIRMED_MAX: usize = 256;

/// Longest wait for the confirmation of a crash; the detector gives up earlier.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time between two calls of the detector's timer.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// The suspects of one pool as this router knows them.
#[derive(Debug)]
pub(crate) struct Suspects {
    detector: Mutex<Detector>,
    copies: Mutex<Limiter>,
    /// Changes when a copy of a request has left or was completed.
    copy_left: watch::Sender<()>,
    in_flight: Mutex<IndexMap<Endpoint, IndexMap<Request, InFlight>>>,
    confirmed: watch::Sender<VecDeque<Crash>>,
    wake: Notify,
}

impl Suspects {
    pub(crate) fn new(pool: Pool, node: Node, suspicion_ttl: Duration) -> Self {
        let options = Options { suspicion_ttl, ..Options::new(pool, node) };
        Self {
            detector: Mutex::new(Detector::new(options)),
            copies: Mutex::new(Limiter::new(copies::Options::default())),
            copy_left: watch::Sender::default(),
            in_flight: Mutex::default(),
            confirmed: watch::Sender::default(),
            wake: Notify::new(),
        }
    }

    /// Changes how long a suspect is remembered or refused, also for those that are known.
    pub(crate) fn set_suspicion_ttl(&self, suspicion_ttl: Duration) {
        lock(&self.detector).set_suspicion_ttl(suspicion_ttl);
        self.wake.notify_one();
    }

    /// Whether the suspects that other routers know are known here too.
    pub(crate) fn synced(&self) -> bool {
        lock(&self.detector).synced()
    }

    /// Whether a request may run.
    pub(crate) fn admit(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let verdict = lock(&self.detector).admit(now, fingerprint);
        self.wake.notify_one();
        verdict
    }

    /// Whether a copy of a request that has waited since `since` may go on.
    pub(crate) fn try_start_copy(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        suspect: bool,
        since: Instant,
    ) -> Decision {
        lock(&self.copies).try_start_copy(now, fingerprint, suspect, since)
    }

    /// Notes that a copy that went on is no longer in flight.
    pub(crate) fn copy_ended(&self, fingerprint: Fingerprint) {
        lock(&self.copies).copy_ended(fingerprint);
        self.copy_left.send_replace(());
    }

    /// Tells when copies leave.
    pub(crate) fn departures(&self) -> watch::Receiver<()> {
        self.copy_left.subscribe()
    }

    /// Notes that a request was given to an endpoint.
    pub(crate) fn started(&self, endpoint: Endpoint, request: Request, in_flight: InFlight) {
        lock(&self.in_flight).entry(endpoint).or_default().insert(request, in_flight);
    }

    /// Notes that an endpoint no longer runs a request.
    pub(crate) fn ended(&self, endpoint: Endpoint, request: Request) {
        if let Some(requests) = lock(&self.in_flight).get_mut(&endpoint) {
            requests.swap_remove(&request);
        }
    }

    /// Clears a request that an endpoint has answered.
    pub(crate) fn completed(&self, shared: &Shared, now: Instant, fingerprint: Fingerprint) {
        lock(&self.copies).completed(fingerprint);
        let actions = lock(&self.detector).completed(now, fingerprint);
        self.perform(shared, actions);
    }

    /// An instance of an endpoint died: what was in flight there is suspected from now on. Returns once all routers
    /// of the pool have been told, so that the callers may be answered.
    pub(crate) async fn crashed(&self, shared: &Shared, endpoint: Endpoint, instance: u64) {
        let in_flight: Vec<InFlight> = lock(&self.in_flight)
            .get(&endpoint)
            .into_iter()
            .flat_map(|map| map.values().copied())
            .collect();
        if in_flight.is_empty() {
            return;
        }
        log::warn!(
            endpoint:% = endpoint, instance, suspects = in_flight.len();
            "endpoint died; the requests in flight there are suspected"
        );
        let now = shared.clock.now();
        let actions = lock(&self.detector).crashed(now, endpoint, instance, &in_flight);
        self.perform(shared, actions);
        let crash = Crash { endpoint, instance };
        let mut confirmed = self.confirmed.subscribe();
        let told = confirmed.wait_for(|crashes| crashes.contains(&crash));
        if time::timeout(CONFIRM_TIMEOUT, told).await.is_err() {
            log::warn!(endpoint:% = endpoint; "other routers could not be told of the crash in time");
        }
    }

    /// Takes the members that this router sees and the owner of the pool.
    pub(crate) fn members(&self, shared: &Shared, now: Instant, owner: Node, visible: &[Node]) {
        let before = visible.iter().filter(|node| **node < shared.settings.node).count();
        lock(&self.copies).set_router_position(before, visible.len());
        let actions = {
            let mut detector = lock(&self.detector);
            let mut actions = detector.members(now, visible);
            actions.extend(detector.owner_changed(now, Some(owner)));
            actions
        };
        self.perform(shared, actions);
    }

    /// Takes a message of another router.
    pub(crate) fn receive(&self, shared: &Shared, now: Instant, from: Node, message: &Message) {
        let actions = lock(&self.detector).receive(now, from, message);
        self.perform(shared, actions);
    }

    /// The suspects, for operators.
    pub(crate) fn list(&self, now: Instant) -> Vec<Suspect> {
        lock(&self.detector).list(now)
    }

    /// Lifts the suspicion of a request.
    pub(crate) fn lift(&self, shared: &Shared, now: Instant, fingerprint: Fingerprint) {
        let actions = lock(&self.detector).lift(now, fingerprint);
        self.perform(shared, actions);
    }

    /// Serves the detector's timers until the router ends.
    pub(crate) async fn run(self: Arc<Self>, shared: Arc<Shared>) {
        loop {
            let now = shared.clock.now();
            let idle = now + IDLE_TICK;
            let next = lock(&self.detector).next_tick().unwrap_or(idle).min(idle);
            tokio::select! {
                () = time::sleep_until(shared.clock.deadline(next)) => {}
                () = self.wake.notified() => continue,
            }
            let actions = lock(&self.detector).tick(shared.clock.now());
            for action in actions {
                self.carry_out(&shared, action);
            }
        }
    }

    fn perform(&self, shared: &Shared, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(shared, action);
        }
        self.wake.notify_one();
    }

    fn carry_out(&self, shared: &Shared, action: Action) {
        match action {
            Action::Send { to, message } => shared.send(to, &Envelope::Poison(message)),
            Action::Confirmed(crash) => self.confirmed.send_modify(|crashes| {
                crashes.push_back(crash);
                if crashes.len() > CONFIRMED_MAX {
                    crashes.pop_front();
                }
            }),
        }
    }
}

/// The pool that a message is about.
pub(crate) const fn pool(message: &Message) -> Pool {
    match message {
        Message::Tell { pool, .. }
        | Message::Ack { pool, .. }
        | Message::Ask { pool }
        | Message::Answer { pool, .. } => *pool,
    }
}
