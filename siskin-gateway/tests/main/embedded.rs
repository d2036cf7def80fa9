//! The search for the head of another response inside a body.

use {
    crate::fixture::TestProtocol,
    googletest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    siskin_gateway::embedded::Search,
};

/// Most headers that a response may have.
const HEADERS_MAX: usize = 100;

/// Searches a body that arrives in parts of at most this size.
fn contains_response(body: &[u8], part_bytes: usize) -> bool {
    let mut search = Search::new(&TestProtocol);
    body.chunks(part_bytes).any(|part| search.push(part))
}

/// Parses what follows each beginning of a status line as the head of a response.
fn contains_response_by_parsing(body: &[u8]) -> bool {
    (0..body.len()).filter(|start| body[*start..].starts_with(b"HTTP/1.")).any(|start| {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut headers);
        let complete = response.parse(&body[start..]).is_ok_and(|status| status.is_complete());
        complete && response.headers.iter().any(|header| matches!(header.name, "id" | "signed"))
    })
}

struct Case {
    name: &'static str,
    body: String,
    want: bool,
}

fn cases() -> Vec<Case> {
    let case = |name, body: &str, want| Case { name, body: body.to_owned(), want };
    let headers = |count: usize| "a: b\r\n".repeat(count);
    vec![
        case("empty", "", false),
        case("no head", "a line\r\nanother one\r\n\r\n", false),
        case("identified", "wholeHTTP/1.1 200 OK\r\nid: x\r\n\r\n", true),
        case("signed", "wholeHTTP/1.0 503 \r\nx: y\r\nSIGNED: s\r\n\r\nrest", true),
        case("without reason", "HTTP/1.1 200\r\nid: x\r\n\r\n", true),
        case("line feeds alone", "HTTP/1.1 200 OK\nid: x\n\n", true),
        case("empty value", "HTTP/1.1 200 OK\r\nid:\r\n\r\n", true),
        case(
            "late in the body",
            &format!("{}HTTP/1.1 200 OK\r\nid: x\r\n\r\n", "a".repeat(1 << 20)),
            true,
        ),
        case(
            "long reason",
            &format!("HTTP/1.1 200 {}\r\nid: x\r\n\r\n", "a".repeat(1 << 20)),
            true,
        ),
        case("status line inside a reason", "HTTP/1.1 200 HTTP/1.1 200 OK\r\nid: x\r\n\r\n", true),
        case("cut-off status line before it", "HTTP/1.1 2HTTP/1.1 200 OK\r\nid: x\r\n\r\n", true),
        case(
            "status line inside a header",
            "HTTP/1.1 200 OK\r\na: HTTP/1.1 200 OK\r\nid: x\r\n\r\n",
            true,
        ),
        case(
            "most headers",
            &format!("HTTP/1.1 200 OK\r\nid: x\r\n{}\r\n", headers(HEADERS_MAX - 1)),
            true,
        ),
        case(
            "too many headers",
            &format!("HTTP/1.1 200 OK\r\nid: x\r\n{}\r\n", headers(HEADERS_MAX)),
            false,
        ),
        case("quoted status lines", &"HTTP/1.1 200 OK\r\n".repeat(9), false),
        case("quoted head", "HTTP/1.1 200 OK\r\nx: y\r\n\r\nid: x\r\n\r\n", false),
        case("mark before the status line", "id: x\r\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n", false),
        case("incomplete head", "HTTP/1.1 200 OK\r\nid: x\r\n", false),
        case("line that is no header", "HTTP/1.1 200 OK\r\nid: x\r\nno header\r\n\r\n", false),
        case("unknown version", "HTTP/1.2 200 OK\r\nid: x\r\n\r\n", false),
        case("control character in the reason", "HTTP/1.1 200 \u{1}\r\nid: x\r\n\r\n", false),
    ]
}

/// Guards against second responses that are missed, and against sound bodies that are taken for them, wherever the parts are cut.
#[googletest::test]
fn heads_of_responses_are_found_in_any_parts() {
    for case in cases() {
        let body = case.body.as_bytes();
        for part_bytes in [1, 7, 4_096, 1 << 21] {
            expect_that!(
                contains_response(body, part_bytes),
                eq(case.want),
                "{} in parts of {part_bytes}",
                case.name
            );
        }
    }
}

/// Guards against a search in one pass that decides otherwise than a parser that starts anew at each status line.
#[googletest::test]
fn search_agrees_with_a_parser() {
    const PIECES: [&str; 22] = [
        "HTTP/1.",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.0 404 \n",
        "H",
        "1",
        " ",
        "200",
        "OK",
        "\r\n",
        "\r\n\r\n",
        "\n",
        "\r",
        "id: x\r\n",
        "signed:\r\n",
        "id",
        ":",
        "a: b\r\n",
        "a: HTTP/1.1 500 X\r\n",
        "\t",
        "\u{1}",
        "ä",
    ];
    let seed = std::env::var("SISKIN_SEED").map_or(1, |seed| seed.parse().unwrap());
    let mut random = SmallRng::seed_from_u64(seed);
    let mut found = 0;
    for round in 0..200_000 {
        let count = random.random_range(1..14);
        let body: String = (0..count).map(|_| *PIECES.choose(&mut random).unwrap()).collect();
        let want = contains_response_by_parsing(body.as_bytes());
        let part_bytes = random.random_range(1..40);
        let is_found = contains_response(body.as_bytes(), part_bytes);
        assert_that!(
            is_found,
            eq(want),
            "seed {seed}, round {round}, parts of {part_bytes}: {body:?}"
        );
        found += u32::from(want);
    }
    expect_that!(found, gt(1_000), "responses among the bodies");
}
