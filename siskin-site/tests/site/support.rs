//! Helpers that several topics use.

use {
    hyper::Method,
    serde_json::{Value, json},
    siskin_site::{
        Application, OPERATOR_TOKEN, Options, Site,
        client::{Answer, Call, send},
    },
    siskin_standin::{application, engine, fault::Command},
    std::time::Duration,
};

/// Silence after which an endpoint is probed, shortened so that tests are quick.
pub(crate) const PROGRESS_TIMEOUT_MS: u64 = 200;

/// A site with quick stand-ins and short timeouts.
pub(crate) fn options() -> Options {
    let endpoint = application::Options { delay: Duration::from_millis(5), ..Default::default() };
    let application = |route: &str, idempotent| Application {
        route: route.to_owned(),
        idempotent,
        endpoints: vec![endpoint.clone(); 2],
    };
    Options {
        engines: vec![
            engine::Options {
                token_interval: Duration::from_millis(2),
                load_lag: Duration::from_millis(20),
                ..Default::default()
            };
            2
        ],
        applications: vec![application("bookings", false), application("search", true)],
        fleet: json!({ "progress_timeout_ms": PROGRESS_TIMEOUT_MS }),
        ..Options::default()
    }
}

/// Starts a site and waits until it is ready. `SISKIN_LOG` shows the log of a failing test.
pub(crate) async fn start(options: Options) -> Site {
    if let Ok(filter) = std::env::var("SISKIN_LOG") {
        siskin_settings::logging::start(&filter, siskin_settings::logging::Stream::Error);
    }
    let site = Site::start(options).await.expect("the site starts");
    site.ready().await.expect("the site becomes ready");
    site
}

/// Gives a command to all endpoints.
pub(crate) fn command_all(site: &Site, command: &Command) {
    site.engines.iter().for_each(|engine| engine.command(command.clone()));
    site.applications.iter().flatten().for_each(|endpoint| endpoint.command(command.clone()));
}

/// Gives a command to the first endpoint of each kind.
pub(crate) fn command_one(site: &Site, command: &Command) {
    site.engines[0].command(command.clone());
    site.applications.iter().for_each(|endpoints| endpoints[0].command(command.clone()));
}

/// How often endpoints started a request, by their own history.
pub(crate) fn runs(site: &Site, name: &str) -> u64 {
    let engines = site.engines.iter().map(|engine| engine.runs(name));
    let applications = site.applications.iter().flatten().map(|endpoint| endpoint.runs(name));
    engines.chain(applications).sum()
}

/// The text of a chat answer, streamed or not.
pub(crate) fn chat_text(answer: &Answer) -> String {
    let content = |value: &Value, field: &str| {
        value["choices"][0][field]["content"].as_str().unwrap_or_default().to_owned()
    };
    if let Ok(whole) = serde_json::from_str::<Value>(&answer.body) {
        return content(&whole, "message");
    }
    answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .map(|chunk| content(&chunk, "delta"))
        .collect()
}

/// A call of the operators' interface.
pub(crate) fn operator_call(
    site: &Site,
    router: usize,
    method: Method,
    path: &str,
    body: &str,
) -> Call {
    let address = site.router(router).operators();
    Call { method, ..Call::post(address, path, OPERATOR_TOKEN, body) }
        .header("content-type", "application/json")
}

/// Reads from the operators' interface.
pub(crate) async fn get(site: &Site, router: usize, path: &str) -> Value {
    let answer =
        send(&operator_call(site, router, Method::GET, path, "")).await.expect("an answer");
    serde_json::from_str(&answer.body).unwrap_or_else(|_| panic!("{path} gave {answer:?}"))
}

/// Submits a patch.
pub(crate) async fn patch(
    site: &Site,
    router: usize,
    id: &str,
    base: u64,
    changes: &Value,
) -> Answer {
    let body = json!({ "id": id, "base": base, "author": "test", "changes": changes });
    let path = "/v1/config/patches";
    send(&operator_call(site, router, Method::POST, path, &body.to_string()))
        .await
        .expect("an answer")
}
