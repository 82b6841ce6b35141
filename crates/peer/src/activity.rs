//! Records when a connection last received data.

use {
    gullglade_units::{Clock, MonotonicTime},
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Time of the most recent read; shared between the stream and the keepalive task.
pub(crate) type LastReceived = Rc<Cell<MonotonicTime>>;

/// Byte stream that records the time of each completed read.
pub(crate) struct ActivityStream<S> {
    stream: S,
    clock: Rc<dyn Clock>,
    last_received: LastReceived,
}

impl<S> ActivityStream<S> {
    /// Wraps `stream` and sets the time of the last read to now.
    pub(crate) fn new(stream: S, clock: Rc<dyn Clock>) -> (Self, LastReceived) {
        let last_received = Rc::new(Cell::new(clock.now()));
        (Self { stream, clock, last_received: last_received.clone() }, last_received)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ActivityStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if poll.is_ready() {
            self.last_received.set(self.clock.now());
        }
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ActivityStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
