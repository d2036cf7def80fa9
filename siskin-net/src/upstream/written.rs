//! How much of a request has been written to a connection, and whether the connection has failed, also by interim responses that
//! are too long.

use {
    super::interim,
    std::{
        io,
        io::IoSlice,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// What has been written to a connection.
#[derive(Debug, Default)]
pub(super) struct Written {
    bytes: AtomicU64,
    /// Value of `bytes` at the last flush, which the client makes only once it has nothing more to write.
    flushed: AtomicU64,
    /// Whether a read or a write has failed.
    failed: AtomicBool,
    /// Whether the next bytes that are read begin a response.
    awaits_response: AtomicBool,
}

impl Written {
    /// Records that a request is about to be sent, so that the next bytes that are read begin a response.
    pub(super) fn await_response(&self) {
        self.awaits_response.store(true, Ordering::Release);
    }

    /// Number of bytes written.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Acquire)
    }

    /// Whether everything up to this number of bytes, and what was to be written with it, is written, and nothing failed.
    pub(super) fn is_complete(&self, bytes: u64) -> bool {
        !self.failed.load(Ordering::Acquire) && self.flushed.load(Ordering::Acquire) >= bytes
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(count)) => {
                self.bytes.fetch_add(*count as u64, Ordering::AcqRel);
            }
            Poll::Ready(Err(_)) => self.failed.store(true, Ordering::Release),
            Poll::Pending => {}
        }
        written
    }
}

/// A stream that records what is written to it, and bounds the interim responses that are read from it.
#[derive(Debug)]
pub(super) struct Recorded<S> {
    inner: S,
    written: Arc<Written>,
    interim: interim::Meter,
}

impl<S> Recorded<S> {
    pub(super) fn new(inner: S, written: Arc<Written>) -> Self {
        Self { inner, written, interim: interim::Meter::default() }
    }

    /// Counts the interim responses among the bytes that were read.
    fn count_interim(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.written.awaits_response.swap(false, Ordering::AcqRel) {
            self.interim = interim::Meter::default();
        }
        self.interim.add(bytes).map_err(io::Error::other)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Recorded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        let read = read.and_then(|()| self.count_interim(&buffer.filled()[before..]));
        if read.is_err() {
            self.written.failed.store(true, Ordering::Release);
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Recorded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.written.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.written.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.written.flushed.store(self.written.bytes(), Ordering::Release);
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
