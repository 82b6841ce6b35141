//! Bodies of requests, read under bounds of size and time.

use {
    crate::{BodyBudget, BodyError, BodyUpload},
    bytes::{Bytes, BytesMut},
    futures::poll,
    gullglade_units::{Clock, MonotonicTime, timeout},
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, Incoming},
    std::{fmt, future::poll_fn, pin::pin, rc::Rc, task::Poll, time::Duration},
};

/// The body of a request in a handler's hands.
///
/// Every read is bounded by the server's `body_timeout`, the whole body by `body_total_timeout`
/// and `body_limit`.
pub struct RequestBody {
    source: BodySource,
    received: u64,
    limit: u64,
}

enum BodySource {
    Wire(WireSource),
    Memory(Option<Bytes>),
}

/// The bounds under which a body is read from a connection.
pub(crate) struct ReadBounds {
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) budget: Option<BodyBudget>,
    pub(crate) size: u64,
    pub(crate) pause: Duration,
    pub(crate) total: Duration,
}

struct WireSource {
    incoming: Incoming,
    clock: Rc<dyn Clock>,
    budget: Option<BodyBudget>,
    pause: Duration,
    total: Duration,
    deadline: MonotonicTime,
}

impl RequestBody {
    /// A body held in memory, for tests of handlers.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self { source: BodySource::Memory(Some(bytes)), received: 0, limit: u64::MAX }
    }

    /// A body that comes over a connection.
    pub(crate) fn from_wire(incoming: Incoming, bounds: ReadBounds) -> Self {
        let ReadBounds { clock, budget, size, pause, total } = bounds;
        let deadline = clock.now() + total;
        let source =
            BodySource::Wire(WireSource { incoming, clock, budget, pause, total, deadline });
        Self { source, received: 0, limit: size }
    }

    /// The length that the sender declared, bytes; `None` for a chunked body.
    pub fn declared_length(&self) -> Option<u64> {
        match &self.source {
            BodySource::Wire(wire) => wire.incoming.size_hint().exact(),
            BodySource::Memory(bytes) => {
                bytes.as_ref().and_then(|bytes| u64::try_from(bytes.len()).ok())
            }
        }
    }

    /// The next piece; `None` after the last one of a whole body.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let piece = match &mut self.source {
            BodySource::Memory(bytes) => Ok(bytes.take()?),
            BodySource::Wire(wire) => wire.next().await?,
        };
        Some(piece.and_then(|bytes| self.count(bytes)))
    }

    /// The whole body, which must have at most `limit` bytes. Its memory is taken from the server's
    /// budget until the last reference to it is dropped: the declared length before the first byte
    /// is read, or else as the body grows.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, BodyError> {
        self.limit = self.limit.min(u64::try_from(limit).unwrap_or(u64::MAX));
        let declared = self.declared_length().unwrap_or(0);
        if declared > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        let Some(meter) = self.meter() else { return self.read_whole(declared, None).await };
        meter.reserve(usize::try_from(declared).unwrap_or(usize::MAX))?;
        let body = self.read_whole(declared, Some(&meter)).await?;
        Ok(meter.upload.finish(body))
    }

    fn meter(&self) -> Option<UploadMeter> {
        let BodySource::Wire(WireSource { clock, budget, .. }) = &self.source else { return None };
        let upload = budget.as_ref()?.begin_upload(clock.now());
        Some(UploadMeter { upload, clock: Rc::clone(clock) })
    }

    async fn read_whole(
        &mut self,
        declared: u64,
        meter: Option<&UploadMeter>,
    ) -> Result<Bytes, BodyError> {
        let Some(first) = self.next_metered(meter).await else { return Ok(Bytes::new()) };
        let first = first?;
        let Some(second) = self.next_metered(meter).await else { return Ok(first) };
        let mut whole = BytesMut::with_capacity(usize::try_from(declared).unwrap_or(0));
        whole.extend_from_slice(&first);
        whole.extend_from_slice(&second?);
        while let Some(piece) = self.next_metered(meter).await {
            whole.extend_from_slice(&piece?);
        }
        Ok(whole.freeze())
    }

    /// The next piece, for which `meter` has memory.
    async fn next_metered(
        &mut self,
        meter: Option<&UploadMeter>,
    ) -> Option<Result<Bytes, BodyError>> {
        let Some(meter) = meter else { return self.next().await };
        let piece = {
            let mut next = pin!(self.next());
            poll_fn(|context| match meter.upload.poll_evicted(context) {
                true => Poll::Ready(Some(Err(BodyError::NoMemory))),
                false => next.as_mut().poll(context),
            })
            .await?
        };
        let total = self.received;
        Some(piece.and_then(|bytes| meter.note_received(total).map(|()| bytes)))
    }

    fn count(&mut self, bytes: Bytes) -> Result<Bytes, BodyError> {
        self.received += u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        if self.received > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        Ok(bytes)
    }
}

/// Counts a body against the server's budget as it arrives.
struct UploadMeter {
    upload: BodyUpload,
    clock: Rc<dyn Clock>,
}

impl UploadMeter {
    fn reserve(&self, size: usize) -> Result<(), BodyError> {
        self.upload.reserve(size, self.clock.now())
    }

    /// Notes that a body has grown to `total` bytes.
    fn note_received(&self, total: u64) -> Result<(), BodyError> {
        // A growing buffer doubles, and so does what is reserved for it.
        let size = usize::try_from(total).unwrap_or(usize::MAX).next_power_of_two();
        let is_reserved = self.upload.held() as u64 >= total;
        if !is_reserved {
            self.reserve(size)?;
        }
        self.upload.note_received(total, self.clock.now());
        Ok(())
    }
}

impl fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("RequestBody");
        debug.field("declared", &self.declared_length()).field("received", &self.received).finish()
    }
}

impl WireSource {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.frame().await? {
                Err(error) => return Some(Err(error)),
                Ok(frame) => match frame.into_data() {
                    Ok(bytes) => return Some(Ok(bytes)),
                    // Trailers carry nothing that the system uses.
                    Err(_trailers) => continue,
                },
            }
        }
    }

    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        let mut frame = pin!(self.incoming.frame());
        // A piece that is already here needs no timer.
        let outcome = match poll!(frame.as_mut()) {
            Poll::Ready(outcome) => outcome,
            Poll::Pending => {
                let left = self.deadline.since(self.clock.now());
                let limit = self.pause.min(left);
                match timeout(&*self.clock, limit, frame).await {
                    Some(outcome) => outcome,
                    None if limit < self.pause => {
                        return Some(Err(BodyError::Timeout { limit: self.total }));
                    }
                    None => return Some(Err(BodyError::Timeout { limit: self.pause })),
                }
            }
        };
        outcome.map(|result| result.map_err(|e| BodyError::from_hyper(&e)))
    }
}
