//! Configuration document, patches, validation, version history and its follower.
