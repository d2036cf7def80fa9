//! Follows the configuration and brings each version into force.

use {
    crate::{
        orders::Orders,
        pool::Pool,
        shared::{Shared, lock},
        view::View,
    },
    indexmap::IndexMap,
    rand::seq::IteratorRandom,
    siskin_config::{
        document::Document,
        follower::{
            Action, Follower, Options, Refusal as Unready, Serving, View as Membership, Watch,
            Watched,
        },
        operator::Accepted,
        patch::Patch,
        store::{Answer, Call, Pair, Request},
        submit::{self, Refusal, Submission},
    },
    siskin_outcome::outcome::Reason,
    siskin_store::{Error, Revision, Scope, Span, Store, Write, http},
    siskin_types::{id::Node, time::Instant},
    siskin_wire::{Message as Envelope, config::Message},
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{mpsc, watch},
        time,
    },
};

/// Time between calls of the follower's timer.
const TICK: Duration = Duration::from_millis(50);

/// Time between calls of a submission's timer.
const SUBMISSION_TICK: Duration = Duration::from_millis(100);

/// Routers of a region that watch the store.
const WATCHERS: usize = 3;

/// Longest wait of one call of a watch. The store counts a waiting watch as one call.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time after which a router whose seeds do not answer counts itself as the whole fleet.
const JOIN_WAIT: Duration = Duration::from_secs(10);

/// Identifier and author of the patch that creates the first version.
const BOOTSTRAP: &str = "bootstrap";

/// Key by which the watchers are placed.
const PLACEMENT: &[u8] = b"config";

/// The configuration as this router follows it.
#[derive(Debug)]
pub(crate) struct Config {
    follower: Mutex<Follower>,
    store: http::Client,
    watch: watch::Sender<Option<Watch>>,
    serving: Mutex<Serving>,
    /// Whether a configuration is in force and its pools know the suspects that other routers know. Stays true.
    prepared: AtomicBool,
    /// Whether the members are known, so that holders of an entry may be counted. Stays true.
    members_known: AtomicBool,
}

impl Config {
    pub(crate) fn new(store: http::Client, seed: u64) -> Self {
        Self {
            follower: Mutex::new(Follower::new(Options { seed, ..Options::default() })),
            store,
            watch: watch::Sender::new(None),
            serving: Mutex::new(Serving::Refuse(Unready::NotReady)),
            prepared: AtomicBool::new(false),
            members_known: AtomicBool::new(false),
        }
    }

    /// Why new work is refused, if it is.
    pub(crate) fn refuses_work(&self) -> Option<Reason> {
        if !self.prepared.load(Ordering::Relaxed) {
            return Some(Reason::NotReady);
        }
        match *lock(&self.serving) {
            Serving::Serve => None,
            Serving::Refuse(Unready::NotReady) => Some(Reason::NotReady),
            Serving::Refuse(Unready::Isolated) => Some(Reason::Isolated),
        }
    }

    /// The client of the store.
    pub(crate) const fn store(&self) -> &http::Client {
        &self.store
    }

    /// Reads from the follower.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Follower) -> T) -> T {
        read(&lock(&self.follower))
    }

    /// Whether the version was confirmed lately.
    pub(crate) fn store_reachable(&self, now: Instant) -> bool {
        lock(&self.follower).store_reachable(now)
    }
}

/// Follows the configuration until the router ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    shared.spawn(follow_watch(Arc::clone(&shared)));
    let mut interval = time::interval(TICK);
    let mut bootstrapped = false;
    let started = shared.clock.now();
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        let joined = now - started >= JOIN_WAIT || lock(&shared.member).joined();
        if joined && !shared.config.members_known.swap(true, Ordering::Relaxed) {
            members_changed(&shared);
        }
        let view = shared.membership();
        let reachable = shared.config.store_reachable(now);
        let (actions, serving, empty) = {
            let mut follower = lock(&shared.config.follower);
            let actions = follower.tick(now);
            let serving = follower.serving(now, reachable, view);
            (actions, serving, follower.ready() && follower.newest() == 0)
        };
        set_serving(&shared, serving);
        prepare(&shared);
        perform(&shared, actions);
        if let Some(document) =
            shared.settings.bootstrap.as_ref().filter(|_| empty && !bootstrapped)
        {
            bootstrapped = true;
            shared.spawn(bootstrap(Arc::clone(&shared), document.clone()));
        }
    }
}

