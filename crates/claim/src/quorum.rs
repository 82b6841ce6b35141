//! Gateway side of the claim protocol: claims at a quorum of a group's replicas.

use {
    crate::{
        ClaimCoordinator, ClaimDigest, ClaimDriver, ClaimError, ClaimGrant, ClaimOutcome,
        ClaimRequest, ClaimService, ClaimSettings, GroupSource, ReleaseProof, ReplicaGroup,
        ReplicaMember, RequestFingerprint, RunResult,
        error::{
            ExpiredSnafu, FromFutureSnafu, NoReplicasSnafu, RegionNotAllowedSnafu, SendTooOldSnafu,
            SupersededSnafu,
        },
        message::{ClaimStep, StepCall, StepOutcome},
        record::{Acceptance, AttemptId, Ballot},
        round::{ReplicaCaller, ReplyRound, RoundReplies},
        table::{AbstainReason, KeyScope},
        tally::{AcceptVerdict, PrepareVerdict, ReplyTally},
    },
    gullglade_peer::PeerTransport,
    gullglade_units::{LocalFuture, MonotonicTime, OrderKey, ProcessContext, WallMillis},
    snafu::{OptionExt, ensure},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Number of retries if fewer than a quorum of replicas stored a result.
const FINISH_RETRIES: u32 = 3;

/// Delay before the first retry. The delay doubles after each retry.
const FINISH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Claims keys at the replicas of their groups.
pub struct QuorumClaims {
    shared: Rc<QuorumShared>,
}

struct QuorumShared {
    context: ProcessContext,
    settings: ClaimSettings,
    groups: Rc<dyn GroupSource>,
    service: Rc<ClaimService>,
    caller: ReplicaCaller,
}

impl QuorumClaims {
    /// Creates a coordinator that claims keys at the groups of `groups` over `transport`. Replicas
    /// of `service`, which belong to this process, are called directly.
    pub fn new(
        context: ProcessContext,
        settings: ClaimSettings,
        groups: Rc<dyn GroupSource>,
        service: Rc<ClaimService>,
        transport: Rc<dyn PeerTransport>,
    ) -> Self {
        let limit = settings.call_limit;
        let caller = ReplicaCaller { context: context.clone(), transport, limit };
        Self { shared: Rc::new(QuorumShared { context, settings, groups, service, caller }) }
    }
}

impl ClaimCoordinator for QuorumClaims {
    fn claim<'a>(
        &'a self,
        request: ClaimRequest<'a>,
    ) -> LocalFuture<'a, Result<ClaimOutcome, ClaimError>> {
        Box::pin(async move {
            let attempt = self.shared.new_attempt(&request)?;
            claim_key(attempt, &request).await
        })
    }
}

impl QuorumShared {
    fn new_attempt(self: &Rc<Self>, request: &ClaimRequest<'_>) -> Result<KeyAttempt, ClaimError> {
        let region = request.claim_region();
        let key = request.key.clone();
        ensure!(request.allowed_regions.contains(&region), RegionNotAllowedSnafu { key, region });
        let scope = KeyScope {
            digest: ClaimDigest::new(request.workspace, request.key),
            made: request.key.origin().map(|(_, made)| made),
        };
        let group = self.groups.group(&region, &scope.digest);
        let group = group.context(NoReplicasSnafu { region })?;
        Ok(KeyAttempt {
            shared: Rc::clone(self),
            group,
            scope,
            key: request.key.clone(),
            fingerprint: request.fingerprint,
            received: request.received,
            claimed_at: (self.context.clock.now(), self.context.clock.wall()),
            id: AttemptId::new(&*self.context.random),
        })
    }
}

/// One attempt to claim one key.
#[derive(Clone)]
struct KeyAttempt {
    shared: Rc<QuorumShared>,
    group: Rc<ReplicaGroup>,
    scope: KeyScope,
    key: OrderKey,
    fingerprint: RequestFingerprint,
    received: MonotonicTime,
    /// Monotonic and wall clock at the time of the claim.
    claimed_at: (MonotonicTime, WallMillis),
    id: AttemptId,
}

