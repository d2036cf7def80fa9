//! Streams in the form in which routers exchange them.

use {
    super::Stream,
    serde::{Deserialize, Serialize},
};

/// Streams that began, by version: what one router writes and others read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The streams of each version.
    pub groups: Vec<Group>,
}

/// Streams that began at the same version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The software version.
    pub version: String,
    /// The streams.
    pub streams: Vec<Stream>,
}

impl Batch {
    /// Whether it contains no stream.
    ///
    /// ```
    /// use siskin_outcome::origin::{Batch, Group};
    /// assert!(Batch { groups: vec![Group::default()] }.is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.groups.iter().all(|group| group.streams.is_empty())
    }

    /// Number of streams.
    ///
    /// ```
    /// use siskin_outcome::origin::{Batch, Group, Stream};
    /// let group = Group { version: "1".into(), streams: vec![Stream::new("customer", "request")] };
    /// assert_eq!(Batch { groups: vec![group] }.len(), 1);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.groups.iter().map(|group| group.streams.len()).sum()
    }

    /// Adds the streams of another batch, merging groups of the same version.
    ///
    /// ```
    /// use siskin_outcome::origin::{Batch, Group, Stream};
    /// let group = |request| Group { version: "1".into(), streams: vec![Stream::new("customer", request)] };
    /// let mut batch = Batch { groups: vec![group("a")] };
    /// batch.append(Batch { groups: vec![group("b")] });
    /// assert_eq!((batch.groups.len(), batch.len()), (1, 2));
    /// ```
    pub fn append(&mut self, other: Self) {
        for group in other.groups {
            match self.groups.iter_mut().find(|known| known.version == group.version) {
                Some(known) => known.streams.extend(group.streams),
                None => self.groups.push(group),
            }
        }
    }
}
