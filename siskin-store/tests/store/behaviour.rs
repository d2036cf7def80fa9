//! Behaviour that the HTTP client and the in-memory fake must share.

use {
    anyhow::{Result, bail},
    googletest::prelude::*,
    siskin_standin::kv,
    siskin_store::{
        Entry, Error, LeaseId, Range, Revision, Scope, Span, Store, VALUE_LIMIT_BYTES, Write,
        http::{self, Client},
        memory,
    },
    std::time::Duration,
};

/// Timeout of a wait for a change that must arrive.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Duration of a wait in which no change must arrive.
const QUIET_TIME: Duration = Duration::from_millis(30);

pub(crate) fn start_service() -> kv::Server {
    kv::Server::start(kv::Options { latency: Duration::ZERO, ..kv::Options::default() }).unwrap()
}

pub(crate) fn options(server: &kv::Server) -> http::Options {
    http::Options {
        addresses: vec![server.address()],
        timeout: CHANGE_TIMEOUT,
        calls_per_second: 10_000,
        burst: 1_000,
        retry_after: Duration::from_millis(1),
        ..http::Options::default()
    }
}

/// Guards against a fake that behaves differently from the real service.
#[gtest]
#[tokio::test]
async fn client_and_fake_behave_alike() {
    let server = start_service();
    check_behaviour("http", &Client::new(options(&server))).await.unwrap();
    check_behaviour("memory", &memory::Store::default()).await.unwrap();
}

async fn check_behaviour(name: &str, store: &impl Store) -> Result<()> {
    check_writes(name, store).await?;
    check_ranges(name, store).await?;
    check_spans(name, store).await?;
    check_watches(name, store).await?;
    check_leases(name, store).await
}

async fn check_spans(name: &str, store: &impl Store) -> Result<()> {
    for key in ["span/1", "span/2", "span/3", "span/4"] {
        applied_revision(&store.create(key, b"x", None).await?)?;
    }
    let span = Span { start: "span/2", end: "span/4", limit: 1 };
    let page = store.span(span).await?;
    let keys: Vec<_> = page.entries.iter().map(|entry| entry.key.as_str()).collect();
    expect_that!((keys, page.more), eq(&(vec!["span/2"], true)), "{name}");
    store.clear(span).await?;
    let left = store.span(Span { start: "span/", end: "span0", limit: 0 }).await?;
    let keys: Vec<_> = left.entries.iter().map(|entry| entry.key.as_str()).collect();
    expect_that!((keys, left.more), eq(&(vec!["span/1", "span/4"], false)), "{name}");
    Ok(())
}

pub(crate) fn applied_revision(write: &Write) -> Result<Revision> {
    match write {
        Write::Applied { revision } => Ok(*revision),
        Write::Conflict { .. } => bail!("not applied: {write:?}"),
    }
}

fn conflicting_entry(write: Write) -> Result<Option<Entry>> {
    match write {
        Write::Applied { .. } => bail!("applied: {write:?}"),
        Write::Conflict { current, .. } => Ok(current),
    }
}

async fn check_writes(name: &str, store: &impl Store) -> Result<()> {
    let empty = store.get("a").await?;
    expect_that!(empty.entry, none(), "{name}");
    let first = applied_revision(&store.create("a", b"1", None).await?)?;
    expect_that!(first, gt(empty.head), "{name}");
    let current = conflicting_entry(store.create("a", b"2", None).await?)?.unwrap();
    expect_that!((current.revision, &current.value[..]), eq((first, &b"1"[..])), "{name}");
    let second = applied_revision(&store.swap("a", first, b"2", None).await?)?;
    expect_that!(
        conflicting_entry(store.swap("a", first, b"3", None).await?)?.unwrap().revision,
        eq(second)
    );
    expect_that!(
        conflicting_entry(store.delete("a", first).await?)?.unwrap().revision,
        eq(second),
        "{name}"
    );
    applied_revision(&store.delete("a", second).await?)?;
    expect_that!(conflicting_entry(store.swap("a", second, b"3", None).await?)?, none(), "{name}");
    applied_revision(&store.swap("a", Revision::ABSENT, b"", None).await?)?;
    let found = store.get("a").await?;
    expect_that!(found.entry.unwrap().value.is_empty(), eq(true), "{name}");
    let large = vec![0; VALUE_LIMIT_BYTES + 1];
    let refused = store.create("large", &large, None).await;
    expect_that!(refused, eq(&Err(Error::TooLarge { bytes: large.len() })), "{name}");
    applied_revision(&store.create("large", &large[1..], None).await?)?;
    Ok(())
}

