//! Takes the store's answers to the reads and writes of a bucket.

use {
    super::{Action, Answer, Writer},
    crate::{
        bucket::{Base, Plan, Verdict},
        format::{self, Head, Name, Segment, SegmentId},
    },
    siskin_types::time::Instant,
    siskin_wire::claim::Decision,
};

impl Writer {
    pub(super) fn head_read(&mut self, now: Instant, index: u8, issued: Instant, answer: Answer) {
        let base = match answer {
            Answer::Found { revision, value } => match format::decode(&value) {
                Ok(head) => Some(Base { revision, head, confirmed: issued }),
                Err(error) => {
                    log::error!(bucket = index, error:% = error; "cannot read head of claims");
                    None
                }
            },
            Answer::Absent => Some(Base { revision: 0, head: Head::default(), confirmed: issued }),
            _ => None,
        };
        match base {
            Some(base) => {
                self.set_base(index, base);
                if self.buckets[usize::from(index)].retain_at.is_some() {
                    self.remove_garbage(index, &[]);
                }
            }
            None => self.back_off(now, index),
        }
    }

    fn set_base(&mut self, index: u8, base: Base) {
        let bucket = &mut self.buckets[usize::from(index)];
        if let Some(old) = &bucket.base {
            for segment in &old.head.segments {
                if !base.head.segments.iter().any(|kept| kept.id == segment.id) {
                    self.cache.remove(&segment.id);
                }
            }
        }
        bucket.failures = 0;
        bucket.stale = false;
        bucket.base = Some(base);
    }

    pub(super) fn segment_read(&mut self, now: Instant, index: u8, id: SegmentId, answer: Answer) {
        match answer {
            Answer::Found { value, .. } => match format::decode::<Segment>(&value) {
                Ok(segment) => self.cache.insert(id, segment, value.len()),
                Err(error) => {
                    log::error!(bucket = index, error:% = error; "cannot read segment of claims");
                    self.back_off(now, index);
                }
            },
            // Another writer removed or replaced it; the current head tells.
            Answer::Absent => {
                self.buckets[usize::from(index)].stale = true;
                self.back_off(now, index);
            }
            _ => self.back_off(now, index),
        }
    }

    pub(super) fn segment_written(&mut self, now: Instant, index: u8, answer: &Answer) {
        match answer {
            // A conflict means that an earlier try took effect: nobody else uses this name.
            Answer::Swapped { .. } | Answer::Conflict => {
                let bucket = &mut self.buckets[usize::from(index)];
                bucket.failures = 0;
                if let Some(spill) = &mut bucket.spill {
                    spill.stored = true;
                }
            }
            _ => self.back_off(now, index),
        }
    }

    pub(super) fn head_written(
        &mut self,
        now: Instant,
        index: u8,
        plan: Plan,
        issued: Instant,
        answer: &Answer,
        actions: &mut Vec<Action>,
    ) {
        match answer {
            Answer::Swapped { revision } => {
                let old = self.buckets[usize::from(index)].base.as_ref();
                let old = old.map(|base| base.head.garbage.clone()).unwrap_or_default();
                let base = Base { revision: *revision, head: plan.next, confirmed: issued };
                self.set_base(index, base);
                let bucket = &mut self.buckets[usize::from(index)];
                let garbage = bucket.base.as_ref().map_or(&[][..], |base| &base.head.garbage);
                bucket.removed.retain(|id| garbage.contains(id));
                self.remove_garbage(index, &old);
                self.resolve_spill(index);
                let verdicts = plan.verdicts.into_iter().chain(plan.unconfirmed).collect();
                self.settle(now, index, verdicts, actions);
            }
            Answer::Conflict => {
                self.counts.conflicts += 1;
                self.buckets[usize::from(index)].stale = true;
            }
            // Whether the write took effect is settled by reading the head back.
            _ => {
                self.buckets[usize::from(index)].stale = true;
                self.back_off(now, index);
            }
        }
    }

    /// Ends a spill whose segment is in the head, or drops one whose head was changed by another writer.
    pub(super) fn resolve_spill(&mut self, index: u8) {
        let bucket = &mut self.buckets[usize::from(index)];
        let (Some(spill), Some(base)) = (&bucket.spill, &bucket.base) else { return };
        let id = spill.reference.id;
        let done = base.head.segments.iter().any(|segment| segment.id == id);
        if !done && base.revision == spill.revision {
            return;
        }
        bucket.spill = None;
        // The segment that it replaces is in the head's list of garbage.
        if !done {
            self.cache.remove(&id);
            self.removals.push_back(Name::Segment(index, id));
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Instant,
        index: u8,
        verdicts: Vec<(u64, Verdict)>,
        actions: &mut Vec<Action>,
    ) {
        for (id, verdict) in verdicts {
            // A claim that was given up in the meantime has been decided.
            let Some(op) = self.take(index, id) else { continue };
            let (key, token) = (op.key, op.token);
            match verdict {
                Verdict::Settled => actions.push(Action::Settled { key, token }),
                // The process was paused for so long that the caller has been answered.
                Verdict::Decide(Decision::Granted) if now >= op.deadline => {
                    self.give_up(&op, actions);
                }
                Verdict::Decide(decision) => {
                    self.counts.granted += u64::from(decision == Decision::Granted);
                    actions.push(Action::Decide { key, token, decision });
                }
            }
        }
    }
}
