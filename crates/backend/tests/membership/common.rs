//! What the membership tests share.

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

/// The model that every engine of the tests serves.
pub(crate) fn model() -> ModelName {
    ModelName::try_from("ballast").unwrap()
}

/// A clock that moves only when told.
#[derive(Default)]
pub(crate) struct ManualClock(Cell<Duration>);

impl ManualClock {
    /// Moves it by `millis`.
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

/// A table of region puget and its clock.
pub(crate) fn table() -> (Rc<ManualClock>, BackendTable) {
    let clock = Rc::new(ManualClock::default());
    (clock.clone(), BackendTable::new(region(), BackendConfig::default(), clock))
}

/// The region of the tests.
pub(crate) fn region() -> RegionName {
    "puget".parse().unwrap()
}

/// A backend server's name.
pub(crate) fn name(text: &str) -> BackendName {
    BackendName::try_from(text).unwrap()
}

/// An engine's profile.
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

/// A whole announcement of engine `e1`.
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

/// The names of the candidates for [`model`]; a suspect one ends with `?`.
pub(crate) fn candidates(table: &BackendTable) -> Vec<String> {
    table.with_candidates(BackendTarget::Model(&model()), |views| {
        let mark = |suspect| if suspect { "?" } else { "" };
        views.iter().map(|v| format!("{}{}", v.name, mark(v.suspect))).collect()
    })
}
