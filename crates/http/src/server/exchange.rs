//! What the two sides of `hyper` on one connection tell each other: the stream below it and the
//! service above it.

use {
    super::connection_table::{ConnectionStage, ConnectionStatus},
    crate::ApiError,
    gullglade_units::Clock,
    http::HeaderMap,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        task::{Context, Waker},
    },
};

/// The state of the exchange on one connection.
pub(crate) struct ExchangeState {
    status: Rc<ConnectionStatus>,
    clock: Rc<dyn Clock>,
    /// Whether a request was handed on whose reply is not complete.
    active: Cell<bool>,
    /// Whether the request in progress is the last one of its connection.
    last: Cell<bool>,
    /// Why the head handed on is a substitute.
    refusal: RefCell<Option<ApiError>>,
    /// The headers of the head handed on, if it names only some of them.
    headers: RefCell<Option<HeaderMap>>,
    /// Whoever waits for the end of the request in progress.
    waiter: RefCell<Option<Waker>>,
}

impl ExchangeState {
    pub(crate) fn new(status: Rc<ConnectionStatus>, clock: Rc<dyn Clock>) -> Self {
        Self {
            status,
            clock,
            active: Cell::default(),
            last: Cell::default(),
            refusal: RefCell::default(),
            headers: RefCell::default(),
            waiter: RefCell::default(),
        }
    }

    /// Notes what the connection is doing from now on.
    pub(crate) fn enter(&self, stage: ConnectionStage) {
        self.status.enter(stage, self.clock.now());
    }

    /// Notes whether the request in progress has sent more than fits into a turn.
    pub(crate) fn set_bulk(&self, is_bulk: bool) {
        self.status.set_bulk(is_bulk);
    }

    pub(crate) fn stage(&self) -> ConnectionStage {
        self.status.stage()
    }

    pub(crate) fn is_active(&self) -> bool {
        self.active.get()
    }

    /// Notes that a request's head is handed on.
    pub(crate) fn begin(&self, last: bool) {
        self.active.set(true);
        self.last.set(last);
        self.enter(ConnectionStage::Serving);
    }

    /// Notes that the request in progress is the last one of its connection.
    pub(crate) fn set_last(&self) {
        self.last.set(true);
    }

    /// Notes all headers of the next head handed on.
    pub(crate) fn set_headers(&self, headers: HeaderMap) {
        self.headers.replace(Some(headers));
    }

    pub(crate) fn take_headers(&self) -> Option<HeaderMap> {
        self.headers.take()
    }

    /// Notes that the reply is complete, or given up.
    pub(crate) fn end(&self) {
        self.active.set(false);
        self.status.note_served(self.clock.now());
        if let Some(waiter) = self.waiter.take() {
            waiter.wake();
        }
    }

    /// Wakes the task of `context` at the next [`end`](Self::end).
    pub(crate) fn wake_at_end(&self, context: &Context<'_>) {
        self.waiter.replace(Some(context.waker().clone()));
    }

    pub(crate) fn is_last(&self) -> bool {
        self.last.get()
    }

    /// Notes why the next head handed on is a substitute.
    pub(crate) fn refuse(&self, error: ApiError) {
        self.refusal.replace(Some(error));
        self.begin(true);
    }

    pub(crate) fn take_refusal(&self) -> Option<ApiError> {
        self.refusal.take()
    }
}
