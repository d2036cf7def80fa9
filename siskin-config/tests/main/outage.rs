//! The store is down, or comes back with an older state.

use {
    crate::fleet::{Fault, check, pairs},
    siskin_config::{
        follower::{Action, Follower, Options, Refusal, Serving, View},
        store::Answer,
    },
    siskin_types::{id, time::Instant},
    siskin_wire::config::Announcement,
};

/// Guards against patches that are accepted or lost while the store is down.
#[test]
fn outage() {
    let table = pairs(Fault::Outage);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.unavailable > 0, "no patch was refused during an outage: {report:?}");
}

/// Guards against accepted entries that are lost with the state of the store.
#[test]
fn rollback() {
    let report = check(&[&[Fault::Rollback]], 8);
    assert!(report.accepted > 0 && report.repairs > 0, "nothing was repaired: {report:?}");
}

/// Guards against a router that serves without a configuration, and against one that cannot start
/// while the store is down although peers could help it.
#[test]
fn start_without_the_store() {
    let view = View { visible: 2, known: 2 };
    let mut alone = Follower::new(Options { seed: 1, ..Options::default() });
    let second = |seconds: u64| Instant::from_micros(seconds * 1_000_000);
    for seconds in 0..30 {
        for action in alone.tick(second(seconds)) {
            if let Action::Store(call) = action {
                alone.stored(second(seconds), call.number, Answer::Unknown);
            }
        }
        let serving = alone.serving(second(seconds), false, view);
        assert_eq!(serving, Serving::Refuse(Refusal::NotReady), "after {seconds} s");
    }
    // A peer at the same version, which has loaded the configuration, is enough.
    let announcement = Announcement { ready: true, ..alone.announcement(second(30)) };
    alone.announced(second(30), id::Node(2), &announcement);
    assert_eq!(alone.serving(second(30), false, view), Serving::Serve);
}

/// Guards against a router that stops too early or too late when it is isolated.
#[test]
fn isolation() {
    struct Case {
        name: &'static str,
        store: bool,
        visible: usize,
        want: Serving,
    }
    let isolated = Serving::Refuse(Refusal::Isolated);
    let cases = [
        Case { name: "store and nobody else", store: true, visible: 1, want: Serving::Serve },
        Case { name: "no store, half", store: false, visible: 3, want: Serving::Serve },
        Case { name: "no store, less than half", store: false, visible: 2, want: isolated },
    ];
    for Case { name, store, visible, want } in cases {
        let mut follower = Follower::new(Options { seed: 1, ..Options::default() });
        let announcement = Announcement { ready: true, ..follower.announcement(Instant::ZERO) };
        follower.announced(Instant::ZERO, id::Node(2), &announcement);
        let view = View { visible, known: 6 };
        let grace = [0, 1_000_000, 2_999_000].map(Instant::from_micros);
        for now in grace {
            assert_eq!(follower.serving(now, store, view), Serving::Serve, "{name} at {now:?}");
        }
        let late = Instant::from_micros(3_000_000);
        assert_eq!(follower.serving(late, store, view), want, "{name} after 3 s");
        let joined = View { visible: 4, known: 6 };
        assert_eq!(follower.serving(late, false, joined), Serving::Serve, "{name}, rejoined");
    }
}
