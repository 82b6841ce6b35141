//! Operator API for claim groups.
//!
//! - `POST /v1/claims` with a [`GroupRequest`]: 200 with the [`GroupRecord`], 409 for a conflict or
//!   a group that is not a valid successor of the current one, 503 if the change was not applied,
//!   504 if its outcome is unknown and the client must retry it.
//! - `GET /v1/claims`: the current groups; with `?local`, the possibly outdated state of this
//!   process.
//! - `GET /v1/claims/history`: the newest 200 retained epochs, newest first.
//! - `GET /v1/claims/replicas`: the claim replicas in this process, as [`ReplicaRow`]s.

use {
    crate::{
        OperatorRoute,
        config_routes::{
            RouteReply, change_error, is_local, json, no_control, not_found, read_json,
        },
    },
    gullglade_claim::{ClaimService, ReplicaState},
    gullglade_control::{ConfigReplica, ControlNode, GroupOutcome, GroupRecord, GroupRequest},
    gullglade_http::{ApiError, RequestBody},
    gullglade_units::{LocalFuture, RegionName, VmName},
    http::{Method, Request, StatusCode},
    serde::{Deserialize, Serialize},
    std::rc::Rc,
};

/// Maximum number of epochs in one history response.
const HISTORY_LIMIT: usize = 200;

/// State of one claim replica of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// VM that the replica runs on.
    pub vm: VmName,
    /// Region whose claims the replica stores.
    pub region: RegionName,
    /// Epoch of the group that the replica belongs to.
    pub epoch: u64,
    /// Voting state of the replica: `complete`, `blind` or `stale`.
    pub state: String,
    /// Number of stored claims.
    pub held: usize,
}

/// Serves the operator API for claim groups.
pub struct ClaimRoutes {
    vm: VmName,
    replica: Rc<ConfigReplica>,
    claims: Rc<ClaimService>,
    control: Option<ControlNode>,
}

impl ClaimRoutes {
    /// Path prefix of these routes.
    pub const PREFIX: &'static str = "/v1/claims";

    /// Creates the routes of the process on `vm`. `control` is `None` without the control role.
    pub fn new(
        vm: VmName,
        replica: Rc<ConfigReplica>,
        claims: Rc<ClaimService>,
        control: Option<ControlNode>,
    ) -> Self {
        Self { vm, replica, claims, control }
    }

    async fn serve(&self, request: Request<RequestBody>) -> RouteReply {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/claims") => self.change(read_json(request).await?).await,
            (&Method::GET, "/v1/claims") if is_local(&query) => Ok(json(&self.replica.groups())),
            (&Method::GET, "/v1/claims") => {
                let groups =
                    |control: &ControlNode| control.read(|state| state.groups().cloned().collect());
                self.read(groups).await
            }
            (&Method::GET, "/v1/claims/history") => {
                let history = |control: &ControlNode| {
                    control.read(|state| {
                        state.group_history().rev().take(HISTORY_LIMIT).cloned().collect()
                    })
                };
                self.read(history).await
            }
            (&Method::GET, "/v1/claims/replicas") => Ok(json(&self.replicas())),
            (_, path) => Err(not_found(path)),
        }
    }

    fn control(&self) -> Result<&ControlNode, ApiError> {
        self.control.as_ref().ok_or_else(no_control)
    }

    /// Reads the control state after catching up with the log, so that the result includes every
    /// change accepted before the call.
    async fn read(&self, query: impl Fn(&ControlNode) -> Vec<GroupRecord>) -> RouteReply {
        let control = self.control()?;
        control.catch_up().await.map_err(|error| change_error(&error))?;
        Ok(json(&query(control)))
    }

    async fn change(&self, request: GroupRequest) -> RouteReply {
        let refused = |kind, reason: String| Err(ApiError::new(StatusCode::CONFLICT, kind, reason));
        match self.control()?.change_group(request).await {
            Ok(GroupOutcome::Accepted(record)) => Ok(json(&record)),
            Ok(GroupOutcome::Conflict(conflict)) => refused("epoch_conflict", conflict.to_string()),
            Ok(GroupOutcome::Refused(refusal)) => refused("group_refused", refusal.to_string()),
            Err(error) => Err(change_error(&error)),
        }
    }

    fn replicas(&self) -> Vec<ReplicaRow> {
        let row = |(id, state)| {
            let replica = self.claims.replica(&id)?;
            Some(ReplicaRow {
                vm: self.vm.clone(),
                region: id.region,
                epoch: replica.group().epoch,
                state: state_label(state).to_owned(),
                held: replica.record_count(),
            })
        };
        self.claims.states().into_iter().filter_map(row).collect()
    }
}

fn state_label(state: ReplicaState) -> &'static str {
    match state {
        ReplicaState::Complete => "complete",
        ReplicaState::Blind => "blind",
        ReplicaState::Stale => "stale",
    }
}

impl OperatorRoute for ClaimRoutes {
    fn handle<'a>(&'a self, request: Request<RequestBody>) -> LocalFuture<'a, RouteReply> {
        Box::pin(self.serve(request))
    }
}
