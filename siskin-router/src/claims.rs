//! Claims on idempotency keys: connects the claim service to the store and to other routers.

use {
    crate::{
        settings::Settings,
        shared::{Shared, hash_secret, lock},
    },
    siskin_claim::{
        key::{Hasher, bucket},
        remote::{Action, Options, Service},
        writer::{self, Response},
    },
    siskin_store::{Revision, Store, Write, http},
    siskin_types::{
        id::{Node, Request},
        time::Instant,
    },
    siskin_wire::{
        Message as Envelope,
        claim::{BodyHash, Decision, Key, Message, Record, Token},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{Notify, oneshot},
        time,
    },
};

/// Writes per second that the claims of the whole fleet may take, of the several hundred that the store sustains. The
/// routers share them equally.
const FLEET_WRITES_PER_SECOND: f64 = 300.0;

/// Fewest writes per second of one router, so that it makes progress in any fleet.
const WRITES_PER_SECOND_MIN: f64 = 1.0;

/// Store calls per second that a router's claims may take. It only stops a fault from flooding the store; the writer's
/// share of the fleet's writes is the limit in normal times.
const STORE_CALLS_PER_SECOND: u32 = 400;

/// Longest time between two calls of the service's timer.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// A claim on an idempotency key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    key: Key,
    body: BodyHash,
    token: Token,
}

/// The claims of this router.
#[derive(Debug)]
pub(crate) struct Claims {
    hasher: Hasher,
    buckets: u8,
    store: http::Client,
    service: Mutex<Service>,
    waiting: Mutex<HashMap<Token, oneshot::Sender<Decision>>>,
    wake: Notify,
}

impl Claims {
    pub(crate) fn new(settings: &Settings, incarnation: u64, now: Instant) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_at_zero = unix.saturating_sub(now - Instant::ZERO);
        let writer = writer::Options {
            node: settings.node,
            incarnation,
            unix_at_zero_ms: u64::try_from(unix_at_zero.as_millis()).unwrap_or(u64::MAX),
            seed: incarnation,
            ..writer::Options::default()
        };
        let buckets = writer.buckets;
        let store = http::Client::new(http::Options {
            addresses: settings.store.clone(),
            calls_per_second: STORE_CALLS_PER_SECOND,
            burst: STORE_CALLS_PER_SECOND / 4,
            // The writer settles failed calls itself.
            read_attempts: 1,
            seed: incarnation,
            ..http::Options::default()
        });
        Self {
            hasher: Hasher::new(&hash_secret(settings)),
            buckets,
            store,
            service: Mutex::new(Service::new(Options { writer, ..Options::default() })),
            waiting: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Takes how long claims are kept and how long a call may last, which the whole fleet agrees on.
    pub(crate) fn set_limits(&self, retention: Duration, longest_deadline: Duration) {
        lock(&self.service).set_limits(retention, longest_deadline);
    }

    /// Names the claim of a call.
    pub(crate) fn name(
        &self,
        request: Request,
        customer: siskin_types::id::Customer,
        key: &[u8],
        call: (&str, &str, &[u8]),
    ) -> Claim {
        let (method, path, body) = call;
        Claim {
            key: self.hasher.key(customer, key),
            body: self.hasher.body(method, path, body),
            token: Token(request),
        }
    }

    /// Claims a key; returns once it is decided, at the latest at the deadline.
    pub(crate) async fn claim(
        &self,
        shared: &Arc<Shared>,
        claim: Claim,
        deadline: Instant,
    ) -> Decision {
        let (sender, decided) = oneshot::channel();
        lock(&self.waiting).insert(claim.token, sender);
        let now = shared.clock.now();
        let to = self.writer_of(shared, &claim.key);
        let Claim { key, body, token } = claim;
        let actions = lock(&self.service).claim(now, to, key, body, token, deadline);
        self.perform(shared, actions);
        decided.await.unwrap_or(Decision::Unavailable)
    }

    /// Records the result of a call whose claim was granted.
    pub(crate) fn record(&self, shared: &Arc<Shared>, claim: Claim, record: Record) {
        let to = self.writer_of(shared, &claim.key);
        let now = shared.clock.now();
        let actions = lock(&self.service).record(now, to, claim.key, claim.token, record);
        self.perform(shared, actions);
    }

    /// Releases the claim of a call that did not run.
    pub(crate) fn release(&self, shared: &Arc<Shared>, claim: Claim) {
        let to = self.writer_of(shared, &claim.key);
        let actions = lock(&self.service).release(shared.clock.now(), to, claim.key, claim.token);
        self.perform(shared, actions);
    }

    /// Takes a message of another router.
    pub(crate) fn receive(&self, shared: &Arc<Shared>, from: Node, message: &Message) {
        let actions = lock(&self.service).receive(shared.clock.now(), from, message);
        self.perform(shared, actions);
    }

    /// Places the writers of the buckets among the members that this router sees.
    pub(crate) fn members_changed(&self, shared: &Arc<Shared>) {
        let (owned, known): (Vec<u8>, usize) = {
            let member = lock(&shared.member);
            let own = |index: &u8| member.owner(&placement(*index)) == shared.settings.node;
            ((0..self.buckets).filter(own).collect(), member.known())
        };
        // Unreachable routers may still write, so they keep their share.
        let routers = f64::from(u32::try_from(known).unwrap_or(u32::MAX).max(1));
        let writes_per_s = (FLEET_WRITES_PER_SECOND / routers).max(WRITES_PER_SECOND_MIN);
        let now = shared.clock.now();
        let actions = {
            let mut service = lock(&self.service);
            service.set_write_rate(now, writes_per_s);
            service.owned(now, &owned)
        };
        self.perform(shared, actions);
    }

    /// Serves the service's timers until the router ends.
    pub(crate) async fn run(shared: Arc<Shared>) {
        let claims = &shared.claims;
        loop {
            let idle = shared.clock.now() + IDLE_TICK;
            let next = lock(&claims.service).next_tick().unwrap_or(idle).min(idle);
            tokio::select! {
                () = time::sleep_until(shared.clock.deadline(next)) => {}
                () = claims.wake.notified() => continue,
            }
            let actions = lock(&claims.service).tick(shared.clock.now());
            claims.perform(&shared, actions);
        }
    }

    fn writer_of(&self, shared: &Shared, key: &Key) -> Option<Node> {
        let writer = lock(&shared.member).owner(&placement(bucket(key, self.buckets)));
        (writer != shared.settings.node).then_some(writer)
    }

    fn perform(&self, shared: &Arc<Shared>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => shared.send(to, &Envelope::Claim(message)),
                Action::Decide { token, decision, .. } => {
                    if let Some(waiting) = lock(&self.waiting).remove(&token) {
                        // A caller that no longer waits releases its claim itself.
                        let _ = waiting.send(decision);
                    }
                }
                Action::Settled { .. } => {}
                Action::Store(action) => {
                    let task = call_store(Arc::clone(shared), action);
                    shared.spawn(task);
                }
            }
        }
        self.wake.notify_one();
    }
}

