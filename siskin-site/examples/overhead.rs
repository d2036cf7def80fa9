//! Prints how long a short application call takes directly at the stand-in and through a router, taken in turn in one
//! run: without a claim, and with a claim in the store.
//!
//! Run with `cargo run --release -p siskin-site --example overhead`.

use {
    siskin_site::{
        Application, Customer, Options, Site,
        client::{Call, Client},
    },
    siskin_standin::application,
    std::time::{Duration, Instant},
};

/// Rounds; each makes one call of each kind.
const ROUNDS: usize = 1_000;

/// Rounds before the timing starts.
const WARM_UP: usize = 100;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> anyhow::Result<()> {
    let endpoint = application::Options { delay: Duration::ZERO, ..Default::default() };
    let bookings =
        Application { route: "bookings".to_owned(), idempotent: false, endpoints: vec![endpoint] };
    let options = Options { routers: 2, applications: vec![bookings], ..Options::default() };
    let site = Site::start(options).await?;
    site.ready().await?;
    let client = Client::new();
    let key = Customer::new("agency").key();
    let direct = Call::post(site.applications[0][0].address(), "/crews", &key, "confirm");
    let routed = Call::post(site.router(0).callers(), "/apps/bookings/crews", &key, "confirm");
    let (mut direct_times, mut routed_times, mut claimed_times) = (vec![], vec![], vec![]);
    for round in 0..WARM_UP + ROUNDS {
        let claimed = routed.clone().header("idempotency-key", &format!("round-{round}"));
        let times = [
            timed(&client, &direct).await?,
            timed(&client, &routed).await?,
            timed(&client, &claimed).await?,
        ];
        if round >= WARM_UP {
            direct_times.push(times[0]);
            routed_times.push(times[1]);
            claimed_times.push(times[2]);
        }
    }
    println!("call                 p50 us  p99 us");
    for (name, times) in
        [("direct", direct_times), ("routed", routed_times), ("routed with claim", claimed_times)]
    {
        let (p50, p99) = percentiles(times);
        println!("{name:<18}  {p50:7}  {p99:6}");
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

fn percentiles(mut times: Vec<Duration>) -> (u128, u128) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_micros();
    (at(50), at(99))
}
