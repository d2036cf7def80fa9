//! A lost answer of the store neither loses a patch nor applies it twice.

use crate::fleet::{Fault, check, pairs};

/// Guards against a patch that is reported as refused although its entry was created.
#[test]
fn lost_answer() {
    let table = pairs(Fault::LostAnswer);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.accepted > 0, "no patch was accepted: {report:?}");
}
