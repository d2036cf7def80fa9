//! A bounded table of streams with the version that began each.

use {
    super::{Batch, Group, Stream},
    indexmap::{IndexMap, IndexSet},
    siskin_types::time::Instant,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Who recorded a stream.
#[derive(Debug)]
enum Source {
    /// This router, and whether the record has been taken for the other routers.
    Own { service: Arc<str>, is_taken: bool },
    /// Another router.
    Learned,
}

#[derive(Debug)]
struct Record {
    at: Instant,
    /// Its place in the order of records.
    number: u64,
    version: Arc<str>,
    source: Source,
    /// Whether the caller has the whole stream.
    is_complete: bool,
}

/// Streams in the order in which they were recorded.
#[derive(Debug, Default)]
pub(super) struct Table {
    records: IndexMap<Stream, Record>,
    /// The records by number, the oldest first.
    order: BTreeMap<u64, Stream>,
    last_number: u64,
    /// The streams of each service that were recorded here and have not been taken.
    pending: IndexMap<Arc<str>, IndexSet<Stream>>,
}

impl Table {
    /// Records a stream that began or went on through this router. What was taken is not taken again.
    pub(super) fn record(
        &mut self,
        now: Instant,
        stream: Stream,
        service: &str,
        version: &Arc<str>,
    ) {
        let was_taken = |known: &Record| {
            known.version == *version && matches!(known.source, Source::Own { is_taken: true, .. })
        };
        let is_taken = self.remove(stream).as_ref().is_some_and(was_taken);
        let service = match self.pending.get_key_value(service) {
            Some((known, _)) => Arc::clone(known),
            None => Arc::from(service),
        };
        if !is_taken {
            self.pending.entry(Arc::clone(&service)).or_default().insert(stream);
        }
        self.insert(now, stream, version, Source::Own { service, is_taken });
    }

    /// Records a stream that another router recorded, unless it is known.
    pub(super) fn learn(&mut self, now: Instant, stream: Stream, version: &Arc<str>) {
        if !self.records.contains_key(&stream) {
            self.insert(now, stream, version, Source::Learned);
        }
    }

    /// Records that the caller has the whole stream.
    pub(super) fn complete(&mut self, stream: Stream) {
        if let Some(record) = self.records.get_mut(&stream) {
            record.is_complete = true;
        }
    }

    /// Whether the caller has the whole stream.
    pub(super) fn is_complete(&self, stream: Stream) -> bool {
        self.records.get(&stream).is_some_and(|record| record.is_complete)
    }

    /// The version of a stream that is known and not too old.
    pub(super) fn version(
        &self,
        now: Instant,
        retention: Duration,
        stream: Stream,
    ) -> Option<&Arc<str>> {
        let record = self.records.get(&stream)?;
        (now < record.at + retention).then_some(&record.version)
    }

    /// Takes the pending streams of the services for which `is_chosen` is true.
    pub(super) fn take(&mut self, is_chosen: impl Fn(&str) -> bool) -> Batch {
        let Self { records, pending, .. } = self;
        let mut groups = IndexMap::<Arc<str>, Vec<Stream>>::new();
        pending.retain(|service, streams| {
            if !is_chosen(service) {
                return true;
            }
            for stream in streams.iter() {
                let Some(record) = records.get_mut(stream) else { continue };
                if let Source::Own { is_taken, .. } = &mut record.source {
                    *is_taken = true;
                }
                groups.entry(Arc::clone(&record.version)).or_default().push(*stream);
            }
            false
        });
        let group =
            |(version, streams): (Arc<str>, _)| Group { version: (*version).into(), streams };
        Batch { groups: groups.into_iter().map(group).collect() }
    }

    /// Makes a stream that was taken at this version pending again, if it is still known.
    pub(super) fn put_back(&mut self, stream: Stream, version: &str) {
        let Some(record) = self.records.get_mut(&stream) else { return };
        if let Source::Own { service, is_taken } = &mut record.source
            && *record.version == *version
        {
            *is_taken = false;
            self.pending.entry(Arc::clone(service)).or_default().insert(stream);
        }
    }

    /// Forgets streams that are too old.
    pub(super) fn expire(&mut self, now: Instant, retention: Duration) {
        while self.oldest().is_some_and(|(_, record)| now >= record.at + retention) {
            self.remove_oldest();
        }
    }

    /// Forgets the oldest streams beyond a number.
    pub(super) fn truncate(&mut self, len: usize) {
        while self.records.len() > len {
            self.remove_oldest();
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn oldest(&self) -> Option<(Stream, &Record)> {
        let (_, stream) = self.order.first_key_value()?;
        Some((*stream, self.records.get(stream)?))
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.order.first_key_value() {
            self.remove(*stream);
        }
    }

    fn insert(&mut self, at: Instant, stream: Stream, version: &Arc<str>, source: Source) {
        self.last_number += 1;
        let number = self.last_number;
        self.order.insert(number, stream);
        self.records.insert(
            stream,
            Record { at, number, version: Arc::clone(version), source, is_complete: false },
        );
    }

    fn remove(&mut self, stream: Stream) -> Option<Record> {
        let record = self.records.swap_remove(&stream)?;
        self.order.remove(&record.number);
        if let Source::Own { service, is_taken: false } = &record.source
            && let Some(streams) = self.pending.get_mut(service)
        {
            streams.swap_remove(&stream);
            if streams.is_empty() {
                self.pending.swap_remove(service);
            }
        }
        Some(record)
    }
}
