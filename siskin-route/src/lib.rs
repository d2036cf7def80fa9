//! Choice of an endpoint by health, load and likely prefix cache hits.