impl KeyAttempt {
    fn call(&self, step: ClaimStep) -> StepCall {
        StepCall { group: self.group.id.clone(), epoch: self.group.epoch, scope: self.scope, step }
    }

    /// Sends one step to all members.
    fn round(&self, step: &ClaimStep) -> ReplyRound {
        let calls = self.group.members.iter().map(|_| Some(self.call(step.clone()))).collect();
        self.start(calls)
    }

    fn start(&self, calls: Vec<Option<StepCall>>) -> ReplyRound {
        let own = self.shared.service.replica(&self.group.id);
        self.shared.caller.start(&self.group, own, calls)
    }

    fn now(&self) -> MonotonicTime {
        self.shared.context.clock.now()
    }

    /// Returns the time since the send was received. Both clocks are used, because the monotonic
    /// clock stops while a VM is suspended: after it resumes, the send would seem recent and run
    /// although its caller had given up and had been told "not run" elsewhere.
    fn age(&self) -> Duration {
        let (claimed_at, wall) = self.claimed_at;
        let by_wall = self.shared.context.clock.wall().0.saturating_sub(wall.0);
        let since_claim = self.now().since(claimed_at).max(Duration::from_millis(by_wall));
        claimed_at.since(self.received) + since_claim
    }

    /// Fails if the send is too old to run. Replicas record that a caller was told "not run" only
    /// for a limited time, so older sends must not run.
    fn check_age(&self) -> Result<(), ClaimError> {
        let (age, limit) = (self.age(), self.shared.settings.send_limit());
        ensure!(age < limit, SendTooOldSnafu { key: self.key.clone(), age, limit });
        Ok(())
    }

    /// Returns true if this send was received after a caller was last told "not run" under the key.
    /// A send received before must not run, because that caller may have ordered elsewhere since.
    fn follows_denial(&self, denied_age: Option<Duration>) -> bool {
        denied_age.is_none_or(|denied| self.age() < denied)
    }

    async fn prepare(&self, counter: u32) -> (PrepareVerdict, Option<Duration>, RoundReplies) {
        let ballot = Ballot { counter, attempt: self.id };
        let mut round = self.round(&ClaimStep::Prepare(ballot));
        let (verdict, denied) = round
            .verdict(|replies, is_last| {
                let tally = ReplyTally::new(&self.group, replies, self.id);
                tally.prepare(is_last).map(|verdict| (verdict, tally.denied_age()))
            })
            .await
            .expect("the tally decides once all replies have arrived");
        (verdict, denied, round.replies)
    }

    /// Tells all replicas that this attempt will never run. `deny` states that a caller is told so.
    fn release(&self, deny: bool) -> ReplyRound {
        self.round(&ClaimStep::Release { attempt: self.id, deny })
    }

    /// Releases this attempt and determines whether any attempt under the key may have run.
    async fn prove_not_run(&self) -> ReleaseProof {
        let mut round = self.release(true);
        let proved = round
            .verdict(|replies, is_last| {
                let tally = ReplyTally::new(&self.group, replies, self.id);
                if tally.proves_not_run() { Some(true) } else { is_last.then_some(false) }
            })
            .await;
        if proved == Some(true) { ReleaseProof::NotRun } else { ReleaseProof::Unknown }
    }

    async fn no_quorum(&self, answered: usize, reason: Option<AbstainReason>) -> ClaimError {
        let proof = self.prove_not_run().await;
        let key = self.key.clone();
        match reason {
            Some(AbstainReason::Expired) => {
                ExpiredSnafu { key, window: self.shared.settings.window }.build()
            }
            Some(AbstainReason::FromFuture) => self.key_ahead_error(),
            _ => ClaimError::NoQuorum {
                key,
                region: self.group.id.region.clone(),
                answered,
                members: self.group.members.len(),
                needed: self.group.quorum(),
                reason: reason.map_or("the other replicas did not answer", AbstainReason::text),
                not_run: proof == ReleaseProof::NotRun,
            },
        }
    }

