//! A gateway, configurations and endpoints that the tests share.

use {
    hyper::{HeaderMap, http::request::Parts},
    siskin_dispatch::budget,
    siskin_gateway::{
        directory::Endpoint,
        gateway::{Gateway, Options},
        metrics::Metrics,
        protocol::{Answer, Head, Malformed, Outbound, Protocol},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Headers of the tests: `id`, `key`, `not-run` and `signed`.
#[derive(Debug)]
pub(crate) struct Plain;

impl Protocol for Plain {
    fn read(&self, head: &Parts) -> Result<Head, Malformed> {
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let missing = Malformed { header: "id", remedy: "send it" };
        Ok(Head { id: text("id").ok_or(missing)?, key: text("key"), ..Head::default() })
    }

    fn write(&self, headers: &mut HeaderMap, outbound: &Outbound<'_>) {
        headers.remove("key");
        headers.insert("instance", outbound.instance.parse().unwrap());
    }

    fn answer<'a>(&self, _status: u16, headers: &'a HeaderMap) -> Answer<'a> {
        Answer {
            id: headers.get("id").and_then(|id| id.to_str().ok()),
            not_run: headers.contains_key("not-run"),
            signed: headers.contains_key("signed"),
        }
    }
}

/// A gateway that knows nothing yet and listens on free ports.
pub(crate) fn gateway() -> Arc<Gateway> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = Options {
        listen: any,
        status: any,
        metrics: None,
        ready_path: "/ready".to_owned(),
        data_centre: "east".to_owned(),
        retries: budget::Options { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) },
        share_window: Duration::from_secs(4),
        grace: Duration::from_secs(2),
        notice: Duration::from_millis(50),
    };
    Gateway::new(options, Arc::new(Plain), Metrics::new().unwrap())
}

/// An endpoint of the service `app`.
pub(crate) fn endpoint(name: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        instance: name.to_owned(),
        id: Endpoint::number(name),
        service: "app".to_owned(),
        address,
        data_centre: "east".to_owned(),
        slots: 4,
        leaving: false,
        lapsed: false,
    }
}
