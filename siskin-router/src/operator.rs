//! The operators' HTTP interface.
//!
//! `GET /healthz`, `/readyz` and `/metrics` need no token; everything below `/v1/` needs
//! `Authorization: Bearer <token>`.

use {
    crate::{
        configure,
        shared::{Shared, lock},
        view::View,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    siskin_config::{
        document,
        operator::{
            Config, Diff, Endpoint, Endpoints, Failure, History, Patch, Refused, Status, Suspect,
            Suspects,
        },
    },
    siskin_outcome::poison::{Fingerprint, Verdict},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinSet},
    warp::{
        Filter, Rejection, Reply,
        http::{StatusCode, header::AUTHORIZATION},
        reply::Response,
    },
};

/// Largest patch with its envelope.
const BODY_BYTES: u64 = 512 * 1024;

/// Entries of the history that are shown unless the request says otherwise.
const HISTORY_LIMIT: usize = 20;

/// What a filter without a rejection of its own gives.
type Answer = Result<Response, Infallible>;

/// Serves operators until the router ends.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let state = Arc::clone(&shared);
    let with = warp::any().map(move || Arc::clone(&state));
    let open = warp::get().and(
        warp::path!("healthz")
            .map(|| text(StatusCode::OK, "ok\n".to_owned()))
            .or(warp::path!("readyz").and(with.clone()).map(|shared| ready(&shared)))
            .unify()
            .or(warp::path!("metrics")
                .and(with.clone())
                .map(|shared: Arc<Shared>| text(StatusCode::OK, shared.metrics_page())))
            .unify(),
    );
    let reads = warp::get().and(
        warp::path!("v1" / "config")
            .and(with.clone())
            .map(|shared: Arc<Shared>| config(&shared.view()))
            .or(warp::path!("v1" / "config" / "history")
                .and(with.clone())
                .and(warp::query())
                .map(|shared, query| history(&shared, &query)))
            .unify()
            .or(warp::path!("v1" / "config" / "diff")
                .and(with.clone())
                .and(warp::query())
                .map(|shared, query| diff(&shared, &query)))
            .unify()
            .or(warp::path!("v1" / "endpoints").and(with.clone()).and_then(endpoints))
            .unify()
            .or(warp::path!("v1" / "suspects").and(with.clone()).map(|shared| suspects(&shared)))
            .unify()
            .or(warp::path!("v1" / "status").and(with.clone()).map(|shared| status(&shared)))
            .unify(),
    );
    let patches = warp::post()
        .and(warp::path!("v1" / "config" / "patches"))
        .and(with.clone())
        .and(json_body())
        .and_then(submit);
    let lift = warp::delete()
        .and(warp::path!("v1" / "suspects" / String))
        .and(with.clone())
        .map(|fingerprint: String, shared| lift(&shared, &fingerprint));
    let closed = authorised(shared.settings.operator_token.reveal())
        .and(reads.or(patches).unify().or(lift).unify());
    let routes = open.or(closed).unify().recover(rejected).unify().boxed();
    warp::serve(routes).incoming(listener).run().await;
}

/// The caller has no valid token.
#[derive(Debug)]
struct Unauthorised;

impl warp::reject::Reject for Unauthorised {}

/// Lets requests with the right token pass. Hashes are compared, so the time tells nothing about the token.
fn authorised(token: &str) -> impl Filter<Extract = (), Error = Rejection> + Clone + use<> {
    let expected = blake3::hash(token.as_bytes());
    warp::header::optional::<String>(AUTHORIZATION.as_str())
        .and_then(move |header: Option<String>| async move {
            let given = header.as_deref().and_then(|header| header.strip_prefix("Bearer "));
            match given {
                Some(given) if blake3::hash(given.as_bytes()) == expected => Ok(()),
                _ => Err(warp::reject::custom(Unauthorised)),
            }
        })
        .untuple_one()
}

fn json_body<T: DeserializeOwned + Send>() -> impl Filter<Extract = (T,), Error = Rejection> + Clone
{
    warp::body::content_length_limit(BODY_BYTES).and(warp::body::json())
}

