//! The HTTP interface for callers.

use {
    super::{
        answer::{self, Body},
        chat::Chat,
        claimed, respond,
    },
    crate::{
        claims::Claim,
        exchange::{self, Application, Call, Kind, passed_headers},
        shared::{Shared, lock},
        view::{View, route_number},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
        http::request::Parts,
    },
    siskin_config::document::Route,
    siskin_outcome::outcome::{Outcome, Reason},
    siskin_route::{estimate, prefix::Chain},
    siskin_types::{cost::Units, id::Customer, time::Instant},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Path of model calls.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path below which applications are called, by route.
const APPLICATIONS_PATH: &str = "/apps/";

/// Header by which a caller shortens its deadline.
const TIMEOUT_MS: &str = "x-siskin-timeout-ms";

/// Header that names a call, so that it runs at most once however often it is sent.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest idempotency key.
const IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Longest time in which a caller has to send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Expected time of an application call in milliseconds; corrected when it ends.
const APPLICATION_ESTIMATE: Units = Units(50);

/// A refusal of malformed or unauthenticated input. It is boxed because an answer is large for an error.
struct Refused(Box<Response<Body>>);

impl From<Response<Body>> for Refused {
    fn from(response: Response<Body>) -> Self {
        Self(Box::new(response))
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => plain(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&shared),
        (&Method::GET, "/metrics") => plain(StatusCode::OK, shared.metrics_page()),
        _ => match serve(&shared, request).await {
            Ok(response) => response,
            Err(refused) => *refused.0,
        },
    }
}

async fn serve(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refused> {
    let view = shared.view();
    let (head, incoming) = request.into_parts();
    let limit = view.document().fleet.max_head_bytes;
    if head_bytes(&head) > limit {
        let message =
            format!("the head of the request exceeds {limit} bytes; send fewer or shorter headers");
        let code = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(refuse(shared, code, "head_too_large", &message));
    }
    if let Some(reason) = shared.refuses_work() {
        return Err(not_run(shared, reason).into());
    }
    let customer = authenticate(shared, &view, &head.headers)?;
    let path = head.uri.path();
    if path == CHAT_PATH {
        if head.method != Method::POST {
            return Err(refuse(shared, StatusCode::METHOD_NOT_ALLOWED, "method", "use POST"));
        }
        let limit = view.document().fleet.max_body_bytes;
        let body = read_body(shared, incoming, limit).await?;
        let call = chat_call(shared, &view, customer, &head.headers, &body)?;
        return Ok(run(shared, call, None).await);
    }
    if let Some(rest) = path.strip_prefix(APPLICATIONS_PATH) {
        let name = rest.split('/').next().unwrap_or_default().to_owned();
        let Some(route) = view.document().routes.get(&name) else {
            let message = format!("there is no application '{name}'; check the path");
            return Err(refuse(shared, StatusCode::NOT_FOUND, "unknown_route", &message));
        };
        let limit = route.max_body_bytes.unwrap_or(view.document().fleet.max_body_bytes);
        let body = read_body(shared, incoming, limit).await?;
        let call = application_call(shared, &view, customer, &head, (&name, route), body)?;
        let claim = claim(shared, &head.headers, &call)?;
        return Ok(run(shared, call, claim).await);
    }
    let message = format!("there is nothing at '{path}'; use {CHAT_PATH} or {APPLICATIONS_PATH}");
    Err(refuse(shared, StatusCode::NOT_FOUND, "unknown_path", &message))
}

/// Runs a call in a task of its own, so that it ends properly even if the caller's connection goes away.
async fn run(shared: &Arc<Shared>, call: Call, claim: Option<Claim>) -> Response<Body> {
    let (responder, head) = respond::channel();
    let request = call.request;
    let running = shared.begin_request();
    let task_shared = Arc::clone(shared);
    shared.spawn(async move {
        match claim {
            Some(claim) => claimed::run(task_shared, call, claim, responder).await,
            None => drop(exchange::run(task_shared, call, responder).await),
        }
        drop(running);
    });
    match head.await {
        Ok(response) => response,
        // The task panicked. It may have sent the request before.
        Err(_) => answer::outcome(request, Outcome::Unknown(Reason::Broken), None),
    }
}

/// The claim of a call that may not be repeated and carries an idempotency key.
fn claim(shared: &Shared, headers: &HeaderMap, call: &Call) -> Result<Option<Claim>, Refused> {
    let (Some(key), Kind::Application(application)) = (headers.get(IDEMPOTENCY_KEY), &call.kind)
    else {
        return Ok(None);
    };
    if application.idempotent {
        return Ok(None);
    }
    let key = key.as_bytes();
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_BYTES {
        let message =
            format!("header {IDEMPOTENCY_KEY} must have 1 to {IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(refuse(shared, StatusCode::BAD_REQUEST, "malformed", &message));
    }
    // The target does not name the route; its number does.
    let path = format!("{}{}", call.model, application.target);
    let content = (application.method.as_str(), path.as_str(), application.body.as_ref());
    Ok(Some(shared.claims.name(call.request, call.customer, key, content)))
}

fn chat_call(
    shared: &Shared,
    view: &View,
    customer: Customer,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Call, Refused> {
    let chat = Chat::parse(body).map_err(|error| {
        refuse(shared, StatusCode::BAD_REQUEST, "malformed", &error.to_string())
    })?;
    let pool = view.index().pool_of_model(&chat.model).and_then(|id| shared.pool(id));
    let (Some(model), Some(pool)) = (view.model(&chat.model), pool) else {
        let message = format!("there is no model '{}'; check its name", chat.model);
        return Err(refuse(shared, StatusCode::NOT_FOUND, "unknown_model", &message));
    };
    let prompt = estimate::tokens(chat.prompt.len());
    let limit = pool.max_request() - prompt;
    if limit == Units(0) {
        let message = format!(
            "the prompt has about {} tokens and a request may cost {}; shorten it",
            prompt.0,
            pool.max_request().0
        );
        return Err(refuse(shared, StatusCode::PAYLOAD_TOO_LARGE, "prompt_too_long", &message));
    }
    let wanted = chat.max_tokens.map_or(limit, |wanted| wanted.min(limit));
    let estimate = prompt + lock(&shared.estimator).output(customer, model, wanted);
    let chain = Chain::new(model.0, &chat.prompt);
    Ok(Call {
        request: shared.next_request(),
        customer,
        pool,
        model,
        deadline: deadline(shared, view, headers, None)?,
        estimate,
        fingerprint: shared.fingerprints.fingerprint(customer, body),
        kind: Kind::Chat { chat, chain, limit },
    })
}

fn application_call(
    shared: &Shared,
    view: &View,
    customer: Customer,
    head: &Parts,
    (name, route): (&str, &Route),
    body: Bytes,
) -> Result<Call, Refused> {
    let Some(pool) = view.index().pool_of_route(name).and_then(|id| shared.pool(id)) else {
        let message = format!("application '{name}' has no pool; ask the operators");
        return Err(refuse(shared, StatusCode::NOT_FOUND, "unknown_route", &message));
    };
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    let below = &target[(APPLICATIONS_PATH.len() + name.len()).min(target.len())..];
    let target = if below.starts_with('/') { below.to_owned() } else { format!("/{below}") };
    let mut headers = passed_headers(&head.headers);
    // The key is between the caller and the router.
    headers.remove(AUTHORIZATION);
    let content = [head.method.as_str().as_bytes(), target.as_bytes(), &body].join(&b'\n');
    let fingerprint = shared.fingerprints.fingerprint(customer, &content);
    let max_duration = route.max_duration_ms.map(Duration::from_millis);
    Ok(Call {
        request: shared.next_request(),
        customer,
        pool,
        model: route_number(name),
        deadline: deadline(shared, view, &head.headers, max_duration)?,
        estimate: APPLICATION_ESTIMATE,
        fingerprint,
        kind: Kind::Application(Application {
            method: head.method.clone(),
            target,
            headers,
            body,
            idempotent: route.idempotent,
        }),
    })
}

/// When the caller stops waiting: its own wish, at most what the configuration allows.
fn deadline(
    shared: &Shared,
    view: &View,
    headers: &HeaderMap,
    max_duration: Option<Duration>,
) -> Result<Instant, Refused> {
    let longest = view.document().fleet.request_timeout();
    let longest = max_duration.map_or(longest, |duration| duration.min(longest));
    let wanted = match headers.get(TIMEOUT_MS) {
        None => longest,
        Some(value) => {
            let wanted = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
            let Some(wanted) = wanted.filter(|&wanted| wanted > 0) else {
                let message =
                    format!("header {TIMEOUT_MS} must be a number of milliseconds above 0");
                return Err(refuse(shared, StatusCode::BAD_REQUEST, "malformed", &message));
            };
            Duration::from_millis(wanted)
        }
    };
    Ok(shared.clock.now() + wanted.min(longest))
}

/// Bytes of a request's head as HTTP/1.1 writes it.
fn head_bytes(head: &Parts) -> u64 {
    // Two spaces, the version and the line end; a colon, a space and the line end.
    const REQUEST_LINE: usize = 12;
    const HEADER_LINE: usize = 4;
    let target = head.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let line = head.method.as_str().len() + target + REQUEST_LINE;
    let headers = head.headers.iter();
    let headers: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE).sum();
    (line + headers) as u64
}

fn authenticate(shared: &Shared, view: &View, headers: &HeaderMap) -> Result<Customer, Refused> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|key| view.index().customer_of_key(key.trim().as_bytes()))
        .ok_or_else(|| {
            let message = "send 'Authorization: Bearer <key>' with a key of a customer";
            refuse(shared, StatusCode::UNAUTHORIZED, "unauthenticated", message)
        })
}

async fn read_body(shared: &Shared, body: Incoming, limit: u64) -> Result<Bytes, Refused> {
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    match time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body exceeds {limit} bytes; send less");
            Err(refuse(shared, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", &message))
        }
        Ok(Err(error)) => {
            let message = format!("the body could not be read ({error}); send it again");
            Err(refuse(shared, StatusCode::BAD_REQUEST, "malformed", &message))
        }
        Err(_) => {
            let message = "the body did not arrive in time; send it faster";
            Err(refuse(shared, StatusCode::REQUEST_TIMEOUT, "body_timeout", message))
        }
    }
}

fn refuse(shared: &Shared, code: StatusCode, reason: &'static str, message: &str) -> Refused {
    shared.metrics.refusals.with_label_values(&[reason]).inc();
    answer::refusal(code, reason, message).into()
}

fn not_run(shared: &Shared, reason: Reason) -> Response<Body> {
    shared.metrics.refusals.with_label_values(&[reason.label()]).inc();
    answer::outcome(shared.next_request(), Outcome::NotRun(reason), None)
}

fn ready(shared: &Shared) -> Response<Body> {
    match shared.refuses_work() {
        None => plain(StatusCode::OK, "ready\n"),
        Some(reason) => plain(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n")),
    }
}

fn plain(code: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(answer::full(text));
    *response.status_mut() = code;
    let text = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}
