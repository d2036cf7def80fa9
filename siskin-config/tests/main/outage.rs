//! Outages of the store and rollbacks to an older state.

use {
    crate::{
        fleet::{Fault, check, fault_pairs},
        store::Store,
    },
    siskin_config::{
        entry,
        follower::{Action, Follower, Options, Refusal, Serving, View},
        patch::Patch,
        store::{Answer, Call},
        submit::{self, Submission},
    },
    siskin_types::{id, time::Instant},
    siskin_wire::config::Announcement,
    std::{sync::Arc, time::Duration},
};

/// Guards against patches being accepted or lost while the store is down.
#[test]
fn outage() {
    let table = fault_pairs(Fault::Outage);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.unavailable > 0, "no patch was refused during an outage: {report:?}");
}

/// Guards against losing accepted entries when the store is rolled back.
#[test]
fn rollback() {
    let report = check(&[&[Fault::Rollback]], 8);
    assert!(report.accepted > 0 && report.repairs > 0, "nothing was repaired: {report:?}");
}

/// Guards against a router that serves without a configuration, and against one that cannot start
/// while the store is down although a peer has the configuration.
#[test]
fn start_without_the_store() {
    let view = View { visible: 2, known: 2 };
    let mut router = Follower::new(Options { seed: 1, ..Options::default() });
    let second = |seconds: u64| Instant::from_micros(seconds * 1_000_000);
    for seconds in 0..30 {
        for action in router.tick(second(seconds)) {
            if let Action::Store(call) = action {
                router.receive_answer(second(seconds), call.number, Answer::Unknown);
            }
        }
        let serving = router.serving(second(seconds), false, view);
        assert_eq!(serving, Serving::Refuse(Refusal::NotReady), "after {seconds} s");
    }
    // The announcement of a peer that has loaded the same version suffices.
    let announcement = Announcement { ready: true, ..router.announcement(second(30)) };
    router.receive_announcement(second(30), id::Node(2), &announcement);
    assert_eq!(router.serving(second(30), false, view), Serving::Serve);
}

/// Guards against an isolated router that stops serving too early or too late.
#[test]
fn isolation() {
    struct Case {
        name: &'static str,
        store: bool,
        visible: usize,
        /// Whether the router holds an undecided entry.
        undecided: bool,
        want: Serving,
    }
    let case =
        |name, store, visible, undecided, want| Case { name, store, visible, undecided, want };
    let isolated = Serving::Refuse(Refusal::Isolated);
    let cases = [
        case("store and nobody else", true, 1, false, Serving::Serve),
        case("no store, half", false, 3, false, Serving::Serve),
        case("no store, less than half", false, 2, false, isolated),
        case("undecided, store, half", true, 3, true, isolated),
        case("undecided, no store, half", false, 3, true, isolated),
        case("undecided, store, more than half", true, 4, true, Serving::Serve),
        case("undecided, no store, more than half", false, 4, true, Serving::Serve),
    ];
    let first = first_entry();
    for Case { name, store, visible, undecided, want } in cases {
        let mut follower = Follower::new(Options { seed: 1, ..Options::default() });
        let announcement = Announcement { ready: true, ..follower.announcement(Instant::ZERO) };
        follower.receive_announcement(Instant::ZERO, id::Node(2), &announcement);
        if undecided {
            follower.members(Instant::ZERO, id::Node(1), vec![id::Node(1), id::Node(2)], 6);
            follower.receive_entry(Instant::ZERO, 1, &first).unwrap();
            assert_eq!((follower.version(), follower.newest()), (0, 1), "{name}");
        }
        let view = View { visible, known: 6 };
        let grace = [0, 1_000_000, 2_999_000].map(Instant::from_micros);
        let short = undecided && !store;
        for now in grace.into_iter().take(if short { 2 } else { 3 }) {
            assert_eq!(follower.serving(now, store, view), Serving::Serve, "{name} at {now:?}");
        }
        let late = Instant::from_micros(3_000_000);
        assert_eq!(follower.serving(late, store, view), want, "{name} after 3 s");
        let joined = View { visible: 4, known: 6 };
        assert_eq!(follower.serving(late, false, joined), Serving::Serve, "{name}, rejoined");
    }
}

/// The bytes of an entry of version 1.
fn first_entry() -> Arc<[u8]> {
    let mut router = Router::new(Store::default());
    router.advance(1);
    router.submit("p1").unwrap();
    Arc::clone(router.follower.history().bytes(1).unwrap())
}

/// The only router of a fleet, with a store that answers immediately.
pub(crate) struct Router {
    pub(crate) follower: Follower,
    pub(crate) store: Store,
    pub(crate) now: Instant,
}

impl Router {
    pub(crate) fn new(store: Store) -> Self {
        let mut follower = Follower::new(Options { seed: 1, snapshot_interval: 8 });
        follower.members(Instant::ZERO, id::Node(1), vec![id::Node(1)], 1);
        follower.set_watcher_rank(Instant::ZERO, Some(0));
        Self { follower, store, now: Instant::ZERO }
    }

