//! Handles the store's responses to reads and writes of a bucket.

use {
    super::{Action, Response, Writer},
    crate::{
        bucket::{Outcome, Plan, Snapshot},
        format::{self, Head, Name, Segment, SegmentId},
    },
    siskin_types::time::Instant,
    siskin_wire::claim::Decision,
};

impl Writer {
    pub(super) fn handle_head_read(
        &mut self,
        now: Instant,
        index: u8,
        issued: Instant,
        response: Response,
    ) {
        let snapshot = match response {
            Response::Found { revision, value } => match format::decode(&value) {
                Ok(head) => Some(Snapshot { revision, head, confirmed_at: issued }),
                Err(error) => {
                    log::error!(bucket = index, error:% = error; "cannot read head of claims");
                    None
                }
            },
            Response::Absent => {
                Some(Snapshot { revision: 0, head: Head::default(), confirmed_at: issued })
            }
            _ => None,
        };
        match snapshot {
            Some(snapshot) => {
                self.set_snapshot(index, snapshot);
                if self.buckets[usize::from(index)].next_expiry_at.is_some() {
                    self.remove_garbage(index, &[]);
                }
            }
            None => self.schedule_retry(now, index),
        }
    }

    fn set_snapshot(&mut self, index: u8, snapshot: Snapshot) {
        let bucket = &mut self.buckets[usize::from(index)];
        if let Some(old) = &bucket.snapshot {
            for segment in &old.head.segments {
                if !snapshot.head.segments.iter().any(|kept| kept.id == segment.id) {
                    self.cache.remove(&segment.id);
                }
            }
        }
        bucket.failures = 0;
        bucket.stale = false;
        bucket.snapshot = Some(snapshot);
    }

    pub(super) fn handle_segment_read(
        &mut self,
        now: Instant,
        index: u8,
        id: SegmentId,
        response: Response,
    ) {
        match response {
            Response::Found { value, .. } => match format::decode::<Segment>(&value) {
                Ok(segment) => self.cache.insert(id, segment, value.len()),
                Err(error) => {
                    log::error!(bucket = index, error:% = error; "cannot read segment of claims");
                    self.schedule_retry(now, index);
                }
            },
            // Another writer removed or replaced the segment; the current head shows which.
            Response::Absent => {
                self.buckets[usize::from(index)].stale = true;
                self.schedule_retry(now, index);
            }
            _ => self.schedule_retry(now, index),
        }
    }

    pub(super) fn handle_segment_written(&mut self, now: Instant, index: u8, response: &Response) {
        match response {
            // A conflict means that an earlier attempt took effect, because no other writer uses this name.
            Response::Swapped { .. } | Response::Conflict => {
                let bucket = &mut self.buckets[usize::from(index)];
                bucket.failures = 0;
                if let Some(spill) = &mut bucket.spill {
                    spill.written = true;
                }
            }
            _ => self.schedule_retry(now, index),
        }
    }

    pub(super) fn handle_head_written(
        &mut self,
        now: Instant,
        index: u8,
        plan: Plan,
        issued: Instant,
        response: &Response,
        actions: &mut Vec<Action>,
    ) {
        match response {
            Response::Swapped { revision } => {
                let old = self.buckets[usize::from(index)].snapshot.as_ref();
                let old = old.map(|snapshot| snapshot.head.garbage.clone()).unwrap_or_default();
                let snapshot =
                    Snapshot { revision: *revision, head: plan.next_head, confirmed_at: issued };
                self.set_snapshot(index, snapshot);
                let bucket = &mut self.buckets[usize::from(index)];
                let garbage =
                    bucket.snapshot.as_ref().map_or(&[][..], |snapshot| &snapshot.head.garbage);
                bucket.removed_segments.retain(|id| garbage.contains(id));
                self.remove_garbage(index, &old);
                self.resolve_spill(index);
                let outcomes = plan.outcomes.into_iter().chain(plan.unconfirmed).collect();
                self.report_outcomes(now, index, outcomes, actions);
            }
            Response::Conflict => {
                self.counts.conflicts += 1;
                self.buckets[usize::from(index)].stale = true;
            }
            // Reading the head again shows whether the write took effect.
            _ => {
                self.buckets[usize::from(index)].stale = true;
                self.schedule_retry(now, index);
            }
        }
    }

    /// Completes a spill whose segment is in the head, or drops one whose head was changed by another writer.
    pub(super) fn resolve_spill(&mut self, index: u8) {
        let bucket = &mut self.buckets[usize::from(index)];
        let (Some(spill), Some(snapshot)) = (&bucket.spill, &bucket.snapshot) else { return };
        let id = spill.reference.id;
        let done = snapshot.head.segments.iter().any(|segment| segment.id == id);
        if !done && snapshot.revision == spill.revision {
            return;
        }
        bucket.spill = None;
        // The segment that it replaces is listed as garbage in the head.
        if !done {
            self.cache.remove(&id);
            self.pending_removals.push_back(Name::Segment(index, id));
        }
    }

    pub(super) fn report_outcomes(
        &mut self,
        now: Instant,
        index: u8,
        outcomes: Vec<(u64, Outcome)>,
        actions: &mut Vec<Action>,
    ) {
        for (id, outcome) in outcomes {
            // An operation that was ended in the meantime needs no outcome.
            let Some(operation) = self.remove_operation(index, id) else { continue };
            let (key, token) = (operation.key, operation.token);
            match outcome {
                Outcome::Settled => actions.push(Action::Settled { key, token }),
                // The process was paused past the deadline; the caller has already been told that it failed.
                Outcome::Decided(Decision::Granted) if now >= operation.deadline => {
                    self.reject_claim(&operation, actions);
                }
                Outcome::Decided(decision) => {
                    self.counts.granted += u64::from(decision == Decision::Granted);
                    actions.push(Action::Decide { key, token, decision });
                }
            }
        }
    }
}
