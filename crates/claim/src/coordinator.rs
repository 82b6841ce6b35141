//! The interface between gateways and claims.

use {
    crate::{ClaimError, ClaimRequest, StoredAnswer},
    gullglade_units::LocalFuture,
    serde::{Deserialize, Serialize},
    std::rc::Rc,
};

/// Decides which send of a non-idempotent request may run.
pub trait ClaimCoordinator {
    /// Claims the request's key. If another send is running, waits up to [`ClaimRequest::wait`] for
    /// its answer. Dropping the future withdraws the claim, as dropping a grant does.
    fn claim<'a>(
        &'a self,
        request: ClaimRequest<'a>,
    ) -> LocalFuture<'a, Result<ClaimOutcome, ClaimError>>;
}

/// Outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This send may proceed to admission and [`ClaimGrant::dispatch`].
    Granted(ClaimGrant),
    /// An earlier send ran, and this is its answer (`run`).
    Answered(StoredAnswer),
    /// An earlier send ran to completion, but its answer is not stored: it was too large, or was
    /// dropped to make room for newer answers (`run`).
    RanUnkept,
    /// An earlier send was dispatched, and its gateway could not determine how it ended
    /// (permanently `unknown`).
    Unknown,
    /// Another send may be running, or its gateway may have failed while it ran (`unknown`; a later
    /// resend may get the answer).
    InProgress,
    /// The key was used for a different request. This one was not run. HTTP 422.
    Mismatch,
}

/// Result of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// The request ran, and this is its answer.
    Answered(StoredAnswer),
    /// The request ran, but its answer is not stored, or not by this replica.
    Unkept,
    /// The request may or may not have run.
    Unknown,
}

impl RunResult {
    /// Removes the answer, which replicas outside the claim region must not hold.
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

/// Conclusion that follows from the release of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "the caller may be told `not-run` only on `NotRun`"]
pub enum ReleaseProof {
    /// No send under the key has run, and no send received before now will run.
    NotRun,
    /// This send was not run, but another one may have been.
    Unknown,
}

/// The protocol with the replicas on behalf of one grant.
pub trait ClaimDriver {
    /// Records that the request may run from now on.
    fn dispatch(&self) -> LocalFuture<'static, Result<(), ClaimError>>;

    /// Records the result of the run. Completes when enough replicas have stored it, or when no
    /// further replica answers.
    fn finish(&self, result: RunResult) -> LocalFuture<'static, ()>;

    /// Records that this send has not run and never will. If `deny` is set, the caller will be told
    /// so, and sends under the key that were received before must not run either. Otherwise the
    /// returned proof is of no use, and other sends are not affected.
    fn release(&self, deny: bool) -> LocalFuture<'static, ReleaseProof>;

    /// Spawns a background task.
    fn spawn(&self, task: LocalFuture<'static, ()>);
}

/// The right to proceed with a send. Dropping the grant releases the key in the background, because
/// nothing was dispatched.
#[derive(Debug)]
pub struct ClaimGrant {
    driver: DriverSlot,
}

/// The right to send the request to a backend server once. Dropping the permit records `unknown` in
/// the background.
#[derive(Debug)]
pub struct RunPermit {
    driver: DriverSlot,
}

/// The driver, until a consuming call takes it.
struct DriverSlot(Option<Rc<dyn ClaimDriver>>);

impl std::fmt::Debug for DriverSlot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "live" } else { "used" })
    }
}

impl DriverSlot {
    fn take(&mut self) -> Rc<dyn ClaimDriver> {
        self.0
            .take()
            .expect("consuming methods take the grant or permit by value, so the driver is present")
    }
}

impl ClaimGrant {
    /// Creates a grant that uses `driver`.
    pub fn new(driver: Rc<dyn ClaimDriver>) -> Self {
        Self { driver: DriverSlot(Some(driver)) }
    }

    /// Records that the request may run from now on. Await this just before the first byte is sent
    /// to a backend server. If it fails or the future is dropped, no byte may be sent.
    ///
    /// Dropping the future before it completes releases the key, because no byte was sent.
    pub async fn dispatch(mut self) -> Result<RunPermit, ClaimError> {
        let driver = self.driver.take();
        let mut guard = ReleaseOnDrop(Some(Rc::clone(&driver)));
        let result = driver.dispatch().await;
        guard.0 = None;
        result.map(|()| RunPermit { driver: DriverSlot(Some(driver)) })
    }

    /// Releases the key because the request was refused before any byte of it was sent.
    pub async fn release_not_run(mut self) -> ReleaseProof {
        let driver = self.driver.take();
        driver.release(true).await
    }
}

impl RunPermit {
    /// Stores the complete answer, so that a resend gets it. Await this before the last byte is
    /// sent to the caller: a caller who received the whole answer must find it again later.
    pub async fn answered(mut self, answer: StoredAnswer) {
        let driver = self.driver.take();
        driver.finish(RunResult::Answered(answer)).await;
    }

    /// Records that the request ran although its answer cannot be stored.
    pub async fn ran_unkept(mut self) {
        let driver = self.driver.take();
        driver.finish(RunResult::Unkept).await;
    }

    /// Releases the key because it is *proved* that no byte of the request reached a backend
    /// server, or that the backend server refused it.
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

/// Releases the key if a dispatch is dropped before it completes, because no byte may be sent then.
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
