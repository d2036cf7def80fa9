//! End-to-end tests through real sockets: what callers are told against what the endpoints really ran.

mod claims;
mod leaving;
mod operators;
mod orders;
mod outcomes;
mod poison;
mod stop;
mod support;
