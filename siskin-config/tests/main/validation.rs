//! Validation of documents and patches.

use {
    serde_json::{Value, json},
    siskin_config::{
        document::{Document, Kind, validate},
        history::History,
        index::Index,
        patch::{self, MAX_PATCH_BYTES, Patch},
    },
    siskin_types::id,
};

fn valid_document() -> Document {
    let mut document = Document::default();
    let key = siskin_config::document::Hash::of(b"secret").to_string();
    let changes = json!({
        "customers": {
            "alpha": { "id": 1, "max_in_flight": 4, "max_queue": 8, "key_hashes": [key] },
            "beta": { "id": 2, "weight": 3, "max_in_flight": 4, "max_queue": 8 }
        },
        "pools": {
            "chat": { "id": 1, "unit": "tokens", "max_request": 4096 },
            "apps": { "id": 2, "unit": "milliseconds", "max_request": 60000 }
        },
        "models": { "small": { "id": 1, "pool": "chat" } },
        "routes": { "search": { "pool": "apps" } },
        "endpoints": {
            "e1": {
                "id": 1, "kind": "engine", "pool": "chat", "address": "10.0.0.1:80",
                "data_centre": "a", "models": ["small"], "slots": 8
            },
            "e2": {
                "id": 2, "kind": "application", "pool": "apps", "address": "10.0.0.2:80",
                "data_centre": "a", "route": "search", "slots": 8
            }
        }
    });
    patch::apply(&mut document, &changes).unwrap();
    validate(&document).unwrap();
    document
}

