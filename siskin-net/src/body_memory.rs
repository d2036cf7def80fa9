//! Limits the memory that buffered bodies take.
//!
//! Each body has a limit of its own, but many at a time could still exhaust the memory of the process. All buffered bodies
//! therefore share one limit; reading a body that does not fit fails, and the others are not affected. Bodies count until they
//! have been sent, however slowly they are read. Part of the limit is kept for small ones, so that a few callers that read large
//! bodies slowly do not keep the others from being served. A body that states its length can wait for its memory.

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
    tokio::sync::Notify,
};

/// Size up to which a body may take all of the limit.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Part of the limit that is kept for small bodies, as a divisor.
const SMALL_BODIES_DIVISOR: usize = 4;

/// Accounts for the memory that all buffered bodies together may take.
///
/// ```
/// use siskin_net::body_memory::Limiter;
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
    released: Notify,
}

/// Bytes reserved for a body. Dropping this releases them.
#[derive(Debug)]
pub struct Reservation {
    memory: Limiter,
    bytes: usize,
}

/// A body with its reservation.
struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
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
        Self(Arc::new(Shared {
            limit: AtomicUsize::new(limit),
            reserved: AtomicUsize::new(0),
            released: Notify::new(),
        }))
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

    /// Waits until a body that states its length has its memory. A longer one than `limit` and one without a length reserve
    /// nothing, so that bodies that wait hold no memory that others wait for.
    pub async fn reserve_stated_length<B: Body>(&self, body: &B, limit: usize) -> Reservation {
        let mut reservation = self.empty_reservation();
        let stated = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let Some(length) = stated.filter(|length| *length <= limit) else { return reservation };
        loop {
            let released = self.0.released.notified();
            if reservation.try_grow(length) {
                return reservation;
            }
            released.await;
        }
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
        self.empty_reservation().read_body(body, limit).await
    }
}

impl Reservation {
    /// Reads a body of at most `limit` bytes, and reserves what it takes beyond the bytes of this reservation.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn read_body<B>(mut self, body: B, limit: usize) -> Result<(Bytes, Self), Error>
    where
        B: Body<Data = Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>>,
    {
        let mut body = pin!(body);
        let mut bytes = BytesMut::with_capacity(self.bytes);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Error::Interrupted(error.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(Error::TooLong { limit });
            }
            if length > self.bytes {
                // The buffer grows by doubling, and all of its capacity counts.
                let capacity = length.max(2 * self.bytes).min(limit);
                if !self.try_grow(capacity - self.bytes) {
                    return Err(Error::LimitReached);
                }
                bytes.reserve(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Ok((bytes.freeze(), self))
    }

    /// Takes all reserved bytes and leaves none.
    #[must_use]
    pub fn take(&mut self) -> Self {
        let empty = self.memory.empty_reservation();
        std::mem::replace(self, empty)
    }

    /// Releases all reserved bytes.
    pub fn release(&mut self) {
        drop(self.take());
    }

    /// Attaches the reservation to its bytes, so that it lasts until their last copy is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Reserved { bytes, _reservation: self })
    }

    /// Reserves more bytes if the limit allows. Returns whether it did.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let Shared { limit, reserved, .. } = &*self.memory.0;
        let before = reserved.fetch_add(bytes, Ordering::Relaxed);
        let limit = limit.load(Ordering::Relaxed);
        let is_small = self.bytes.saturating_add(bytes) <= SMALL_BODY_BYTES;
        let allowed = if is_small { limit } else { limit - limit / SMALL_BODIES_DIVISOR };
        let fits = before.saturating_add(bytes) <= allowed;
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
        self.memory.0.released.notify_waiters();
    }
}
