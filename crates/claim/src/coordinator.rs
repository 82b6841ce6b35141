//! The face of claims towards the gateway.

use {
    crate::{ClaimError, ClaimRequest, StoredAnswer},
    gullglade_units::LocalFuture,
    serde::{Deserialize, Serialize},
    std::rc::Rc,
};

/// Decides which send of a non-idempotent request may run.
pub trait ClaimCoordinator {
    /// Claims the request's key. Waits up to [`ClaimRequest::wait`] for the answer of another send
    /// that is running. Dropping the future gives up the claim, as the drop of a grant does.
    fn claim<'a>(
        &'a self,
        request: ClaimRequest<'a>,
    ) -> LocalFuture<'a, Result<ClaimOutcome, ClaimError>>;
}

/// What a claim came to.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This send may go on to admission and [`ClaimGrant::dispatch`].
    Granted(ClaimGrant),
    /// An earlier send ran, and this was its answer (`run`).
    Answered(StoredAnswer),
    /// An earlier send ran to its end, but its answer was not kept: too large, or dropped for
    /// newer ones (`run`).
    RanUnkept,
    /// An earlier send was dispatched and its gateway could not see the end (`unknown`, for good).
    Unknown,
    /// Another send may be running, or may have died running (`unknown`; a resend later may get
    /// the answer).
    InProgress,
    /// The key was used for a different request; this one was not run. HTTP 422.
    Mismatch,
}

/// How a dispatched request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// It ran, and this is its answer.
    Answered(StoredAnswer),
    /// It ran, but its answer is not kept, or not by this replica.
    Unkept,
    /// It may or may not have run.
    Unknown,
}

impl RunResult {
    /// What a replica outside of the claim region may hold of it.
    pub(crate) fn without_answer(self) -> Self {
        match self {
            RunResult::Answered(_) => RunResult::Unkept,
            other => other,
        }
    }
}

impl From<RunResult> for ClaimOutcome {
    fn from(result: RunResult) -> Self {
        match result {
            RunResult::Answered(answer) => ClaimOutcome::Answered(answer),
            RunResult::Unkept => ClaimOutcome::RanUnkept,
            RunResult::Unknown => ClaimOutcome::Unknown,
        }
    }
}

/// What a release proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "the caller may be told `not-run` only on `NotRun`"]
pub enum ReleaseProof {
    /// No send under the key has run, nor will one that was received before now.
    NotRun,
    /// This send was not run, but another one may have been.
    Unknown,
}

/// What stands behind a grant: the protocol with the replicas.
pub trait ClaimDriver {
    /// Records that the request may run from now on.
    fn dispatch(&self) -> LocalFuture<'static, Result<(), ClaimError>>;

    /// Records how the run ended; done when enough replicas hold it, or none answers any more.
    fn finish(&self, result: RunResult) -> LocalFuture<'static, ()>;

    /// Records that this send was not and will not be run. With `deny` the caller is to be told
    /// so: sends under the key that were received before must not run either. Without it the
    /// proof is of no use, and no other send is held back.
    fn release(&self, deny: bool) -> LocalFuture<'static, ReleaseProof>;

    /// Runs a task beside the caller.
    fn spawn(&self, task: LocalFuture<'static, ()>);
}

/// The right to go on with a send. Dropping it releases the key in the background: nothing was
/// dispatched.
#[derive(Debug)]
pub struct ClaimGrant {
    driver: DriverSlot,
}

/// The right to send the request to a backend server, once. Dropping it records `unknown` in the
/// background.
#[derive(Debug)]
pub struct RunPermit {
    driver: DriverSlot,
}

/// The driver until a call consumed it.
struct DriverSlot(Option<Rc<dyn ClaimDriver>>);

impl std::fmt::Debug for DriverSlot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "live" } else { "used" })
    }
}

impl DriverSlot {
    fn take(&mut self) -> Rc<dyn ClaimDriver> {
        self.0.take().expect("every consuming call takes the value itself, so the slot is full")
    }
}

impl ClaimGrant {
    /// A grant over `driver`.
    pub fn new(driver: Rc<dyn ClaimDriver>) -> Self {
        Self { driver: DriverSlot(Some(driver)) }
    }

    /// Records that the request may run from now on. To be awaited just before the first byte goes
    /// to a backend server; on an error, or when the future is dropped, no byte may go.
    ///
    /// Dropping this future half way releases the key: no byte went.
    pub async fn dispatch(mut self) -> Result<RunPermit, ClaimError> {
        let driver = self.driver.take();
        let mut guard = ReleaseOnDrop(Some(Rc::clone(&driver)));
        let result = driver.dispatch().await;
        guard.0 = None;
        result.map(|()| RunPermit { driver: DriverSlot(Some(driver)) })
    }

    /// Gives up the key: the request was refused before any byte of it went out.
    pub async fn release_not_run(mut self) -> ReleaseProof {
        let driver = self.driver.take();
        driver.release(true).await
    }
}

impl RunPermit {
    /// Stores the whole answer, so that a resend gets it. To be awaited before the last byte goes
    /// to the caller: a caller who has the whole answer then never finds it missing later.
    pub async fn answered(mut self, answer: StoredAnswer) {
        let driver = self.driver.take();
        driver.finish(RunResult::Answered(answer)).await;
    }

    /// Records that the request ran, though its answer cannot be stored.
    pub async fn ran_unkept(mut self) {
        let driver = self.driver.take();
        driver.finish(RunResult::Unkept).await;
    }

    /// Gives up the key: it is *proved* that no byte of the request reached a backend server, or
    /// that the backend server refused it.
    pub async fn release_not_run(mut self) -> ReleaseProof {
        let driver = self.driver.take();
        driver.release(true).await
    }
}

impl Drop for ClaimGrant {
    fn drop(&mut self) {
        release_in_background(self.driver.0.take());
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some(driver) = self.driver.0.take() {
            let task = driver.finish(RunResult::Unknown);
            driver.spawn(task);
        }
    }
}

/// Releases the key where a dispatch is dropped half way: no byte may go out then.
struct ReleaseOnDrop(Option<Rc<dyn ClaimDriver>>);

impl Drop for ReleaseOnDrop {
    fn drop(&mut self) {
        release_in_background(self.0.take());
    }
}

fn release_in_background(driver: Option<Rc<dyn ClaimDriver>>) {
    if let Some(driver) = driver {
        let release = driver.release(false);
        driver.spawn(Box::pin(async move {
            let _proof = release.await;
        }));
    }
}