/// Key by which the writer of a bucket is placed.
fn placement(bucket: u8) -> Vec<u8> {
    format!("claims/{bucket}").into_bytes()
}

/// Makes one store call and passes its answer to the service.
async fn call_store(shared: Arc<Shared>, action: writer::Action) {
    let claims = &shared.claims;
    let (call, kind, answer) = match action {
        writer::Action::Read { call, name } => {
            (call, "claim_read", read(&claims.store, &name.to_string()).await)
        }
        writer::Action::Swap { call, name, expected, value } => {
            let swap = claims.store.swap(&name.to_string(), Revision(expected), &value, None).await;
            let answer = swap.map(|write| match write {
                Write::Applied { revision } => Response::Swapped { revision: revision.0 },
                Write::Conflict { .. } => Response::Conflict,
            });
            (call, "claim_write", answer)
        }
        writer::Action::Remove { call, name } => {
            (call, "claim_remove", remove(&claims.store, &name.to_string()).await)
        }
        writer::Action::Decide { .. } | writer::Action::Settled { .. } => return,
    };
    shared.metrics.store_calls.with_label_values(&[kind]).inc();
    let answer = answer.unwrap_or_else(|error| {
        shared.store_failed(kind, &error);
        Response::Failed
    });
    let actions = lock(&claims.service).handle_response(shared.clock.now(), call, answer);
    claims.perform(&shared, actions);
}

async fn read(store: &http::Client, key: &str) -> Result<Response, siskin_store::Error> {
    let found = store.get(key).await?;
    Ok(found.entry.map_or(Response::Absent, |entry| Response::Found {
        revision: entry.revision.0,
        value: entry.value.to_vec(),
    }))
}

/// Removes a segment. Segments never change, so the revision read is the one removed.
async fn remove(store: &http::Client, key: &str) -> Result<Response, siskin_store::Error> {
    if let Some(entry) = store.get(key).await?.entry {
        store.delete(key, entry.revision).await?;
    }
    Ok(Response::Removed)
}
