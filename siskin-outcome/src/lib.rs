//! Life of a request: outcomes, retries and requests that crash endpoints.
