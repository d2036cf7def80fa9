//! Helpers that several topics use.

use {
    serde_json::{Value, json},
    siskin_site::{Application, Options, Site, client::Answer},
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

/// Starts a site and waits until it is ready.
pub(crate) async fn start(options: Options) -> Site {
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
