//! On which terms a request is admitted, by its customer's share and its size.

use {
    super::Call,
    crate::gateway::Gateway,
    siskin_dispatch::{admit, share::Usage, sizes::Class},
};

/// The terms of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Admission {
    /// Whether the request continues a stream that is known to have begun and not to be complete. Patience and weight do not apply
    /// then.
    pub(super) continues: bool,
    /// Share of the latency target that the request may wait.
    pub(super) patience: f64,
    /// Weight of the request's own prompt in the expected wait.
    pub(super) own_weight: f64,
    /// Part of its fair share of capacity that the customer has received.
    pub(super) share_received: f64,
    class: Class,
}

impl Admission {
    /// Adds the cost of the request to its customer's demand, and returns its terms.
    pub(super) fn assess(gateway: &Gateway, call: &Call) -> Self {
        let (patience, share_received) = record_demand(gateway, call);
        let (class, own_weight, patience) = classify_size(gateway, call, patience);
        let continues = call.continues_open_stream(gateway);
        Self { continues, patience, own_weight, share_received, class }
    }

    /// Counts the request as served to its size class and to its customer, when it is first sent to an endpoint.
    pub(super) fn record_first_send(&self, gateway: &Gateway, call: &Call) {
        count_by_size(gateway, call, self.class, "sent");
        gateway.with_dispatch(|state| {
            if let Some(sizes) = state.sizes.get_mut(&call.route) {
                sizes.served(self.class);
            }
        });
        let (Some(account), true) = (&call.account, call.cost > 0) else { return };
        let now = gateway.clock.now();
        gateway.with_dispatch(|state| {
            state.ledger.add(now, account.id, Usage { asked: 0, begun: call.cost });
            state.usages.entry(account.id).or_default().begun += call.cost;
        });
    }
}

/// Adds the cost of the request to the customer's demand. Returns the share of the latency target that the request may
/// wait at an endpoint, and the part of its fair share of capacity that the customer has received.
fn record_demand(gateway: &Gateway, call: &Call) -> (f64, f64) {
    let (Some(account), true) = (&call.account, call.cost > 0) else { return (1.0, 0.0) };
    let standing = gateway.standing(account.id);
    gateway.count_demand(account.id, call.cost);
    (admit::patience(&standing), standing.used_share())
}

/// Returns the size class of the request, the weight of its own prompt in the expected wait, and the adjusted share of
/// the latency target that it may wait.
fn classify_size(gateway: &Gateway, call: &Call, patience: f64) -> (Class, f64, f64) {
    let now = gateway.clock.now();
    let (class, own_weight, patience) = gateway.with_dispatch(|state| {
        let sizes = state.sizes.entry(call.route.clone()).or_default();
        let class = sizes.asked(now, call.cost);
        (class, sizes.own_weight(class), sizes.patience(class, patience))
    });
    count_by_size(gateway, call, class, "asked");
    (class, own_weight, patience)
}

/// Counts a request with a prompt by its size class.
fn count_by_size(gateway: &Gateway, call: &Call, class: Class, step: &str) {
    if call.cost > 0 {
        gateway.metrics.requests_by_size.with_label_values(&[class.label(), step]).inc();
    }
}
