//! The programs: stand-ins as processes of their own, and how measurements start and end.

use {
    googletest::prelude::*,
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::TcpStream,
        process::{Child, Command, Stdio},
    },
};

/// A child process that ends with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(flags: &[&str]) -> (Process, String) {
    let program = env!("CARGO_BIN_EXE_siskin-standin");
    let mut child = Command::new(program).args(flags).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (Process(child), line.trim_end().trim_start_matches("listening on ").to_owned())
}

/// Guards against a kind of stand-in that cannot be run from flags, or whose faults cannot be reached.
#[gtest]
fn kinds() {
    struct Case {
        kind: &'static str,
        path: &'static str,
        want: &'static str,
    }
    let cases = [
        Case { kind: "engine", path: "/load", want: "\"slots\":3" },
        Case { kind: "engine", path: "/control", want: "{}" },
        Case { kind: "application", path: "/load", want: "\"slots\":3" },
        Case { kind: "kv", path: "/control", want: "\"writes\":0" },
        Case { kind: "vms", path: "/vms", want: "{\"vms\":[]}" },
    ];
    for case in cases {
        let (process, address) = start(&["--kind", case.kind, "--control", "--slots", "3"]);
        let mut stream = TcpStream::connect(&address).unwrap();
        let request = format!("GET {} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n", case.path);
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        expect_that!(answer, contains_substring(case.want), "{} {}", case.kind, case.path);
        drop(process);
    }
}

/// Guards against bad flags that are accepted or do not name the remedy.
#[gtest]
fn usage() {
    let program = env!("CARGO_BIN_EXE_siskin-standin");
    let output = Command::new(program).args(["--kind", "queue"]).output().unwrap();
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(String::from_utf8_lossy(&output.stderr), contains_substring("use engine"));
}

/// Guards against flags that are accepted together and cannot work, and against failures without a remedy.
#[gtest]
fn refused() {
    struct Case {
        flags: &'static [&'static str],
        code: i32,
        want: &'static str,
    }
    let cases = [
        Case { flags: &["--rate", "fast"], code: 2, want: "use a number from 0 to 1000" },
        Case { flags: &["--changes", "-1"], code: 2, want: "use a number from 0 to 20" },
        Case { flags: &["--engines", "4", "--models", "5"], code: 2, want: "from 1 to 4" },
        Case { flags: &["--processes", "--routers", "57"], code: 2, want: "from 1 to 56" },
        Case { flags: &["--processes", "--fault", "partition"], code: 2, want: "leave out" },
        Case {
            flags: &["--processes", "--program", "no-such-program"],
            code: 3,
            want: "build siskin-router",
        },
    ];
    for case in cases {
        let program = env!("CARGO_BIN_EXE_siskin-measure");
        let output = Command::new(program).args(case.flags).output().unwrap();
        expect_that!(output.status.code(), some(eq(case.code)), "{:?}", case.flags);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(text, contains_substring(case.want), "{:?}", case.flags);
    }
}

/// Guards against a signal that ends the measurement at once, without ending what it started.
#[gtest]
fn signal() {
    let program = env!("CARGO_BIN_EXE_siskin-measure");
    let flags = ["--modes", "fleet", "--routers", "1", "--duration", "3600"];
    let child = Command::new(program).args(flags).stderr(Stdio::piped()).spawn().unwrap();
    let mut process = Process(child);
    let mut lines = BufReader::new(process.0.stderr.take().unwrap());
    let mut text = String::new();
    // The first line tells that the run is under way, so signals are handled.
    lines.read_line(&mut text).unwrap();
    let command = format!("kill -TERM {}", process.0.id());
    expect_true!(Command::new("/bin/sh").args(["-c", &command]).status().unwrap().success());
    lines.read_to_string(&mut text).unwrap();
    expect_that!(process.0.wait().unwrap().code(), some(eq(3)));
    expect_that!(text, contains_substring("SIGTERM received"));
}
