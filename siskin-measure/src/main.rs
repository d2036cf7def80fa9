//! siskin-measure.
fn main() {}