/// Turns rejections into errors that name the remedy.
async fn rejected(rejection: Rejection) -> Answer {
    let (code, error) = if rejection.find::<Unauthorised>().is_some() {
        (
            StatusCode::UNAUTHORIZED,
            "send 'Authorization: Bearer <token>' with the operators' token".to_owned(),
        )
    } else if let Some(error) = rejection.find::<warp::body::BodyDeserializeError>() {
        (StatusCode::BAD_REQUEST, format!("the body is malformed ({error}); correct the JSON"))
    } else if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        (
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body exceeds {BODY_BYTES} bytes; split the patch"),
        )
    } else if rejection.find::<warp::reject::LengthRequired>().is_some() {
        (StatusCode::LENGTH_REQUIRED, "send the header Content-Length".to_owned())
    } else if rejection.find::<warp::reject::InvalidQuery>().is_some() {
        (StatusCode::BAD_REQUEST, "the query is malformed; correct its fields".to_owned())
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        (StatusCode::METHOD_NOT_ALLOWED, "the path does not take this method".to_owned())
    } else {
        (StatusCode::NOT_FOUND, "there is nothing at this path; see docs/operators.md".to_owned())
    };
    Ok(json(code, &Failure { error }))
}

fn config(view: &View) -> Response {
    let config = Config { version: view.version(), document: view.document().clone() };
    json(StatusCode::OK, &config)
}

#[derive(Debug, Deserialize)]
struct HistoryQuery {
    limit: Option<usize>,
}

fn history(shared: &Arc<Shared>, query: &HistoryQuery) -> Response {
    let limit = query.limit.unwrap_or(HISTORY_LIMIT);
    let history = shared.config.read(|follower| {
        let version = follower.version();
        // The newest entry may not be in force yet.
        let mut entries = follower.history().newest(limit.saturating_add(1));
        entries.retain(|entry| entry.version <= version);
        entries.truncate(limit);
        History { version, entries }
    });
    json(StatusCode::OK, &history)
}

#[derive(Debug, Deserialize)]
struct DiffQuery {
    from: u64,
    to: u64,
}

fn diff(shared: &Arc<Shared>, query: &DiffQuery) -> Response {
    let (from, to) = (query.from, query.to);
    let changes = shared.config.read(|follower| follower.difference(from, to));
    match changes {
        Ok(changes) => json(StatusCode::OK, &Diff { from, to, changes }),
        Err(error) => json(StatusCode::NOT_FOUND, &Failure { error: error.to_string() }),
    }
}

async fn submit(shared: Arc<Shared>, patch: Patch) -> Answer {
    let author = patch.author.clone();
    Ok(match configure::submit(&shared, patch).await {
        Ok(accepted) => {
            log::info!(version = accepted.version, author; "patch was accepted");
            json(StatusCode::OK, &accepted)
        }
        Err(refusal) => {
            log::info!(author; "patch was refused: {refusal}");
            let refused = Refused::from(&refusal);
            let code = StatusCode::from_u16(refused.status());
            json(code.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &refused)
        }
    })
}

/// Lists the endpoints with what each says of its load. An endpoint knows the requests of all routers, so its own
/// figure tells when it is empty.
async fn endpoints(shared: Arc<Shared>) -> Answer {
    let view = shared.view();
    let mut probes = JoinSet::new();
    for (name, endpoint) in view.document().endpoints.iter() {
        let shared = Arc::clone(&shared);
        let (name, endpoint) = (name.to_string(), Arc::clone(endpoint));
        probes.spawn(async move { listed(&shared, name, &endpoint).await });
    }
    let mut endpoints = probes.join_all().await;
    endpoints.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(json(StatusCode::OK, &Endpoints { endpoints }))
}

async fn listed(shared: &Arc<Shared>, name: String, endpoint: &document::Endpoint) -> Endpoint {
    let pool = shared.view().index().pool_named(&endpoint.pool).and_then(|id| shared.pool(id));
    let (report, own) = match &pool {
        Some(pool) => {
            let occupancy = pool.occupancy();
            let own = occupancy.iter().find(|occupancy| occupancy.endpoint == endpoint.id);
            let probe = shared.probe(pool, endpoint.id).await;
            (probe.map(|probe| probe.report), own.map_or(0, |occupancy| occupancy.in_flight))
        }
        None => (None, 0),
    };
    let reported = report.map_or(0, |report| report.running + report.waiting);
    let in_flight = reported.max(own);
    let leaving = endpoint.leaving
        || shared.is_listed_leaving(endpoint.address)
        || report.is_some_and(|report| report.leaving);
    Endpoint {
        name,
        kind: endpoint.kind,
        pool: endpoint.pool.clone(),
        address: endpoint.address,
        data_centre: endpoint.data_centre.clone(),
        slots: endpoint.slots,
        in_flight,
        leaving,
        // An endpoint that does not answer may still run something.
        empty: leaving && report.is_some() && in_flight == 0,
    }
}

