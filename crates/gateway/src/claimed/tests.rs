//! The run state reported to a caller when a claim is released.

use {
    crate::testing::{BackendBehavior, DOCUMENT, TestGateway},
    gullglade_claim::{
        ClaimCoordinator, ClaimDriver, ClaimError, ClaimGrant, ClaimOutcome, ClaimRequest,
        ReleaseProof, RunResult,
    },
    gullglade_units::LocalFuture,
    std::{future::ready, rc::Rc},
};

/// Grants every claim; a release returns `proof`.
#[derive(Clone, Copy)]
struct FixedProof {
    proof: ReleaseProof,
}

impl ClaimCoordinator for FixedProof {
    fn claim<'a>(
        &'a self,
        _request: ClaimRequest<'a>,
    ) -> LocalFuture<'a, Result<ClaimOutcome, ClaimError>> {
        Box::pin(ready(Ok(ClaimOutcome::Granted(ClaimGrant::new(Rc::new(*self))))))
    }
}

impl ClaimDriver for FixedProof {
    fn dispatch(&self) -> LocalFuture<'static, Result<(), ClaimError>> {
        Box::pin(ready(Ok(())))
    }

    fn finish(&self, _result: RunResult) -> LocalFuture<'static, ()> {
        Box::pin(ready(()))
    }

    fn release(&self, _deny: bool) -> LocalFuture<'static, ReleaseProof> {
        Box::pin(ready(self.proof))
    }

    fn spawn(&self, _task: LocalFuture<'static, ()>) {}
}

/// Guards against an order that is placed twice because `not-run` was reported although another
/// send with its key had run.
#[test]
fn reports_not_run_only_with_proof_from_the_replicas() {
    struct Case {
        proof: ReleaseProof,
        run: &'static str,
    }
    let cases = [
        Case { proof: ReleaseProof::NotRun, run: "not-run" },
        Case { proof: ReleaseProof::Unknown, run: "unknown" },
    ];
    let document = DOCUMENT.replace(r#"["puget", "columbia", "inland"]"#, r#"["columbia"]"#);
    for case in cases {
        let claims = FixedProof { proof: case.proof };
        let gateway = TestGateway::with_claims(&document, false, BackendBehavior::Answers, |_| {
            Rc::new(claims)
        });
        let (head, _body) = gateway.post_with_key("/services/order-desk/orders", "{}");
        assert_eq!(head.headers["gullglade-run"], case.run, "{head:?}");
        assert_eq!(gateway.client.sends.get(), 0);
    }
}