async fn check_ranges(name: &str, store: &impl Store) -> Result<()> {
    struct Case {
        range: Range<'static>,
        want: &'static [&'static str],
        more: bool,
    }
    for key in ["r/1", "r/2", "r/3", "s/1", "r"] {
        applied_revision(&store.create(key, key.as_bytes(), None).await?)?;
    }
    let all = Range::prefix("r/");
    let cases = [
        Case { range: all, want: &["r/1", "r/2", "r/3"], more: false },
        Case { range: Range { limit: 2, ..all }, want: &["r/1", "r/2"], more: true },
        Case { range: Range { after: Some("r/2"), ..all }, want: &["r/3"], more: false },
        Case {
            range: Range { after: Some("r"), ..all },
            want: &["r/1", "r/2", "r/3"],
            more: false,
        },
        Case { range: Range { limit: 3, ..all }, want: &["r/1", "r/2", "r/3"], more: false },
        Case { range: Range::prefix("x"), want: &[], more: false },
        Case { range: Range { limit: 1, ..Range::prefix("") }, want: &["a"], more: true },
    ];
    for case in cases {
        let page = store.range(case.range).await?;
        let keys: Vec<_> = page.entries.iter().map(|entry| entry.key.as_str()).collect();
        expect_that!(
            (keys, page.more),
            eq(&(case.want.to_vec(), case.more)),
            "{name}: {:?}",
            case.range
        );
    }
    Ok(())
}

async fn check_watches(name: &str, store: &impl Store) -> Result<()> {
    let from = store.get("w/1").await?.head.next();
    let empty = store.watch(Scope::Prefix("w/"), from, QUIET_TIME).await?;
    expect_that!((empty.changes.len(), empty.next), eq((0, from)), "{name}");
    let first = applied_revision(&store.create("w/1", b"1", None).await?)?;
    applied_revision(&store.create("v", b"", None).await?)?;
    applied_revision(&store.delete("w/1", first).await?)?;
    let watched = store.watch(Scope::Prefix("w/"), from, CHANGE_TIMEOUT).await?;
    let seen: Vec<_> = watched.changes.iter().map(|change| change.entry.is_some()).collect();
    expect_that!(seen, eq(&vec![true, false]), "{name}");
    expect_that!(watched.next, gt(first), "{name}");
    let change = store.watch(Scope::Key("w/2"), watched.next, CHANGE_TIMEOUT);
    let write = async {
        tokio::time::sleep(QUIET_TIME).await;
        store.create("w/2", b"2", None).await
    };
    let (change, write) = tokio::join!(change, write);
    expect_that!(change?.changes[0].revision, eq(applied_revision(&write?)?), "{name}");
    Ok(())
}

async fn check_leases(name: &str, store: &impl Store) -> Result<()> {
    let second = Duration::from_secs(1);
    let lease = store.grant(Duration::from_millis(10)).await?;
    expect_that!(lease.ttl, eq(second), "{name}");
    let from = applied_revision(&store.create("l", b"", Some(lease.id)).await?)?;
    expect_that!(store.get("l").await?.entry.unwrap().lease, some(eq(lease.id)), "{name}");
    expect_that!(store.keep_alive(lease.id).await?.ttl, eq(second), "{name}");
    let expired = store.watch(Scope::Key("l"), from.next(), CHANGE_TIMEOUT).await?;
    expect_that!(expired.changes.len(), eq(1), "{name}");
    expect_that!(expired.changes[0].entry, none(), "{name}");
    let gone = Error::LeaseGone { lease: lease.id };
    expect_that!(store.keep_alive(lease.id).await, err(eq(&gone)), "{name}");
    expect_that!(store.revoke(lease.id).await, err(eq(&gone)), "{name}");
    expect_that!(store.create("l", b"", Some(lease.id)).await, err(eq(&gone)), "{name}");
    let lease = store.grant(second).await?.id;
    applied_revision(&store.create("l", b"", Some(lease)).await?)?;
    store.revoke(lease).await?;
    expect_that!(store.get("l").await?.entry, none(), "{name}");
    expect_that!(lease, ne(LeaseId(0)), "{name}");
    Ok(())
}