    fn key_ahead_error(&self) -> ClaimError {
        let made = self.scope.made.map_or(0, |made| made.0);
        let wall = self.shared.context.clock.wall().0;
        let ahead = Duration::from_millis(made.saturating_sub(wall));
        let allowed = self.shared.settings.key_ahead;
        FromFutureSnafu { key: self.key.clone(), ahead, allowed }.build()
    }
}

/// Releases an attempt whose claim ends without a grant, including when the caller disconnects.
struct ReleaseAttemptOnDrop {
    attempt: KeyAttempt,
    armed: Cell<bool>,
}

impl Drop for ReleaseAttemptOnDrop {
    fn drop(&mut self) {
        if self.armed.get() {
            // The calls of the round run in tasks of their own.
            drop(self.attempt.release(false));
        }
    }
}

async fn claim_key(
    attempt: KeyAttempt,
    request: &ClaimRequest<'_>,
) -> Result<ClaimOutcome, ClaimError> {
    let shared = Rc::clone(&attempt.shared);
    let (settings, clock) = (shared.settings, Rc::clone(&shared.context.clock));
    let mut release_guard = ReleaseAttemptOnDrop { attempt, armed: Cell::new(true) };
    let started = clock.now();
    let mut counter = 1;
    let mut pause = settings.min_poll_delay;
    loop {
        let attempt = &release_guard.attempt;
        let (verdict, denied, replies) = attempt.prepare(counter).await;
        let waited = clock.now().since(started);
        let mut limit = request.wait;
        match verdict {
            PrepareVerdict::Granted => {
                attempt.check_age()?;
                ensure!(
                    attempt.follows_denial(denied),
                    SupersededSnafu { key: attempt.key.clone() }
                );
                release_guard.armed.set(false);
                return Ok(granted(attempt.clone(), counter, replies));
            }
            PrepareVerdict::Finished(accepted, result) => {
                release_guard.armed.set(false);
                return Ok(finished(accepted, result, attempt.fingerprint));
            }
            PrepareVerdict::Contended { counter: highest, split } => {
                limit = limit.max(settings.takeover_delay * 2);
                if split || waited >= settings.takeover_delay {
                    counter = highest + 1;
                }
                if split {
                    continue;
                }
            }
            PrepareVerdict::NoQuorum { answered, reason } => {
                limit = settings.takeover_delay;
                if waited >= limit || !reason.is_some_and(AbstainReason::passes_soon) {
                    release_guard.armed.set(false);
                    return Err(attempt.no_quorum(answered, reason).await);
                }
            }
            PrepareVerdict::Dispatched => {}
        }
        if waited >= limit {
            return Ok(ClaimOutcome::InProgress);
        }
        let jitter = Duration::from_millis(shared.context.random.below(20));
        clock.sleep(pause.min(limit - waited) + jitter).await;
        pause = (pause * 2).min(settings.max_poll_delay);
        release_guard.attempt.group = shared.new_attempt(request)?.group;
    }
}

fn finished(
    accepted: Acceptance,
    result: RunResult,
    fingerprint: RequestFingerprint,
) -> ClaimOutcome {
    match accepted.fingerprint == fingerprint {
        true => result.into(),
        false => ClaimOutcome::Mismatch,
    }
}

fn granted(attempt: KeyAttempt, counter: u32, promises: RoundReplies) -> ClaimOutcome {
    let ballot = Ballot { counter, attempt: attempt.id };
    let acceptance = Acceptance { ballot, fingerprint: attempt.fingerprint };
    let granted_age = attempt.age();
    let chosen = Rc::new(Cell::new(false));
    let driver = QuorumDriver { attempt, acceptance, promises, granted_age, chosen };
    ClaimOutcome::Granted(ClaimGrant::new(Rc::new(driver)))
}

/// The driver of a granted attempt.
#[derive(Clone)]
struct QuorumDriver {
    attempt: KeyAttempt,
    acceptance: Acceptance,
    promises: RoundReplies,
    /// Age of the send when it was granted.
    granted_age: Duration,
    chosen: Rc<Cell<bool>>,
}