struct Case {
    name: &'static str,
    changes: Value,
    want: (Kind, &'static str),
}

fn malformed_cases() -> Vec<Case> {
    vec![
        Case {
            name: "unknown section",
            changes: json!({ "custmers": {} }),
            want: (Kind::Malformed, "custmers"),
        },
        Case {
            name: "section is not an object",
            changes: json!({ "customers": [] }),
            want: (Kind::Malformed, "customers"),
        },
        Case {
            name: "item is not an object",
            changes: json!({ "customers": { "alpha": 3 } }),
            want: (Kind::Malformed, "customers.alpha"),
        },
        Case {
            name: "unknown field",
            changes: json!({ "customers": { "alpha": { "wieght": 3 } } }),
            want: (Kind::Malformed, "customers.alpha.wieght"),
        },
        Case {
            name: "weight of zero",
            changes: json!({ "customers": { "alpha": { "weight": 0 } } }),
            want: (Kind::Malformed, "customers.alpha.weight"),
        },
        Case {
            name: "hash is too short",
            changes: json!({ "customers": { "alpha": { "key_hashes": ["ab"] } } }),
            want: (Kind::Malformed, "customers.alpha.key_hashes"),
        },
        Case {
            name: "required field is missing",
            changes: json!({ "customers": { "gamma": { "id": 3 } } }),
            want: (Kind::Missing, "customers.gamma"),
        },
        Case {
            name: "required field is removed",
            changes: json!({ "customers": { "alpha": { "id": null } } }),
            want: (Kind::Missing, "customers.alpha"),
        },
        Case {
            name: "two customers with one number",
            changes: json!({ "customers": { "alpha": { "id": 2 } } }),
            want: (Kind::Duplicate, "customers.beta.id"),
        },
        Case {
            name: "no request in flight",
            changes: json!({ "customers": { "alpha": { "max_in_flight": 0 } } }),
            want: (Kind::OutOfRange, "customers.alpha.max_in_flight"),
        },
    ]
}

fn inconsistent_cases() -> Vec<Case> {
    vec![
        Case {
            name: "name with a space",
            changes: json!({ "pools": { "a b": { "id": 9, "unit": "tokens", "max_request": 1 } } }),
            want: (Kind::Malformed, "pools"),
        },
        Case {
            name: "pool is removed while models use it",
            changes: json!({ "pools": { "chat": null } }),
            want: (Kind::Unresolved, "models.small.pool"),
        },
        Case {
            name: "model is removed while an engine serves it",
            changes: json!({ "models": null }),
            want: (Kind::Unresolved, "endpoints.e1.models"),
        },
        Case {
            name: "model in a pool with unit milliseconds",
            changes: json!({ "models": { "small": { "pool": "apps" } } }),
            want: (Kind::Mismatch, "models.small.pool"),
        },
        Case {
            name: "engine with a route",
            changes: json!({ "endpoints": { "e1": { "route": "search" } } }),
            want: (Kind::Mismatch, "endpoints.e1.route"),
        },
        Case {
            name: "application without a route",
            changes: json!({ "endpoints": { "e2": { "route": null } } }),
            want: (Kind::Missing, "endpoints.e2.route"),
        },
        Case {
            name: "two endpoints with one address",
            changes: json!({ "endpoints": { "e2": { "address": "10.0.0.1:80" } } }),
            want: (Kind::Duplicate, "endpoints.e2.address"),
        },
        Case {
            name: "host name for an address",
            changes: json!({ "endpoints": { "e2": { "address": "engine:80" } } }),
            want: (Kind::Malformed, "endpoints.e2.address"),
        },
        Case {
            name: "adapter on a model that does not exist",
            changes: json!({ "models": { "x:y": { "id": 9, "pool": "chat", "base": "x" } } }),
            want: (Kind::Unresolved, "models.x:y.base"),
        },
        Case {
            name: "adapter without the name of its base",
            changes: json!({ "models": { "legal": { "id": 9, "pool": "chat", "base": "small" } } }),
            want: (Kind::Mismatch, "models.legal.base"),
        },
        Case {
            name: "adapter on an adapter",
            changes: json!({ "models": {
                "small:a": { "id": 8, "pool": "chat", "base": "small" },
                "small:a:b": { "id": 9, "pool": "chat", "base": "small:a" }
            } }),
            want: (Kind::Mismatch, "models.small:a:b.base"),
        },
        Case {
            name: "adapter in another pool than its base",
            changes: json!({
                "pools": { "other": { "id": 9, "unit": "tokens", "max_request": 1 } },
                "models": { "small:a": { "id": 9, "pool": "other", "base": "small" } }
            }),
            want: (Kind::Mismatch, "models.small:a.base"),
        },
        Case {
            name: "engine with an adapter without its base",
            changes: json!({
                "models": { "small:a": { "id": 9, "pool": "chat", "base": "small" } },
                "endpoints": { "e1": { "models": ["small:a"] } }
            }),
            want: (Kind::Mismatch, "endpoints.e1.models"),
        },
        Case {
            name: "version with a space",
            changes: json!({ "models": { "small": { "version": "1 2" } } }),
            want: (Kind::Malformed, "models.small.version"),
        },
        Case {
            name: "role that does not exist",
            changes: json!({ "endpoints": { "e1": { "role": "serve" } } }),
            want: (Kind::Malformed, "endpoints.e1.role"),
        },
        Case {
            name: "application with a role",
            changes: json!({ "endpoints": { "e2": { "role": "decode" } } }),
            want: (Kind::Mismatch, "endpoints.e2.role"),
        },
        Case {
            name: "claims expire before the longest request ends",
            changes: json!({ "fleet": { "claim_retention_s": 10 } }),
            want: (Kind::OutOfRange, "fleet.claim_retention_s"),
        },
    ]
}

/// Guards against accepting an inconsistent document, and against errors that do not name the field.
#[test]
fn invalid_documents() {
    let cases = malformed_cases().into_iter().chain(inconsistent_cases());
    for Case { name, changes, want } in cases {
        let mut document = valid_document();
        let result = patch::apply(&mut document, &changes).and_then(|_| validate(&document));
        let error = result.expect_err(name);
        assert_eq!((error.kind, error.field.as_str()), want, "{name}: {error}");
        assert!(!error.remedy.is_empty(), "{name}: the error has no remedy");
    }
}

/// Guards against a failed patch that has changed part of the document.
#[test]
fn failed_patch_changes_nothing() {
    let mut document = valid_document();
    let changes =
        json!({ "customers": { "alpha": null }, "endpoints": { "e1": { "slots": "x" } } });
    patch::apply(&mut document, &changes).unwrap_err();
    assert_eq!(document, valid_document());
}

/// Guards against an index or a hash that becomes inconsistent with the document after patches.
#[test]
fn index_and_hash_match_after_patches() {
    let steps = [
        json!({ "customers": { "alpha": { "id": 7, "key_hashes": null } } }),
        json!({ "customers": { "alpha": { "id": 2 }, "beta": { "id": 1 } } }),
        json!({ "customers": { "alpha": null }, "pools": { "chat": { "id": 5 } } }),
        json!({ "endpoints": null, "routes": null, "fleet": { "retry_budget_percent": 7 } }),
        json!({ "models": { "small": null, "large": { "id": 1, "pool": "chat" } }, "fleet": null }),
    ];
    let mut document = valid_document();
    let mut index = Index::new(&document);
    assert_eq!(index.customer_of_key(b"secret"), Some(id::Customer(1)));
    for changes in steps {
        index.update(&patch::apply(&mut document, &changes).unwrap());
        assert_eq!(index, Index::new(&document), "index after {changes}");
        let text = serde_json::to_string(&document).unwrap();
        let copy: Document = serde_json::from_str(&text).unwrap();
        assert_eq!(document.hash(), copy.hash(), "hash after {changes}");
        assert_eq!(document, copy, "document after {changes}");
    }
    assert_eq!(index.customer_of_key(b"secret"), None);
    assert_eq!(index.pool_of_model("large"), Some(id::Pool(5)));
}

/// Guards against a difference that does not turn one document into the other.
#[test]
fn difference_yields_the_other_document() {
    let before = valid_document();
    let mut after = valid_document();
    let changes = json!({
        "customers": { "alpha": null, "beta": { "weight": null, "rate_per_second": 5 } },
        "endpoints": { "e1": { "models": null, "leaving": true } },
        "fleet": { "max_head_bytes": 4096 }
    });
    patch::apply(&mut after, &changes).unwrap();
    for (from, to) in [(&before, &after), (&after, &before)] {
        let mut document = from.clone();
        patch::apply(&mut document, &patch::difference(from, to)).unwrap();
        assert_eq!(document.hash(), to.hash());
    }
    let history = History::new(0, Vec::new(), 10);
    assert!(history.difference(&before, 0, 1).is_err(), "version 1 does not exist");
}

/// Guards against malformed patches and patches that are too large for a value of the store.
#[test]
fn size_and_syntax_of_patches() {
    let patch = |id: &str, changes: Value| Patch {
        id: id.to_owned(),
        base: 0,
        author: "ann".to_owned(),
        changes,
    };
    let long = "x".repeat(MAX_PATCH_BYTES);
    assert!(patch("1", json!({})).check().is_ok());
    assert_eq!(patch("", json!({})).check().unwrap_err().field, "id");
    assert_eq!(patch("a\n", json!({})).check().unwrap_err().field, "id");
    assert_eq!(patch("1", json!(null)).check().unwrap_err().field, "changes");
    assert_eq!(patch("1", json!({ "a": long })).check().unwrap_err().kind, Kind::OutOfRange);
}
