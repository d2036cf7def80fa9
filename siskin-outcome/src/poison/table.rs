//! Recent crashes of endpoints and the requests that were in flight there.

use {
    super::{Options, Suspect, Verdict, outbox::TimedFact},
    crate::timestamp::Timestamp,
    indexmap::IndexMap,
    siskin_wire::poison::{Crash, Fingerprint, InFlight},
    std::time::Duration,
};

/// Why a request is no longer suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Clearance {
    /// An endpoint completed it.
    Completed,
    /// An operator lifted the suspicion.
    Lifted,
}

/// What is known of one crash.
#[derive(Debug)]
struct Incident {
    at: Timestamp,
    in_flight: Vec<Fingerprint>,
}

/// A request was in flight at a crash.
#[derive(Clone, Copy, Debug)]
struct Involvement {
    crash: Crash,
    /// Whether the request had been dispatched with [`Verdict::RunAlone`].
    alone: bool,
}

#[derive(Debug, Default)]
struct Record {
    involvements: Vec<Involvement>,
    /// When and why the request was last cleared; crashes up to this time no longer count against it.
    cleared: Option<(Timestamp, Clearance)>,
}

#[derive(Debug)]
pub(crate) struct Table {
    suspicion_ttl: Duration,
    provisional_refusal: Duration,
    max_suspects: usize,
    max_crashes: usize,
    crashes: IndexMap<Crash, Incident>,
    suspects: IndexMap<Fingerprint, Record>,
}

