//! Sends one call and checks its answer.

use {
    crate::{
        fault::CRASH_TEXT,
        tally::{NotRun, Tally, micros},
        workload::{Call, Kind, model},
    },
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::{Bytes, Incoming},
    },
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
    siskin_standin::engine,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Attempts at a confirmation that was not answered, with the same key.
const CONFIRMATION_ATTEMPTS: u32 = 3;

/// Pause before a confirmation is sent again.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(200);

/// Time that the application takes for a confirmation.
const CONFIRMATION_MS: u64 = 20;

/// Status of an answer with content. The endpoint's other statuses reach the caller as they are.
const SUCCESS: u16 = 200;

/// How the routers are called.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    routers: Arc<[SocketAddr]>,
    models: u32,
    tally: Arc<Tally>,
}

/// End of one attempt.
#[derive(Clone, Debug, Default)]
struct End {
    /// HTTP status, 0 without an answer.
    status: u16,
    outcome: String,
    reason: String,
    request: String,
    /// The answer presented as complete.
    text: String,
    /// Tokens that the answer says it has.
    tokens: Option<u32>,
}

impl End {
    fn new(outcome: &str, reason: &str) -> Self {
        Self { outcome: outcome.to_owned(), reason: reason.to_owned(), ..Self::default() }
    }

    fn read(response: &Response<Incoming>) -> Self {
        let field = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Self {
            status: response.status().as_u16(),
            outcome: field("x-siskin-outcome"),
            reason: field("x-siskin-reason"),
            request: field("x-request-id"),
            ..Self::default()
        }
    }
}

/// Notes a model call as outstanding until it is dropped.
struct Outstanding<'a> {
    tally: &'a Tally,
    call: Call,
    since: Instant,
}

impl<'a> Outstanding<'a> {
    fn new(tally: &'a Tally, call: Call) -> Self {
        let since = Instant::now();
        let mut sheet = tally.lock();
        let open = &mut sheet.open[call.customer];
        open.outstanding += 1;
        open.unstarted.insert((since, call.nonce));
        Self { tally, call, since }
    }

    /// The first byte has arrived.
    fn started(&self) {
        let key = (self.since, self.call.nonce);
        self.tally.lock().open[self.call.customer].unstarted.remove(&key);
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        self.started();
        self.tally.lock().open[self.call.customer].outstanding -= 1;
    }
}

/// Name of a customer in requests and in the stand-ins' histories.
pub(crate) fn user(customer: usize) -> String {
    format!("customer-{customer}")
}

/// A customer as the configuration knows it.
pub(crate) fn party(customer: usize) -> siskin_site::Customer {
    siskin_site::Customer::new(&user(customer))
}

