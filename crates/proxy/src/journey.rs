//! One request's way through this gateway: placed, sent, and sent again where that does no harm.

mod placing;
mod repeats;
mod sending;

pub(crate) use sending::{LeasedStart, SecuredRun, SentRun};

use {
    self::repeats::PendingRepeat,
    crate::{
        CallerRequest, Proxy,
        answer::AttemptAnswer,
        arrival::SendBook,
        attempt::promises_not_run,
        call_print::CallPrint,
        events::JourneyLog,
        liveness::RunWatch,
        outcome::{
            AttemptEnd, AttemptPlace, FinalWord, NotRunReason, RepeatReason, UnknownReason,
            WaitLimit,
        },
        quota::ChargeGuard,
        replacement::WaitEnd,
    },
    gullglade_dispatch::{AttemptTracker, UsedBackend, WorkItem, deadline_for_first_byte},
    gullglade_poison::ContentFingerprint,
    gullglade_traffic::{TrafficRoute, TrafficWorkspace},
    gullglade_units::{BackendName, MonotonicTime, RegionName, ServiceName, WorkspaceName},
    std::{rc::Rc, time::Duration},
};

/// The most sends of one request that certainly did not run. Each was refused in a moment, but a
/// request must not go round all backend servers.
const MOST_REFUSALS: u32 = 4;

/// The pause between two tries to replace a run that was given up.
const PERSIST_PAUSE: Duration = Duration::from_millis(200);

/// When a caller may come back to what backend servers turned away.
const SHED_RETRY: Duration = Duration::from_millis(400);

/// One request on its way.
pub(crate) struct Journey {
    pub(crate) proxy: Proxy,
    pub(crate) call: Rc<CallerRequest>,
    pub(crate) print: Rc<CallPrint>,
    pub(crate) item: WorkItem,
    pub(crate) log: JourneyLog,
    /// What limits it as a whole.
    pub(crate) bound: WaitLimit,
    /// What it takes out of its workspace's quota, at the gateway that its caller called.
    charge: Option<ChargeGuard>,
    /// Where it may have run.
    ledger: AttemptTracker,
    /// The backend server that it is being sent back to.
    returning: Option<UsedBackend>,
    /// Attempts that certainly did not.
    refused: u32,
    /// A repeat that is to be taken out of the budget when there is a place for it.
    pending: Option<PendingRepeat>,
    sends: SendBook,
    /// The next attempt, where it is secured.
    secured: Option<SecuredRun>,
    /// Whether a run was given up here for another one that has not begun yet.
    owes_run: bool,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

/// A request with the way that it takes.
struct RoutedWork {
    route: Rc<TrafficRoute>,
    workspace: Option<Rc<TrafficWorkspace>>,
    service: ServiceName,
    /// How long it has been on its way.
    waited: Duration,
    /// How long it may still take, and which limit that is.
    left: Duration,
    bound: WaitLimit,
    /// Whether its caller called this gateway.
    is_own: bool,
}

/// What a gateway of another region decided of a request.
pub(crate) struct ForwardedWork {
    /// Its fingerprint, where it was made.
    pub(crate) print: Option<ContentFingerprint>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceName>,
    /// How long it has been on its way.
    pub(crate) waited: Duration,
    /// How much longer anyone waits for its answer.
    pub(crate) left: Duration,
    /// Backend servers that it was sent to and that are not to be tried again.
    pub(crate) tried: Vec<BackendName>,
    /// The only backend server that may get it, where it goes back to one.
    pub(crate) returns_to: Option<BackendName>,
}

impl Journey {
    /// A caller's request that has waited here for `waited`; the word to the caller where no route
    /// takes it.
    pub(crate) fn begin(
        proxy: &Proxy,
        call: CallerRequest,
        waited: Duration,
    ) -> Result<Self, FinalWord> {
        let traffic = proxy.traffic().ok_or(FinalWord::NoConfiguration)?;
        let route = traffic.config.routes().find(&call.host, call.path()).cloned();
        let route = route.ok_or(FinalWord::NoRoute)?;
        let workspace = proxy.access().workspace(&traffic.config, &route, call.key.as_ref())?;
        let (left, bound) = longest(&route, &call, waited);
        if !proxy.has_time_for(left) {
            return Err(FinalWord::Leaving);
        }
        let charge = match &workspace {
            Some(workspace) => Some(charge(proxy, &call, workspace)?),
            None => None,
        };
        let service = route.target(proxy.context().random.unit()).clone();
        let work = RoutedWork { route, workspace, service, waited, left, bound, is_own: true };
        Ok(Self { charge, ..Self::new(proxy, call, None, work) })
    }

