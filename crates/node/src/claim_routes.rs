//! The operators' requests about claim groups.
//!
//! - `POST /v1/claims` with a [`GroupRequest`]: 200 with the [`GroupRecord`], 409 for a conflict or
//!   a group that must not follow the one that stands, 503 where the change was not run, 504 where
//!   its outcome is unknown and it is to be sent again.
//! - `GET /v1/claims`: the groups that stand; `?local` asks this process alone.
//! - `GET /v1/claims/history`: every epoch that is kept, newest first.
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

/// The most epochs of one answer about history.
const HISTORY_LIMIT: usize = 200;

/// A claim replica of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The VM that it runs on.
    pub vm: VmName,
    /// The region whose claims it holds.
    pub region: RegionName,
    /// The epoch that it takes part in.
    pub epoch: u64,
    /// What it can vote on: `complete`, `blind` or `stale`.
    pub state: String,
    /// Claims held.
    pub held: usize,
}

/// Answers operators about claim groups.
pub struct ClaimRoutes {
    vm: VmName,
    replica: Rc<ConfigReplica>,
    claims: Rc<ClaimService>,
    control: Option<ControlNode>,
}

impl ClaimRoutes {
    /// What the paths that these routes serve begin with.
    pub const PREFIX: &'static str = "/v1/claims";

    /// The routes of the process on `vm`.
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

    /// Reads what is not older than anything accepted before.
    async fn read(&self, view: impl Fn(&ControlNode) -> Vec<GroupRecord>) -> RouteReply {
        let control = self.control()?;
        control.catch_up().await.map_err(|error| change_error(&error))?;
        Ok(json(&view(control)))
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