/// Takes a message of another router.
pub(crate) fn receive(shared: &Arc<Shared>, from: Node, message: &Message) {
    let actions = lock(&shared.config.follower).receive_message(shared.clock.now(), from, message);
    perform(shared, actions);
}

/// Places the watchers, and those who count the holders of an entry, among the members that this router sees.
pub(crate) fn members_changed(shared: &Arc<Shared>) {
    let (ranked, known) = {
        let member = lock(&shared.member);
        (member.rank(PLACEMENT), member.known())
    };
    let own = ranked.iter().take(WATCHERS).position(|&node| node == shared.settings.node);
    let now = shared.clock.now();
    let actions = {
        let mut follower = lock(&shared.config.follower);
        let mut actions = follower.set_watcher_rank(now, own);
        // A router that has not joined knows only itself, and would take itself for more than half.
        if shared.config.members_known.load(Ordering::Relaxed) {
            actions.extend(follower.members(now, shared.settings.node, ranked, known));
        }
        actions
    };
    perform(shared, actions);
}

/// Submits a patch.
///
/// # Errors
///
/// Returns why the patch was not accepted, or that this is unknown.
pub(crate) async fn submit(shared: &Arc<Shared>, patch: Patch) -> Result<Accepted, Refusal> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let time_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    let options = submit::Options { patch, time_ms };
    let (answers, mut answered) = mpsc::unbounded_channel();
    let (mut submission, mut actions) = {
        let view = shared.membership();
        let mut follower = lock(&shared.config.follower);
        Submission::start(shared.clock.now(), options, &mut follower, view)
    };
    loop {
        for action in actions {
            match action {
                submit::Action::Store(call) => {
                    let shared = Arc::clone(shared);
                    let answers = answers.clone();
                    tokio::spawn(async move {
                        let number = call.number;
                        // A submission that has ended needs no answer.
                        let _ = answers.send((number, call_store(&shared, call).await));
                    });
                }
                submit::Action::Follower(action) => perform(shared, vec![action]),
                submit::Action::Finish(result) => {
                    return result.map(|accepted| Accepted { version: accepted.version });
                }
            }
        }
        let answer = time::timeout(SUBMISSION_TICK, answered.recv()).await.ok().flatten();
        let now = shared.clock.now();
        let view = shared.membership();
        let mut follower = lock(&shared.config.follower);
        actions = match answer {
            Some((number, answer)) => {
                submission.receive_answer(now, &mut follower, view, number, answer)
            }
            None => submission.tick(now, &mut follower, view),
        };
    }
}

/// Creates the first version of the configuration. Of several routers that try, one wins.
async fn bootstrap(shared: Arc<Shared>, document: Document) {
    let changes = match serde_json::to_value(&document) {
        Ok(changes) => changes,
        Err(error) => {
            return log::error!(
                "bootstrap document cannot be encoded: {error}; correct it and restart the router"
            );
        }
    };
    let patch = Patch { id: BOOTSTRAP.to_owned(), base: 0, author: BOOTSTRAP.to_owned(), changes };
    loop {
        match submit(&shared, patch.clone()).await {
            Ok(accepted) => {
                return log::info!(version = accepted.version; "configuration was created");
            }
            Err(Refusal::Stale { .. }) => return,
            Err(refusal @ Refusal::Invalid(_)) => {
                return log::error!(
                    "bootstrap document was refused: {refusal}; correct it and restart the router"
                );
            }
            Err(refusal) => log::info!("configuration was not created yet: {refusal}"),
        }
        time::sleep(SUBMISSION_TICK).await;
    }
}

