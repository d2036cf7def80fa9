//! How a stop of this router ends relayed requests and responses.

use {
    crate::server::{REQUEST_GRACE, wait_for_stop},
    tokio::{sync::watch, time::sleep},
};

/// The steps of a stop that concern relayed connections.
#[derive(Clone, Debug)]
pub struct Stop {
    signal: watch::Receiver<bool>,
    ending: watch::Receiver<bool>,
}

impl Stop {
    /// A stop in which no further request is relayed once `signal` is true, and all responses end once `ending` is true.
    #[must_use]
    pub const fn new(signal: watch::Receiver<bool>, ending: watch::Receiver<bool>) -> Self {
        Self { signal, ending }
    }

    /// Waits for the stop signal, after which no further request is relayed.
    pub async fn wait_for_signal(&mut self) {
        wait_for_stop(&mut self.signal).await;
    }

    /// Waits until requests that are being relayed have to be complete.
    pub(super) async fn wait_for_request_end(&mut self) {
        self.wait_for_signal().await;
        sleep(REQUEST_GRACE).await;
    }

    /// Waits until responses have to be complete.
    pub(super) async fn wait_for_response_end(&mut self) {
        wait_for_stop(&mut self.ending).await;
    }
}
