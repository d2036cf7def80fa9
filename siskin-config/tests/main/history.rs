//! Versions never decrease, and every accepted patch comes into force at every reachable router.

use crate::fleet::{Fault, Report, check, fault_pairs};

fn run(first: Fault) -> Report {
    let table = fault_pairs(first);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.accepted > 0, "no patch was accepted: {report:?}");
    report
}

/// Guards against errors of the follower in the absence of faults.
#[test]
fn without_faults() {
    let report = check(&[&[]], 8);
    assert!(report.accepted > 100 && report.unavailable == 0, "{report:?}");
}

/// Guards against missed entries when a watch drops, duplicates or reorders events.
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
