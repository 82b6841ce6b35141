//! Authorization of callers by their keys.
//!
//! A revoked key must be refused everywhere within a bound, even by a gateway that has no contact
//! to the control processes and cannot learn of the revocation. A gateway therefore serves callers
//! with keys only while it knows that its configuration was the newest one at a time less than the
//! bound ago. That time is when the requests were sent by which a quorum confirmed its leader, and
//! no hop on the way here makes it younger (`ControlCore::confirmed`, `FleetView::merge`).

use {
    crate::outcome::RequestError,
    gullglade_event::FieldValue,
    gullglade_fleet::FleetFollower,
    gullglade_traffic::{TrafficConfig, TrafficRoute, TrafficWorkspace},
    gullglade_units::TokenHash,
    std::{fmt, rc::Rc, time::Duration},
};

/// Fraction of the revocation bound for which keys are accepted. The margin covers the difference
/// in clock rate between VMs.
const KEY_LEASE_FRACTION: f64 = 0.98;

/// Reason for refusing a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AccessDenial {
    /// The caller sent no key.
    NoKey,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The key may have been revoked without this gateway's knowledge.
    NoContact,
}

impl AccessDenial {
    /// Returns the value of the metric label.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::NoContact => "no_contact",
        }
    }
}

impl fmt::Display for AccessDenial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl FieldValue for AccessDenial {}

/// Checks keys and finds the workspaces of callers.
pub(crate) struct AccessChecker {
    fleet: Rc<FleetFollower>,
    /// Time for which a configuration may be used to check keys after it was last confirmed as the
    /// newest.
    lease: Option<Duration>,
}

impl AccessChecker {
    /// Creates a checker. `revocation` is the time within which a revoked key must be refused;
    /// `None` if a gateway without contact may keep accepting keys.
    pub(crate) fn new(fleet: Rc<FleetFollower>, revocation: Option<Duration>) -> Self {
        Self { fleet, lease: revocation.map(|bound| bound.mul_f64(KEY_LEASE_FRACTION)) }
    }

    /// Returns the workspace of a request, or `None` if its route needs no key.
    ///
    /// Call this after the request has been read completely, since a key may be revoked while the
    /// caller is still sending.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::NoAccess`] if the caller must not be served.
    pub(crate) fn authorize(
        &self,
        config: &TrafficConfig,
        route: &TrafficRoute,
        key: Option<&TokenHash>,
    ) -> Result<Option<Rc<TrafficWorkspace>>, RequestError> {
        if route.is_public || config.workspaces().is_empty() {
            return Ok(None);
        }
        if !self.has_contact() {
            return Err(RequestError::NoAccess(AccessDenial::NoContact));
        }
        let key = key.ok_or(RequestError::NoAccess(AccessDenial::NoKey))?;
        let holder = config.workspaces().find_by_key(key);
        let workspace = holder.ok_or(RequestError::NoAccess(AccessDenial::UnknownKey))?;
        Ok(Some(Rc::clone(workspace)))
    }

    fn has_contact(&self) -> bool {
        self.lease.is_none_or(|lease| self.fleet.confirmed_ago().is_some_and(|ago| ago < lease))
    }
}
