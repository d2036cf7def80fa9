//! Moves the entries of a full head to a segment, and removes segments that are no longer referenced.

use {
    super::{Action, Call, Outstanding, Spill, Writer},
    crate::format::{self, Entry, Head, Name, Segment, SegmentId, SegmentRef},
};

impl Writer {
    /// Whether moving the entries of the head to a segment makes room. A batch that does not fit into an empty
    /// head is written in parts.
    pub(super) fn can_spill(&self, index: u8) -> bool {
        let bucket = &self.buckets[usize::from(index)];
        let written = bucket.spill.as_ref().is_some_and(|spill| spill.written);
        let empty =
            bucket.snapshot.as_ref().is_none_or(|snapshot| snapshot.head.entries.is_empty());
        !written && !empty
    }

    /// Whether a name for the next segment has been reserved in the head. Otherwise the head is written first, so
    /// that the segment can be found and removed if this process crashes before the segment is in the head.
    pub(super) fn has_segment_name(&self, index: u8) -> bool {
        let bucket = &self.buckets[usize::from(index)];
        let reserved = bucket.snapshot.as_ref().and_then(|snapshot| snapshot.head.reserved);
        let usable = reserved.is_some_and(|id| self.is_unused_name(index, &id));
        usable || bucket.name_reserved || bucket.spill.is_some()
    }

    pub(super) fn write_segment(&mut self, index: u8, call: Call) -> Action {
        if self.buckets[usize::from(index)].spill.is_none() {
            let spill = self.build_spill(index);
            self.buckets[usize::from(index)].spill = Some(spill);
        }
        let bucket = &mut self.buckets[usize::from(index)];
        bucket.outstanding = Some((call, Outstanding::WriteSegment));
        let spill = bucket.spill.as_ref().expect("a spill was made above");
        let name = Name::Segment(index, spill.reference.id);
        Action::Swap { call, name, expected: 0, value: spill.value.clone() }
    }

    /// Builds a segment from the entries of the head, merged with those of the last segment if these are cached
    /// and the result stays within the limits. Larger segments keep the list of segments in the head short.
    fn build_spill(&mut self, index: u8) -> Spill {
        let snapshot =
            self.buckets[usize::from(index)].snapshot.as_ref().expect("the head was read");
        let span = |entries: &[Entry]| {
            let times = entries.iter().map(|entry| entry.claimed_at_s);
            (times.clone().min().unwrap_or(0), times.max().unwrap_or(0))
        };
        let (mut oldest_s, newest_s) = span(&snapshot.head.entries);
        let head_bytes: usize = snapshot.head.entries.iter().map(Entry::encoded_bytes).sum();
        let merged = snapshot.head.segments.last().filter(|last| {
            let bytes = last.bytes as usize + head_bytes;
            let span_s = u64::from(newest_s.saturating_sub(last.oldest_s));
            bytes <= self.options.segment_bytes && span_s <= self.options.segment_span.as_secs()
        });
        let merged = merged.and_then(|last| Some((last, self.cache.content(&last.id)?)));
        let mut entries = Vec::new();
        if let Some((last, content)) = merged {
            oldest_s = oldest_s.min(last.oldest_s);
            entries.extend_from_slice(&content.entries);
        }
        let replaced = merged.map(|(last, _)| last.id);
        let newest_s = merged.map_or(newest_s, |(last, _)| newest_s.max(last.newest_s));
        entries.extend_from_slice(&snapshot.head.entries);
        let segment = Segment::new(entries);
        let value = format::encode(&segment);
        let revision = snapshot.revision;
        let reserved = snapshot.head.reserved.filter(|id| self.is_unused_name(index, id));
        let id = reserved.unwrap_or_else(|| self.allocate_segment_id());
        self.buckets[usize::from(index)].last_spilled = Some(id);
        let bytes = u32::try_from(value.len()).unwrap_or(u32::MAX);
        self.cache.insert(id, segment, value.len());
        let reference = SegmentRef { id, oldest_s, newest_s, bytes };
        Spill { reference, value, replaced, revision, written: false }
    }

    fn allocate_segment_id(&mut self) -> SegmentId {
        self.last_segment_sequence += 1;
        SegmentId {
            node: self.options.node,
            incarnation: self.options.incarnation,
            sequence: self.last_segment_sequence,
        }
    }

    /// Whether a name is reserved by this writer and has not been used.
    fn is_unused_name(&self, index: u8, id: &SegmentId) -> bool {
        let own = (id.node, id.incarnation) == (self.options.node, self.options.incarnation);
        own && self.buckets[usize::from(index)].last_spilled != Some(*id)
    }

    /// Reserves a name for the next segment and updates the list of garbage before the head is written.
    pub(super) fn prepare_head(&mut self, index: u8, head: &mut Head) {
        let removed_segments = &self.buckets[usize::from(index)].removed_segments;
        head.garbage.retain(|id| !removed_segments.contains(id));
        if head.reserved.is_some_and(|id| self.is_unused_name(index, &id)) {
            return;
        }
        if let Some(old) = head.reserved
            && !head.segments.iter().any(|segment| segment.id == old)
            && !head.garbage.contains(&old)
        {
            head.garbage.push(old);
        }
        head.reserved = Some(self.allocate_segment_id());
    }

    /// Queues the removal of the garbage that the head lists. Garbage in `others` was listed by other writers; it is
    /// left to them and to the owner of the bucket.
    pub(super) fn remove_garbage(&mut self, index: u8, others: &[SegmentId]) {
        let bucket = &self.buckets[usize::from(index)];
        let Some(snapshot) = &bucket.snapshot else { return };
        let owned = bucket.next_expiry_at.is_some();
        for id in snapshot.head.garbage.iter().filter(|id| owned || !others.contains(id)) {
            let name = Name::Segment(index, *id);
            let known =
                bucket.removed_segments.contains(id) || self.pending_removals.contains(&name);
            if !known && !self.removals_in_flight.values().any(|in_flight| *in_flight == name) {
                self.pending_removals.push_back(name);
            }
        }
    }
}