    /// A request that a gateway of another region sent here. `None` where no route takes it, or
    /// none of this region may serve it.
    pub(crate) fn forwarded(
        proxy: &Proxy,
        call: CallerRequest,
        forwarded: ForwardedWork,
    ) -> Option<Self> {
        let ForwardedWork { print, service, workspace, waited, left, tried, returns_to } =
            forwarded;
        let traffic = proxy.traffic()?;
        let route = traffic.config.routes().find(&call.host, call.path()).cloned()?;
        traffic.config.service(&service)?;
        let workspace = match workspace {
            Some(name) => Some(Rc::clone(traffic.config.workspaces().get(&name)?)),
            None => None,
        };
        if !proxy.has_time_for(left) {
            return None;
        }
        // Its time was set where its caller called, by the version that routed it there.
        let bound = WaitLimit::Deadline;
        let work = RoutedWork { route, workspace, service, waited, left, bound, is_own: false };
        let mut journey = Self::new(proxy, call, print, work);
        journey.item.tried = tried;
        journey.item.returns_to = returns_to;
        journey.item.allows(proxy.region()).then_some(journey)
    }

    fn new(
        proxy: &Proxy,
        call: CallerRequest,
        print: Option<ContentFingerprint>,
        work: RoutedWork,
    ) -> Self {
        let RoutedWork { route, workspace, service, waited, left, bound, is_own } = work;
        let now = proxy.context().clock.now();
        // A clock of this process that is younger than the request must not run below its start.
        let arrived = MonotonicTime(now.0.saturating_sub(waited));
        let ends = now + left;
        let first_byte_deadline = match call.resume_after {
            Some(_) => ends,
            None => deadline_for_first_byte(arrived, ends, route.event_patience),
        };
        let item = WorkItem {
            service,
            route,
            workspace,
            arrived,
            ends,
            first_byte_deadline,
            prompt: call.prompt.clone(),
            tried: Vec::new(),
            returns_to: None,
            may_forward: is_own,
            is_new: is_own,
        };
        let ledger = AttemptTracker::new(item.route.max_attempts);
        let log = JourneyLog::new(proxy, &call, &item, bound);
        let last_event = call.resume_after;
        let call = Rc::new(call);
        let workspace = item.workspace.as_ref().map(|workspace| workspace.name.clone());
        let print = CallPrint::new(&call, workspace, proxy.fingerprint_key(), print);
        Self {
            proxy: proxy.clone(),
            call,
            print,
            item,
            log,
            bound,
            charge: None,
            ledger,
            returning: None,
            refused: 0,
            pending: None,
            sends: SendBook::default(),
            secured: None,
            owes_run: false,
            last_event,
        }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.proxy.context().clock.now()
    }

    /// The time after which nobody waits for the answer, or for its begin where it has not begun.
    pub(crate) fn left(&self) -> Duration {
        self.item.first_byte_deadline.since(self.now())
    }

    /// The answer has begun for the caller, who waits to the end now.
    pub(crate) fn note_begun(&mut self) {
        self.item.first_byte_deadline = self.item.ends;
    }

    /// The limit that is reached when nothing is left.
    pub(crate) fn reached_limit(&self) -> WaitLimit {
        match self.item.first_byte_deadline < self.item.ends {
            true => WaitLimit::FirstEvent,
            false => self.bound,
        }
    }