/// Carries out what the follower decided.
fn perform(shared: &Arc<Shared>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Store(call) => {
                let task = follow_call(Arc::clone(shared), call);
                shared.spawn(task);
            }
            Action::Watch(watch) => {
                shared.config.watch.send_replace(watch);
            }
            Action::Send { to, message } => shared.send(to, &Envelope::Config(message)),
            Action::Announce { fanout, announcement } => {
                let message = Envelope::Config(Message::Announcement(announcement));
                for node in shared.random_members(fanout) {
                    shared.send(node, &message);
                }
            }
            Action::Changed { .. } => bring_into_force(shared),
            Action::Diverged(divergence) => log::error!("{divergence}"),
        }
    }
}

async fn follow_call(shared: Arc<Shared>, call: Call) {
    let number = call.number;
    let answer = call_store(&shared, call).await;
    let actions = lock(&shared.config.follower).receive_answer(shared.clock.now(), number, answer);
    perform(&shared, actions);
}

/// Watches the key that the follower wants to be watched.
async fn follow_watch(shared: Arc<Shared>) {
    let mut wanted = shared.config.watch.subscribe();
    loop {
        let Some(watch) = wanted.borrow_and_update().clone() else {
            if wanted.changed().await.is_err() {
                return;
            }
            continue;
        };
        shared.metrics.store_calls.with_label_values(&["watch"]).inc();
        let scope = Scope::Key(&watch.key);
        let waiting = shared.config.store.watch(scope, Revision(watch.from_revision), WATCH_WAIT);
        let event = tokio::select! {
            result = waiting => {
                if let Err(error) = &result {
                    shared.store_failed("watch", error);
                }
                watched(result)
            }
            changed = wanted.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        if let Some(event) = event {
            if event == Watched::Broken {
                // The follower asks for the watch again after a pause.
                shared.config.watch.send_replace(None);
                wanted.mark_unchanged();
            }
            let actions = lock(&shared.config.follower).watched(shared.clock.now(), &event);
            perform(&shared, actions);
        }
    }
}

/// What the follower is told of a watch; nothing if it only timed out.
fn watched(result: Result<siskin_store::Watched, Error>) -> Option<Watched> {
    let Ok(watched) = result else { return Some(Watched::Broken) };
    let entries = watched.changes.into_iter().filter_map(|change| change.entry);
    let pairs: Vec<_> = entries.map(pair).collect();
    (!pairs.is_empty()).then_some(Watched::Changed(pairs))
}

/// Makes a store call of the follower or of a submission.
async fn call_store(shared: &Shared, call: Call) -> Answer {
    let store = &shared.config.store;
    let (kind, answer) = match call.request {
        Request::Range { start, end, limit } => {
            let limit = u32::try_from(limit).unwrap_or(u32::MAX);
            let page = store.span(Span { start: &start, end: &end, limit }).await;
            let answer = page.map(|page| Answer::Range {
                pairs: page.entries.into_iter().map(pair).collect(),
                revision: page.head.0,
            });
            ("config_read", answer)
        }
        Request::Create { key, value } => {
            let created = store.create(&key, &value, None).await;
            ("config_write", created.map(|write| Answer::Created(applied(&write))))
        }
        Request::Swap { key, revision, value } => {
            let swapped = store.swap(&key, Revision(revision), &value, None).await;
            ("config_write", swapped.map(|write| Answer::Swapped(applied(&write))))
        }
        Request::Delete { start, end } => {
            let cleared = store.clear(Span { start: &start, end: &end, limit: 0 }).await;
            ("config_write", cleared.map(|()| Answer::Deleted))
        }
    };
    shared.metrics.store_calls.with_label_values(&[kind]).inc();
    answer.unwrap_or_else(|error| {
        shared.store_failed(kind, &error);
        Answer::Unknown
    })
}

const fn applied(write: &Write) -> bool {
    matches!(write, Write::Applied { .. })
}

fn pair(entry: siskin_store::Entry) -> Pair {
    Pair { key: entry.key, value: Arc::from(&entry.value[..]), revision: entry.revision.0 }
}

/// Lets the router take requests once its pools are prepared.
fn prepare(shared: &Shared) {
    let prepared = &shared.config.prepared;
    if !prepared.load(Ordering::Relaxed) && shared.view().version() > 0 {
        let synced = shared.pools().iter().all(|pool| pool.suspects().synced());
        prepared.store(synced, Ordering::Relaxed);
    }
}

fn set_serving(shared: &Shared, serving: Serving) {
    let before = std::mem::replace(&mut *lock(&shared.config.serving), serving);
    if before != serving {
        match serving {
            Serving::Serve => log::info!("router takes requests"),
            Serving::Refuse(refusal) => log::warn!("router takes no requests: {refusal}"),
        }
    }
}

/// Brings the follower's version into force: pools are added, changed and removed, and their owners placed.
fn bring_into_force(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let state = Arc::clone(lock(&shared.config.follower).state());
    let view = Arc::new(View::new(state));
    if !shared.set_view(Arc::clone(&view)) {
        return;
    }
    let fleet = &view.document().fleet;
    shared.claims.set_limits(fleet.claim_retention(), fleet.request_timeout());
    shared.upstream.set_connect_timeout(fleet.connect_timeout());
    for pool in shared.pools() {
        pool.set_limits(fleet);
    }
    shared.metrics.config_version.set(i64::try_from(view.version()).unwrap_or(i64::MAX));
    let mut pools = IndexMap::new();
    let mut started = Vec::new();
    for (name, config) in view.document().pools.iter() {
        let known = shared.pool(config.id).filter(|pool| pool.matches(name, config));
        let pool = known.unwrap_or_else(|| {
            let node = shared.settings.node;
            let fleet = &view.document().fleet;
            let pool = Arc::new(Pool::new(name, config, node, shared.incarnation, fleet));
            started.push(Arc::clone(&pool));
            pool
        });
        pools.insert(config.id, pool);
    }
    shared.set_pools(pools);
    for pool in started {
        shared.spawn(Arc::clone(pool.suspects()).run(Arc::clone(shared)));
        shared.spawn(Orders::run(Arc::clone(shared), Arc::clone(&pool)));
        shared.spawn(Arc::clone(&pool).run(Arc::clone(shared)));
    }
    let customers = view.customers();
    for pool in shared.pools() {
        let endpoints = shared.scheduled_endpoints(&view, &pool);
        let granted = shared.granted_endpoints(&view, &endpoints);
        pool.configure(shared, now, endpoints, granted, Some(customers.clone()));
    }
    shared.members_changed();
    log::info!(version = view.version(); "configuration is in force");
}

impl Shared {
    /// How many members this router sees and knows.
    pub(crate) fn membership(&self) -> Membership {
        let member = lock(&self.member);
        Membership { visible: member.visible(), known: member.known() }
    }

    /// Some other members that this router sees, chosen at random.
    fn random_members(&self, count: usize) -> Vec<Node> {
        let member = lock(&self.member);
        let others = member.alive().map(|identity| identity.node);
        let others = others.filter(|&node| node != self.settings.node);
        others.choose_multiple(&mut rand::rng(), count)
    }

    /// Places the owners of all pools and the other roles among the members that this router sees.
    pub(crate) fn members_changed(self: &Arc<Self>) {
        let now = self.clock.now();
        let (visible, known) = {
            let member = lock(&self.member);
            let visible: Vec<_> = member.alive().map(|identity| identity.node).collect();
            (visible, member.known())
        };
        let unreachable = known.saturating_sub(visible.len());
        let gauge = |state: &str, count: usize| {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.members.with_label_values(&[state]).set(count);
        };
        gauge("visible", visible.len());
        gauge("unreachable", unreachable);
        let mut owned_pools = 0;
        for pool in self.pools() {
            let owner = self.owner_of(&pool);
            owned_pools += i64::from(owner == self.settings.node);
            pool.members(self, now, owner, &visible, known);
        }
        self.metrics.owned_pools.set(owned_pools);
        self.claims.members_changed(self);
        members_changed(self);
    }
}
