//! Router process: callers' requests, queues, dispatch and control roles.
