//! Sends one call of each kind through the site and checks each outcome.

use {
    crate::CUSTOMER_KEY,
    serde_json::Value,
    siskin_site::{
        Site,
        client::{self, Answer, CHAT_PATH, Call},
    },
};

/// One call and what has to come back.
struct Case {
    name: &'static str,
    path: &'static str,
    key: &'static str,
    body: &'static str,
    right: fn(&Answer) -> bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "model call",
        path: CHAT_PATH,
        key: CUSTOMER_KEY,
        body: r#"{"model": "small", "max_tokens": 8, "messages": [{"role": "user", "content": "gala-plan"}]}"#,
        right: |answer| {
            answer.status == 200 && answer.outcome() == "completed" && is_own_chat(answer)
        },
    },
    Case {
        name: "streamed model call",
        path: CHAT_PATH,
        key: CUSTOMER_KEY,
        body: r#"{"model": "small", "stream": true, "max_tokens": 8,
                 "messages": [{"role": "user", "content": "wedding-plan"}]}"#,
        right: |answer| {
            let own = answer.request();
            answer.status == 200
                && answer.body.contains(own)
                && answer.body.trim_end().ends_with("data: [DONE]")
        },
    },
    Case {
        name: "application call",
        path: "/apps/bookings/crews/7",
        key: CUSTOMER_KEY,
        body: "confirm crew 7",
        right: |answer| {
            answer.status == 200
                && answer.outcome() == "completed"
                && answer.body.contains("confirm crew 7")
        },
    },
    Case {
        name: "unknown key",
        path: CHAT_PATH,
        key: "wrong",
        body: "{}",
        right: |answer| answer.status == 401 && answer.outcome() == "not_run",
    },
    Case {
        name: "unknown model",
        path: CHAT_PATH,
        key: CUSTOMER_KEY,
        body: r#"{"model": "none", "messages": [{"role": "user", "content": "x"}]}"#,
        right: |answer| answer.status == 404 && answer.outcome() == "not_run",
    },
    Case {
        name: "malformed call",
        path: CHAT_PATH,
        key: CUSTOMER_KEY,
        body: "{",
        right: |answer| answer.status == 400 && answer.outcome() == "not_run",
    },
];

/// Whether a JSON answer carries the identifier that the router gave to this call.
fn is_own_chat(answer: &Answer) -> bool {
    let Ok(body) = serde_json::from_str::<Value>(&answer.body) else { return false };
    let text = body["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    !text.is_empty() && text.contains(answer.request())
}

/// Runs all cases at each router; true if every outcome was right.
pub(crate) async fn run(site: &Site) -> anyhow::Result<bool> {
    let mut right = true;
    for router in site.running() {
        for case in &CASES {
            let call = Call::post(router.callers(), case.path, case.key, case.body);
            let answer = client::send(&call).await?;
            let passed = (case.right)(&answer);
            right &= passed;
            println!(
                "{} {:<20} at {}: status {}, outcome {}",
                if passed { "ok  " } else { "FAIL" },
                case.name,
                call.router,
                answer.status.as_u16(),
                answer.outcome(),
            );
            if !passed {
                println!("     {}", answer.body);
            }
        }
    }
    Ok(right)
}
