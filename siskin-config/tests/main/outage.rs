//! The store is down, or comes back with an older state.

use crate::fleet::{Fault, check, pairs};

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
    assert!(report.accepted > 0, "no patch was accepted: {report:?}");
}
