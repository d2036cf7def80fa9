//! In-memory store with compare-and-swap.

use {
    siskin_claim::{
        format::{self, Head, Name},
        writer::{Action, Call, Response},
    },
    std::collections::HashMap,
};

#[derive(Default)]
pub(crate) struct Store {
    values: HashMap<Name, (u64, Vec<u8>)>,
    revision: u64,
}

impl Store {
    pub(crate) fn apply(&mut self, action: &Action) -> (Call, Response) {
        match action {
            Action::Read { call, name } => {
                let found = self.values.get(name).cloned();
                let found = found.map(|(revision, value)| Response::Found { revision, value });
                (*call, found.unwrap_or(Response::Absent))
            }
            Action::Swap { call, name, expected, value } => {
                let current = self.values.get(name).map_or(0, |(revision, _)| *revision);
                if current != *expected {
                    return (*call, Response::Conflict);
                }
                self.revision += 1;
                self.values.insert(*name, (self.revision, value.clone()));
                (*call, Response::Swapped { revision: self.revision })
            }
            Action::Remove { call, name } => {
                self.values.remove(name);
                (*call, Response::Removed)
            }
            other => panic!("{other:?} is not a store call"),
        }
    }

    pub(crate) fn segment_count(&self) -> usize {
        self.values.keys().filter(|name| matches!(name, Name::Segment(..))).count()
    }

    fn heads(&self) -> impl Iterator<Item = (u8, Head)> {
        self.values.iter().filter_map(|(name, (_, value))| match name {
            Name::Head(bucket) => Some((*bucket, format::decode(value).ok()?)),
            Name::Segment(..) => None,
        })
    }

    /// Number of segments that the heads list as garbage.
    pub(crate) fn garbage_count(&self) -> usize {
        self.heads().map(|(_, head)| head.garbage.len()).sum()
    }

    /// Segments that no head references.
    pub(crate) fn unused_segments(&self) -> Vec<Name> {
        let used: Vec<Name> = self
            .heads()
            .flat_map(|(bucket, head)| {
                head.segments.into_iter().map(move |segment| Name::Segment(bucket, segment.id))
            })
            .collect();
        let unused = |name: &&Name| matches!(name, Name::Segment(..)) && !used.contains(name);
        self.values.keys().filter(unused).copied().collect()
    }
}
