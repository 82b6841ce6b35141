//! Shared helpers of the membership tests.

use {
    gullglade_backend::{
        Announcement, BackendCapacity, BackendConfig, BackendKind, BackendProfile, BackendTable,
        BackendTarget, FencingMode, LoadReport, ServingState,
    },
    gullglade_units::{
        BackendName, Clock, Incarnation, LocalFuture, ModelName, MonotonicTime, RegionName,
        WallMillis,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Model served by all engines in the tests.
pub(crate) fn model() -> ModelName {
    ModelName::try_from("ballast").unwrap()
}

/// Clock that only advances on request.
#[derive(Default)]
pub(crate) struct ManualClock(Cell<Duration>);

impl ManualClock {
    /// Advances the clock by `millis` milliseconds.
    pub(crate) fn advance(&self, millis: u64) {
        self.0.set(self.0.get() + Duration::from_millis(millis));
    }
}

impl Clock for ManualClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.0.get())
    }

    fn wall(&self) -> WallMillis {
        WallMillis(0)
    }

    fn sleep(&self, _: Duration) -> LocalFuture<'static, ()> {
        Box::pin(std::future::pending())
    }
}

/// Returns a table for region puget and its clock.
pub(crate) fn table() -> (Rc<ManualClock>, BackendTable) {
    let clock = Rc::new(ManualClock::default());
    (clock.clone(), BackendTable::new(region(), BackendConfig::default(), clock))
}

/// Returns the region used by the tests.
pub(crate) fn region() -> RegionName {
    "puget".parse().unwrap()
}

/// Parses the name of a backend server.
pub(crate) fn name(text: &str) -> BackendName {
    BackendName::try_from(text).unwrap()
}

/// Returns the profile of an engine.
pub(crate) fn profile() -> BackendProfile {
    BackendProfile {
        region: region(),
        domain: "puget-a".parse().unwrap(),
        address: "10.0.0.9:8000".parse().unwrap(),
        kind: BackendKind::Engine,
        models: vec![model()],
        services: Vec::new(),
        capacity: BackendCapacity {
            slots: 8,
            tokens_per_second: 400,
            prefill_tokens_per_second: 8_000,
            cache_tokens: 100_000,
        },
        fencing: FencingMode::Checks,
    }
}

/// Returns an announcement of engine `e1` with its profile.
pub(crate) fn announcement(incarnation: u64, sequence: u64, state: ServingState) -> Announcement {
    Announcement {
        name: name("e1"),
        incarnation: Incarnation(incarnation),
        sequence,
        state,
        load: LoadReport { running: u32::try_from(sequence).unwrap(), ..LoadReport::default() },
        profile: Some(profile()),
        cache_events: None,
    }
}

/// Returns the names of the candidates for [`model`], with a `?` appended to suspect ones.
pub(crate) fn candidates(table: &BackendTable) -> Vec<String> {
    table.with_candidates(BackendTarget::Model(&model()), |views| {
        let suffix = |suspect| if suspect { "?" } else { "" };
        views.iter().map(|v| format!("{}{}", v.name, suffix(v.suspect))).collect()
    })
}
