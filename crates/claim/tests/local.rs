//! Claims in one process's memory.

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

struct Office {
    world: FakeWorld,
    process: FakeProcess,
    claims: LocalClaims,
}

impl Office {
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
fn a_resend_gets_the_same_bytes() {
    // Symptom: the caller never saw the answer of an order. Events: the order ran, the connection
    // broke, the caller sent it again. Cause: callers cannot tell a lost answer from a lost order.
    let office = Office::new();
    let key = office.key();
    office.run(&key, "40 t", "placed 7");
    assert_eq!(answered(office.send(&key, "40 t")), answer("placed 7"));
}

#[test]
fn another_request_under_the_same_key_is_refused() {
    // Symptom: 60 t ordered, and the answer is of 40 t. Events: a client takes the key of an
    // earlier order for a new one. Cause: the key alone does not tell two orders apart.
    let office = Office::new();
    let key = office.key();
    office.run(&key, "40 t", "placed 7");
    assert!(matches!(office.send(&key, "60 t"), Ok(ClaimOutcome::Mismatch)));
}

#[test]
fn a_dropped_permit_is_unknown_for_good() {
    // Symptom: nobody knows whether the order was placed. Events: dispatched, then the link to the
    // backend server broke. Cause: no answer came, yet the bytes may have arrived.
    let office = Office::new();
    let key = office.key();
    let Ok(ClaimOutcome::Granted(grant)) = office.send(&key, "40 t") else { panic!() };
    drop(office.world.run_until(grant.dispatch()).unwrap());
    office.world.run_for(SECOND);
    assert!(matches!(office.send(&key, "40 t"), Ok(ClaimOutcome::Unknown)));
}

#[test]
fn a_release_frees_the_key_for_later_sends_only() {
    // Symptom: a caller told "not run" orders again by telephone, and the order runs after all.
    // Events: a first send is held up in a gateway; a second one is refused as not run; the first
    // goes on. Cause: the first would find the key free again.
    let office = Office::new();
    let key = office.key();
    let held_up = SentOrder::new(&key, "40 t", office.world.now());
    let Ok(ClaimOutcome::Granted(grant)) = office.send(&key, "40 t") else { panic!() };
    assert_eq!(office.world.run_until(grant.release_not_run()), ReleaseProof::NotRun);
    let late = office.claim(&held_up);
    assert!(matches!(late, Err(ClaimError::Superseded { .. })), "{late:?}");

    office.world.run_for(SECOND);
    office.world.run_for(SECOND);
    office.run(&key, "40 t", "placed 8");
    assert_eq!(answered(office.send(&key, "40 t")), answer("placed 8"));
}

#[test]
fn a_restarted_process_refuses_what_it_may_have_run() {
    // Symptom: an order is doubled after a restart. Events: it ran, the process lost its memory,
    // the caller sent it again. Cause: an empty table calls every key free.
    let office = Office::new();
    let old = office.key();
    let opaque = OrderKey::try_from("order-17".to_owned()).unwrap();
    office.run(&old, "40 t", "placed 7");
    office.run(&opaque, "40 t", "placed 8");
    let office = office.restarted();
    for key in [&old, &opaque] {
        let error = office.send(key, "40 t").unwrap_err();
        assert!(matches!(error, ClaimError::NoQuorum { .. }), "{error}");
        assert!(!error.proves_not_run(), "{error}");
    }
    office.world.run_for(SECOND * 21);
    office.run(&office.key(), "40 t", "placed 9");
    office.world.run_for(SECOND * 25 * 3600);
    let error = office.send(&old, "40 t").unwrap_err();
    assert!(matches!(error, ClaimError::Expired { .. }), "{error}");
    assert!(!error.proves_not_run(), "it ran: {error}");
    office.run(&opaque, "40 t", "placed 10");
}

#[test]
fn a_wall_clock_that_steps_does_not_bring_keys_back() {
    // Symptom: an order is doubled after a clock was set back. Events: the record of an old key is
    // forgotten, the clock steps back a day, a resend arrives. Cause: by the clock the key is young.
    let office = Office::new();
    let key = office.key();
    office.run(&key, "40 t", "placed 7");
    office.world.run_for(SECOND * 25 * 3600);
    office.run(&office.key(), "1 t", "placed 8");
    assert_eq!(office.claims.record_count(), 1, "the old record is forgotten");
    office.process.set_wall_offset(-25 * 3_600_000);
    let error = office.send(&key, "40 t").unwrap_err();
    assert!(matches!(error, ClaimError::Expired { .. }), "{error}");
}
