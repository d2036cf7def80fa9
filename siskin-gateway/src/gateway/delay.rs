//! Logs when the process ran no timer for a while, with the processor time that it used.

use {
    crate::exchange::saturating_millis, siskin_net::clock::thread_cpu_time, std::time::Duration,
    tokio::time::Instant,
};

/// Lateness of a timer from which it is logged: no answer may come so late after its timeout.
const LATENESS_MIN: Duration = Duration::from_millis(500);

/// Time between two readings of the processor time, each of which is a system call.
const READING_INTERVAL: Duration = Duration::from_secs(1);

/// The last reading of the processor time.
#[derive(Debug)]
pub(super) struct Delays {
    read_at: Instant,
    cpu_time: Duration,
}

impl Delays {
    pub(super) fn start() -> Self {
        Self { read_at: Instant::now(), cpu_time: thread_cpu_time() }
    }

    /// Records how late a timer was. If the processor time is about as long as the time since the last reading, a task did not
    /// let the others run; if it is much less, the process got no processor.
    pub(super) fn record(&mut self, lateness: Duration) {
        if lateness < LATENESS_MIN && self.read_at.elapsed() < READING_INTERVAL {
            return;
        }
        let before = std::mem::replace(self, Self::start());
        if lateness >= LATENESS_MIN {
            log::warn!(
                late_ms = saturating_millis(lateness),
                cpu_ms = saturating_millis(self.cpu_time.saturating_sub(before.cpu_time)),
                over_ms = saturating_millis(self.read_at - before.read_at);
                "no timer ran for a while"
            );
        }
    }
}