impl Table {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            suspicion_ttl: options.suspicion_ttl,
            provisional_refusal: options.provisional_refusal,
            max_suspects: options.max_suspects,
            max_crashes: options.max_crashes,
            crashes: IndexMap::new(),
            suspects: IndexMap::new(),
        }
    }

    pub(crate) const fn set_suspicion_ttl(&mut self, suspicion_ttl: Duration) {
        self.suspicion_ttl = suspicion_ttl;
    }

    /// Records requests in flight at a crash; returns those that were not recorded before.
    pub(crate) fn record_crash(
        &mut self,
        now: Timestamp,
        crash: Crash,
        at: Timestamp,
        in_flight: &[InFlight],
    ) -> Vec<TimedFact> {
        if now.duration_since(at) >= self.crash_retention() || in_flight.is_empty() {
            return Vec::new();
        }
        let crash_record =
            self.crashes.entry(crash).or_insert_with(|| Incident { at, in_flight: Vec::new() });
        crash_record.at = crash_record.at.min(at);
        let at = crash_record.at;
        let mut new = Vec::new();
        for request in in_flight {
            let InFlight { fingerprint, alone } = *request;
            let record = self.suspects.entry(fingerprint).or_default();
            match record.involvements.iter_mut().find(|involvement| involvement.crash == crash) {
                Some(involvement) if involvement.alone || !alone => continue,
                Some(involvement) => involvement.alone = true,
                None => {
                    record.involvements.push(Involvement { crash, alone });
                    crash_record.in_flight.push(fingerprint);
                }
            }
            new.push(*request);
        }
        self.enforce_limits();
        if new.is_empty() {
            return Vec::new();
        }
        vec![TimedFact::Crashed { crash, at, in_flight: new }]
    }

    /// Clears a suspect of all crashes up to `at`; returns the fact if this changed anything.
    pub(crate) fn clear_suspect(
        &mut self,
        at: Timestamp,
        fingerprint: Fingerprint,
        reason: Clearance,
    ) -> Option<TimedFact> {
        let record = self.suspects.get_mut(&fingerprint)?;
        let is_uncleared = |involvement: &Involvement| {
            let crash_record = self.crashes.get(&involvement.crash);
            let not_cleared = |crash_record: &Incident| {
                record.cleared.is_none_or(|(cleared, _)| crash_record.at > cleared)
            };
            crash_record
                .is_some_and(|crash_record| crash_record.at <= at && not_cleared(crash_record))
        };
        if !record.involvements.iter().any(is_uncleared) {
            return None;
        }
        record.cleared = Some((at, reason));
        Some(TimedFact::Cleared { fingerprint, at, reason })
    }

    pub(crate) fn decide_verdict(&self, now: Timestamp, fingerprint: &Fingerprint) -> Verdict {
        let Some(record) = self.suspects.get(fingerprint) else { return Verdict::Run };
        let involvements = self.uncleared_crashes(record);
        let recent = |at: Timestamp| now.duration_since(at) < self.suspicion_ttl;
        if !involvements.iter().any(|(_, at)| recent(*at)) {
            return Verdict::Run;
        }
        // A crash counts as the second one if the request was already a suspect because of another crash at that
        // time, even if that suspicion has expired since.
        let was_already_suspect = |involvement: &Involvement, at: Timestamp| {
            let mut others =
                involvements.iter().filter(|(other, _)| other.crash != involvement.crash);
            others.any(|(_, other_at)| at.duration_since(*other_at) < self.suspicion_ttl)
        };
        let second_crash = involvements
            .iter()
            .filter(|(involvement, at)| {
                recent(*at) && involvement.alone && was_already_suspect(involvement, *at)
            })
            .filter(|(involvement, at)| self.was_sole_suspect(&involvement.crash, *at, fingerprint))
            .map(|(_, at)| *at)
            .max();
        let Some(at) = second_crash else { return Verdict::RunAlone };
        let age = now.duration_since(at);
        let until = if age < self.provisional_refusal {
            self.provisional_refusal
        } else {
            self.suspicion_ttl
        };
        Verdict::Refuse { retry_after: until.saturating_sub(age) }
    }

    /// Crashes since the request was last cleared, with their times.
    fn uncleared_crashes(&self, record: &Record) -> Vec<(Involvement, Timestamp)> {
        let times = record.involvements.iter().filter_map(|involvement| {
            let crash_record = self.crashes.get(&involvement.crash)?;
            Some((*involvement, crash_record.at))
        });
        times.filter(|(_, at)| record.cleared.is_none_or(|(cleared, _)| *at > cleared)).collect()
    }

    /// Whether no other request in flight at the crash was a suspect at that time.
    fn was_sole_suspect(&self, crash: &Crash, at: Timestamp, fingerprint: &Fingerprint) -> bool {
        let Some(crash_record) = self.crashes.get(crash) else { return false };
        let mut others = crash_record.in_flight.iter().filter(|other| *other != fingerprint);
        !others.any(|other| self.was_suspect_at(crash, at, other))
    }

    /// Whether a request in flight at a crash was a suspect then, whether or not its router knew.
    fn was_suspect_at(&self, crash: &Crash, at: Timestamp, fingerprint: &Fingerprint) -> bool {
        let Some(record) = self.suspects.get(fingerprint) else { return false };
        // Only the last clearance is stored. If it is later than the crash, an earlier one may have been replaced;
        // the request then counts as a suspect, which gives the other request the benefit of the doubt.
        let cleared = record.cleared.map(|(cleared, _)| cleared).filter(|cleared| *cleared <= at);
        record.involvements.iter().any(|involvement| {
            if involvement.crash == *crash {
                return involvement.alone;
            }
            let Some(crash_record) = self.crashes.get(&involvement.crash) else { return false };
            crash_record.at <= at
                && at.duration_since(crash_record.at) < self.suspicion_ttl
                && cleared.is_none_or(|cleared| crash_record.at > cleared)
        })
    }

    pub(crate) fn list_suspects(&self, now: Timestamp) -> Vec<Suspect> {
        let listed = self.suspects.iter().filter_map(|(fingerprint, record)| {
            let involvements = self.uncleared_crashes(record);
            let crash_count = involvements
                .iter()
                .filter(|(_, at)| now.duration_since(*at) < self.suspicion_ttl)
                .count();
            let verdict = self.decide_verdict(now, fingerprint);
            (crash_count > 0).then_some(Suspect {
                fingerprint: *fingerprint,
                crashes: crash_count,
                verdict,
            })
        });
        listed.collect()
    }

    /// All recorded crashes and clearances.
    pub(crate) fn all_facts(&self) -> Vec<TimedFact> {
        let crash_facts = self.crashes.iter().map(|(crash, crash_record)| TimedFact::Crashed {
            crash: *crash,
            at: crash_record.at,
            in_flight: self.in_flight_at(crash, crash_record),
        });
        let cleared_facts = self.suspects.iter().filter_map(|(fingerprint, record)| {
            let (at, reason) = record.cleared?;
            Some(TimedFact::Cleared { fingerprint: *fingerprint, at, reason })
        });
        crash_facts.chain(cleared_facts).collect()
    }

    fn in_flight_at(&self, crash: &Crash, crash_record: &Incident) -> Vec<InFlight> {
        let requests = crash_record.in_flight.iter().filter_map(|fingerprint| {
            let involvements = &self.suspects.get(fingerprint)?.involvements;
            let involvement =
                involvements.iter().find(|involvement| involvement.crash == *crash)?;
            Some(InFlight { fingerprint: *fingerprint, alone: involvement.alone })
        });
        requests.collect()
    }

    /// How long a crash is kept. A refusal lasts for `suspicion_ttl` after the second crash, and its check needs the
    /// first crash, which may be older by up to another `suspicion_ttl`.
    fn crash_retention(&self) -> Duration {
        self.suspicion_ttl * 2
    }

    /// Removes crashes after their retention time, and suspects without a remaining crash.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        let retention = self.crash_retention();
        let before = self.crashes.len();
        self.crashes.retain(|_, crash_record| now.duration_since(crash_record.at) < retention);
        if self.crashes.len() < before {
            self.remove_dangling_involvements();
        }
    }

    fn remove_dangling_involvements(&mut self) {
        let crashes = &self.crashes;
        self.suspects.retain(|_, record| {
            record.involvements.retain(|involvement| crashes.contains_key(&involvement.crash));
            !record.involvements.is_empty()
        });
    }

    /// Evicts the oldest crash or some suspects if a limit is exceeded.
    fn enforce_limits(&mut self) {
        if self.crashes.len() > self.max_crashes {
            let oldest = self.crashes.iter().min_by_key(|(_, crash_record)| crash_record.at);
            if let Some(crash) = oldest.map(|(crash, _)| *crash) {
                self.crashes.swap_remove(&crash);
                self.remove_dangling_involvements();
            }
        }
        if self.suspects.len() > self.max_suspects {
            self.evict_suspects();
        }
    }

    /// Evicts an eighth of the suspects at once, so that the sort is rarely needed.
    fn evict_suspects(&mut self) {
        let target_len = self.max_suspects - self.max_suspects / 8;
        let mut eviction_order: Vec<_> = self
            .suspects
            .iter()
            .map(|(fingerprint, record)| {
                let involvements = record.involvements.iter();
                let crashes =
                    involvements.filter_map(|involvement| self.crashes.get(&involvement.crash));
                let latest = crashes.map(|crash_record| crash_record.at).max();
                let has_several_crashes = record.involvements.len() > 1;
                (record.cleared.is_none(), has_several_crashes, latest, *fingerprint)
            })
            .collect();
        eviction_order.sort_unstable();
        let excess = self.suspects.len() - target_len;
        let evicted: indexmap::IndexSet<_> = eviction_order
            .into_iter()
            .take(excess)
            .map(|(_, _, _, fingerprint)| fingerprint)
            .collect();
        self.suspects.retain(|fingerprint, _| !evicted.contains(fingerprint));
        for crash_record in self.crashes.values_mut() {
            crash_record.in_flight.retain(|fingerprint| !evicted.contains(fingerprint));
        }
    }
}
