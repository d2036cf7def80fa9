//! The story of a request from log files.

use {
    googletest::prelude::*,
    std::{
        fs,
        io::Write,
        process::{Command, Output, Stdio},
    },
};

const FIRST: &str = "\
time=2026-12-04T08:15:30.100Z level=info target=t msg=\"request sent\" request=ab endpoint=e1\n\
time=2026-12-04T08:15:30.150Z level=info target=t msg=\"request sent\" request=cd endpoint=e2\n\
time=2026-12-04T08:15:30.300Z level=warn target=t msg=\"endpoint taken out of use\" endpoint=e1\n\
time=2026-12-04T08:15:30.400Z level=info target=t msg=\"request ended\" request=ab outcome=broken\n\
time=2026-12-04T08:16:30.400Z level=warn target=t msg=\"store lost\"\n";
const SECOND: &str = "\
time=2026-12-04T08:15:30.050Z level=info target=t msg=\"request refused\" request=ab outcome=busy\n\
time=2026-12-04T08:15:30.050Z level=info target=t msg=\"request refused\" request=abc outcome=busy\n";

fn explain(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_siskinctl"))
        .arg("explain")
        .args(arguments)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

#[googletest::test]
fn lines_of_several_routers_are_told_in_order() {
    let folder = std::env::temp_dir().join(format!("siskinctl-explain-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let (one, two) = (folder.join("one.log"), folder.join("two.log"));
    fs::write(&one, FIRST).unwrap();
    fs::write(&two, SECOND).unwrap();
    let output = explain(&["ab", one.to_str().unwrap(), two.to_str().unwrap()], "");
    fs::remove_dir_all(&folder).unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let told: Vec<&str> =
        text.lines().map(|line| line.split("msg=").nth(1).unwrap_or_default()).collect();
    expect_that!(
        told,
        elements_are![
            starts_with("\"request refused\""),
            starts_with("\"request sent\""),
            starts_with("\"endpoint taken out of use\""),
            starts_with("\"request ended\""),
        ]
    );
    expect_that!(output.status.code(), some(eq(0)));
}

#[googletest::test]
fn standard_input_is_read_and_a_prefix_names_the_router() {
    let input = format!("   12.5 front-a-1 {SECOND}");
    let output = explain(&["ab"], &input);
    let text = String::from_utf8(output.stdout).unwrap();
    expect_that!(text, starts_with("front-a-1: time="));
    let missing = explain(&["zz"], &input);
    expect_that!(missing.status.code(), some(eq(1)));
    expect_that!(
        String::from_utf8(missing.stderr).unwrap(),
        contains_substring("check the identifier")
    );
}

/// Guards against a refusal whose cause is not shown because the crashes were long ago and at other routers.
#[googletest::test]
fn crashes_that_explain_a_refusal_are_shown() {
    const REFUSED: &str = "\
time=2026-12-04T08:20:00.000Z level=info target=t msg=\"request crashes endpoints; it is not sent\" request=ab crashes=2 features=0a,0b retry_after_ms=1\n";
    const CRASHES: &str = "\
time=2026-12-04T08:15:30.000Z level=warn target=t msg=\"endpoint crashed while the request waited for its response\" request=cd endpoint=e1 features=0c,0b\n\
time=2026-12-04T08:15:30.000Z level=warn target=t msg=\"endpoint crashed while the request waited for its response\" request=ef endpoint=e1 features=0d\n\
time=2026-12-04T08:15:40.000Z level=warn target=t msg=\"cause of crashes found; requests with all these features are refused\" features=0b crashes=2\n\
time=2026-12-04T08:15:40.100Z level=info target=t msg=\"attempt broke\" request=gh features=0b\n";
    let input = format!("1 front-a-1 {REFUSED}{}", CRASHES.replace("time=", "2 front-b-1 time="));
    let output = explain(&["ab"], &input);
    let text = String::from_utf8(output.stdout).unwrap();
    expect_that!(
        text.lines().collect::<Vec<_>>(),
        elements_are![
            all![starts_with("    front-b-1: "), contains_substring("request=cd")],
            all![starts_with("    front-b-1: "), contains_substring("cause of crashes found")],
            all![starts_with("front-a-1: "), contains_substring("it is not sent")],
        ]
    );
}
