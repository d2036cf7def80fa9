//! A side that may serve an old version rules out a side that accepts a newer one.

use crate::fleet::{Fault, check, pairs};

/// Guards against a side that serves an old version while another accepts patches.
#[test]
fn partition() {
    let table = pairs(Fault::Partition);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.unavailable > 0, "no patch was refused in a minority: {report:?}");
}
