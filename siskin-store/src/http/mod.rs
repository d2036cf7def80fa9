//! Client of the etcd v3 JSON gateway.
//!
//! Several addresses are tried in turn. Only reads are retried; a write whose response is lost fails with
//! [`Error::Unanswered`], and the caller has to read the key back.

mod message;
mod transport;

use {
    crate::{
        Change, Error, Found, Lease, LeaseId, Page, Range, Revision, Scope, Span, Store, Watched,
        Write,
        count::{Counts, Kind},
    },
    message::{Streamed, Txn},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    transport::Transport,
};

/// Options of the client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the service, in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one attempt, including the waits for the rate limiter and the connection.
    pub timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Rate limit in calls per second, retries included.
    pub calls_per_second: u32,
    /// Burst size of the rate limiter, in calls.
    pub burst: u32,
    /// Most attempts at a read.
    pub read_attempts: u32,
    /// Backoff before the first retry of a read; it doubles with each further retry.
    pub retry_after: Duration,
    /// Maximum backoff before a retry.
    pub retry_limit: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Options {
    /// The rate limit and the backoff are those of the design: 20 calls/s, and 100 ms to 5 s between attempts.
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(300),
            calls_per_second: 20,
            burst: 20,
            read_attempts: 3,
            retry_after: Duration::from_millis(100),
            retry_limit: Duration::from_secs(5),
            seed: 0,
        }
    }
}

/// The client.
///
/// ```
/// use siskin_store::{Store, Write, http::{Client, Options}};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let server = siskin_standin::kv::Server::start(Default::default()).unwrap();
/// let client = Client::new(Options { addresses: vec![server.address()], ..Options::default() });
/// let lease = client.grant(std::time::Duration::from_secs(9)).await.unwrap();
/// let held = client.create("lease/orders/0", b"r1", Some(lease.id)).await.unwrap();
/// assert!(matches!(held, Write::Applied { .. }));
/// # });
/// ```
#[derive(Debug)]
pub struct Client {
    transport: Transport,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { transport: Transport::new(options) }
    }

    /// Counters of calls by kind.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.transport.counts()
    }

    /// Reads one page of keys.
    async fn read_page(&self, body: &Value) -> Result<Page, Error> {
        let range: message::Range =
            self.transport.call_with_retries(Kind::Range, "/v3/kv/range", body).await?;
        let head = Revision(range.header.revision.0);
        let entries = range.kvs.into_iter().map(message::KeyValue::into_entry).collect();
        Ok(Page { entries, more: range.more, head })
    }

    /// Executes `operation` if `key` was last changed at `expected`.
    async fn write_if(
        &self,
        kind: Kind,
        key: &str,
        expected: Revision,
        operation: &Value,
    ) -> Result<Write, Error> {
        let body = message::conditional_txn(key, expected, operation);
        let txn: Txn = self.transport.call_once(kind, "/v3/kv/txn", &body).await?;
        let head = Revision(txn.header.revision.0);
        if txn.succeeded {
            return Ok(Write::Applied { revision: head });
        }
        let found = txn.responses.into_iter().flat_map(|response| response.response_range.kvs);
        let current = found.map(message::KeyValue::into_entry).next();
        Ok(Write::Conflict { current, head })
    }
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Found, Error> {
        let body = message::get(key);
        let range: message::Range =
            self.transport.call_with_retries(Kind::Get, "/v3/kv/range", &body).await?;
        let head = Revision(range.header.revision.0);
        let entry = range.kvs.into_iter().map(message::KeyValue::into_entry).next();
        Ok(Found { entry, head })
    }

    async fn range(&self, range: Range<'_>) -> Result<Page, Error> {
        self.read_page(&message::range(range)).await
    }

    async fn span(&self, span: Span<'_>) -> Result<Page, Error> {
        self.read_page(&message::span(span)).await
    }

    async fn clear(&self, span: Span<'_>) -> Result<(), Error> {
        let body = message::span(span);
        let deleted: Value =
            self.transport.call_once(Kind::Delete, "/v3/kv/deleterange", &body).await?;
        drop(deleted);
        Ok(())
    }

    async fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write, Error> {
        crate::check_value_size(value)?;
        let operation = message::put(key, value, lease);
        let written = self.write_if(Kind::Create, key, Revision::ABSENT, &operation).await;
        written.map_err(|error| map_unknown_lease(error, lease))
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write, Error> {
        crate::check_value_size(value)?;
        let operation = message::put(key, value, lease);
        let written = self.write_if(Kind::Swap, key, expected, &operation).await;
        written.map_err(|error| map_unknown_lease(error, lease))
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<Write, Error> {
        self.write_if(Kind::Delete, key, expected, &message::delete(key)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = ttl.as_secs().max(1);
        let body = json!({"TTL": seconds.to_string(), "ID": "0"});
        let lease: message::Lease =
            self.transport.call_once(Kind::Grant, "/v3/lease/grant", &body).await?;
        Ok(lease_from(&lease))
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<Lease, Error> {
        let body = json!({"ID": id.0.to_string()});
        let lease: Streamed<message::Lease> =
            self.transport.call_once(Kind::KeepAlive, "/v3/lease/keepalive", &body).await?;
        if lease.result.ttl.0 == 0 {
            return Err(Error::LeaseGone { lease: id });
        }
        Ok(lease_from(&lease.result))
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), Error> {
        let body = json!({"ID": id.0.to_string()});
        let revoked: Result<Value, _> =
            self.transport.call_once(Kind::Revoke, "/v3/lease/revoke", &body).await;
        revoked.map(drop).map_err(|error| map_unknown_lease(error, Some(id)))
    }

    async fn watch(
        &self,
        scope: Scope<'_>,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, Error> {
        let body = message::watch(scope, from);
        let watch = self.transport.watch(&body, wait).await?;
        if watch.canceled {
            let oldest = Revision(watch.compact_revision.0);
            return Err(Error::Compacted { oldest });
        }
        let changes: Vec<Change> =
            watch.events.into_iter().map(message::Event::into_change).collect();
        let last = changes.last().map(|change| change.revision.next());
        let head = Revision(watch.header.revision.0);
        let from = if from == Revision::ABSENT { head.next() } else { from };
        Ok(Watched { changes, next: last.unwrap_or(from), head })
    }
}

/// HTTP status for an unknown lease.
const NOT_FOUND: u16 = 404;

/// Maps the rejection of an unknown lease to [`Error::LeaseGone`].
fn map_unknown_lease(error: Error, lease: Option<LeaseId>) -> Error {
    match (error, lease) {
        (Error::Rejected { status: NOT_FOUND, .. }, Some(lease)) => Error::LeaseGone { lease },
        (error, _) => error,
    }
}

const fn lease_from(lease: &message::Lease) -> Lease {
    Lease {
        id: LeaseId(lease.id.0),
        ttl: Duration::from_secs(lease.ttl.0),
        head: Revision(lease.header.revision.0),
    }
}
