//! Lost answers of the store: patches are neither lost nor applied twice.

use crate::fleet::{Fault, check, fault_pairs};

/// Guards against reporting a patch as refused although its entry was created.
#[test]
fn lost_answer() {
    let table = fault_pairs(Fault::LostAnswer);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.accepted > 0, "no patch was accepted: {report:?}");
}
