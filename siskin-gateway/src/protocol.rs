//! Translation of the platform's headers to and from the gateway's types.

use {
    hyper::{HeaderMap, http::request::Parts},
    siskin_dispatch::{limit, prompt::Prompt, work},
    std::{fmt::Debug, time::Duration},
};

/// The fields of a caller's request head that the gateway uses.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Identifier that the caller gave to this attempt.
    pub id: String,
    /// Key that identifies the customer.
    pub key: Option<String>,
    /// Time that the caller allows for the complete response.
    pub allowed: Option<Duration>,
    /// The prompt; empty if the head announces none.
    pub prompt: Prompt,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// The stream that the caller takes up again; `None` if the request begins anew.
    pub continuation: Option<Continuation>,
}

/// What a caller says of the stream that it takes up again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Continuation {
    /// Identifier of the last event that the caller has received.
    pub last_event: Option<String>,
    /// Identifier of the request that began the stream; `None` if the caller does not name exactly one.
    pub origin: Option<String>,
}

/// A required header is missing, or a header cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("header '{header}' is missing, repeated or malformed; {remedy}")]
pub struct Malformed {
    /// Name of the header.
    pub header: &'static str,
    /// What to send instead.
    pub remedy: &'static str,
}

/// Values of the headers that the router adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct Outbound<'a> {
    /// Time left for the complete response.
    pub allowed: Duration,
    /// The intended instance of the endpoint; another instance at the same address refuses the request.
    pub instance: &'a str,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// Identifier of the last event that the caller has received, if the stream is to resume after it.
    pub last_event: Option<&'a str>,
}

/// The fields of an endpoint's response head that the gateway uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answer<'a> {
    /// Identifier of the request that this is the response to.
    pub id: Option<&'a str>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the response is signed by the endpoint.
    pub signed: bool,
    /// Whether the endpoint states that it is leaving.
    pub leaving: bool,
    /// Time for which the endpoint asks this router to send no requests.
    pub backoff: Option<Duration>,
    /// What the endpoint states of its limit.
    pub limit: limit::Notice,
    /// Time for which the endpoint states that it is still cold.
    pub cold: Option<Duration>,
    /// What the endpoint states of its load.
    pub load: Option<work::Load>,
}

/// Translates between the platform's headers and the gateway's types.
pub trait Protocol: Debug + Send + Sync {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a required header is missing or a header cannot be parsed.
    fn read(&self, head: &Parts) -> Result<Head, Malformed>;

    /// Removes the headers that only the fleet may set from a request to an endpoint, and sets them.
    fn write(&self, headers: &mut HeaderMap, outbound: &Outbound<'_>);

    /// Parses the head of an endpoint's response.
    fn answer<'a>(&self, status: u16, headers: &'a HeaderMap) -> Answer<'a>;

    /// Whether a header of this name, in any case, stands only in heads of endpoints' responses: the identifier of the request or
    /// the signature.
    fn marks_response(&self, name: &[u8]) -> bool;

    /// Removes the headers that are addressed to this router only from an endpoint's response.
    fn remove_router_headers(&self, headers: &mut HeaderMap);
}
