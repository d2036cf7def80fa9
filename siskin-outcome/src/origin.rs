//! Decides at which software versions a resumable stream may go on.
//!
//! A stream may go on only at the version that began it, and endpoints do not check this. A [`Register`] keeps, for one
//! router, the versions of the listed endpoints, the notes of the versions that were listed a short time ago, and a bounded
//! table of streams with the version that began each.
//!
//! A service is *mixed* while more than one version is listed or noted, or while this cannot be excluded. Otherwise a
//! continuation may run at any endpoint, and nothing is exchanged. While it is mixed, routers exchange the streams that
//! began through them ([`Register::take_batch`], [`Register::learn`]), and a continuation of a stream that is not known
//! may not run ([`Verdict::Unknown`]).
//!
//! **Limits.** A version is known here only once it is listed or noted. Until then, a stream that it began through another
//! router counts as one of the versions that are known here.

mod batch;
mod note;
mod options;
mod services;
mod stream;
mod table;
mod versions;

pub use {
    batch::{Batch, Group},
    note::Note,
    options::Options,
    stream::Stream,
};

use {
    services::Services,
    siskin_types::time::Instant,
    std::{sync::Arc, time::Duration},
    table::Table,
};

/// What decides where a stream that is continued may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Any endpoint: only one version has served within the retention, or the version cannot matter.
    Any,
    /// Only endpoints of this version.
    Only(Arc<str>),
    /// Not recorded here; another router may have recorded it.
    Unknown,
}

/// The versions and the streams that one router knows.
///
/// ```
/// use {
///     siskin_outcome::origin::{Options, Register, Stream, Verdict},
///     siskin_types::time::Instant,
/// };
/// let mut register = Register::new(Options::default());
/// let now = Instant::from_micros(1_000_000);
/// register.set_notes_complete();
/// register.set_listed(now, [("chat", Some("1"))]);
/// let stream = Stream::new("customer", "request");
/// register.record(now, stream, "chat", &"1".into());
/// assert_eq!(register.verdict(now, "chat", Some(stream)), Verdict::Any);
/// register.set_listed(now, [("chat", Some("1")), ("chat", Some("2"))]);
/// assert_eq!(register.verdict(now, "chat", Some(stream)), Verdict::Only("1".into()));
/// assert_eq!(register.verdict(now, "chat", None), Verdict::Unknown);
/// ```
#[derive(Debug)]
pub struct Register {
    options: Options,
    services: Services,
    table: Table,
}

