//! Guards against settings that are accepted without validation or rejected without a remedy.

use {
    googletest::prelude::*,
    siskin_settings::{Error, Outcome, Program, Setting, Values, load},
};

const PROGRAM: Program = Program { name: "demo", version: "1.2.3", purpose: "Tests settings." };

const TABLE: [Setting; 5] = [
    Setting::new("listen", "DEMO_LISTEN", Some("127.0.0.1:80"), "ADDRESS", "address to listen on"),
    Setting::new("wait-ms", "DEMO_WAIT_MS", Some("250"), "MS", "time to wait"),
    Setting::new("seeds", "DEMO_SEEDS", None, "ADDRESSES", "other routers"),
    Setting::new("check", "DEMO_CHECK", None, "", "check and exit"),
    Setting::secret("DEMO_TOKEN", "operators' token"),
];

fn values(arguments: &[&str], variables: &[(&str, &str)]) -> std::result::Result<Values, Error> {
    let arguments: Vec<String> = arguments.iter().map(|&text| text.to_owned()).collect();
    let find = |name: &str| {
        variables.iter().find(|(key, _)| *key == name).map(|(_, value)| (*value).to_owned())
    };
    match load(PROGRAM, &TABLE, &arguments, find)? {
        Outcome::Run(values) => Ok(values),
        Outcome::Print(text) => panic!("printed {text}"),
    }
}

#[gtest]
fn flag_overrides_variable_and_variable_overrides_default() {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        variables: &'static [(&'static str, &'static str)],
        want: u64,
    }
    let cases = [
        Case { name: "default", arguments: &[], variables: &[], want: 250 },
        Case { name: "variable", arguments: &[], variables: &[("DEMO_WAIT_MS", "7")], want: 7 },
        Case {
            name: "flag",
            arguments: &["--wait-ms", "9"],
            variables: &[("DEMO_WAIT_MS", "7")],
            want: 9,
        },
    ];
    for case in cases {
        let values = values(case.arguments, case.variables).expect(case.name);
        let wait = values.number("wait-ms", 1..=1_000_u64);
        expect_that!(wait, ok(eq(&case.want)), "{}", case.name);
    }
}

#[gtest]
fn errors_name_setting_value_and_remedy() {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        want: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "range",
            arguments: &["--wait-ms", "0"],
            want: &["--wait-ms", "DEMO_WAIT_MS", "'0'", "from 1 to 1000"],
        },
        Case { name: "text", arguments: &["--wait-ms", "soon"], want: &["'soon'", "number"] },
        Case { name: "address", arguments: &["--listen", "here"], want: &["--listen", "'here'"] },
        Case { name: "list", arguments: &["--seeds", "127.0.0.1:1,x"], want: &["--seeds", "'x'"] },
        Case { name: "flag", arguments: &["--unknown"], want: &["unknown"] },
        Case { name: "stray", arguments: &["stray"], want: &["'stray'"] },
    ];
    for case in cases {
        let error = values(case.arguments, &[]).and_then(|values| {
            values.number("wait-ms", 1..=1_000_u64)?;
            values.address("listen")?;
            values.addresses("seeds").map(|_| ())
        });
        let text = error.expect_err(case.name).to_string();
        for part in case.want {
            expect_that!(text, contains_substring(*part), "{}", case.name);
        }
    }
}

#[gtest]
fn secrets_have_no_flag_and_are_not_printed() {
    let given = values(&[], &[("DEMO_TOKEN", "s3cret")]).unwrap();
    expect_that!(given.secret("DEMO_TOKEN"), some(eq("s3cret")));
    expect_that!(values(&["--token", "s3cret"], &[]), err(anything()));
    let missing = values(&[], &[("DEMO_TOKEN_FILE", "/nonexistent/token")]);
    expect_that!(missing.unwrap_err().to_string(), contains_substring("DEMO_TOKEN_FILE"));
}