    /// The next answer: attempts until one begins, or none may be made any more.
    pub(crate) async fn next_answer(&mut self) -> Result<AttemptAnswer, FinalWord> {
        loop {
            let end = match self.attempt().await {
                Ok(Some(end)) => end,
                Ok(None) => continue,
                Err(word) => {
                    self.persist(word).await?;
                    continue;
                }
            };
            self.note_charge(&end);
            match end {
                AttemptEnd::Answer(answer) => {
                    if self.is_false_promise(&answer) {
                        self.ledger.note_ended();
                        return Err(self.unknown(UnknownReason::Garbled));
                    }
                    self.owes_run = false;
                    return Ok(*answer);
                }
                AttemptEnd::NotRun(reason, wait) => {
                    if let Err(word) = self.after_refusal(reason, wait) {
                        self.persist(word).await?;
                    }
                }
                AttemptEnd::Unknown(reason) => {
                    self.owes_run = false;
                    self.after_unknown(reason)?;
                }
            }
        }
    }

    /// Waits before another try where this gateway gave up a run for one that was turned away: what
    /// the caller had is gone, so the request is tried until its time is over. `word` otherwise.
    async fn persist(&mut self, word: FinalWord) -> Result<(), FinalWord> {
        let is_final = !matches!(word, FinalWord::Unknown(_)) || !self.may_run_again();
        if is_final || !self.owes_run {
            return Err(word);
        }
        self.proxy.context().clock.sleep(PERSIST_PAUSE.min(self.left())).await;
        if self.left().is_zero() {
            self.log.reached(self.reached_limit());
            return Err(FinalWord::TimedOut);
        }
        if self.pending.is_none() {
            let reason = RepeatReason::Unknown(UnknownReason::Overdue);
            self.pending = Some(PendingRepeat { reason, otherwise: word });
        }
        Ok(())
    }

    /// Takes note of whether what was charged may have been used.
    fn note_charge(&mut self, end: &AttemptEnd) {
        let has_run = self.ledger.has_run() || !matches!(end, AttemptEnd::NotRun(..));
        if let Some(charge) = self.charge.as_mut().filter(|_| !has_run) {
            charge.note_not_run();
        }
    }

    /// An answer with a status that callers read as "not run", from a backend server that did not
    /// say so. To a request that may not be repeated it must not be passed on.
    fn is_false_promise(&self, answer: &AttemptAnswer) -> bool {
        promises_not_run(answer.status) && !self.item.route.kind.may_repeat()
    }

    /// Makes one attempt: at the place that is secured, or at the next one that is given. `None`
    /// where another place was secured while nothing came from it.
    async fn attempt(&mut self) -> Result<Option<AttemptEnd>, FinalWord> {
        let SentRun { watch, end, .. } = match self.secured.take() {
            Some(SecuredRun::Sent(sent)) => sent,
            Some(SecuredRun::Place(found)) => self.send(found),
            None => {
                let found = self.find_place().await?;
                self.send(found)
            }
        };
        let end = match self.wait_or_replace(&watch, end).await {
            WaitEnd::Came(end) => end,
            WaitEnd::Replaced => return Ok(None),
            WaitEnd::TimedOut => AttemptEnd::Unknown(UnknownReason::Overdue),
        };
        self.note_place(&watch, &end);
        Ok(Some(end))
    }

    /// Has `secured` follow the run that is under way, which may have run.
    pub(crate) fn replace_with(&mut self, run: &RunWatch, secured: SecuredRun) {
        let used = run.backend().map(|name| UsedBackend { region: self.region_of(run), name });
        self.ledger.note_given_up(used);
        self.owes_run = true;
        self.secured = Some(secured);
    }

    /// Counts an attempt beside the run that is under way, which goes on.
    pub(crate) fn count_beside(&mut self, end: &AttemptEnd) {
        match end {
            AttemptEnd::NotRun(..) => self.refused += 1,
            AttemptEnd::Unknown(_) | AttemptEnd::Answer(_) => self.ledger.note_ended_beside(),
        }
    }

    fn region_of(&self, run: &RunWatch) -> RegionName {
        match &run.place {
            AttemptPlace::Here(_) => self.proxy.region().clone(),
            AttemptPlace::Away(region) => region.clone(),
        }
    }

