//! Requests and answers of the operators' HTTP interface. All bodies are JSON, and every request
//! carries `Authorization: Bearer <token>`.
//!
//! | Request | Answer |
//! | --- | --- |
//! | `GET /v1/config` | [`Config`] |
//! | `GET /v1/config/history?limit=N` | [`History`] |
//! | `GET /v1/config/diff?from=A&to=B` | [`Diff`] |
//! | `POST /v1/config/patches` with a [`Patch`] | 200 [`Accepted`], 409 [`Stale`], 422 [`Invalid`], 503 [`Unavailable`] |
//! | `GET /v1/endpoints` | [`Endpoints`] |
//! | `GET /v1/suspects` | [`Suspects`] |
//! | `DELETE /v1/suspects/<fingerprint>` | 204, or 404 [`Failure`] |
//! | `GET /v1/status` | [`Status`] |

use {
    crate::{
        document::{self, Document, Service},
        entry::Entry,
        submit::Refusal,
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

pub use crate::patch::Patch;

/// Path of the document.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of the history.
pub const HISTORY_PATH: &str = "/v1/config/history";
/// Path of the difference between two versions.
pub const DIFF_PATH: &str = "/v1/config/diff";
/// Path to which patches are posted.
pub const PATCHES_PATH: &str = "/v1/config/patches";
/// Path of the list of endpoints.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// Path of the list of suspect requests. A fingerprint is appended to address one of them.
pub const SUSPECTS_PATH: &str = "/v1/suspects";
/// Path of the status.
pub const STATUS_PATH: &str = "/v1/status";

/// The document in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// The document.
    pub document: Document,
}

/// The latest entries, newest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The version in force.
    pub version: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// The changes between two versions, as one merge patch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Diff {
    /// The earlier version.
    pub from: u64,
    /// The later version.
    pub to: u64,
    /// The merge patch from the earlier to the later version.
    pub changes: Value,
}

/// The patch was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The resulting version.
    pub version: u64,
}

/// The patch was made against another version than the one in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stale {
    /// Text for the operator.
    pub error: String,
    /// The version in force.
    pub current: u64,
    /// Entries after the patch's base version. Empty, with `truncated` set, if the base is too old.
    pub changes_since: Vec<Entry>,
    /// Whether entries are missing from `changes_since` because they are no longer kept.
    #[serde(default)]
    pub truncated: bool,
}

/// The patch violates a validation rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invalid {
    /// Text for the operator.
    pub error: String,
    /// The field that was refused.
    pub field: String,
    /// Its value.
    pub value: String,
    /// How to correct it.
    pub remedy: String,
}

impl From<&document::Error> for Invalid {
    fn from(error: &document::Error) -> Self {
        Self {
            error: error.to_string(),
            field: error.field.clone(),
            value: error.value.clone(),
            remedy: error.remedy.clone(),
        }
    }
}

/// Any other failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Text for the operator, with the remedy.
    pub error: String,
}

/// The patch cannot be accepted at the moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unavailable {
    /// Text for the operator, with the remedy.
    pub error: String,
    /// Whether the patch may have been applied.
    pub outcome: Outcome,
}

/// Whether a patch that was answered with status 503 may have been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// This attempt did not apply the patch. An earlier attempt whose answer was lost may have.
    NotApplied,
    /// The patch may have been applied or may still be. Sending it again with the same identifier shows
    /// the result.
    Unknown,
}

/// Answer to a patch that was not accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Refused {
    /// Status 409.
    Stale(Stale),
    /// Status 422.
    Invalid(Invalid),
    /// Status 503.
    Unavailable(Unavailable),
}

impl Refused {
    /// The HTTP status of the answer.
    ///
    /// ```
    /// use siskin_config::{operator::Refused, submit::Refusal};
    /// assert_eq!(Refused::from(&Refusal::StoreUnavailable).status(), 503);
    /// ```
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Stale(_) => 409,
            Self::Invalid(_) => 422,
            Self::Unavailable(_) => 503,
        }
    }
}

impl From<&Refusal> for Refused {
    fn from(refusal: &Refusal) -> Self {
        let error = refusal.to_string();
        match refusal {
            Refusal::Invalid(error) => Self::Invalid(error.into()),
            Refusal::Stale { current, changes_since, truncated } => Self::Stale(Stale {
                error,
                current: *current,
                changes_since: changes_since.clone(),
                truncated: *truncated,
            }),
            Refusal::StoreUnavailable
            | Refusal::CatchingUp
            | Refusal::Minority(_)
            | Refusal::Diverged(_)
            | Refusal::Unconfirmed(_) => {
                Self::Unavailable(Unavailable { error, outcome: Outcome::NotApplied })
            }
            Refusal::Pending { .. } | Refusal::Unknown => {
                Self::Unavailable(Unavailable { error, outcome: Outcome::Unknown })
            }
        }
    }
}

/// The endpoints with their load, summed over the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoints {
    /// One per endpoint.
    pub endpoints: Vec<Endpoint>,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name in the document.
    pub name: String,
    /// Engine or application.
    pub kind: Service,
    /// Name of its pool.
    pub pool: String,
    /// Address on which it listens.
    pub address: std::net::SocketAddr,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of requests in flight, summed over the fleet.
    pub in_flight: u32,
    /// Whether it is draining and gets no new work, for any reason.
    pub leaving: bool,
    /// Whether it is draining and has no requests in flight, so that it can be stopped.
    pub empty: bool,
}

/// Requests suspected of crashing endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// One per request.
    pub suspects: Vec<Suspect>,
}

/// One suspect request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Keyed hash of the customer and the content, in hexadecimal.
    pub fingerprint: String,
    /// Number of endpoints that crashed with the request in flight.
    pub strikes: u32,
    /// Whether it is refused.
    pub refused: bool,
    /// Time until the suspicion expires.
    pub expires_in_ms: u64,
}

/// State of the answering router and of its view of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the router.
    pub node: u32,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: String,
    /// The version in force.
    pub version: u64,
    /// Time since the version was confirmed, if ever.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether the store answers.
    pub store_reachable: bool,
    /// Number of members that are reachable now.
    pub visible: usize,
    /// Number of known members.
    pub known: usize,
    /// Whether new work is accepted.
    pub serving: bool,
    /// Reason for refusing new work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusing: Option<String>,
    /// Problems that need an operator, such as a divergence of the configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alarms: Vec<String>,
}
