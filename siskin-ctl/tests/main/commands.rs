//! Commands, their output and their exit codes.

use {
    crate::standin::{Router, TOKEN, run},
    serde_json::{Value, json},
    siskin_config::{
        document::{Document, Hash},
        patch,
    },
};

fn router() -> Router {
    let mut document = Document::default();
    let changes = json!({
        "customers": { "alpha": { "id": 4, "max_in_flight": 4, "max_queue": 8 } },
        "pools": { "chat": { "id": 1, "unit": "tokens", "max_request": 4096 } },
        "models": { "small": { "id": 1, "pool": "chat" }, "large": { "id": 2, "pool": "chat" } },
        "endpoints": { "e1": {
            "id": 1, "kind": "engine", "pool": "chat", "address": "10.0.0.1:80",
            "data_centre": "a", "models": ["small"], "slots": 8
        } }
    });
    patch::apply(&mut document, &changes).unwrap();
    Router::start(document, 7)
}

fn document(router: &Router) -> Value {
    serde_json::to_value(&router.state.lock().unwrap().document).unwrap()
}

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    input: &'static str,
    code: i32,
    /// A text that standard output contains, or standard error if the command fails.
    text: &'static str,
}

const fn case(
    name: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    text: &'static str,
) -> Case {
    Case { name, arguments, input: "", code, text }
}

/// Guards against commands that fail, print the wrong thing or return the wrong exit code.
#[test]
fn output_and_exit_codes() {
    let cases = [
        case("help", &["--help"], 0, "Usage: siskinctl"),
        case("version", &["--version"], 0, "siskinctl 0."),
        case("no command", &[], 2, "no command is given"),
        case("unknown command", &["customer", "rename", "a"], 2, "not a complete command"),
        case("unknown flag", &["status", "--frobnicate"], 2, "--help"),
        case("bad format", &["status", "--format", "xml"], 2, "use json or table"),
        case("bad address", &["status", "--address", "router:80"], 2, "IP:PORT"),
        case("bad number", &["history", "--limit", "ten"], 2, "--limit is 'ten'"),
        case(
            "unused flag",
            &["customer", "set", "alpha", "--weight", "2", "--base", "1"],
            2,
            "--base",
        ),
        case("bad fingerprint", &["suspects", "lift", "../x"], 2, "is not a fingerprint"),
        case("missing token file", &["status", "--token-file", "/no/such/file"], 2, "--token-file"),
        case("nobody listens", &["status", "--address", "127.0.0.1:1"], 1, "does not answer"),
        case("show", &["show"], 0, "customers  1"),
        case("show section", &["show", "customers"], 0, "alpha"),
        case("show fleet", &["show", "fleet"], 0, "retry_budget_percent  10"),
        case("show item", &["show", "endpoints", "e1", "--format", "json"], 0, "\"slots\": 8"),
        case("show unknown section", &["show", "users"], 1, "there is no section 'users'"),
        case("show unknown item", &["show", "pools", "x"], 1, "there is no 'x' in pools"),
        case("history", &["history", "--limit", "2"], 0, "ann"),
        case("diff", &["diff", "3", "5"], 0, "models.small  -"),
        case("endpoints", &["endpoint", "list"], 0, "empty"),
        case("suspects", &["suspects", "list"], 0, "ab12"),
        case("lift", &["suspects", "lift", "ab12"], 0, "no longer suspected"),
        case("status", &["status"], 0, "histories have diverged"),
        case("json", &["status", "--format", "json"], 0, "\"refusing\": \"isolated\""),
        case("customer exists", &["customer", "create", "alpha"], 1, "exists already"),
        case("no such customer", &["customer", "remove", "beta"], 1, "there is no customer 'beta'"),
        case("nothing to set", &["customer", "set", "alpha"], 1, "no field of customer 'alpha'"),
        case("no such endpoint", &["endpoint", "drain", "e9"], 1, "there is no endpoint 'e9'"),
        case("no such model", &["model", "load", "x", "e1"], 1, "there is no model 'x'"),
        case("loaded already", &["model", "load", "small", "e1"], 0, "nothing to change"),
        case(
            "rule is broken",
            &["customer", "set", "alpha", "--max-queue", "0"],
            1,
            "customers.alpha.max_queue is '0', which is refused; use a number from 1",
        ),
        Case {
            name: "stale patch",
            arguments: &["patch", "--base", "6"],
            input: "{}",
            code: 3,
            text: "version 7 is in force",
        },
        Case {
            name: "patch is not JSON",
            arguments: &["patch"],
            input: "{",
            code: 1,
            text: "is not JSON",
        },
    ];
    let router = router();
    for Case { name, arguments, input, code, text } in cases {
        let outcome = router.run(arguments, input);
        assert_eq!(outcome.code, code, "{name}: {outcome:?}");
        let place = if code == 0 { &outcome.stdout } else { &outcome.stderr };
        assert!(place.contains(text), "{name}: {outcome:?} does not contain '{text}'");
        let printed = format!("{outcome:?}");
        assert!(!printed.contains(TOKEN), "{name}: the token is printed");
    }
    assert_eq!(router.state.lock().unwrap().lifted, ["/v1/suspects/ab12"]);
    assert_eq!(router.state.lock().unwrap().version, 7, "a failed command changed the document");
}

