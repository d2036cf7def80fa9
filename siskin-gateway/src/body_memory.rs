//! Limits the memory that buffered bodies take.
//!
//! Each body has a limit of its own, but many at a time could still exhaust the memory of the process. All buffered bodies
//! therefore share one limit; reading a body that does not fit fails, and the others are not affected.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{
        error,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Accounts for the memory that all buffered bodies together may take.
///
/// ```
/// use siskin_gateway::body_memory::Limiter;
/// let memory = Limiter::new(1_000);
/// let mut first = memory.empty_reservation();
/// assert!(first.try_grow(800));
/// assert!(!memory.empty_reservation().try_grow(300));
/// drop(first);
/// assert!(memory.empty_reservation().try_grow(300));
/// ```
#[derive(Clone, Debug)]
pub struct Limiter(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: AtomicUsize,
    reserved: AtomicUsize,
}

/// Bytes reserved for a body. Dropping this releases them.
#[derive(Debug)]
pub struct Reservation {
    memory: Limiter,
    bytes: usize,
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than its own limit.
    #[error("the body is longer than {limit} bytes")]
    TooLong {
        /// Most bytes that this body may have.
        limit: usize,
    },
    /// All bodies together would exceed the limit.
    #[error(
        "bodies in flight take all memory reserved for them; the router needs more memory or fewer requests"
    )]
    LimitReached,
    /// The body ended early.
    #[error("the body ended early: {0}")]
    Interrupted(Box<dyn error::Error + Send + Sync>),
}

impl Limiter {
    /// Creates an account with no memory reserved.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared { limit: AtomicUsize::new(limit), reserved: AtomicUsize::new(0) }))
    }

    /// Changes the limit. Existing reservations stay.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// Creates a reservation of 0 bytes.
    #[must_use]
    pub fn empty_reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    /// Reads a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn read_body<B>(&self, body: B, limit: usize) -> Result<(Bytes, Reservation), Error>
    where
        B: Body<Data = Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>>,
    {
        let mut body = pin!(body);
        let mut reservation = self.empty_reservation();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Error::Interrupted(error.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > limit {
                return Err(Error::TooLong { limit });
            }
            if !reservation.try_grow(data.len()) {
                return Err(Error::LimitReached);
            }
            bytes.extend_from_slice(&data);
        }
        Ok((bytes.freeze(), reservation))
    }
}

impl Reservation {
    /// Reserves more bytes if the limit allows. Returns whether it did.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let Shared { limit, reserved } = &*self.memory.0;
        let before = reserved.fetch_add(bytes, Ordering::Relaxed);
        let fits = before.saturating_add(bytes) <= limit.load(Ordering::Relaxed);
        if fits {
            self.bytes += bytes;
        } else {
            reserved.fetch_sub(bytes, Ordering::Relaxed);
        }
        fits
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
