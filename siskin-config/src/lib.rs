//! Configuration document, patches, validation, version history and its follower.
//!
//! A patch against version N becomes entry N + 1 by creating one key in the store. Every router follows
//! the entries and keeps the resulting document.
//!
//! ```
//! use siskin_config::{document::Document, index::Index, patch};
//! let changes = serde_json::json!({
//!     "pools": { "chat": { "id": 1, "unit": "tokens", "max_request": 4096 } },
//!     "models": { "small": { "id": 1, "pool": "chat" } }
//! });
//! let mut document = Document::default();
//! patch::apply(&mut document, &changes).unwrap();
//! siskin_config::document::validate(&document).unwrap();
//! let index = Index::new(&document);
//! assert_eq!(index.pool_of_model("small"), Some(siskin_types::id::Pool(1)));
//! ```

pub mod document;
pub mod entry;
pub mod follower;
pub mod history;
pub mod index;
pub mod operator;
pub mod patch;
pub mod snapshot;
pub mod store;
pub mod submit;
pub mod table;
