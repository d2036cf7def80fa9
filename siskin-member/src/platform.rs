//! The platform's list of VMs, which lags behind reality and may flap.

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
    /// The platform is about to stop it. Until it has dropped it, this makes no difference to membership.
    pub leaving: bool,
}

/// Which addresses the platform has dropped.
#[derive(Debug, Default)]
pub(crate) struct List {
    present: IndexSet<IpAddr>,
    dropped: IndexMap<IpAddr, Instant>,
}

impl List {
    /// Takes a new list over. An empty one is a fault of the platform, because it lists the own VM too.
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

    /// Whether an address was listed and has been missing for `grace`. One that was never listed may be newer than
    /// the list.
    pub(crate) fn dropped(&self, now: Instant, address: IpAddr, grace: Duration) -> bool {
        self.dropped.get(&address).is_some_and(|since| now - *since >= grace)
    }
}
