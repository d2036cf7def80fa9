//! The platform's headers, translated at the edge of the process.

use {
    hyper::{HeaderMap, http::request::Parts},
    siskin_dispatch::prompt::Prompt,
    std::{fmt::Debug, time::Duration},
};

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The caller's name for this attempt.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits for the whole answer.
    pub allowed: Option<Duration>,
    /// The prompt, empty if none is announced.
    pub prompt: Prompt,
    /// Tokens that will likely be generated.
    pub output_tokens: u32,
}

/// A head that cannot be understood.
#[derive(Debug, thiserror::Error)]
#[error("header '{header}' is missing, repeated or malformed; {remedy}")]
pub struct Malformed {
    /// The header.
    pub header: &'static str,
    /// What to send instead.
    pub remedy: &'static str,
}

/// What an endpoint is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Outbound<'a> {
    /// Time left for the whole answer.
    pub allowed: Duration,
    /// The instance that is meant; another one at the same address refuses.
    pub instance: &'a str,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// The last event that the caller has, to go on after it.
    pub last_event: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answer<'a> {
    /// The request that it answers.
    pub id: Option<&'a str>,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether it bears the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// How long the endpoint wants no requests from this router.
    pub backoff: Option<Duration>,
}

/// Translates between the platform's headers and the gateway's types.
pub trait Protocol: Debug + Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a header that is needed is missing or cannot be read.
    fn read(&self, head: &Parts) -> Result<Head, Malformed>;

    /// Replaces headers that only the fleet may set.
    fn write(&self, headers: &mut HeaderMap, outbound: &Outbound<'_>);

    /// Reads the head of an endpoint's answer.
    fn answer<'a>(&self, status: u16, headers: &'a HeaderMap) -> Answer<'a>;

    /// Removes from an endpoint's answer what it says to this router only.
    fn clean_answer(&self, headers: &mut HeaderMap);
}