/// Guards against commands that make the wrong patch.
#[test]
fn changes() {
    let router = router();
    let hash = Hash::of(b"secret").to_string();
    let steps: &[(&[&str], &str, Value)] = &[
        (
            &["customer", "create", "beta", "--weight", "3", "--rate", "9", "--key-hash", &hash],
            "/customers/beta",
            json!({
                "id": 5, "weight": 3, "max_in_flight": 64, "max_queue": 256,
                "rate_per_second": 9, "key_hashes": [hash]
            }),
        ),
        (
            &["customer", "set", "beta", "--rate", "unlimited", "--weight", "1"],
            "/customers/beta",
            json!({ "id": 5, "max_in_flight": 64, "max_queue": 256, "key_hashes": [hash] }),
        ),
        (&["customer", "remove", "beta"], "/customers/beta", Value::Null),
        (&["endpoint", "drain", "e1"], "/endpoints/e1/leaving", json!(true)),
        (&["endpoint", "undrain", "e1"], "/endpoints/e1/leaving", Value::Null),
        (&["model", "load", "large", "e1"], "/endpoints/e1/models", json!(["small", "large"])),
        (&["model", "unload", "small", "e1"], "/endpoints/e1/models", json!(["large"])),
    ];
    for ((arguments, path, want), version) in steps.iter().zip(8..) {
        let outcome = router.run(arguments, "");
        assert_eq!(outcome.code, 0, "{arguments:?}: {outcome:?}");
        assert_eq!(outcome.stdout, format!("accepted as version {version}\n"), "{arguments:?}");
        let document = document(&router);
        assert_eq!(document.pointer(path).unwrap_or(&Value::Null), want, "{arguments:?}");
    }
    let input = r#"{ "fleet": { "retry_budget_percent": 5 } }"#;
    let outcome = router.run(&["patch", "--format", "json"], input);
    assert!(outcome.stdout.contains("\"version\": 15"), "{outcome:?}");
}

/// Guards against a patch that is applied twice, or reported as failed, when its answer is lost.
#[test]
fn lost_answer() {
    let router = router();
    router.state.lock().unwrap().answers_to_drop = 1;
    let outcome = router.run(&["endpoint", "drain", "e1"], "");
    assert_eq!(
        (outcome.code, outcome.stdout.as_str()),
        (0, "accepted as version 8\n"),
        "{outcome:?}"
    );
    let state = router.state.lock().unwrap();
    assert_eq!((state.version, state.patches_received), (8, 2));
}

/// Guards against a token that is missing, wrong or not taken from a file.
#[test]
fn token() {
    let address = ("SISKIN_OPERATOR_ADDRESS", "127.0.0.1:1");
    let outcome = run(&[address], &["status"], "");
    assert_eq!(outcome.code, 2, "{outcome:?}");
    assert!(outcome.stderr.contains("SISKIN_OPERATOR_TOKEN is missing"), "{outcome:?}");

    let router = router();
    let file = std::env::temp_dir().join(format!("siskinctl-token-{}", std::process::id()));
    std::fs::write(&file, "not-the-token\n").unwrap();
    let path = file.to_str().unwrap();
    let outcome = router.run(&["status", "--token-file", path], "");
    assert_eq!(outcome.code, 1, "{outcome:?}");
    assert!(outcome.stderr.contains("refuses the token"), "{outcome:?}");
    assert!(!outcome.stderr.contains("not-the-token"), "{outcome:?}");
    std::fs::write(&file, format!("{TOKEN}\n")).unwrap();
    let outcome = router.run(&["status", "--token-file", path], "");
    assert_eq!(outcome.code, 0, "{outcome:?}");
    std::fs::remove_file(&file).unwrap();
}
