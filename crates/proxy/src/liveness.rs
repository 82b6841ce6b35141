//! Liveness of runs whose response is awaited.

use {
    crate::{Dispatcher, outcome::AttemptTarget},
    gullglade_dispatch::TicketId,
    gullglade_units::{BackendName, Clock, MonotonicTime},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// Time for which a report of another region's gateway on a run is valid. Reports come several
/// times as often, so if none comes, the link or the gateway is lost.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// A run in progress, as seen by the wait for its response.
#[derive(Clone)]
pub(crate) struct RunMonitor {
    /// Backend server or region of the run.
    pub(crate) target: AttemptTarget,
    /// Liveness of the backend server.
    pub(crate) liveness: RunLiveness,
    /// Longest silence before another place is sought.
    pub(crate) silence_limit: Duration,
    /// Longest silence while the backend server is at work; `None` if it is limited only by the end
    /// of the request.
    pub(crate) at_work_silence_limit: Option<Duration>,
}

/// Liveness of the backend server of a run.
#[derive(Clone)]
pub(crate) enum RunLiveness {
    /// A run in the own region.
    Local(LocalLiveness),
    /// A run in another region.
    Remote(Rc<RemoteLiveness>),
}

impl RunMonitor {
    /// Records the silence of the run. If its backend server responds to no requests and the run is
    /// cancelled now, the silence counts against the backend server.
    pub(crate) fn note_silence(&self, silence: Duration) {
        let is_overdue = silence >= self.silence_limit && !self.liveness.is_at_work();
        self.liveness.set_overdue(is_overdue.then_some(silence));
    }

    /// Returns the backend server of the run, if it is known.
    pub(crate) fn backend(&self) -> Option<BackendName> {
        match (&self.target, &self.liveness) {
            (AttemptTarget::Local(backend), _) => Some(backend.clone()),
            (AttemptTarget::Remote(_), RunLiveness::Remote(liveness)) => {
                liveness.backend.borrow().clone()
            }
            (AttemptTarget::Remote(_), RunLiveness::Local(_)) => None,
        }
    }
}

impl RunLiveness {
    /// Returns `true` if the backend server has responded to any request lately.
    pub(crate) fn is_at_work(&self) -> bool {
        match self {
            Self::Local(liveness) => liveness.is_at_work(),
            Self::Remote(liveness) => liveness.is_at_work(),
        }
    }

    /// Sets the silence with which the run counts as overdue if it is cancelled now; `None` if it
    /// does not.
    pub(crate) fn set_overdue(&self, silence: Option<Duration>) {
        match self {
            Self::Local(liveness) => liveness.overdue.set(silence),
            // The gateway there notices the cancellation itself.
            Self::Remote(_) => {}
        }
    }
}

/// Liveness of a run in the own region.
#[derive(Clone)]
pub(crate) struct LocalLiveness {
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) ticket: TicketId,
    /// Silence that counts against the backend server if the request is cancelled now.
    pub(crate) overdue: Rc<Cell<Option<Duration>>>,
}

impl LocalLiveness {
    /// Returns `true` if sending the request has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.dispatcher.has_begun(self.ticket)
    }

    fn is_at_work(&self) -> bool {
        self.dispatcher.with_scheduler(|scheduler, now| scheduler.is_at_work(self.ticket, now))
    }
}

/// Liveness of a run in another region, as reported by the gateway there.
pub(crate) struct RemoteLiveness {
    clock: Rc<dyn Clock>,
    /// Time of the last report, and the state that it contained: true if the run was at work.
    last_report: Cell<Option<(MonotonicTime, bool)>>,
    backend: RefCell<Option<BackendName>>,
}

impl RemoteLiveness {
    /// Creates the state for a request that is not accepted yet.
    pub(crate) fn new(clock: &Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock: Rc::clone(clock),
            last_report: Cell::default(),
            backend: RefCell::default(),
        })
    }

    /// Records a report of the gateway.
    pub(crate) fn note_report(&self, is_at_work: bool) {
        self.last_report.set(Some((self.clock.now(), is_at_work)));
    }

    /// Records the backend server of the run.
    pub(crate) fn note_backend(&self, backend: BackendName) {
        self.backend.replace(Some(backend));
    }

    fn is_at_work(&self) -> bool {
        let now = self.clock.now();
        self.last_report
            .get()
            .is_some_and(|(at, is_at_work)| is_at_work && now.since(at) < REPORT_MAX_AGE)
    }
}
