//! Rate limit of log lines, by kind.

use std::{collections::HashMap, time::Duration};

/// Most lines of one kind per second. A router with the largest share of the specified traffic writes about half of
/// that.
pub const LINES_PER_SECOND: u32 = 200;

/// Decision on a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the line is written.
    pub write: bool,
    /// Lines of its kind that were suppressed and have not been reported yet.
    pub left_out: u64,
}

#[derive(Debug, Default)]
struct Kind {
    second: u64,
    written: u32,
    left_out: u64,
}

/// Limits lines by kind: the module and the source line that log them.
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
    /// Decides whether a line is written. `queue_full` means that the queue has no room for it.
    pub fn admit(
        &mut self,
        now: Duration,
        kind: (&'static str, u32),
        urgent: bool,
        queue_full: bool,
    ) -> Verdict {
        let state = self.kinds.entry(kind).or_default();
        let fresh = state.second != now.as_secs();
        if fresh {
            state.second = now.as_secs();
            state.written = 0;
        }
        let write = !queue_full && (urgent || state.written < LINES_PER_SECOND);
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