impl Caller {
    pub(crate) fn new(routers: Vec<SocketAddr>, models: u32, tally: Arc<Tally>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, routers: routers.into(), models, tally }
    }

    /// Sends a call and records how it ended.
    pub(crate) async fn run(self, call: Call) {
        self.tally.lock().sent += 1;
        match call.kind {
            Kind::Confirmation => self.confirm(call).await,
            _ => self.chat(call).await,
        }
    }

    async fn chat(&self, call: Call) {
        let outstanding = Outstanding::new(&self.tally, call);
        let message = message(&call);
        let end = match self.send_chat(&call, &message).await {
            Ok(response) if call.stream => self.read_stream(&outstanding, response).await,
            Ok(response) => self.read_whole(&outstanding, response).await,
            Err(end) => end,
        };
        drop(outstanding);
        self.check_chat(&call, &message, &end);
        self.record(&end);
    }

    async fn send_chat(&self, call: &Call, message: &str) -> Result<Response<Incoming>, End> {
        let shared = format!("{} {:?} ", user(call.customer), call.kind);
        let length = call.kind.shared_bytes();
        let system: String = shared.chars().cycle().take(length).collect();
        let body = json!({
            "model": model(u32::try_from(call.nonce % u64::from(self.models)).unwrap_or_default()),
            "stream": call.stream,
            // A rough hint, as real callers give.
            "max_tokens": (call.tokens * 2).next_power_of_two(),
            "standin_tokens": call.tokens,
            "user": user(call.customer),
            "messages": [
                {"role": "system", "content": system},
                {"role": "user", "content": message},
            ],
        });
        self.post(call, 0, "/v1/chat/completions", &[], body.to_string()).await
    }

    async fn post(
        &self,
        call: &Call,
        attempt: u32,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response<Incoming>, End> {
        let first = call.router + attempt as usize;
        // Where a router refuses the connection, the balancer takes the next one: nothing has been sent.
        for next in 0..self.routers.len() {
            let router = self.routers[(first + next) % self.routers.len()];
            let mut request = Request::post(format!("http://{router}{path}"))
                .header("authorization", format!("Bearer {}", party(call.customer).key()));
            for (name, value) in headers {
                request = request.header(*name, *value);
            }
            let request = request.body(Full::new(Bytes::from(body.clone())));
            let request = request.map_err(|_| End::new("caller_error", "malformed"))?;
            match self.client.request(request).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_connect() => {}
                Err(_) => return Err(End::new("no_answer", "connection_lost")),
            }
        }
        Err(End::new("no_answer", "no_connection"))
    }

    async fn read_whole(&self, outstanding: &Outstanding<'_>, response: Response<Incoming>) -> End {
        let mut end = End::read(&response);
        let success = response.status().is_success();
        let Ok(collected) = response.into_body().collect().await else {
            return End { request: end.request, ..End::new("no_answer", "connection_lost") };
        };
        outstanding.started();
        if success {
            let value: Value = serde_json::from_slice(&collected.to_bytes()).unwrap_or_default();
            let text = value["choices"][0]["message"]["content"].as_str();
            text.unwrap_or_default().clone_into(&mut end.text);
            end.tokens = tokens(&value);
        }
        end
    }

    async fn read_stream(
        &self,
        outstanding: &Outstanding<'_>,
        response: Response<Incoming>,
    ) -> End {
        let mut end = End::read(&response);
        if !response.status().is_success() {
            return end;
        }
        outstanding.started();
        let mut reader =
            Reader { caller: self, sent: outstanding.since, last: None, end: &mut end };
        let finished = reader.read(response.into_body()).await;
        if !finished {
            let request = std::mem::take(&mut end.request);
            return End { request, ..End::new("no_answer", "connection_lost") };
        }
        end
    }

    /// Checks that an answer presented as complete is this call's and is whole.
    fn check_chat(&self, call: &Call, message: &str, end: &End) {
        if end.outcome != "completed" || end.status != SUCCESS {
            return;
        }
        let case = format!("request {} (call {}): '{:.80}'", end.request, call.nonce, end.text);
        let own = engine::token(&end.request, message, 0);
        let mut sheet = self.tally.lock();
        if !end.text.starts_with(&own) {
            sheet.broken.wrong_caller.push(case);
        } else if end.text != engine::text(&end.request, message, end.tokens.unwrap_or(call.tokens))
        {
            sheet.broken.incomplete.push(case);
        }
    }

    fn record(&self, end: &End) {
        let mut sheet = self.tally.lock();
        if end.outcome == "completed" && end.status != SUCCESS {
            sheet.ended(&end.outcome, &format!("status {}", end.status));
        } else {
            sheet.ended(&end.outcome, &end.reason);
        }
        if end.outcome == "not_run" {
            sheet.not_run.push(NotRun { request: end.request.clone(), reason: end.reason.clone() });
        }
    }

    /// Sends a confirmation, again with the same key while nobody knows whether it ran.
    async fn confirm(&self, call: Call) {
        let key = format!("confirmation-{}", call.nonce);
        let body = format!("confirm booking {}", call.nonce);
        for attempt in 0..CONFIRMATION_ATTEMPTS {
            *self.tally.lock().confirmations.entry(key.clone()).or_default() += 1;
            let end = self.confirm_once(&call, attempt, &key, &body).await;
            self.record(&end);
            if !matches!(end.outcome.as_str(), "no_answer" | "unknown") {
                return;
            }
            tokio::time::sleep(CONFIRMATION_PAUSE).await;
        }
    }

    async fn confirm_once(&self, call: &Call, attempt: u32, key: &str, body: &str) -> End {
        let (user, delay) = (user(call.customer), CONFIRMATION_MS.to_string());
        let headers = [
            ("idempotency-key", key),
            ("x-standin-user", user.as_str()),
            ("x-standin-delay-ms", delay.as_str()),
        ];
        let path = "/apps/bookings/confirm";
        let response = match self.post(call, attempt, path, &headers, body.to_owned()).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        let mut end = End::read(&response);
        let success = response.status().is_success();
        let Ok(collected) = response.into_body().collect().await else {
            return End { request: end.request, ..End::new("no_answer", "connection_lost") };
        };
        end.text = String::from_utf8_lossy(&collected.to_bytes()).into_owned();
        if success && end.outcome == "completed" && !end.text.contains(body) {
            let case = format!("request {} (call {}): '{:.80}'", end.request, call.nonce, end.text);
            self.tally.lock().broken.wrong_caller.push(case);
        }
        end
    }
}

/// The user's message of a call. It begins with a unique number, which the answer repeats.
fn message(call: &Call) -> String {
    match call.kind {
        // The same content each time: the request is sent again and again.
        Kind::Crash => format!("{CRASH_TEXT} now"),
        kind => format!("call {:08} asks for a {kind:?}", call.nonce),
    }
}

fn tokens(value: &Value) -> Option<u32> {
    value["usage"]["completion_tokens"].as_u64().and_then(|tokens| u32::try_from(tokens).ok())
}

/// Reads an event stream.
struct Reader<'a> {
    caller: &'a Caller,
    sent: Instant,
    last: Option<Instant>,
    end: &'a mut End,
}

impl Reader<'_> {
    /// Reads to the end; false if the stream broke off without telling its outcome.
    async fn read(&mut self, mut body: Incoming) -> bool {
        let mut buffer = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            buffer.extend_from_slice(&frame.into_data().unwrap_or_default());
            while let Some(length) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..length + 2).collect();
                if self.event(&String::from_utf8_lossy(&event)) {
                    return true;
                }
            }
        }
        false
    }

    /// Takes an event; true if it is the last one.
    fn event(&mut self, event: &str) -> bool {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data:").unwrap_or_default().trim();
        if data == "[DONE]" {
            "completed".clone_into(&mut self.end.outcome);
            return true;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if field("event:").is_some_and(|name| name.trim() == "error") {
            let read = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
            self.end.outcome = read("outcome");
            self.end.reason = read("reason");
            return true;
        }
        self.end.tokens = tokens(&value).or(self.end.tokens);
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            self.end.text.push_str(text);
            self.token();
        }
        false
    }

    /// Notes the time of a token.
    fn token(&mut self) {
        let now = Instant::now();
        let mut sheet = self.caller.tally.lock();
        match self.last.replace(now) {
            None => sheet.first_token.saturating_record(micros(now - self.sent)),
            Some(last) => sheet.between_tokens.saturating_record(micros(now - last)),
        }
    }
}
