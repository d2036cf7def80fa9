//! Transport that can repeat what it has just sent.

use {
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection whose next answer can be sent twice.
pub(crate) struct Tap {
    stream: TcpStream,
    repeat: Repeat,
    /// Bytes that remain to be repeated.
    left: Vec<u8>,
}

/// Asks a [`Tap`] to repeat the next answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeat(Arc<Mutex<Option<Vec<u8>>>>);

impl Repeat {
    /// Records what is written until the next flush, and then writes it again.
    pub(crate) fn arm(&self) {
        *crate::lock(&self.0) = Some(Vec::new());
    }

    fn record(&self, bytes: &[u8]) {
        if let Some(recorded) = crate::lock(&self.0).as_mut() {
            recorded.extend_from_slice(bytes);
        }
    }

    /// Takes what was recorded, if anything was.
    fn take(&self) -> Option<Vec<u8>> {
        let mut recorded = crate::lock(&self.0);
        if recorded.as_ref().is_some_and(|recorded| !recorded.is_empty()) {
            recorded.take()
        } else {
            None
        }
    }
}

impl Tap {
    pub(crate) fn new(stream: TcpStream, repeat: Repeat) -> Self {
        Self { stream, repeat, left: Vec::new() }
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Tap {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.repeat.record(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(recorded) = this.repeat.take() {
            this.left.extend(recorded);
        }
        while !this.left.is_empty() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(context, &this.left))?;
            this.left.drain(..written);
        }
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
