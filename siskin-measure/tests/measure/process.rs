//! Stand-ins as processes of their own.

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
