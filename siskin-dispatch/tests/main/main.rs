//! Tests of the placement of requests that are forwarded unchanged.

mod cold_endpoints;
mod cold_start;
mod conditions;
mod drained;
mod expected_cost;
mod failing_endpoints;
mod fixture;
mod fleet;
mod hot_customer;
mod isolation;
mod large_prompt;
mod limits;
mod offload;
mod placement;
mod prefix_spread;
mod refused_callers;
mod several_hot_customers;
mod shared_speed;
mod sparse_requests;
mod stale_view;
mod store_calls_at_size;
mod work_reports;
