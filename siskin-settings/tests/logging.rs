//! Guards against logging that blocks the process or uses unbounded memory, and against lines that are suppressed without
//! being counted.

use {
    googletest::prelude::*,
    log::{Level, Log, Record},
    siskin_settings::logging::{LINES_PER_SECOND, Logger, QUEUE_LINES},
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// A log output that blocks until it is released.
#[derive(Clone, Default)]
struct Blocked(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    released: Condvar,
}

#[derive(Default)]
struct State {
    released: bool,
    bytes: Vec<u8>,
}

impl Blocked {
    fn release(&self) {
        self.0.state.lock().unwrap().released = true;
        self.0.released.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.state.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.0.state.lock().unwrap();
        let mut state = self.0.released.wait_while(state, |state| !state.released).unwrap();
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_request(logger: &Logger, outcome: &str, line: u32) {
    let pairs = [("outcome", outcome)];
    logger.log(
        &Record::builder()
            .level(Level::Info)
            .target("test")
            .module_path_static(Some("test"))
            .line(Some(line))
            .key_values(&pairs)
            .args(format_args!("request ended"))
            .build(),
    );
}

fn wait_until_written(logger: &Logger) {
    let start = Instant::now();
    while logger.queued() > 0 && start.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(5));
    }
}

#[googletest::test]
fn blocked_output_does_not_block_callers_and_the_queue_is_bounded() {
    let out = Blocked::default();
    let logger = Logger::new("info", Box::new(out.clone()));
    // Every kind stays under its rate limit, so that only the queue limits the lines.
    for kind in 0..2_000 {
        for _ in 0..10 {
            log_request(&logger, "completed", kind);
        }
    }
    expect_that!(logger.queued(), le(QUEUE_LINES / 2 + 1));
    for _ in 0..100 {
        log_request(&logger, "busy", 5_000);
    }
    out.release();
    wait_until_written(&logger);
    let busy = out.text().lines().filter(|line| line.contains("outcome=busy")).count();
    expect_that!(busy, eq(100), "refused requests are logged when ordinary lines are suppressed");
}

#[googletest::test]
fn suppressed_lines_are_counted() {
    let out = Blocked::default();
    out.release();
    let logger = Logger::new("info", Box::new(out.clone()));
    let (sent, refused) = (1_000, 300);
    // The burst may cross the end of a second; a further line a second later reports the remaining suppressed lines.
    for _ in 0..sent {
        log_request(&logger, "completed", 1);
    }
    for _ in 0..refused {
        log_request(&logger, "busy", 2);
    }
    thread::sleep(Duration::from_millis(1_100));
    log_request(&logger, "completed", 1);
    wait_until_written(&logger);
    let text = out.text();
    let written = text.lines().filter(|line| line.contains("outcome=completed")).count();
    let counted: usize = text
        .lines()
        .filter(|line| line.contains("were left out"))
        .filter_map(|line| line.split("msg=\"").nth(1)?.split(' ').next()?.parse::<usize>().ok())
        .sum();
    expect_that!(written + counted, eq(sent + 1));
    expect_that!(written, le(2 * usize::try_from(LINES_PER_SECOND).unwrap() + 1));
    expect_that!(text.lines().filter(|line| line.contains("outcome=busy")).count(), eq(refused));
}
