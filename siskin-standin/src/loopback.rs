//! Addresses of the loopback network that no other server uses.

use std::{
    net::{IpAddr, Ipv4Addr},
    process,
    sync::atomic::{AtomicU8, Ordering},
};

/// First of the 64 values of the second octet that are used.
const SECOND_OCTET: u8 = 64;

/// Addresses used within a process before the first one is used again.
const ADDRESSES: u8 = 254;

/// An address for the servers of one test site, different from those of other sites and processes.
///
/// A port that is closed on a shared address can be given to the next server that asks for any port,
/// which then answers in place of the closed one. Only Linux accepts all addresses of the loopback
/// network without set-up; other systems get the usual address.
///
/// ```
/// let address = siskin_standin::loopback::address();
/// assert!(address.is_loopback());
/// ```
#[must_use]
pub fn address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    if !cfg!(target_os = "linux") {
        return Ipv4Addr::LOCALHOST.into();
    }
    let [_, _, high, low] = process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % ADDRESSES + 1;
    Ipv4Addr::new(127, SECOND_OCTET + high % 64, low, number).into()
}
