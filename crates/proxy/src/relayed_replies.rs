//! Replies that are relayed while they arrive from backend servers.

use {
    crate::{CallerRequestId, Dispatcher},
    bytes::Bytes,
    futures::Stream,
    gullglade_dispatch::{ReaderId, ReplyReaders},
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_http::{BodyBudget, BodyError, LocalStream, ReplyBody},
    gullglade_units::{Clock, ServiceName},
    std::{
        cell::RefCell,
        collections::HashMap,
        pin::Pin,
        rc::{Rc, Weak},
        task::{Context, Poll, ready},
    },
};

/// Memory of one such reply that is not read: the buffers of both connections.
const REPLY_BYTES: usize = 256 << 10;

/// All replies of a proxy that are relayed while they arrive.
pub(crate) struct RelayedReplies {
    readers: RefCell<ReplyReaders>,
    replies: RefCell<HashMap<ReaderId, Weak<GuardedReply>>>,
    clock: Rc<dyn Clock>,
    events: Rc<dyn EventSink>,
}

/// A reply that can be given up while its caller does not read it.
struct GuardedReply {
    request: CallerRequestId,
    service: ServiceName,
    /// `None` once the reply was given up. Dropping it cancels the work of the backend server.
    stream: RefCell<Option<LocalStream>>,
}

/// A reply on its way to its caller.
struct WatchedReply {
    table: Rc<RelayedReplies>,
    id: ReaderId,
    reply: Rc<GuardedReply>,
}

impl RelayedReplies {
    /// Creates a table of replies that may use as much memory as `budget` has for whole bodies.
    pub(crate) fn new(
        budget: &BodyBudget,
        clock: Rc<dyn Clock>,
        events: Rc<dyn EventSink>,
    ) -> Rc<Self> {
        let readers = RefCell::new(ReplyReaders::new(budget.limit() / REPLY_BYTES));
        Rc::new(Self { readers, replies: RefCell::default(), clock, events })
    }

    /// Watches how the caller of `request` reads `stream`.
    pub(crate) fn watch(
        self: &Rc<Self>,
        request: CallerRequestId,
        service: ServiceName,
        stream: LocalStream,
    ) -> ReplyBody {
        let id = self.readers.borrow_mut().add(service.clone());
        let stream = RefCell::new(Some(stream));
        let reply = Rc::new(GuardedReply { request, service, stream });
        self.replies.borrow_mut().insert(id, Rc::downgrade(&reply));
        self.free_memory();
        ReplyBody::stream(WatchedReply { table: Rc::clone(self), id, reply })
    }

    /// Gives up replies that their callers do not read, where others lack their slots.
    pub(crate) fn free_slots(&self, dispatcher: &Dispatcher) {
        let unread = dispatcher.with_scheduler(|scheduler, now| {
            self.readers.borrow().over_slots(|service| scheduler.is_full(service, now), now)
        });
        unread.into_iter().for_each(|id| self.give_up(id, "slots"));
    }

    /// Gives up replies that their callers do not read, if there are too many for the memory.
    pub(crate) fn free_memory(&self) {
        let unread = self.readers.borrow().over_memory(self.clock.now());
        unread.into_iter().for_each(|id| self.give_up(id, "memory"));
    }

    fn give_up(&self, id: ReaderId, lacking: &'static str) {
        self.readers.borrow_mut().remove(id);
        let reply = self.replies.borrow_mut().remove(&id).as_ref().and_then(Weak::upgrade);
        let Some(reply) = reply else { return };
        let event = EventDraft::new("reply.unread").level(Level::Warn).field("lacking", lacking);
        let event = event.field("request", &reply.request);
        self.events.emit(event.field("service", &reply.service));
        // Taken first: dropping the stream reports to the scheduler.
        let stream = reply.stream.take();
        drop(stream);
    }
}

impl Stream for WatchedReply {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Self { table, id, reply } = &*self;
        table.readers.borrow_mut().note_taken(*id);
        let mut stream = reply.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            let reason = "the caller did not read it while others waited".to_owned();
            return Poll::Ready(Some(Err(BodyError::Aborted { reason })));
        };
        let item = ready!(stream.as_mut().poll_next(context));
        if let Some(Ok(_)) = &item {
            table.readers.borrow_mut().note_offered(*id, table.clock.now());
        }
        Poll::Ready(item)
    }
}

impl Drop for WatchedReply {
    fn drop(&mut self) {
        self.table.readers.borrow_mut().remove(self.id);
        self.table.replies.borrow_mut().remove(&self.id);
    }
}
