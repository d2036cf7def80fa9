//! What was sent, answered and run, with the time since the start in milliseconds.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

#[derive(Debug)]
pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
    runs: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record file");
        Self {
            start: Instant::now(),
            out: Mutex::new(BufWriter::new(file)),
            runs: Mutex::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let millis = self.start.elapsed().as_millis();
        let _ = writeln!(self.out.lock().unwrap(), "{millis:>6} ms  {text}");
    }

    /// Notes that an engine runs a request.
    pub fn run(&self, request: &str, engine: &str) {
        self.line(&format!("run {request} at {engine}"));
        self.runs.lock().unwrap().push(request.to_owned());
    }

    /// The requests that engines have run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
