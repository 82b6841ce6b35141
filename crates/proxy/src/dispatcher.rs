//! The scheduler between the tasks of requests: they wait for its verdicts and tell it outcomes.

use {
    crate::{
        liveness::{LocalLiveness, RunLiveness},
        send_watch::SendWatch,
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

/// Hands requests to a [`Scheduler`] and its verdicts back to them.
pub struct Dispatcher {
    scheduler: RefCell<Scheduler>,
    waiting: RefCell<HashMap<TicketId, oneshot::Sender<Decision>>>,
    /// Those of the requests that have not ended, and who is told when one is taken back.
    permits: RefCell<HashMap<TicketId, (SendPermit, oneshot::Sender<()>)>>,
    context: ProcessContext,
    /// When the next look at the queue is due.
    alarm: Cell<Option<MonotonicTime>>,
    /// Called when there may be something to be told to other gateways.
    on_news: RefCell<Option<Rc<dyn Fn()>>>,
}

impl Dispatcher {
    /// A dispatcher over `scheduler`.
    pub fn new(scheduler: Scheduler, context: ProcessContext) -> Rc<Self> {
        Rc::new(Self {
            scheduler: RefCell::new(scheduler),
            waiting: RefCell::default(),
            permits: RefCell::default(),
            context,
            alarm: Cell::new(None),
            on_news: RefCell::default(),
        })
    }

    /// Changes what the scheduler knows, and looks at the queue again.
    pub fn update<T>(
        self: &Rc<Self>,
        change: impl FnOnce(&mut Scheduler, MonotonicTime) -> T,
    ) -> T {
        let result = change(&mut self.scheduler.borrow_mut(), self.context.clock.now());
        self.pump();
        result
    }

    /// Asks the scheduler something that changes no verdict.
    pub fn ask<T>(&self, ask: impl FnOnce(&mut Scheduler, MonotonicTime) -> T) -> T {
        ask(&mut self.scheduler.borrow_mut(), self.context.clock.now())
    }

    /// Waits for the verdict on a request. Dropped meanwhile, the request leaves the queue.
    pub(crate) async fn place(self: &Rc<Self>, item: WorkItem) -> (SentTicket, Decision) {
        let ticket = self.scheduler.borrow_mut().submit(item, self.context.clock.now());
        let (sender, verdict) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let sent = SentTicket {
            dispatcher: Rc::clone(self),
            ticket,
            permit: self.issue_permit(ticket),
            watch: None,
            overdue: Rc::default(),
            is_over: false,
        };
        self.pump();
        // The sender is dropped only with its verdict, or with this dispatcher's last owner.
        let verdict = verdict.await.unwrap_or(Decision::Refuse {
            reason: RefusalReason::NoBackend,
            retry_after: Duration::from_secs(1),
            details: RefusalDetails::default(),
        });
        (sent, verdict)
    }

    /// Leave to send the request, which can be taken back from its verdict on: its task may take that
    /// up only after the backend server has said that it wants nothing more.
    fn issue_permit(&self, ticket: TicketId) -> IssuedPermit {
        let (told, revoked) = oneshot::channel();
        let permit = SendPermit::default();
        self.permits.borrow_mut().insert(ticket, (permit.clone(), told));
        IssuedPermit { permit, revoked }
    }

    /// Has the scheduler decide, and hands out the verdicts.
    fn pump(self: &Rc<Self>) {
        let now = self.context.clock.now();
        let verdicts = self.scheduler.borrow_mut().poll(now);
        for (ticket, verdict) in verdicts {
            let waiting = self.waiting.borrow_mut().remove(&ticket);
            let is_gone = waiting.is_none_or(|sender| sender.send(verdict).is_err());
            if is_gone {
                self.scheduler.borrow_mut().end(ticket, WorkOutcome::Cancelled, now);
            }
        }
        self.set_alarm(now);
        self.tell_news();
    }

    /// Calls `on_news` when there may be something to be told to other gateways.
    pub(crate) fn set_on_news(&self, on_news: Rc<dyn Fn()>) {
        self.on_news.replace(Some(on_news));
    }

    fn tell_news(&self) {
        let on_news = self.on_news.borrow().clone();
        if let Some(on_news) = on_news {
            on_news();
        }
    }

    /// Takes back the sends to the run of a backend server that have not begun or have no connection
    /// yet, for one that wants nothing more.
    fn revoke_sends(&self, run: &BackendRun) {
        let tickets = self.scheduler.borrow().sent_to_run(run);
        for ticket in tickets {
            let permit = self.permits.borrow_mut().remove(&ticket);
            if let Some((_, told)) = permit.filter(|(permit, _)| permit.revoke()) {
                // Nobody waits any more where the caller has just left.
                let _: Result<(), ()> = told.send(());
            }
        }
    }

    /// Whether the request is being sent, or was, to where it was placed.
    pub(crate) fn has_begun(&self, ticket: TicketId) -> bool {
        self.permits.borrow().get(&ticket).is_some_and(|(permit, _)| permit.has_begun())
    }

    fn set_alarm(self: &Rc<Self>, now: MonotonicTime) {
        let Some(wake) = self.scheduler.borrow().next_wake() else { return };
        if self.alarm.get().is_some_and(|at| at <= wake && at > now) {
            return;
        }
        self.alarm.set(Some(wake));
        let dispatcher = Rc::clone(self);
        self.context.spawner.spawn(Box::pin(async move {
            let wait = wake.since(dispatcher.context.clock.now());
            dispatcher.context.clock.sleep(wait).await;
            if dispatcher.alarm.get() == Some(wake) {
                dispatcher.alarm.set(None);
                dispatcher.pump();
            }
        }));
    }
}

/// Leave to send a request.
pub(crate) struct IssuedPermit {
    pub(crate) permit: SendPermit,
    /// Told when it is taken back.
    pub(crate) revoked: oneshot::Receiver<()>,
}

/// A request's place in the queue and, once it is sent, at a backend server. Dropped before the
/// end is told, it counts as left by its caller.
pub(crate) struct SentTicket {
    dispatcher: Rc<Dispatcher>,
    ticket: TicketId,
    permit: IssuedPermit,
    watch: Option<SendWatch>,
    /// The silence after which it counts against the backend server where it is cancelled.
    overdue: Rc<Cell<Option<Duration>>>,
    is_over: bool,
}

impl SentTicket {
    /// The same, sent as `watch` says.
    pub(crate) fn watched(mut self, watch: SendWatch) -> Self {
        self.watch = Some(watch);
        self
    }

    /// Leave to send it.
    pub(crate) fn permit(&mut self) -> &mut IssuedPermit {
        &mut self.permit
    }

    /// The first byte of the answer has come.
    pub(crate) fn begin(&self) {
        self.dispatcher.ask(|scheduler, now| scheduler.note_progress(self.ticket, now));
        self.dispatcher.tell_news();
        if let Some(watch) = &self.watch {
            watch.begin();
        }
    }

    /// The backend server stated something of itself with the head of its answer; what is new.
    pub(crate) fn note_statements(&self, stated: &BackendStatements) -> Vec<StatementChange> {
        let ticket = self.ticket;
        let changes =
            self.dispatcher.ask(|scheduler, now| scheduler.note_statements(ticket, stated, now));
        if let Some(watch) = &self.watch {
            changes.iter().for_each(|change| watch.statement_changed(*change));
            if changes.iter().any(|change| change.ends_sends()) {
                self.dispatcher.revoke_sends(&watch.run);
            }
        }
        changes
    }

    /// Whether the place may still be used.
    pub(crate) fn may_be_used(&self) -> bool {
        self.dispatcher.ask(|scheduler, now| scheduler.is_placement_usable(self.ticket, now))
    }

    /// What the wait for the answer needs to know of the run.
    pub(crate) fn liveness(&self) -> RunLiveness {
        RunLiveness::Here(LocalLiveness {
            dispatcher: Rc::clone(&self.dispatcher),
            ticket: self.ticket,
            overdue: Rc::clone(&self.overdue),
        })
    }

    /// The send has ended.
    pub(crate) fn finish(mut self, outcome: WorkOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: WorkOutcome) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        if let Some(watch) = &self.watch {
            watch.end(outcome, self.dispatcher.context.clock.now());
        }
        self.dispatcher.waiting.borrow_mut().remove(&self.ticket);
        self.dispatcher.permits.borrow_mut().remove(&self.ticket);
        self.dispatcher.update(|scheduler, now| {
            scheduler.withdraw(self.ticket);
            scheduler.end(self.ticket, outcome, now);
        });
    }
}

impl Drop for SentTicket {
    fn drop(&mut self) {
        self.end(match self.overdue.get() {
            Some(waited) => WorkOutcome::Overdue { waited },
            None => WorkOutcome::Cancelled,
        });
    }
}
