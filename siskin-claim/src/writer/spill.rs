//! Moves the entries of a full head to a segment, and removes segments that nothing names any more.

use {
    super::{Action, Call, Outstanding, Spill, Writer},
    crate::format::{self, Entry, Head, Name, Segment, SegmentId, SegmentRef},
};

impl Writer {
    /// Whether moving entries of the head to a segment makes room. A group that does not fit into an empty
    /// head is written in parts.
    pub(super) fn spillable(&self, index: u8) -> bool {
        let bucket = &self.buckets[usize::from(index)];
        let stored = bucket.spill.as_ref().is_some_and(|spill| spill.stored);
        let empty = bucket.base.as_ref().is_none_or(|base| base.head.entries.is_empty());
        !stored && !empty
    }

    /// Whether the next segment has a name that is reserved in the head. Otherwise the head is written first,
    /// so that the segment is found if this process dies before it is in the head.
    pub(super) fn has_name(&self, index: u8) -> bool {
        let bucket = &self.buckets[usize::from(index)];
        let reserved = bucket.base.as_ref().and_then(|base| base.head.reserved);
        let usable = reserved.is_some_and(|id| self.may_use(index, &id));
        usable || bucket.reserved || bucket.spill.is_some()
    }

    pub(super) fn write_segment(&mut self, index: u8, call: Call) -> Action {
        if self.buckets[usize::from(index)].spill.is_none() {
            let spill = self.new_spill(index);
            self.buckets[usize::from(index)].spill = Some(spill);
        }
        let bucket = &mut self.buckets[usize::from(index)];
        bucket.outstanding = Some((call, Outstanding::Segment));
        let spill = bucket.spill.as_ref().expect("a spill was made above");
        let name = Name::Segment(index, spill.reference.id);
        Action::Swap { call, name, expected: 0, value: spill.value.clone() }
    }

    /// Moves the entries of the head into a new segment, together with those of the last segment if they
    /// are at hand and there is room. Larger segments keep the list of segments in the head short.
    fn new_spill(&mut self, index: u8) -> Spill {
        let base = self.buckets[usize::from(index)].base.as_ref().expect("the head was read");
        let span = |entries: &[Entry]| {
            let times = entries.iter().map(|entry| entry.at_s);
            (times.clone().min().unwrap_or(0), times.max().unwrap_or(0))
        };
        let (mut oldest_s, newest_s) = span(&base.head.entries);
        let head_bytes: usize = base.head.entries.iter().map(Entry::bytes).sum();
        let joined = base.head.segments.last().filter(|last| {
            let bytes = last.bytes as usize + head_bytes;
            let span_s = u64::from(newest_s.saturating_sub(last.oldest_s));
            bytes <= self.options.segment_bytes && span_s <= self.options.segment_span.as_secs()
        });
        let joined = joined.and_then(|last| Some((last, self.cache.content(&last.id)?)));
        let mut entries = Vec::new();
        if let Some((last, content)) = joined {
            oldest_s = oldest_s.min(last.oldest_s);
            entries.extend_from_slice(&content.entries);
        }
        let replaces = joined.map(|(last, _)| last.id);
        let newest_s = joined.map_or(newest_s, |(last, _)| newest_s.max(last.newest_s));
        entries.extend_from_slice(&base.head.entries);
        let segment = Segment::new(entries);
        let value = format::encode(&segment);
        let revision = base.revision;
        let reserved = base.head.reserved.filter(|id| self.may_use(index, id));
        let id = reserved.unwrap_or_else(|| self.new_segment());
        self.buckets[usize::from(index)].last_spill = Some(id);
        let bytes = u32::try_from(value.len()).unwrap_or(u32::MAX);
        self.cache.insert(id, segment, value.len());
        let reference = SegmentRef { id, oldest_s, newest_s, bytes };
        Spill { reference, value, replaces, revision, stored: false }
    }

    fn new_segment(&mut self) -> SegmentId {
        self.next_segment += 1;
        SegmentId {
            node: self.options.node,
            incarnation: self.options.incarnation,
            sequence: self.next_segment,
        }
    }

    /// Whether a name is this writer's and has not been used.
    fn may_use(&self, index: u8, id: &SegmentId) -> bool {
        let own = (id.node, id.incarnation) == (self.options.node, self.options.incarnation);
        own && self.buckets[usize::from(index)].last_spill != Some(*id)
    }

    /// Reserves a name for the next segment and keeps the list of garbage up to date.
    pub(super) fn tidy(&mut self, index: u8, head: &mut Head) {
        let removed = &self.buckets[usize::from(index)].removed;
        head.garbage.retain(|id| !removed.contains(id));
        if head.reserved.is_some_and(|id| self.may_use(index, &id)) {
            return;
        }
        if let Some(old) = head.reserved
            && !head.segments.iter().any(|segment| segment.id == old)
            && !head.garbage.contains(&old)
        {
            head.garbage.push(old);
        }
        head.reserved = Some(self.new_segment());
    }

    /// Queues the removal of garbage that a head lists, but for what other writers have listed: that is left to
    /// them and to the owner of the bucket.
    pub(super) fn remove_garbage(&mut self, index: u8, others: &[SegmentId]) {
        let bucket = &self.buckets[usize::from(index)];
        let Some(base) = &bucket.base else { return };
        let owned = bucket.retain_at.is_some();
        for id in base.head.garbage.iter().filter(|id| owned || !others.contains(id)) {
            let name = Name::Segment(index, *id);
            let known = bucket.removed.contains(id) || self.removals.contains(&name);
            if !known && !self.removing.values().any(|removing| *removing == name) {
                self.removals.push_back(name);
            }
        }
    }
}
