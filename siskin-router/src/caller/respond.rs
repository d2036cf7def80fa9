//! The way back to one caller.

use {
    super::answer::{self, Body, Sender, Truncated},
    bytes::Bytes,
    hyper::{Response, body::Frame},
    tokio::sync::oneshot,
};

/// The caller went away or stopped reading.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the caller went away")]
pub struct Gone;

/// Sends one answer to one caller, whole or in parts.
#[derive(Debug)]
pub struct Responder {
    head: Option<oneshot::Sender<Response<Body>>>,
    parts: Option<Sender>,
}

/// Makes the two ends of an answer.
#[must_use]
pub fn channel() -> (Responder, oneshot::Receiver<Response<Body>>) {
    let (head, receiver) = oneshot::channel();
    (Responder { head: Some(head), parts: None }, receiver)
}

impl Responder {
    /// Whether the head of the answer has been sent, so that its status cannot change any more.
    #[must_use]
    pub const fn started(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a complete answer. Ignored after the head was sent.
    pub fn whole(&mut self, response: Response<Body>) {
        if let Some(head) = self.head.take() {
            // The caller may have gone; then nobody needs the answer.
            let _ = head.send(response);
        }
    }

    /// Sends the head of an answer whose body follows in parts.
    pub fn start(&mut self, head: Response<()>) {
        let (sender, body) = answer::stream();
        self.parts = Some(sender);
        self.whole(head.map(|()| body));
    }

    /// Sends a part of the body, waiting for a slow caller.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the caller went away.
    pub async fn part(&self, bytes: Bytes) -> Result<(), Gone> {
        let parts = self.parts.as_ref().ok_or(Gone)?;
        parts.send(Ok(Frame::data(bytes))).await.map_err(|_| Gone)
    }

    /// Ends the body early, so that the caller sees that it is not complete.
    pub async fn truncate(&mut self) {
        if let Some(parts) = self.parts.take() {
            // A caller that has gone does not need to know.
            let _ = parts.send(Err(Truncated)).await;
        }
    }

    /// Waits until the caller goes away.
    pub async fn gone(&mut self) {
        match (&mut self.head, &self.parts) {
            (Some(head), _) => head.closed().await,
            (None, Some(parts)) => parts.closed().await,
            (None, None) => std::future::pending().await,
        }
    }
}
