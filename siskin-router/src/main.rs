//! siskin-router.
fn main() {}
