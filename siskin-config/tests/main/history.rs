//! Versions never go down and every reachable router has every accepted patch in force.

use crate::fleet::{Fault, Report, check, pairs};

fn run(first: Fault) -> Report {
    let table = pairs(first);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.accepted > 0, "no patch was accepted: {report:?}");
    report
}

/// Guards against a follower that goes wrong without any fault.
#[test]
fn without_faults() {
    let report = check(&[&[]], 8);
    assert!(report.accepted > 100 && report.unavailable == 0, "{report:?}");
}

/// Guards against entries being missed when a watch drops, repeats or reorders its events.
#[test]
fn bad_watch() {
    run(Fault::BadWatch);
}

/// Guards against a restarted router that serves before it is up to date.
#[test]
fn restart() {
    let report = run(Fault::Restart);
    assert!(report.snapshots > 0 && report.pieces > 0, "no snapshot was used: {report:?}");
}
