//! A write timeout for connections whose peer stops reading.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Fails writes that have waited too long for the peer to read.
#[derive(Debug)]
pub struct WriteTimeoutIo<T> {
    io: T,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<T> WriteTimeoutIo<T> {
    /// Wraps `io`; writes fail after making no progress for `timeout`.
    #[must_use]
    pub fn new(io: T, timeout: Duration) -> Self {
        Self {
            io,
            timeout,
            timer: None,
        }
    }

    /// Turns a pending write into an error once the timeout has elapsed.
    fn check_timeout<R>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let timeout = self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteTimeoutIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteTimeoutIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.check_timeout(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, parts);
        self.check_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_flush(cx);
        self.check_timeout(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_shutdown(cx);
        self.check_timeout(cx, result)
    }
}