    pub(crate) fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now = self.now + Duration::from_millis(100);
            let mut actions = self.follower.tick(self.now);
            while let Some(call) = actions.iter().find_map(store_call) {
                let (answer, _) = self.store.execute(&call.request);
                actions = self.follower.receive_answer(self.now, call.number, answer);
            }
        }
    }

    /// Submits a patch whose changes are derived from its identifier, so that it can be sent again.
    pub(crate) fn submit(&mut self, id: &str) -> Result<submit::Accepted, submit::Refusal> {
        let number: u64 = id[1..].parse().unwrap();
        self.submit_changes(id, &serde_json::json!({ "fleet": { "poison_expiry_s": number } }))
    }

    fn submit_changes(
        &mut self,
        id: &str,
        changes: &serde_json::Value,
    ) -> Result<submit::Accepted, submit::Refusal> {
        let base = self.follower.version();
        let changes = changes.clone();
        let patch = Patch { id: id.to_owned(), base, author: "ann".to_owned(), changes };
        let options = submit::Options { patch, time_ms: 0 };
        let view = View { visible: 1, known: 1 };
        let (mut submission, mut actions) =
            Submission::start(self.now, options, &mut self.follower, view);
        loop {
            let step = actions.into_iter().find_map(|action| match action {
                submit::Action::Store(call) => Some(Ok(call)),
                submit::Action::Finish(result) => Some(Err(result)),
                submit::Action::Follower(_) => None,
            });
            match step.expect("the submission is still in progress") {
                Err(result) => return result,
                Ok(call) => {
                    let (answer, _) = self.store.execute(&call.request);
                    actions = submission.receive_answer(
                        self.now,
                        &mut self.follower,
                        view,
                        call.number,
                        answer,
                    );
                }
            }
        }
    }
}

fn store_call(action: &Action) -> Option<Call> {
    if let Action::Store(call) = action { Some(call.clone()) } else { None }
}

/// Guards against accepting patches while the store and a router hold different histories, and against
/// reporting a divergence after an operator has resolved it.
#[test]
fn divergence() {
    let mut router = Router::new(Store::default());
    router.advance(1);
    for version in 1..=3 {
        assert_eq!(router.submit(&format!("p{version}")).unwrap().version, version);
    }
    let other = router.store.keys[&entry::key(2)].clone();
    let ours = router.store.keys.insert(entry::key(3), other).unwrap();
    router.advance(3);
    let alarms = router.follower.alarms(router.now);
    assert!(alarms.iter().any(|alarm| alarm.contains("version 3 differs")), "{alarms:?}");
    let refusal = router.submit("p4").unwrap_err();
    assert!(matches!(refusal, submit::Refusal::Diverged(Some(_))), "{refusal}");
    assert_eq!(
        router.submit("p3").unwrap().version,
        3,
        "a repeated patch returns its first result"
    );

    router.store.keys.remove(&entry::key(3));
    router.advance(15);
    assert_eq!(router.store.keys[&entry::key(3)].0, ours.0, "the entry is created again");
    assert_eq!(router.follower.alarms(router.now), [""; 0]);
    assert_eq!(router.submit("p4").unwrap().version, 4);
}

/// Guards against a failed repair when the store lost more entries than a router keeps in memory, and
/// against a snapshot from which a new router cannot start.
#[test]
fn store_lost_everything() {
    let mut router = Router::new(Store::default());
    router.advance(1);
    for version in 1..=40 {
        assert_eq!(router.submit(&format!("p{version}")).unwrap().version, version);
        router.advance(1);
    }
    let base = router.store.head().map_or(0, |head| head.version);
    assert!(base > 24, "the last snapshot is of version {base}");
    assert!(!router.store.keys.contains_key(&entry::key(1)), "old entries are still in the log");
    router.store = Store::default();
    router.advance(5);
    assert_eq!(router.submit("p41").unwrap().version, 41);

    let mut restarted = Router::new(router.store.clone());
    restarted.advance(5);
    assert!(restarted.follower.ready());
    assert_eq!(restarted.follower.state().hash, router.follower.state().hash);
    assert_eq!(
        restarted.submit("p41").unwrap().version,
        41,
        "a repeated patch returns its first result"
    );
    let other = serde_json::json!({ "fleet": { "poison_expiry_s": 7 } });
    let refusal = restarted.submit_changes("p41", &other).unwrap_err();
    let expected = "id is 'p41', which is refused; the identifier belongs to the patch that led to \
                version 41 with other changes; use a new identifier";
    assert_eq!(
        refusal.to_string(),
        expected,
        "a repeated patch from a snapshot is checked by its changes"
    );
    assert_eq!(restarted.submit("p42").unwrap().version, 42);
}
