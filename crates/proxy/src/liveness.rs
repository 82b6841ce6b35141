//! What is known of a run while its answer is waited for.

use {
    crate::{Dispatcher, outcome::AttemptPlace},
    gullglade_dispatch::TicketId,
    gullglade_units::{BackendName, Clock, MonotonicTime},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// What another region's gateway told of a run is believed for this long. It tells several times
/// as often, so without a word the link or the gateway is lost.
const WORD_AGE: Duration = Duration::from_secs(1);

/// A run that is under way, as the wait for its answer sees it.
#[derive(Clone)]
pub(crate) struct RunWatch {
    /// Where it is.
    pub(crate) place: AttemptPlace,
    /// Whether its backend server is at work.
    pub(crate) liveness: RunLiveness,
    /// How long nothing may come from it before another place is sought.
    pub(crate) patience: Duration,
    /// The same where its backend server is at work; `None`: to the end of the request.
    pub(crate) work_patience: Option<Duration>,
}

/// Whether the backend server of a run is at work.
#[derive(Clone)]
pub(crate) enum RunLiveness {
    /// A run in the own region.
    Here(LocalLiveness),
    /// A run in another region.
    Away(Rc<RemoteLiveness>),
}

impl RunWatch {
    /// Takes note of how long nothing has come from the run. Where its backend server answers
    /// nobody, that counts against it if the run is cancelled now.
    pub(crate) fn note_silence(&self, silence: Duration) {
        let is_overdue = silence >= self.patience && !self.liveness.is_at_work();
        self.liveness.set_overdue(is_overdue.then_some(silence));
    }

    /// The backend server, where it is known.
    pub(crate) fn backend(&self) -> Option<BackendName> {
        match (&self.place, &self.liveness) {
            (AttemptPlace::Here(backend), _) => Some(backend.clone()),
            (AttemptPlace::Away(_), RunLiveness::Away(liveness)) => {
                liveness.backend.borrow().clone()
            }
            (AttemptPlace::Away(_), RunLiveness::Here(_)) => None,
        }
    }
}

impl RunLiveness {
    /// Whether its backend server has answered anybody lately.
    pub(crate) fn is_at_work(&self) -> bool {
        match self {
            Self::Here(liveness) => liveness.is_at_work(),
            Self::Away(liveness) => liveness.is_at_work(),
        }
    }

    /// Whether the run, were it cancelled now, is to count as overdue: after this silence.
    pub(crate) fn set_overdue(&self, silence: Option<Duration>) {
        match self {
            Self::Here(liveness) => liveness.overdue.set(silence),
            // The gateway there sees that it is cancelled.
            Self::Away(_) => {}
        }
    }
}

/// The same of a run in the own region.
#[derive(Clone)]
pub(crate) struct LocalLiveness {
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) ticket: TicketId,
    /// The silence after which it counts against the backend server where it is cancelled.
    pub(crate) overdue: Rc<Cell<Option<Duration>>>,
}

impl LocalLiveness {
    /// Whether the request is being sent, or was.
    pub(crate) fn has_begun(&self) -> bool {
        self.dispatcher.has_begun(self.ticket)
    }

    fn is_at_work(&self) -> bool {
        self.dispatcher.with_scheduler(|scheduler, now| scheduler.is_at_work(self.ticket, now))
    }
}

/// The same of a run in another region, as the gateway there tells.
pub(crate) struct RemoteLiveness {
    clock: Rc<dyn Clock>,
    /// When it last told something, and whether the run was at work by that.
    told: Cell<Option<(MonotonicTime, bool)>>,
    backend: RefCell<Option<BackendName>>,
}

impl RemoteLiveness {
    /// That of a request that was not accepted yet.
    pub(crate) fn new(clock: &Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock: Rc::clone(clock),
            told: Cell::default(),
            backend: RefCell::default(),
        })
    }

    /// The gateway told something of the run.
    pub(crate) fn note(&self, is_at_work: bool) {
        self.told.set(Some((self.clock.now(), is_at_work)));
    }

    /// The run is at this backend server.
    pub(crate) fn note_backend(&self, backend: BackendName) {
        self.backend.replace(Some(backend));
    }

    fn is_at_work(&self) -> bool {
        let now = self.clock.now();
        self.told.get().is_some_and(|(at, is_at_work)| is_at_work && now.since(at) < WORD_AGE)
    }
}
