//! The platform's list of VMs, which may be out of date and in which entries may flap.

use {
    indexmap::{IndexMap, IndexSet},
    siskin_types::time::Instant,
    std::{net::IpAddr, time::Duration},
};

/// A VM on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Address of the VM.
    pub address: IpAddr,
    /// The platform is about to stop the VM. This does not affect membership until the VM is no longer listed.
    pub leaving: bool,
}

/// The last list, and the addresses that the platform has dropped from it.
#[derive(Debug, Default)]
pub(crate) struct List {
    present: IndexSet<IpAddr>,
    /// When each dropped address was first missing.
    dropped: IndexMap<IpAddr, Instant>,
}

impl List {
    /// Replaces the list and forgets addresses that were dropped longer than `keep` ago. An empty list is ignored: it
    /// is a fault of the platform, because a correct list has at least the own VM.
    pub(crate) fn replace(&mut self, now: Instant, list: &[Listed], keep: Duration) {
        if list.is_empty() {
            return;
        }
        let present: IndexSet<_> = list.iter().map(|listed| listed.address).collect();
        for address in self.present.difference(&present) {
            self.dropped.insert(*address, now);
        }
        self.dropped.retain(|address, since| !present.contains(address) && now - *since < keep);
        self.present = present;
    }

    /// Whether an address was listed and has been missing for `grace`. An address that was never listed does not count,
    /// because its VM may be newer than the list.
    pub(crate) fn is_dropped(&self, now: Instant, address: IpAddr, grace: Duration) -> bool {
        self.dropped.get(&address).is_some_and(|since| now - *since >= grace)
    }
}