impl QuorumDriver {
    /// Returns an accept for each member that promised, addressed to the incarnation that promised.
    fn accept_calls(&self) -> Vec<Option<StepCall>> {
        let call = |reply: &crate::message::StepReply| match &reply.outcome {
            StepOutcome::Vote(vote) if vote.agreed => Some(self.attempt.call(ClaimStep::Accept {
                acceptance: self.acceptance,
                promised_by: reply.incarnation,
            })),
            _ => None,
        };
        self.promises.borrow().iter().map(|reply| reply.as_ref().and_then(call)).collect()
    }

    async fn accept(self) -> Result<(), ClaimError> {
        let attempt = &self.attempt;
        let key = attempt.key.clone();
        let limit = attempt.shared.settings.grant_limit;
        let age = attempt.age().saturating_sub(self.granted_age);
        if age >= limit {
            drop(attempt.release(false));
            return SendTooOldSnafu { key, age, limit }.fail();
        }
        let mut round = attempt.start(self.accept_calls());
        let (verdict, denied) = round
            .verdict(|replies, is_last| {
                let tally = ReplyTally::new(&attempt.group, replies, attempt.id);
                tally.accept(is_last).map(|verdict| (verdict, tally.denied_age()))
            })
            .await
            .expect("the tally decides once all replies have arrived");
        match verdict {
            AcceptVerdict::Chosen if attempt.follows_denial(denied) => {
                self.chosen.set(true);
                Ok(())
            }
            AcceptVerdict::NoQuorum { answered, reason } => {
                Err(attempt.no_quorum(answered, reason).await)
            }
            AcceptVerdict::Chosen | AcceptVerdict::Superseded => {
                drop(attempt.release(false));
                SupersededSnafu { key: attempt.key.clone() }.fail()
            }
        }
    }

    async fn store(self, result: RunResult) {
        if !self.store_once(&result).await {
            self.attempt.shared.context.spawner.spawn(Box::pin(self.clone().retry_store(result)));
        }
    }

    /// Returns a finish for each member. Answers stay in the claim region, where the service allows
    /// its data; other members receive only the fact that the request ran.
    fn finish_calls(&self, result: &RunResult) -> Vec<Option<StepCall>> {
        let group = &self.attempt.group;
        let call = |member: &ReplicaMember| {
            let result = match member.region == group.id.region {
                true => result.clone(),
                false => result.clone().without_answer(),
            };
            let step = ClaimStep::Finish { acceptance: self.acceptance, result };
            Some(self.attempt.call(step))
        };
        group.members.iter().map(call).collect()
    }

    async fn store_once(&self, result: &RunResult) -> bool {
        let attempt = &self.attempt;
        let mut round = attempt.start(self.finish_calls(result));
        let stored = round
            .verdict(|replies, is_last| {
                let tally = ReplyTally::new(&attempt.group, replies, attempt.id);
                if tally.is_stored() { Some(true) } else { is_last.then_some(false) }
            })
            .await;
        stored == Some(true)
    }

    async fn retry_store(self, result: RunResult) {
        let clock = Rc::clone(&self.attempt.shared.context.clock);
        for retry in 0..FINISH_RETRIES {
            clock.sleep(FINISH_RETRY_DELAY * 2_u32.pow(retry)).await;
            if self.store_once(&result).await {
                return;
            }
        }
    }

    async fn release_key(self, deny: bool) -> ReleaseProof {
        if !deny {
            drop(self.attempt.release(false));
            return ReleaseProof::Unknown;
        }
        let proof = self.attempt.prove_not_run().await;
        // A chosen attempt prevents all others from running, and its own gateway did not run it.
        if self.chosen.get() { ReleaseProof::NotRun } else { proof }
    }
}

impl ClaimDriver for QuorumDriver {
    fn dispatch(&self) -> LocalFuture<'static, Result<(), ClaimError>> {
        Box::pin(self.clone().accept())
    }

    fn finish(&self, result: RunResult) -> LocalFuture<'static, ()> {
        Box::pin(self.clone().store(result))
    }

    fn release(&self, deny: bool) -> LocalFuture<'static, ReleaseProof> {
        Box::pin(self.clone().release_key(deny))
    }

    fn spawn(&self, task: LocalFuture<'static, ()>) {
        self.attempt.shared.context.spawner.spawn(task);
    }
}
