//! The stream of a connection to a backend server.
//!
//! What was written and not acknowledged is delivered later if the link comes back,
//! also after the connection was closed: a request that was given up would then reach
//! a server that may have drained meanwhile. A connection that is dropped within an
//! exchange is therefore reset, which discards these bytes.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether a request was sent on a connection whose response is not complete.
#[derive(Debug, Clone, Default)]
pub struct Exchange(Rc<Cell<bool>>);

impl Exchange {
    /// Records that a request is sent.
    pub fn begin(&self) {
        self.0.set(true);
    }

    /// Records that the response is complete.
    pub fn end(&self) {
        self.0.set(false);
    }
}

/// A connection to a backend server.
#[derive(Debug)]
pub struct ServerStream {
    stream: TcpStream,
    exchange: Exchange,
}

impl ServerStream {
    /// Wraps an open connection.
    #[must_use]
    pub fn new(stream: TcpStream, exchange: Exchange) -> ServerStream {
        ServerStream { stream, exchange }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl Drop for ServerStream {
    fn drop(&mut self) {
        if !self.exchange.0.get() {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!(error:% = error; "cannot reset a connection to a backend server");
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(cx, buf)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
