//! Log lines as `key=value` pairs.
//!
//! Logging never blocks: lines go through a bounded queue to a writer thread. Each kind of line has a rate limit per
//! second, and a summary line reports how many were suppressed. Warnings and lines about unsuccessful requests have no
//! rate limit and are dropped only if the queue is full.

mod limit;

use {
    log::{
        Level, Log, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    std::{
        io::{self, Write},
        sync::{
            Arc, Mutex, OnceLock, PoisonError,
            atomic::{AtomicUsize, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

pub use limit::{LINES_PER_SECOND, Limits, Verdict};

/// Capacity of the queue in lines. Ordinary lines are suppressed while the queue is more than half full.
pub const QUEUE_LINES: usize = 4_096;

/// Size from which queued lines are written without collecting more.
const WRITE_BYTES: usize = 64 * 1024;

/// Longest wait for the last lines to be written at exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which the queue length is polled during a flush.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of queued lines of the installed logger.
static QUEUED: OnceLock<Arc<AtomicUsize>> = OnceLock::new();

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, for services.
    Output,
    /// Standard error, for tools whose result goes to standard output.
    Error,
}

/// Starts logging. `level` is one of `error`, `warn`, `info`, `debug`, `trace`, or a filter such as
/// `info,siskin_sched=debug`. A second call has no effect.
pub fn start(level: &str, stream: Stream) {
    let out: Box<dyn Write + Send> = match stream {
        Stream::Output => Box::new(io::stdout()),
        Stream::Error => Box::new(io::stderr()),
    };
    let logger = Logger::new(level, out);
    let queued = Arc::clone(&logger.queued);
    let filter = logger.inner.filter();
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(filter);
        let _ = QUEUED.set(queued);
    }
}

/// Waits a limited time until all queued lines are written; called at exit.
pub fn flush() {
    let Some(queued) = QUEUED.get() else { return };
    let start = Instant::now();
    while queued.load(Ordering::Relaxed) > 0 && start.elapsed() < FLUSH_TIMEOUT {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// A logger with a bounded queue in front of its writer.
pub struct Logger {
    inner: env_logger::Logger,
    limits: Mutex<Limits>,
    queued: Arc<AtomicUsize>,
    start: Instant,
}

impl Logger {
    /// Creates a logger and starts the thread that writes to `out`.
    #[must_use]
    pub fn new(level: &str, out: Box<dyn Write + Send>) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let queued = Arc::new(AtomicUsize::new(0));
        let written = Arc::clone(&queued);
        thread::spawn(move || write_lines(out, &receiver, &written));
        let queue = Queue { sender, queued: Arc::clone(&queued) };
        let inner = env_logger::Builder::new()
            .parse_filters(level)
            .format(|out, record| out.write_all(&format_line(record, out.timestamp_millis())))
            .target(env_logger::Target::Pipe(Box::new(queue)))
            .build();
        Self { inner, limits: Mutex::default(), queued, start: Instant::now() }
    }

    /// The number of lines that wait to be written.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.matches(record) {
            return;
        }
        let kind = (record.module_path_static().unwrap_or_default(), record.line().unwrap_or(0));
        let urgent = is_urgent(record);
        let queue_full = self.queued() > if urgent { QUEUE_LINES - 2 } else { QUEUE_LINES / 2 };
        let verdict = self.limits.lock().unwrap_or_else(PoisonError::into_inner).admit(
            self.start.elapsed(),
            kind,
            urgent,
            queue_full,
        );
        if verdict.left_out > 0 && !queue_full {
            self.inner.log(
                &Record::builder()
                    .level(Level::Warn)
                    .target(record.target())
                    .args(format_args!(
                        "{} lines of one kind were left out before the next: {}",
                        verdict.left_out,
                        record.args()
                    ))
                    .build(),
            );
        }
        if verdict.write {
            self.inner.log(record);
        }
    }

    fn flush(&self) {}
}

/// The queue as the logger's output. A line that does not fit is dropped.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.queued.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line.to_vec()).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut out: Box<dyn Write + Send>, lines: &Receiver<Vec<u8>>, queued: &AtomicUsize) {
    while let Ok(mut bytes) = lines.recv() {
        let mut count = 1;
        while bytes.len() < WRITE_BYTES
            && let Ok(line) = lines.try_recv()
        {
            bytes.extend_from_slice(&line);
            count += 1;
        }
        // Errors are ignored: a failure of the log output cannot be logged.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
        queued.fetch_sub(count, Ordering::Relaxed);
    }
}

fn format_line(record: &Record<'_>, time: impl std::fmt::Display) -> Vec<u8> {
    let mut line = Vec::new();
    let level = record.level().as_str().to_ascii_lowercase();
    let message = record.args().to_string();
    // Writing into a vector cannot fail.
    let _ = write!(line, "time={time} level={level} target={} msg={message:?}", record.target());
    let _ = record.key_values().visit(&mut Pairs(&mut line));
    line.push(b'\n');
    line
}

/// Whether a line is exempt from the rate limit: a warning, or the end of an unsuccessful request.
fn is_urgent(record: &Record<'_>) -> bool {
    let outcome = record.key_values().get(Key::from_str("outcome"));
    record.level() <= Level::Warn || outcome.is_some_and(|value| value.to_string() != "completed")
}

/// Writes the key-value pairs of a record to a line.
struct Pairs<'a>(&'a mut Vec<u8>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let written = if text.contains([' ', '"', '=', '\n']) {
            write!(self.0, " {key}={text:?}")
        } else {
            write!(self.0, " {key}={text}")
        };
        written.map_err(Error::from)
    }
}
