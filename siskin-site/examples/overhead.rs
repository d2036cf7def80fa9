//! Prints how long short calls of each kind take directly at the stand-in and through a router, taken in turn in one
//! run.
//!
//! Run with `cargo run --release -p siskin-site --example overhead`.

use {
    siskin_site::{
        Application, Customer, Options, Site,
        client::{Call, Client},
    },
    siskin_standin::{application, engine},
    std::time::{Duration, Instant},
};

/// Rounds; each makes one call of each kind to the stand-in and one through the router.
const ROUNDS: usize = 1_000;

/// Rounds before the timing starts.
const WARM_UP: usize = 100;

/// Tokens of a chat's answer.
const TOKENS: u64 = 8;

/// A kind of call.
struct Kind {
    name: &'static str,
    direct: Call,
    routed: Call,
    /// Whether each call has an idempotency key of its own.
    keyed: bool,
    direct_times: Vec<Duration>,
    routed_times: Vec<Duration>,
}

impl Kind {
    const fn new(name: &'static str, direct: Call, routed: Call, keyed: bool) -> Self {
        Self { name, direct, routed, keyed, direct_times: vec![], routed_times: vec![] }
    }

    async fn round(&mut self, client: &Client, round: usize) -> anyhow::Result<()> {
        let (mut direct, mut routed) = (self.direct.clone(), self.routed.clone());
        if self.keyed {
            direct = direct.header("idempotency-key", &format!("direct-{round}"));
            routed = routed.header("idempotency-key", &format!("routed-{round}"));
        }
        let times = (timed(client, &direct).await?, timed(client, &routed).await?);
        if round >= WARM_UP {
            self.direct_times.push(times.0);
            self.routed_times.push(times.1);
        }
        Ok(())
    }

    fn print(self) {
        let (direct, routed) = (percentiles(self.direct_times), percentiles(self.routed_times));
        println!(
            "{:<16}  {:>10}  {:>10}  {:>10}  {:>10}  {:>10}  {:>10}",
            self.name,
            direct.0,
            routed.0,
            routed.0 - direct.0,
            direct.1,
            routed.1,
            routed.1 - direct.1,
        );
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> anyhow::Result<()> {
    let engine = engine::Options {
        token_interval: Duration::ZERO,
        prompt_token: Duration::ZERO,
        ..Default::default()
    };
    let endpoint = application::Options { delay: Duration::ZERO, ..Default::default() };
    let bookings =
        Application { route: "bookings".to_owned(), idempotent: false, endpoints: vec![endpoint] };
    let options = Options {
        routers: 2,
        engines: vec![engine],
        applications: vec![bookings],
        ..Options::default()
    };
    let site = Site::start(options).await?;
    site.ready().await?;
    let client = Client::new();
    let key = Customer::new("agency").key();
    let callers = site.router(0).callers();
    let chat = |address, stream| Call::chat(address, &key, "where to?", TOKENS, stream);
    let engine = site.engines[0].address();
    let direct = Call::post(site.applications[0][0].address(), "/crews", &key, "confirm");
    let routed = Call::post(callers, "/apps/bookings/crews", &key, "confirm");
    let mut kinds = [
        Kind::new("chat", chat(engine, false), chat(callers, false), false),
        Kind::new("streamed chat", chat(engine, true), chat(callers, true), false),
        Kind::new("application call", direct.clone(), routed.clone(), false),
        Kind::new("claimed call", direct, routed, true),
    ];
    for round in 0..WARM_UP + ROUNDS {
        for kind in &mut kinds {
            kind.round(&client, round).await?;
        }
    }
    println!(
        "microseconds      p50 direct  p50 routed   p50 added  p99 direct  p99 routed   p99 added"
    );
    for kind in kinds {
        kind.print();
    }
    site.stop().await;
    Ok(())
}

async fn timed(client: &Client, call: &Call) -> anyhow::Result<Duration> {
    let started = Instant::now();
    let answer = client.send(call).await?;
    anyhow::ensure!(answer.status.is_success(), "the call failed: {answer:?}");
    Ok(started.elapsed())
}

fn percentiles(mut times: Vec<Duration>) -> (i128, i128) {
    times.sort_unstable();
    let at = |percent: usize| {
        let micros = times[(times.len() - 1) * percent / 100].as_micros();
        i128::try_from(micros).unwrap_or(i128::MAX)
    };
    (at(50), at(99))
}
