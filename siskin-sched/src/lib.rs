//! Fair scheduling decisions: the router's queues and the pool owner's slot grants.
