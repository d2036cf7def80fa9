//! Crashes and the requests that were in flight at them.

use {
    super::{Options, Suspect, Verdict, outbox::Note},
    indexmap::IndexMap,
    siskin_types::time::Instant,
    siskin_wire::poison::{Crash, Fingerprint, InFlight},
    std::time::Duration,
};

/// Microseconds by this process's clock. Negative for what happened before the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Time(i64);

impl From<Instant> for Time {
    fn from(instant: Instant) -> Self {
        Self(i64::try_from(instant.as_micros()).unwrap_or(i64::MAX))
    }
}

impl Time {
    pub(crate) fn minus_ms(self, ms: u32) -> Self {
        Self(self.0.saturating_sub(i64::from(ms) * 1_000))
    }

    pub(crate) fn age_ms(self, earlier: Self) -> u32 {
        u32::try_from(self.age(earlier).as_millis()).unwrap_or(u32::MAX)
    }

    fn age(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

/// Why a request is no longer suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// It was completed.
    Cleared,
    /// An operator decided so.
    Lifted,
}

#[derive(Debug)]
struct Incident {
    at: Time,
    in_flight: Vec<Fingerprint>,
}

#[derive(Clone, Copy, Debug)]
struct Strike {
    crash: Crash,
    /// Whether the request had been dispatched as the only suspect.
    alone: bool,
}

#[derive(Debug, Default)]
struct Record {
    strikes: Vec<Strike>,
    /// Crashes before this time do not count.
    cleared: Option<(Time, Change)>,
}

#[derive(Debug)]
pub(crate) struct Table {
    hold: Duration,
    settle: Duration,
    max_suspects: usize,
    max_crashes: usize,
    incidents: IndexMap<Crash, Incident>,
    records: IndexMap<Fingerprint, Record>,
}

impl Table {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            hold: options.hold,
            settle: options.settle,
            max_suspects: options.max_suspects,
            max_crashes: options.max_crashes,
            incidents: IndexMap::new(),
            records: IndexMap::new(),
        }
    }

    pub(crate) const fn set_hold(&mut self, hold: Duration) {
        self.hold = hold;
    }

    /// Adds requests in flight at a crash; returns what was not known.
    pub(crate) fn struck(
        &mut self,
        now: Time,
        crash: Crash,
        at: Time,
        in_flight: &[InFlight],
    ) -> Vec<Note> {
        if now.age(at) >= self.kept() || in_flight.is_empty() {
            return Vec::new();
        }
        let incident =
            self.incidents.entry(crash).or_insert_with(|| Incident { at, in_flight: Vec::new() });
        incident.at = incident.at.min(at);
        let at = incident.at;
        let mut new = Vec::new();
        for request in in_flight {
            let InFlight { fingerprint, alone } = *request;
            let record = self.records.entry(fingerprint).or_default();
            match record.strikes.iter_mut().find(|strike| strike.crash == crash) {
                Some(strike) if strike.alone || !alone => continue,
                Some(strike) => strike.alone = true,
                None => {
                    record.strikes.push(Strike { crash, alone });
                    incident.in_flight.push(fingerprint);
                }
            }
            new.push(*request);
        }
        self.evict();
        if new.is_empty() {
            return Vec::new();
        }
        vec![Note::Struck { crash, at, in_flight: new }]
    }

    /// Clears a suspect of all crashes before `at`; returns that if it was not known.
    pub(crate) fn cleared(
        &mut self,
        at: Time,
        fingerprint: Fingerprint,
        change: Change,
    ) -> Option<Note> {
        let record = self.records.get_mut(&fingerprint)?;
        let counts = |strike: &Strike| {
            let incident = self.incidents.get(&strike.crash);
            let open = |incident: &Incident| record.cleared.is_none_or(|(t, _)| incident.at > t);
            incident.is_some_and(|incident| incident.at <= at && open(incident))
        };
        if !record.strikes.iter().any(counts) {
            return None;
        }
        record.cleared = Some((at, change));
        Some(Note::Cleared { fingerprint, at, change })
    }

    pub(crate) fn verdict(&self, now: Time, fingerprint: &Fingerprint) -> Verdict {
        let Some(record) = self.records.get(fingerprint) else { return Verdict::Run };
        let strikes = self.uncleared(record);
        let recent = |at: Time| now.age(at) < self.hold;
        if !strikes.iter().any(|(_, at)| recent(*at)) {
            return Verdict::Run;
        }
        // A crash counts as the second one if the request was a suspect because of another one at that time,
        // whether or not that suspicion has ended since.
        let earlier = |strike: &Strike, at: Time| {
            let mut others = strikes.iter().filter(|(other, _)| other.crash != strike.crash);
            others.any(|(_, other_at)| at.age(*other_at) < self.hold)
        };
        let convicting = strikes
            .iter()
            .filter(|(strike, at)| recent(*at) && strike.alone && earlier(strike, *at))
            .filter(|(strike, at)| self.sole(&strike.crash, *at, fingerprint))
            .map(|(_, at)| *at)
            .max();
        let Some(at) = convicting else { return Verdict::RunAlone };
        let age = now.age(at);
        let until = if age < self.settle { self.settle } else { self.hold };
        Verdict::Refuse { retry_after: until.saturating_sub(age) }
    }

    /// Crashes since a request was last cleared.
    fn uncleared(&self, record: &Record) -> Vec<(Strike, Time)> {
        let times = record.strikes.iter().filter_map(|strike| {
            let incident = self.incidents.get(&strike.crash)?;
            Some((*strike, incident.at))
        });
        times.filter(|(_, at)| record.cleared.is_none_or(|(cleared, _)| *at > cleared)).collect()
    }

    /// Whether no other request in flight at the crash was a suspect at that time.
    fn sole(&self, crash: &Crash, at: Time, fingerprint: &Fingerprint) -> bool {
        let Some(incident) = self.incidents.get(crash) else { return false };
        let mut others = incident.in_flight.iter().filter(|other| *other != fingerprint);
        !others.any(|other| self.suspect_at(crash, at, other))
    }

    /// Whether a request in flight at a crash was a suspect, known to its router or not.
    fn suspect_at(&self, crash: &Crash, at: Time, fingerprint: &Fingerprint) -> bool {
        let Some(record) = self.records.get(fingerprint) else { return false };
        // A later clearance does not tell whether it was cleared before; the doubt is for the other request.
        let cleared = record.cleared.map(|(cleared, _)| cleared).filter(|cleared| *cleared <= at);
        record.strikes.iter().any(|strike| {
            if strike.crash == *crash {
                return strike.alone;
            }
            let Some(incident) = self.incidents.get(&strike.crash) else { return false };
            incident.at <= at
                && at.age(incident.at) < self.hold
                && cleared.is_none_or(|cleared| incident.at > cleared)
        })
    }

    pub(crate) fn list(&self, now: Time) -> Vec<Suspect> {
        let suspects = self.records.iter().filter_map(|(fingerprint, record)| {
            let strikes = self.uncleared(record);
            let crashes = strikes.iter().filter(|(_, at)| now.age(*at) < self.hold).count();
            let verdict = self.verdict(now, fingerprint);
            (crashes > 0).then_some(Suspect { fingerprint: *fingerprint, crashes, verdict })
        });
        suspects.collect()
    }

    /// Everything that is known.
    pub(crate) fn notes(&self) -> Vec<Note> {
        let struck = self.incidents.iter().map(|(crash, incident)| Note::Struck {
            crash: *crash,
            at: incident.at,
            in_flight: self.in_flight(crash, incident),
        });
        let cleared = self.records.iter().filter_map(|(fingerprint, record)| {
            let (at, change) = record.cleared?;
            Some(Note::Cleared { fingerprint: *fingerprint, at, change })
        });
        struck.chain(cleared).collect()
    }

    fn in_flight(&self, crash: &Crash, incident: &Incident) -> Vec<InFlight> {
        let requests = incident.in_flight.iter().filter_map(|fingerprint| {
            let strikes = &self.records.get(fingerprint)?.strikes;
            let strike = strikes.iter().find(|strike| strike.crash == *crash)?;
            Some(InFlight { fingerprint: *fingerprint, alone: strike.alone })
        });
        requests.collect()
    }

    /// How long a crash is remembered: a refusal lasts for one hold from the second crash, and needs the first
    /// one, which may be as much older.
    fn kept(&self) -> Duration {
        self.hold * 2
    }

    /// Forgets what has expired.
    pub(crate) fn sweep(&mut self, now: Time) {
        let kept = self.kept();
        let before = self.incidents.len();
        self.incidents.retain(|_, incident| now.age(incident.at) < kept);
        if self.incidents.len() < before {
            self.forget_crashes();
        }
    }

    fn forget_crashes(&mut self) {
        let incidents = &self.incidents;
        self.records.retain(|_, record| {
            record.strikes.retain(|strike| incidents.contains_key(&strike.crash));
            !record.strikes.is_empty()
        });
    }

    /// Keeps the tables within their limits.
    fn evict(&mut self) {
        if self.incidents.len() > self.max_crashes {
            let oldest = self.incidents.iter().min_by_key(|(_, incident)| incident.at);
            if let Some(crash) = oldest.map(|(crash, _)| *crash) {
                self.incidents.swap_remove(&crash);
                self.forget_crashes();
            }
        }
        if self.records.len() > self.max_suspects {
            self.evict_suspects();
        }
    }

    /// Forgets an eighth of the suspects at once, so that the search for them is rare.
    fn evict_suspects(&mut self) {
        let keep = self.max_suspects - self.max_suspects / 8;
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(fingerprint, record)| {
                let strikes = record.strikes.iter();
                let incidents = strikes.filter_map(|strike| self.incidents.get(&strike.crash));
                let latest = incidents.map(|incident| incident.at).max();
                let several = record.strikes.len() > 1;
                (record.cleared.is_none(), several, latest, *fingerprint)
            })
            .collect();
        order.sort_unstable();
        let excess = self.records.len() - keep;
        let gone: indexmap::IndexSet<_> =
            order.into_iter().take(excess).map(|(_, _, _, fingerprint)| fingerprint).collect();
        self.records.retain(|fingerprint, _| !gone.contains(fingerprint));
        for incident in self.incidents.values_mut() {
            incident.in_flight.retain(|fingerprint| !gone.contains(fingerprint));
        }
    }
}
