//! Tests of claims in the memory of one process.

mod support;

use {
    gullglade_claim::{
        ClaimCoordinator, ClaimError, ClaimOutcome, ClaimSettings, LocalClaims, ReleaseProof,
        StoredAnswer,
    },
    gullglade_units::{
        OrderKey, RegionName,
        fake::{FakeProcess, FakeWorld},
    },
    std::time::Duration,
    support::{SentOrder, answer},
};

const SECOND: Duration = Duration::from_secs(1);

struct LocalFixture {
    world: FakeWorld,
    process: FakeProcess,
    claims: LocalClaims,
}

impl LocalFixture {
    fn new() -> Self {
        let (world, _) = FakeWorld::new(1);
        let process = world.process();
        let settings = ClaimSettings::default();
        let claims = LocalClaims::first_start(process.context().clone(), settings);
        Self { world, process, claims }
    }

    fn restarted(self) -> Self {
        let settings = ClaimSettings::default();
        let claims = LocalClaims::restarted(self.process.context().clone(), settings);
        Self { claims, ..self }
    }

    fn key(&self) -> OrderKey {
        OrderKey::new(&RegionName::try_from("puget").unwrap(), self.process.context())
    }

    fn claim(&self, order: &SentOrder) -> Result<ClaimOutcome, ClaimError> {
        self.world.run_until(self.claims.claim(order.request()))
    }

    fn send(&self, key: &OrderKey, body: &str) -> Result<ClaimOutcome, ClaimError> {
        self.world.run_for(Duration::from_millis(5));
        self.claim(&SentOrder::new(key, body, self.world.now()))
    }

    fn run(&self, key: &OrderKey, body: &str, text: &str) {
        let Ok(ClaimOutcome::Granted(grant)) = self.send(key, body) else { panic!("not granted") };
        let permit = self.world.run_until(grant.dispatch()).unwrap();
        self.world.run_until(permit.answered(answer(text)));
    }
}

fn answered(outcome: Result<ClaimOutcome, ClaimError>) -> StoredAnswer {
    match outcome {
        Ok(ClaimOutcome::Answered(answer)) => answer,
        other => panic!("no stored answer: {other:?}"),
    }
}

#[test]
fn resend_returns_the_stored_answer() {
    // Guards against a second run of an order whose answer was lost. The connection broke after the
    // order ran, and the caller cannot distinguish a lost answer from a lost order.
    let fixture = LocalFixture::new();
    let key = fixture.key();
    fixture.run(&key, "40 t", "placed 7");
    assert_eq!(answered(fixture.send(&key, "40 t")), answer("placed 7"));
}

#[test]
fn different_request_under_the_same_key_is_a_mismatch() {
    // Guards against answering an order with the answer of a different one. A client reuses the key
    // of an earlier order, and the key alone does not distinguish the two.
    let fixture = LocalFixture::new();
    let key = fixture.key();
    fixture.run(&key, "40 t", "placed 7");
    assert!(matches!(fixture.send(&key, "60 t"), Ok(ClaimOutcome::Mismatch)));
}

#[test]
fn dropped_permit_leaves_the_key_unknown() {
    // Guards against a resend that runs an order again after the link to the backend server broke.
    // No answer came, but the request may have arrived.
    let fixture = LocalFixture::new();
    let key = fixture.key();
    let Ok(ClaimOutcome::Granted(grant)) = fixture.send(&key, "40 t") else { panic!() };
    drop(fixture.world.run_until(grant.dispatch()).unwrap());
    fixture.world.run_for(SECOND);
    assert!(matches!(fixture.send(&key, "40 t"), Ok(ClaimOutcome::Unknown)));
}

#[test]
fn release_frees_the_key_for_later_sends_only() {
    // Guards against a run after the caller was told "not run". A first send is delayed in a
    // gateway, a second one is refused as not run, and then the first proceeds and would find the
    // key free.
    let fixture = LocalFixture::new();
    let key = fixture.key();
    let held_up = SentOrder::new(&key, "40 t", fixture.world.now());
    let Ok(ClaimOutcome::Granted(grant)) = fixture.send(&key, "40 t") else { panic!() };
    assert_eq!(fixture.world.run_until(grant.release_not_run()), ReleaseProof::NotRun);
    let late = fixture.claim(&held_up);
    assert!(matches!(late, Err(ClaimError::Superseded { .. })), "{late:?}");

    fixture.world.run_for(SECOND);
    fixture.world.run_for(SECOND);
    fixture.run(&key, "40 t", "placed 8");
    assert_eq!(answered(fixture.send(&key, "40 t")), answer("placed 8"));
}

#[test]
fn restarted_process_refuses_keys_it_may_have_run() {
    // Guards against a second run after a restart. The process has lost its claims, so every key
    // would look free.
    let fixture = LocalFixture::new();
    let old = fixture.key();
    let opaque = OrderKey::try_from("order-17".to_owned()).unwrap();
    fixture.run(&old, "40 t", "placed 7");
    fixture.run(&opaque, "40 t", "placed 8");
    let fixture = fixture.restarted();
    for key in [&old, &opaque] {
        let error = fixture.send(key, "40 t").unwrap_err();
        assert!(matches!(error, ClaimError::NoQuorum { .. }), "{error}");
        assert!(!error.proves_not_run(), "{error}");
    }
    fixture.world.run_for(SECOND * 21);
    fixture.run(&fixture.key(), "40 t", "placed 9");
    fixture.world.run_for(SECOND * 25 * 3600);
    let error = fixture.send(&old, "40 t").unwrap_err();
    assert!(matches!(error, ClaimError::Expired { .. }), "{error}");
    assert!(!error.proves_not_run(), "it ran: {error}");
    fixture.run(&opaque, "40 t", "placed 10");
}

#[test]
fn wall_clock_step_back_does_not_revive_expired_keys() {
    // Guards against a second run after the clock was set back. The record of an old key has been
    // evicted, and by the corrected clock the key looks recent.
    let fixture = LocalFixture::new();
    let key = fixture.key();
    fixture.run(&key, "40 t", "placed 7");
    fixture.world.run_for(SECOND * 25 * 3600);
    fixture.run(&fixture.key(), "1 t", "placed 8");
    assert_eq!(fixture.claims.record_count(), 1, "the old record has been evicted");
    fixture.process.set_wall_offset(-25 * 3_600_000);
    let error = fixture.send(&key, "40 t").unwrap_err();
    assert!(matches!(error, ClaimError::Expired { .. }), "{error}");
}
