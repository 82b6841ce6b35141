//! Runs of backend servers that may have begun but are not announced.
//!
//! The load pattern: the backend servers of a failure domain end and come back cold, under their
//! names. Until the first announcement of a new run its gateways know only the one before, which was
//! warm, and would send it all requests that waited for its return. It ends again, and again.
//!
//! From the first sign that a run has ended, its backend server counts as cold: until a new run is
//! announced, until its health path states how long it stays cold, or for as long as a run can be
//! cold after the first contact.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// Shortest time between two health checks of a backend server.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A statement to stay cold counts for at most this long.
const MAX_STATED: Duration = Duration::from_secs(60);

/// Connections are kept about as long after a request.
const KEPT_TIME: Duration = Duration::from_secs(3);

/// A request that was sent this long before the suspicion had its connection before it. A later one
/// may have waited for a connection to a new run.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// What is known of the next run of a backend server.
#[derive(Debug, Default)]
pub(crate) struct RestartRecord {
    suspicion: Option<RestartSuspicion>,
    /// Time of the last contact of any gateway that is known.
    last_contact: Option<MonotonicTime>,
    /// Time of the last contact of this gateway.
    own_contact: Option<MonotonicTime>,
}

#[derive(Debug)]
struct RestartSuspicion {
    /// Time of the first sign that the known run has ended.
    since: MonotonicTime,
    /// The first contact since then.
    contact: Option<MonotonicTime>,
    /// End of the stated cold time.
    cold_until: Option<MonotonicTime>,
    /// Time of the last health check.
    checked: Option<MonotonicTime>,
}

impl RestartRecord {
    /// Records a sign that the run has ended. Returns whether it is the first one since the last
    /// contact.
    pub(crate) fn note_end(&mut self, now: MonotonicTime) -> bool {
        if self.suspicion.as_ref().is_some_and(|suspicion| suspicion.contact.is_none()) {
            return false;
        }
        let suspicion =
            RestartSuspicion { since: now, contact: None, cold_until: None, checked: None };
        self.suspicion = Some(suspicion);
        true
    }

    /// Records that another gateway suspects the end of the run. A connection that this gateway kept
    /// would have closed.
    pub(crate) fn note_peer_suspicion(&mut self, now: MonotonicTime) {
        if !is_kept(self.own_contact, now) {
            self.note_end(now);
        }
    }

    /// Records that another backend server of its failure domain may have ended. Returns whether this
    /// one is suspected, too, from now on: only if no gateway has a connection that could show its
    /// end.
    pub(crate) fn note_end_beside(&mut self, now: MonotonicTime) -> bool {
        !is_kept(self.last_contact, now) && self.note_end(now)
    }

    /// Records a contact of this gateway, as [`note_contact`](Self::note_contact) does.
    pub(crate) fn note_own_contact(&mut self, began: MonotonicTime, now: MonotonicTime) {
        self.own_contact = Some(now);
        self.note_contact(began, now);
    }

    /// Records a contact at `now`, of a request or connection that began at `began`. One from well
    /// before the suspicion shows that the run goes on.
    pub(crate) fn note_contact(&mut self, began: MonotonicTime, now: MonotonicTime) {
        self.last_contact = self.last_contact.max(Some(now));
        match &mut self.suspicion {
            Some(suspicion) if began + CONNECT_TIME < suspicion.since => self.suspicion = None,
            // A check before it may have had nobody to answer.
            Some(suspicion) if suspicion.contact.is_none() && began >= suspicion.since => {
                suspicion.contact = Some(now);
                suspicion.checked = None;
            }
            _ => {}
        }
    }

    /// Records that the backend server stated at `now` to stay cold for `left`.
    pub(crate) fn note_stated(&mut self, left: Duration, now: MonotonicTime) {
        if left.is_zero() {
            self.suspicion = None;
            return;
        }
        let suspicion = self.suspicion.get_or_insert(RestartSuspicion {
            since: now,
            contact: None,
            cold_until: None,
            checked: None,
        });
        suspicion.contact.get_or_insert(now);
        suspicion.cold_until = Some(now + left.min(MAX_STATED));
    }

    /// Returns whether the backend server has to be taken for cold. A new run is cold for `warmup`.
    pub(crate) fn may_be_cold(&self, warmup: Duration, now: MonotonicTime) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.may_be_cold(warmup, now))
    }

    /// Returns whether its health path has to be asked how long it stays cold.
    pub(crate) fn is_check_due(&self, warmup: Duration, now: MonotonicTime) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| {
            let is_recent = |at: MonotonicTime| now.since(at) < CHECK_INTERVAL;
            suspicion.cold_until.is_none()
                && suspicion.may_be_cold(warmup, now)
                && !suspicion.checked.is_some_and(is_recent)
        })
    }

    /// Returns the time of the first contact since the suspicion, if there is one.
    pub(crate) fn contact(&self) -> Option<MonotonicTime> {
        self.suspicion.as_ref()?.contact
    }

    /// Records that a health check is sent.
    pub(crate) fn note_check(&mut self, now: MonotonicTime) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.checked = Some(now);
        }
    }
}

/// Returns whether a connection is kept since a contact at `contact`.
fn is_kept(contact: Option<MonotonicTime>, now: MonotonicTime) -> bool {
    contact.is_some_and(|at| now.since(at) < KEPT_TIME)
}

impl RestartSuspicion {
    fn may_be_cold(&self, warmup: Duration, now: MonotonicTime) -> bool {
        match (self.cold_until, self.contact) {
            (Some(until), _) => now < until,
            (None, Some(contact)) => now < contact + warmup,
            (None, None) => true,
        }
    }
}
