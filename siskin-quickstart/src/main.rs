//! siskin-quickstart.
fn main() {}
