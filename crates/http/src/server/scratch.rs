//! The read buffer that connections share.

use {
    hyper::rt::{Read, ReadBuf},
    std::{
        cell::RefCell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
};

/// Bytes read from a socket at once.
const SCRATCH_BYTES: usize = 16 << 10;

/// One buffer for all connections of a server: it is in use only inside one poll.
///
/// A buffer for each connection would be mostly empty, and thousands of streams wait for their
/// next token at any time. What is read is copied to where it is needed, which costs less.
#[derive(Clone)]
pub(crate) struct ScratchBuffer(Rc<RefCell<Box<[u8]>>>);

impl ScratchBuffer {
    pub(crate) fn new() -> Self {
        Self(Rc::new(RefCell::new(vec![0; SCRATCH_BYTES].into_boxed_slice())))
    }

    /// Reads from `stream` and gives what came to `take`; returns how many bytes they were. 0 is
    /// the end of the connection.
    pub(crate) fn poll_read<S: Read + Unpin>(
        &self,
        stream: &mut S,
        context: &mut Context<'_>,
        take: impl FnOnce(&[u8]),
    ) -> Poll<io::Result<usize>> {
        let mut buffer = self.0.borrow_mut();
        let mut target = ReadBuf::new(&mut buffer);
        ready!(Pin::new(stream).poll_read(context, target.unfilled()))?;
        take(target.filled());
        Poll::Ready(Ok(target.filled().len()))
    }
}