fn suspects(shared: &Arc<Shared>) -> Response {
    let now = shared.clock.now();
    let listed = shared.pools().into_iter().flat_map(|pool| pool.suspects().list(now));
    let suspects = listed
        .map(|suspect| {
            let retry_after = match suspect.verdict {
                Verdict::Refuse { retry_after } => retry_after,
                Verdict::Run | Verdict::RunAlone => Duration::ZERO,
            };
            Suspect {
                fingerprint: hexadecimal(suspect.fingerprint),
                strikes: u32::try_from(suspect.crashes).unwrap_or(u32::MAX),
                refused: matches!(suspect.verdict, Verdict::Refuse { .. }),
                expires_in_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            }
        })
        .collect();
    json(StatusCode::OK, &Suspects { suspects })
}

fn lift(shared: &Arc<Shared>, fingerprint: &str) -> Response {
    let Some(parsed) = parse_fingerprint(fingerprint) else {
        let error =
            format!("'{fingerprint}' is not a fingerprint; copy one from the list of suspects");
        return json(StatusCode::NOT_FOUND, &Failure { error });
    };
    let now = shared.clock.now();
    let pools = shared.pools();
    let known = |suspects: &crate::suspect::Suspects| {
        suspects.list(now).iter().any(|suspect| suspect.fingerprint == parsed)
    };
    let mut found = false;
    for pool in pools.iter().filter(|pool| known(pool.suspects())) {
        pool.suspects().lift(shared, now, parsed);
        found = true;
    }
    if found {
        log::info!(fingerprint; "suspicion was lifted");
        return StatusCode::NO_CONTENT.into_response();
    }
    let error = format!("there is no suspect '{fingerprint}'; copy one from the list of suspects");
    json(StatusCode::NOT_FOUND, &Failure { error })
}

fn hexadecimal(fingerprint: Fingerprint) -> String {
    format!("{:032x}", u128::from_be_bytes(fingerprint.0))
}

fn parse_fingerprint(text: &str) -> Option<Fingerprint> {
    let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u128::from_str_radix(text, 16).ok().filter(|_| digits)?;
    Some(Fingerprint(number.to_be_bytes()))
}

fn status(shared: &Arc<Shared>) -> Response {
    let now = shared.clock.now();
    let (visible, known) = {
        let member = lock(&shared.member);
        (member.visible(), member.known())
    };
    let refusing = shared.refuses_work();
    let (version, confirmation_age, alarms) = shared.config.read(|follower| {
        (follower.version(), follower.confirmation_age(now), follower.alarms(now))
    });
    let view = shared.view();
    let blocked = shared.pools().into_iter().flat_map(|pool| pool.orders().alarms(&view));
    let alarms = alarms.into_iter().chain(blocked).collect();
    let status = Status {
        node: shared.settings.node.0,
        incarnation: shared.incarnation,
        data_centre: shared.settings.data_centre.clone(),
        version,
        confirmed_ms_ago: confirmation_age
            .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        store_reachable: shared.config.store_reachable(now),
        visible,
        known,
        serving: refusing.is_none(),
        refusing: refusing.map(|reason| reason.label().to_owned()),
        alarms,
    };
    json(StatusCode::OK, &status)
}

fn ready(shared: &Arc<Shared>) -> Response {
    match shared.refuses_work() {
        None => text(StatusCode::OK, "ready\n".to_owned()),
        Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n")),
    }
}

fn text(code: StatusCode, text: String) -> Response {
    warp::reply::with_status(text, code).into_response()
}

fn json(code: StatusCode, value: &impl Serialize) -> Response {
    warp::reply::with_status(warp::reply::json(value), code).into_response()
}