impl Register {
    /// Creates a register that knows no versions and no streams.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, services: Services::default(), table: Table::default() }
    }

    /// Sets the longest time after its beginning in which a stream may be continued.
    pub const fn set_retention(&mut self, retention: Duration) {
        self.options.retention = retention;
    }

    /// Sets the versions of the listed endpoints of each service, including leaving and expired endpoints.
    ///
    /// `None` in place of a version stands for an endpoint whose version is not known; its service counts as mixed. A
    /// service that is not named has no endpoint. A version that is not named any more stays in effect for the retention.
    pub fn set_listed<'a>(
        &mut self,
        now: Instant,
        services: impl IntoIterator<Item = (&'a str, Option<&'a str>)>,
    ) {
        self.services.set_listed(now, self.options.retention, services);
    }

    /// Says that the store was read completely, so that a service without a note has none. Until then, each service
    /// counts as mixed.
    pub const fn set_notes_complete(&mut self) {
        self.services.set_notes_complete();
    }

    /// Sets the note of a service as read from the store. An empty one stands for none, also for one that was deleted.
    ///
    /// `None` stands for a note that cannot be read. The service counts as mixed until its note is set again.
    pub fn set_note(&mut self, service: &str, versions: Option<Vec<String>>) {
        self.services.set_note(service, versions);
    }

    /// The notes that differ from what this router has observed, and have to be written now.
    ///
    /// A version that is in effect is added at once. One that is noted is removed if it has not been listed here for the
    /// whole retention since it was noted and since the notes are complete. A note that cannot be read is rewritten after
    /// the same time. A service of which no version is left gets an empty note.
    #[must_use]
    pub fn due_notes(&self, now: Instant) -> Vec<Note> {
        self.services.due_notes(now, self.options.retention)
    }

    /// Whether streams of this service that may still be continued can have begun at different versions.
    #[must_use]
    pub fn is_mixed(&self, now: Instant, service: &str) -> bool {
        self.services.is_mixed(now, self.options.retention, service)
    }

    /// Whether a service is mixed.
    #[must_use]
    pub fn any_mixed(&self, now: Instant) -> bool {
        self.services.any_mixed(now, self.options.retention)
    }

    /// Records that a stream began, or went on, at a version. The oldest stream gives way if there are too many.
    pub fn record(&mut self, now: Instant, stream: Stream, service: &str, version: &Arc<str>) {
        self.advance(now);
        self.table.record(now, stream, service, version);
        self.table.truncate(self.options.streams_max);
    }

    /// Records what another router recorded. The known version of a stream is not replaced.
    pub fn learn(&mut self, now: Instant, batch: &Batch) {
        self.advance(now);
        for group in &batch.groups {
            let version = Arc::from(group.version.as_str());
            for stream in &group.streams {
                self.table.learn(now, *stream, &version);
                self.table.truncate(self.options.streams_max);
            }
        }
    }

    /// Decides where a stream may go on. `None` stands for one that the caller does not name.
    #[must_use]
    pub fn verdict(&self, now: Instant, service: &str, stream: Option<Stream>) -> Verdict {
        let retention = self.options.retention;
        let version = stream.and_then(|stream| self.table.version(now, retention, stream));
        let is_mixed = self.is_mixed(now, service);
        match version {
            Some(version) if is_mixed || !self.services.has(now, retention, service, version) => {
                Verdict::Only(Arc::clone(version))
            }
            None if is_mixed => Verdict::Unknown,
            Some(_) | None => Verdict::Any,
        }
    }

    /// The version that began a stream, if it is known here.
    #[must_use]
    pub fn version(&self, now: Instant, stream: Stream) -> Option<&Arc<str>> {
        self.table.version(now, self.options.retention, stream)
    }

    /// Records that the caller has the whole stream.
    pub fn complete(&mut self, stream: Stream) {
        self.table.complete(stream);
    }

    /// Whether a stream is known to have begun, and not to be complete.
    ///
    /// ```
    /// use {
    ///     siskin_outcome::origin::{Options, Register, Stream},
    ///     siskin_types::time::Instant,
    /// };
    /// let mut register = Register::new(Options::default());
    /// let now = Instant::from_micros(1);
    /// let stream = Stream::new("customer", "request");
    /// register.record(now, stream, "chat", &"1".into());
    /// assert!(register.is_open(now, stream));
    /// register.complete(stream);
    /// assert!(!register.is_open(now, stream));
    /// ```
    #[must_use]
    pub fn is_open(&self, now: Instant, stream: Stream) -> bool {
        self.version(now, stream).is_some() && !self.table.is_complete(stream)
    }

    /// Takes the streams of mixed services that were recorded here and have not been taken, for the other routers.
    pub fn take_batch(&mut self, now: Instant) -> Batch {
        self.advance(now);
        let Self { options, services, table } = self;
        table.take(|service| services.is_mixed(now, options.retention, service))
    }

    /// Puts back a batch that could not be written.
    pub fn return_batch(&mut self, batch: Batch) {
        for group in batch.groups {
            for stream in group.streams {
                self.table.put_back(stream, &group.version);
            }
        }
    }

    /// Number of streams in the table, including those that expired since the last change.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.table.len()
    }

    fn advance(&mut self, now: Instant) {
        self.services.observe(now);
        self.table.expire(now, self.options.retention);
    }
}
