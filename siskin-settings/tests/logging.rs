//! Guards against logging that blocks the process or grows without limit, and against lines that vanish uncounted.

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

/// A reader of the log that does not read until it is told to.
#[derive(Clone, Default)]
struct Stuck(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    released: Condvar,
}

#[derive(Default)]
struct State {
    reads: bool,
    bytes: Vec<u8>,
}

impl Stuck {
    fn release(&self) {
        self.0.state.lock().unwrap().reads = true;
        self.0.released.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.state.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.0.state.lock().unwrap();
        let mut state = self.0.released.wait_while(state, |state| !state.reads).unwrap();
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(logger: &Logger, outcome: &str, line: u32) {
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
fn stuck_reader_blocks_nobody_and_the_queue_is_bounded() {
    let out = Stuck::default();
    let logger = Logger::new("info", Box::new(out.clone()));
    // Every kind stays under its limit, so that only the queue bounds them.
    for kind in 0..2_000 {
        for _ in 0..10 {
            write(&logger, "completed", kind);
        }
    }
    expect_that!(logger.queued(), le(QUEUE_LINES / 2 + 1));
    for _ in 0..100 {
        write(&logger, "busy", 5_000);
    }
    out.release();
    wait_until_written(&logger);
    let refused = out.text().lines().filter(|line| line.contains("outcome=busy")).count();
    expect_that!(refused, eq(100), "refused requests have room when ordinary lines have none");
}

#[googletest::test]
fn left_out_lines_are_counted() {
    let out = Stuck::default();
    out.release();
    let logger = Logger::new("info", Box::new(out.clone()));
    let (sent, refused) = (1_000, 300);
    // The burst may span a second's end; a second burst a second later makes the count complete.
    for _ in 0..sent {
        write(&logger, "completed", 1);
    }
    for _ in 0..refused {
        write(&logger, "busy", 2);
    }
    thread::sleep(Duration::from_millis(1_100));
    write(&logger, "completed", 1);
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
