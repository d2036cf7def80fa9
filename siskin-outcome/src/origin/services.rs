//! The versions of all services, as listed and as noted.

use {
    super::{Note, note::Noted, versions::Versions},
    indexmap::IndexMap,
    siskin_types::time::Instant,
    std::time::Duration,
};

#[derive(Debug, Default)]
struct Service {
    listed: Versions,
    noted: Noted,
}

impl Service {
    /// All versions that can have begun a stream that may still be continued, some of them twice.
    fn versions(&self, now: Instant, retention: Duration) -> impl Iterator<Item = &str> {
        self.listed.in_effect(now, retention).chain(self.noted.versions())
    }

    fn is_mixed(&self, now: Instant, retention: Duration) -> bool {
        if self.noted.is_unreadable() || self.listed.has_unknown(now, retention) {
            return true;
        }
        let mut versions = self.versions(now, retention);
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }
}

/// Versions by service.
#[derive(Debug, Default)]
pub(super) struct Services {
    known: IndexMap<String, Service>,
    /// Number of the last list.
    list: u64,
    has_all_notes: bool,
    /// Whether a noted version may be absent without this having been observed yet.
    must_observe: bool,
}

impl Services {
    pub(super) fn set_listed<'a>(
        &mut self,
        now: Instant,
        retention: Duration,
        listed: impl IntoIterator<Item = (&'a str, Option<&'a str>)>,
    ) {
        self.list += 1;
        for (service, version) in listed {
            let list = self.list;
            self.service_mut(service).listed.list(list, version);
        }
        for service in self.known.values_mut() {
            service.listed.end_list(now, retention, self.list);
        }
        self.known.retain(|_, service| !(service.listed.is_empty() && service.noted.is_empty()));
        self.must_observe = true;
        self.observe(now);
    }

    pub(super) const fn set_notes_complete(&mut self) {
        self.has_all_notes = true;
        self.must_observe = true;
    }

    pub(super) fn set_note(&mut self, service: &str, versions: Option<Vec<String>>) {
        self.service_mut(service).noted.set(versions);
        self.must_observe = true;
    }

    /// Begins or ends the absence of noted versions, if there are complete notes and a list to compare.
    pub(super) fn observe(&mut self, now: Instant) {
        if !(self.must_observe && self.has_all_notes && self.list > 0) {
            return;
        }
        self.must_observe = false;
        for service in self.known.values_mut() {
            service.noted.observe(now, &service.listed);
        }
    }

    pub(super) fn due_notes(&self, now: Instant, retention: Duration) -> Vec<Note> {
        if !self.has_all_notes {
            return Vec::new();
        }
        let due = |(name, service): (&String, &Service)| {
            let versions = service.noted.replacement(now, retention, &service.listed)?;
            Some(Note { service: name.clone(), versions })
        };
        self.known.iter().filter_map(due).collect()
    }

    pub(super) fn is_mixed(&self, now: Instant, retention: Duration, service: &str) -> bool {
        let is_mixed = |service: &Service| service.is_mixed(now, retention);
        !self.has_all_notes || self.known.get(service).is_some_and(is_mixed)
    }

    pub(super) fn any_mixed(&self, now: Instant, retention: Duration) -> bool {
        let mut services = self.known.values();
        !self.has_all_notes || services.any(|service| service.is_mixed(now, retention))
    }

    /// Whether a version of a service is in effect or noted.
    pub(super) fn has(
        &self,
        now: Instant,
        retention: Duration,
        service: &str,
        version: &str,
    ) -> bool {
        let service = self.known.get(service);
        service.is_some_and(|it| it.versions(now, retention).any(|known| known == version))
    }

    fn service_mut(&mut self, name: &str) -> &mut Service {
        // Most services are known, so the name is copied only if it has to be.
        if !self.known.contains_key(name) {
            self.known.insert(name.to_owned(), Service::default());
        }
        &mut self.known[name]
    }
}
