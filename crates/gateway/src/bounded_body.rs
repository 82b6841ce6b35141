//! Bounds of the answers of backend servers: a faulty one may send bytes without an end.

use {
    bytes::Bytes,
    futures::stream::unfold,
    gullglade_http::{BodyError, ClientBody, EventBoundary, LocalStream, MAX_EVENT_BYTES},
    gullglade_units::{Clock, MonotonicTime},
    std::{rc::Rc, time::Duration},
};

/// Time after the deadline of a request in which the rest of its answer may still arrive. What is
/// ready by then is delivered, even if it is late.
const LATE_TIME: Duration = Duration::from_secs(2);

/// Bounds of one answer.
pub(crate) struct BodyBounds {
    /// Set if the answer is a stream of events.
    pub(crate) events: Option<EventBoundary>,
    /// Set if the answer declares its length, which the client enforces.
    pub(crate) has_length: bool,
    pub(crate) deadline: MonotonicTime,
    pub(crate) clock: Rc<dyn Clock>,
    /// Called if the backend server breaks the protocol.
    pub(crate) on_fault: Rc<dyn Fn()>,
}

impl BodyBounds {
    /// Returns the pieces of `body`, which ends with an error where it exceeds the bounds.
    pub(crate) fn apply(self, body: ClientBody) -> LocalStream {
        // Boxed because `unfold` moves its state with each piece.
        let state = Box::new((self, Some(body)));
        Box::pin(unfold(state, |mut state| async move {
            let (bounds, body) = &mut *state;
            let piece = match body.as_mut()?.next().await {
                Some(Ok(piece)) => bounds.check(piece),
                Some(Err(error)) => Err(error),
                None => {
                    bounds.watch_end(body.take()?);
                    return None;
                }
            };
            if let Err(error) = &piece {
                // Closes the connection.
                body.take();
                if matches!(error, BodyError::Malformed { .. }) {
                    (bounds.on_fault)();
                }
            }
            Some((piece, state))
        }))
    }

    fn check(&mut self, piece: Bytes) -> Result<Bytes, BodyError> {
        let is_late = self.clock.now() >= self.deadline + LATE_TIME;
        let reason = match &mut self.events {
            Some(events) => {
                let has_event = events.read(&piece);
                match () {
                    () if events.pending() > MAX_EVENT_BYTES => "an event without an end",
                    () if is_late && !has_event => "no event, though bytes still come",
                    () => return Ok(piece),
                }
            }
            None if is_late && !self.has_length => "an answer without an end",
            None => return Ok(piece),
        };
        Err(BodyError::Malformed { reason: reason.to_owned() })
    }

    /// Reports bytes after the end of the answer.
    fn watch_end(&self, body: ClientBody) {
        if body.has_stray_bytes() {
            (self.on_fault)();
        }
        let on_fault = Rc::clone(&self.on_fault);
        body.on_stray_bytes(Box::new(move || on_fault()));
    }
}
