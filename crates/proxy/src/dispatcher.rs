//! Connects the scheduler with the tasks of requests, which wait for decisions and report outcomes.

use {
    crate::{
        liveness::{LocalLiveness, RunLiveness},
        send_monitor::SendMonitor,
    },
    futures::channel::oneshot,
    gullglade_dispatch::{
        BackendStatements, Decision, RefusalDetails, RefusalReason, Scheduler, StatementChange,
        TicketId, WorkItem, WorkOutcome,
    },
    gullglade_http::SendPermit,
    gullglade_units::{BackendRun, MonotonicTime, ProcessContext},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
};

/// Submits requests to a [`Scheduler`] and delivers its decisions.
pub struct Dispatcher {
    scheduler: RefCell<Scheduler>,
    waiting: RefCell<HashMap<TicketId, oneshot::Sender<Decision>>>,
    /// Send permits of the requests in progress, with the channel that reports a revocation.
    permits: RefCell<HashMap<TicketId, (SendPermit, oneshot::Sender<()>)>>,
    context: ProcessContext,
    /// Time of the next scheduled poll of the scheduler.
    next_poll: Cell<Option<MonotonicTime>>,
    /// Called when there may be hints for other gateways.
    on_change: RefCell<Option<Rc<dyn Fn()>>>,
}

impl Dispatcher {
    /// Creates a dispatcher for `scheduler`.
    pub fn new(scheduler: Scheduler, context: ProcessContext) -> Rc<Self> {
        Rc::new(Self {
            scheduler: RefCell::new(scheduler),
            waiting: RefCell::default(),
            permits: RefCell::default(),
            context,
            next_poll: Cell::new(None),
            on_change: RefCell::default(),
        })
    }

    /// Changes the state of the scheduler and polls it for new decisions.
    pub fn update_scheduler<T>(
        self: &Rc<Self>,
        change: impl FnOnce(&mut Scheduler, MonotonicTime) -> T,
    ) -> T {
        let result = change(&mut self.scheduler.borrow_mut(), self.context.clock.now());
        self.poll_scheduler();
        result
    }

    /// Runs `action` on the scheduler. It must not affect any decision, since the scheduler is not
    /// polled afterwards.
    pub fn with_scheduler<T>(&self, action: impl FnOnce(&mut Scheduler, MonotonicTime) -> T) -> T {
        action(&mut self.scheduler.borrow_mut(), self.context.clock.now())
    }

    /// Waits for the decision on a request. If the future is dropped, the request leaves the queue.
    pub(crate) async fn place(self: &Rc<Self>, item: WorkItem) -> (DispatchTicket, Decision) {
        let ticket = self.scheduler.borrow_mut().submit(item, self.context.clock.now());
        let (sender, verdict) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let dispatch_ticket = DispatchTicket {
            dispatcher: Rc::clone(self),
            ticket,
            permit: self.issue_permit(ticket),
            monitor: None,
            overdue: Rc::default(),
            is_finished: false,
        };
        self.poll_scheduler();
        // The sender is dropped only after it has sent a decision, or together with the last owner
        // of this dispatcher.
        let verdict = verdict.await.unwrap_or(Decision::Refuse {
            reason: RefusalReason::NoBackend,
            retry_after: Duration::from_secs(1),
            details: RefusalDetails::default(),
        });
        (dispatch_ticket, verdict)
    }

    /// Issues a permit to send the request. It can be revoked as soon as there is a decision, since
    /// the task may act on the decision only after the backend server has stopped accepting work.
    fn issue_permit(&self, ticket: TicketId) -> IssuedPermit {
        let (revoke_sender, revoked) = oneshot::channel();
        let permit = SendPermit::default();
        self.permits.borrow_mut().insert(ticket, (permit.clone(), revoke_sender));
        IssuedPermit { permit, revoked }
    }

    /// Polls the scheduler and delivers its decisions.
    fn poll_scheduler(self: &Rc<Self>) {
        let now = self.context.clock.now();
        let verdicts = self.scheduler.borrow_mut().poll(now);
        for (ticket, verdict) in verdicts {
            let waiting = self.waiting.borrow_mut().remove(&ticket);
            let is_abandoned = waiting.is_none_or(|sender| sender.send(verdict).is_err());
            if is_abandoned {
                self.scheduler.borrow_mut().end(ticket, WorkOutcome::Cancelled, now);
            }
        }
        self.schedule_poll(now);
        self.notify_change();
    }

    /// Sets the function that is called when there may be hints for other gateways.
    pub(crate) fn set_on_change(&self, on_change: Rc<dyn Fn()>) {
        self.on_change.replace(Some(on_change));
    }

    fn notify_change(&self) {
        let on_change = self.on_change.borrow().clone();
        if let Some(on_change) = on_change {
            on_change();
        }
    }

    /// Revokes the sends to a backend server instance that have not begun or have no connection
    /// yet, since it accepts no more work.
    fn revoke_sends(&self, run: &BackendRun) {
        let tickets = self.scheduler.borrow().sent_to_run(run);
        for ticket in tickets {
            let permit = self.permits.borrow_mut().remove(&ticket);
            if let Some((_, revoke_sender)) = permit.filter(|(permit, _)| permit.revoke()) {
                // The receiver is gone if the caller has just disconnected.
                let _: Result<(), ()> = revoke_sender.send(());
            }
        }
    }

