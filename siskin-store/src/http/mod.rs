//! Client of the etcd v3 JSON gateway.
//!
//! Several addresses are tried in turn. Only reads are retried; a write whose answer is lost ends as
//! [`Error::Unanswered`], and the caller reads the key back.

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

/// How the client behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the service, in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Longest time for one attempt, including the wait for the budget and the connection.
    pub timeout: Duration,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Calls per second, retries included.
    pub calls_per_second: u32,
    /// Calls that may be sent at once after a pause.
    pub burst: u32,
    /// Attempts at a read.
    pub read_attempts: u32,
    /// Pause before the first retry of a read; it doubles for every further one.
    pub retry_after: Duration,
    /// Longest pause before a retry.
    pub retry_limit: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Options {
    /// The budget and the pauses are those of the design: 20 calls/s, retries from 100 ms to 5 s.
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
    /// Makes a client; connections are opened when they are needed.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { transport: Transport::new(options) }
    }

    /// Calls by kind.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.transport.counts()
    }

    async fn page(&self, body: &Value) -> Result<Page, Error> {
        let range: message::Range =
            self.transport.retried(Kind::Range, "/v3/kv/range", body).await?;
        let head = Revision(range.header.revision.0);
        let entries = range.kvs.into_iter().map(message::KeyValue::entry).collect();
        Ok(Page { entries, more: range.more, head })
    }

    async fn write(
        &self,
        kind: Kind,
        key: &str,
        expected: Revision,
        operation: &Value,
    ) -> Result<Write, Error> {
        let body = message::conditional(key, expected, operation);
        let txn: Txn = self.transport.once(kind, "/v3/kv/txn", &body).await?;
        let head = Revision(txn.header.revision.0);
        if txn.succeeded {
            return Ok(Write::Applied { revision: head });
        }
        let found = txn.responses.into_iter().flat_map(|response| response.response_range.kvs);
        let current = found.map(message::KeyValue::entry).next();
        Ok(Write::Conflict { current, head })
    }
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Found, Error> {
        let body = message::get(key);
        let range: message::Range =
            self.transport.retried(Kind::Get, "/v3/kv/range", &body).await?;
        let head = Revision(range.header.revision.0);
        let entry = range.kvs.into_iter().map(message::KeyValue::entry).next();
        Ok(Found { entry, head })
    }

    async fn range(&self, range: Range<'_>) -> Result<Page, Error> {
        self.page(&message::range(range)).await
    }

    async fn span(&self, span: Span<'_>) -> Result<Page, Error> {
        self.page(&message::span(span)).await
    }

    async fn clear(&self, span: Span<'_>) -> Result<(), Error> {
        let body = message::span(span);
        let deleted: Value = self.transport.once(Kind::Delete, "/v3/kv/deleterange", &body).await?;
        drop(deleted);
        Ok(())
    }

    async fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write, Error> {
        crate::check_size(value)?;
        let operation = message::put(key, value, lease);
        let written = self.write(Kind::Create, key, Revision::ABSENT, &operation).await;
        written.map_err(|error| name_lease(error, lease))
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write, Error> {
        crate::check_size(value)?;
        let operation = message::put(key, value, lease);
        let written = self.write(Kind::Swap, key, expected, &operation).await;
        written.map_err(|error| name_lease(error, lease))
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<Write, Error> {
        self.write(Kind::Delete, key, expected, &message::delete(key)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = ttl.as_secs().max(1);
        let body = json!({"TTL": seconds.to_string(), "ID": "0"});
        let lease: message::Lease =
            self.transport.once(Kind::Grant, "/v3/lease/grant", &body).await?;
        Ok(granted(&lease))
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<Lease, Error> {
        let body = json!({"ID": id.0.to_string()});
        let lease: Streamed<message::Lease> =
            self.transport.once(Kind::KeepAlive, "/v3/lease/keepalive", &body).await?;
        if lease.result.ttl.0 == 0 {
            return Err(Error::LeaseGone { lease: id });
        }
        Ok(granted(&lease.result))
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), Error> {
        let body = json!({"ID": id.0.to_string()});
        let revoked: Result<Value, _> =
            self.transport.once(Kind::Revoke, "/v3/lease/revoke", &body).await;
        revoked.map(drop).map_err(|error| name_lease(error, Some(id)))
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
        let changes: Vec<Change> = watch.events.into_iter().map(message::Event::change).collect();
        let last = changes.last().map(|change| change.revision.next());
        let head = Revision(watch.header.revision.0);
        let from = if from == Revision::ABSENT { head.next() } else { from };
        Ok(Watched { changes, next: last.unwrap_or(from), head })
    }
}

/// HTTP status of an unknown lease.
const NOT_FOUND: u16 = 404;

/// Names the lease in the error for an unknown lease.
fn name_lease(error: Error, lease: Option<LeaseId>) -> Error {
    match (error, lease) {
        (Error::Rejected { status: NOT_FOUND, .. }, Some(lease)) => Error::LeaseGone { lease },
        (error, _) => error,
    }
}

const fn granted(lease: &message::Lease) -> Lease {
    Lease {
        id: LeaseId(lease.id.0),
        ttl: Duration::from_secs(lease.ttl.0),
        head: Revision(lease.header.revision.0),
    }
}