    /// Takes note of where an attempt failed, so that the next one goes elsewhere.
    pub(crate) fn note_place(&mut self, run: &RunWatch, end: &AttemptEnd) {
        let may_return =
            matches!(end, AttemptEnd::NotRun(NotRunReason::Shed | NotRunReason::Revoked, _));
        match (end, &run.place) {
            (AttemptEnd::Answer(_), AttemptPlace::Here(backend)) => self.log.source(backend),
            (AttemptEnd::Answer(_), AttemptPlace::Away(_)) => {}
            (_, AttemptPlace::Here(backend)) => self.log.failed_at(backend, end),
            (_, AttemptPlace::Away(region)) => self.log.failed_away(region, end),
        }
        if !matches!(end, AttemptEnd::Answer(_)) && !may_return {
            self.item.tried.extend(run.backend());
        }
    }

    /// Whether to try again what certainly did not run.
    fn after_refusal(
        &mut self,
        reason: NotRunReason,
        wait: Option<Duration>,
    ) -> Result<(), FinalWord> {
        if let NotRunReason::HeldBack { ends } = reason {
            let left = wait.unwrap_or_default();
            return Err(FinalWord::HeldBack { print: self.print.get(), ends, left });
        }
        self.refused += 1;
        if let Some(used) = self.returning.take().filter(|_| reason.may_pass()) {
            self.ledger.note_return_refused(used);
        }
        let word = match self.ledger.has_run() {
            false => FinalWord::NotRun(reason, wait.unwrap_or(SHED_RETRY)),
            true => self.unknown(UnknownReason::Broken),
        };
        match self.refused < MOST_REFUSALS {
            true if reason.has_arrived() => self.plan_repeat(RepeatReason::NotRun(reason), word),
            true => Ok(()),
            false => Err(word),
        }
    }

    /// Whether to try again what may have run.
    pub(crate) fn after_unknown(&mut self, reason: UnknownReason) -> Result<(), FinalWord> {
        self.ledger.note_ended();
        let word = self.unknown(reason);
        match self.may_run_again() {
            true => self.plan_repeat(RepeatReason::Unknown(reason), word),
            false => Err(word),
        }
    }

    /// Whether to try again what a backend server failed at. Its answer is the caller's otherwise.
    pub(crate) fn after_failure(&mut self) -> bool {
        self.ledger.note_ended();
        let word = self.unknown(UnknownReason::Incomplete);
        self.may_run_again() && self.plan_repeat(RepeatReason::Failed, word).is_ok()
    }

    /// Whether another run is allowed, the budget aside.
    pub(crate) fn may_run_again(&self) -> bool {
        let route = &self.item.route;
        route.kind.may_repeat() && self.ledger.next_target().is_some() && !self.left().is_zero()
    }

    /// Whether another run may follow the one that is under way, the budget aside.
    pub(crate) fn may_be_replaced(&self) -> bool {
        let route = &self.item.route;
        route.kind.may_repeat() && self.ledger.may_be_replaced() && !self.left().is_zero()
    }

    fn unknown(&self, reason: UnknownReason) -> FinalWord {
        if self.left().is_zero() { FinalWord::TimedOut } else { FinalWord::Unknown(reason) }
    }
}

/// Charges a request to its workspace.
fn charge(
    proxy: &Proxy,
    call: &CallerRequest,
    workspace: &TrafficWorkspace,
) -> Result<ChargeGuard, FinalWord> {
    let tokens = call.prompt.as_ref().map(|shape| (shape.prompt_tokens, shape.answer_tokens));
    proxy.quota().charge(&call.id, workspace, tokens).map_err(FinalWord::OverQuota)
}

/// The longest that a request may still take, and which limit that is.
fn longest(route: &TrafficRoute, call: &CallerRequest, waited: Duration) -> (Duration, WaitLimit) {
    let timeout = route.timeout.saturating_sub(waited);
    match call.caller_timeout {
        Some(caller_timeout) if caller_timeout < timeout => (caller_timeout, WaitLimit::Deadline),
        _ => (timeout, WaitLimit::RouteTimeout),
    }
}
