//! Of racing operators one wins, and stale patches are refused.

use crate::fleet::{Fault, check, pairs};

/// Guards against a stale patch that is applied.
#[test]
fn stale_patch() {
    let table = pairs(Fault::StalePatch);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.stale > 0, "no patch was stale: {report:?}");
}

/// Guards against two winners for one version.
#[test]
fn race() {
    let table = pairs(Fault::Race);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.stale > 0, "no race took place: {report:?}");
}
