//! How many lines of each kind are written.

use std::{collections::HashMap, time::Duration};

/// Lines of one kind in a second. A router at its largest share of the sheets' traffic writes about half of that.
pub const LINES_PER_SECOND: u32 = 200;

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the line is written.
    pub write: bool,
    /// Lines of its kind that were left out in earlier seconds and have not been counted yet.
    pub left_out: u64,
}

#[derive(Debug, Default)]
struct Kind {
    second: u64,
    written: u32,
    left_out: u64,
}

/// Counts lines by kind: the module and line of the source that writes them.
///
/// ```
/// use {siskin_settings::logging::{Limits, Verdict}, std::time::Duration};
/// let mut limits = Limits::default();
/// let (now, kind) = (Duration::ZERO, ("module", 7));
/// let written = (0..1_000).filter(|_| limits.admit(now, kind, false, false).write).count();
/// assert_eq!(written, 200);
/// let next = limits.admit(Duration::from_secs(1), kind, false, false);
/// assert_eq!(next, Verdict { write: true, left_out: 800 });
/// ```
#[derive(Debug, Default)]
pub struct Limits {
    kinds: HashMap<(&'static str, u32), Kind>,
}

impl Limits {
    /// Decides on a line. `crowded` says that the queue has no room for it.
    pub fn admit(
        &mut self,
        now: Duration,
        kind: (&'static str, u32),
        urgent: bool,
        crowded: bool,
    ) -> Verdict {
        let state = self.kinds.entry(kind).or_default();
        let fresh = state.second != now.as_secs();
        if fresh {
            state.second = now.as_secs();
            state.written = 0;
        }
        let write = !crowded && (urgent || state.written < LINES_PER_SECOND);
        let left_out =
            if write && (fresh || urgent) { std::mem::take(&mut state.left_out) } else { 0 };
        if write {
            state.written += 1;
        } else {
            state.left_out += 1;
        }
        Verdict { write, left_out }
    }
}