    /// Returns `true` if sending the request to its place has begun.
    pub(crate) fn has_begun(&self, ticket: TicketId) -> bool {
        self.permits.borrow().get(&ticket).is_some_and(|(permit, _)| permit.has_begun())
    }

    fn schedule_poll(self: &Rc<Self>, now: MonotonicTime) {
        let Some(wake) = self.scheduler.borrow().next_wake() else { return };
        if self.next_poll.get().is_some_and(|at| at <= wake && at > now) {
            return;
        }
        self.next_poll.set(Some(wake));
        let dispatcher = Rc::clone(self);
        self.context.spawner.spawn(Box::pin(async move {
            let wait = wake.since(dispatcher.context.clock.now());
            dispatcher.context.clock.sleep(wait).await;
            if dispatcher.next_poll.get() == Some(wake) {
                dispatcher.next_poll.set(None);
                dispatcher.poll_scheduler();
            }
        }));
    }
}

/// Permit to send a request.
pub(crate) struct IssuedPermit {
    pub(crate) permit: SendPermit,
    /// Completes when the permit is revoked.
    pub(crate) revoked: oneshot::Receiver<()>,
}

/// The place of a request in the queue and, once it is sent, at a backend server. If dropped before
/// an outcome is reported, the request counts as cancelled by its caller.
pub(crate) struct DispatchTicket {
    dispatcher: Rc<Dispatcher>,
    ticket: TicketId,
    permit: IssuedPermit,
    monitor: Option<SendMonitor>,
    /// Silence that counts against the backend server if the request is cancelled now.
    overdue: Rc<Cell<Option<Duration>>>,
    is_finished: bool,
}

impl DispatchTicket {
    /// Attaches the monitor of the send.
    pub(crate) fn with_monitor(mut self, monitor: SendMonitor) -> Self {
        self.monitor = Some(monitor);
        self
    }

    /// Returns the permit to send the request.
    pub(crate) fn permit(&mut self) -> &mut IssuedPermit {
        &mut self.permit
    }

    /// Notes that a piece of the response has arrived in which `events` events end.
    pub(crate) fn note_progress(&self, events: u32) {
        let ticket = self.ticket;
        self.dispatcher.with_scheduler(|scheduler, now| scheduler.note_events(ticket, events, now));
        self.dispatcher.notify_change();
        if let Some(monitor) = &self.monitor {
            monitor.note_first_byte();
        }
    }

    /// Notes that the backend server has begun an answer to the request.
    pub(crate) fn note_answer_begun(&self) {
        if let Some(monitor) = &self.monitor {
            monitor.note_answer_begun();
        }
    }

    /// Passes on the statements of the backend server in the head of its response, and returns the
    /// changes.
    pub(crate) fn note_statements(&self, statements: &BackendStatements) -> Vec<StatementChange> {
        let ticket = self.ticket;
        let changes = self
            .dispatcher
            .with_scheduler(|scheduler, now| scheduler.note_statements(ticket, statements, now));
        if let Some(monitor) = &self.monitor {
            changes.iter().for_each(|change| monitor.statement_changed(*change));
            if changes.iter().any(|change| change.ends_sends()) {
                self.dispatcher.revoke_sends(&monitor.run);
            }
        }
        changes
    }

    /// Returns the function to be called if the backend server sends bytes after a whole response
    /// whose outcome has been reported.
    pub(crate) fn stray_bytes_callback(&self) -> Option<Box<dyn FnOnce()>> {
        // Not the monitor itself, which holds the request's body.
        let report = self.monitor.as_ref()?.garbled_report();
        let dispatcher = Rc::downgrade(&self.dispatcher);
        Some(Box::new(move || {
            let Some(dispatcher) = dispatcher.upgrade() else { return };
            dispatcher.with_scheduler(|scheduler, now| {
                scheduler.note_garbled(&report.run, now);
                report.emit("stray_bytes", now);
            });
        }))
    }

    /// Returns the time of this process.
    pub(crate) fn now(&self) -> MonotonicTime {
        self.dispatcher.context.clock.now()
    }

    /// Returns `true` if the place may still be used.
    pub(crate) fn may_be_used(&self) -> bool {
        self.dispatcher
            .with_scheduler(|scheduler, now| scheduler.is_placement_usable(self.ticket, now))
    }

    /// Returns the liveness of the run, for the wait for its response.
    pub(crate) fn liveness(&self) -> RunLiveness {
        RunLiveness::Local(LocalLiveness {
            dispatcher: Rc::clone(&self.dispatcher),
            ticket: self.ticket,
            overdue: Rc::clone(&self.overdue),
        })
    }

    /// Reports the outcome of the send.
    pub(crate) fn finish(mut self, outcome: WorkOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: WorkOutcome) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        if let Some(monitor) = &self.monitor {
            monitor.end(outcome, self.dispatcher.context.clock.now());
        }
        self.dispatcher.waiting.borrow_mut().remove(&self.ticket);
        self.dispatcher.permits.borrow_mut().remove(&self.ticket);
        self.dispatcher.update_scheduler(|scheduler, now| {
            scheduler.withdraw(self.ticket);
            scheduler.end(self.ticket, outcome, now);
        });
    }
}

impl Drop for DispatchTicket {
    fn drop(&mut self) {
        self.end(match self.overdue.get() {
            Some(waited) => WorkOutcome::Overdue { waited },
            None => WorkOutcome::Cancelled,
        });
    }
}
