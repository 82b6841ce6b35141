//! Selection of the backend servers that may get a request next.

use {
    gullglade_dispatch::{AttemptTracker, NextTarget, UsedBackend},
    gullglade_units::{BackendName, RegionName},
    std::collections::BTreeSet,
};

/// The end of the current run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEvent {
    /// The run fails by itself, without a complete answer.
    Lost,
    /// The run is silent and is replaced by another one.
    Replaced,
    /// The run is replaced, and its gateway does not know the backend server.
    ReplacedUnnamed,
    /// The backend server rejects the request for now.
    Rejected,
}

const EVENTS: [RunEvent; 4] =
    [RunEvent::Lost, RunEvent::Replaced, RunEvent::ReplacedUnnamed, RunEvent::Rejected];

/// The longest sequence of events that is tested.
const MAX_EVENTS: usize = 7;

fn used(number: usize) -> UsedBackend {
    UsedBackend {
        region: RegionName::try_from("west").expect("a name"),
        name: BackendName::try_from(format!("i-{number}").as_str()).expect("a name"),
    }
}

/// A request whose runs end with given events.
struct AttemptModel {
    tracker: AttemptTracker,
    /// The backend server of the current run, and whether it had the request before.
    current: (usize, bool),
    /// Backend servers that may have run the request.
    ran: BTreeSet<usize>,
    /// Backend servers whose runs were given up and which may still answer.
    may_answer: BTreeSet<usize>,
    sends: usize,
}

impl AttemptModel {
    fn new(max_backends: u32) -> Self {
        Self {
            tracker: AttemptTracker::new(max_backends),
            current: (0, false),
            ran: BTreeSet::new(),
            may_answer: BTreeSet::new(),
            sends: 1,
        }
    }

    /// Sends the request to a backend server that has not had it.
    fn send_fresh(&mut self) {
        self.current = (self.sends, false);
        self.sends += 1;
    }

    /// Ends the current run and starts the next one. Returns false if there is none.
    fn step(&mut self, event: RunEvent) -> bool {
        let (at, is_return) = self.current;
        match event {
            RunEvent::Lost => self.tracker.note_ended(),
            RunEvent::Replaced | RunEvent::ReplacedUnnamed => {
                if !self.tracker.may_be_replaced() {
                    // The run is waited for until it fails.
                    return self.step(RunEvent::Lost);
                }
                let is_named = event == RunEvent::Replaced;
                self.tracker.note_given_up(is_named.then(|| used(at)));
                self.ran.insert(at);
                self.may_answer.extend(is_named.then_some(at));
                self.send_fresh();
                return true;
            }
            RunEvent::Rejected if is_return => self.tracker.note_return_refused(used(at)),
            RunEvent::Rejected => {
                self.send_fresh();
                return true;
            }
        }
        if event == RunEvent::Lost {
            self.ran.insert(at);
        } else {
            self.may_answer.insert(at);
        }
        self.begin_next()
    }

    fn begin_next(&mut self) -> bool {
        match self.tracker.next_target() {
            None => false,
            Some(NextTarget::Fresh) => {
                self.send_fresh();
                true
            }
            Some(NextTarget::Return(target)) => {
                let target = target.clone();
                self.tracker.note_return(&target);
                let number = (0..self.sends).find(|number| used(*number) == target);
                let number = number.expect("one that had the request");
                assert!(self.may_answer.remove(&number), "{number} was not given up");
                self.current = (number, true);
                true
            }
        }
    }
}

/// Returns all sequences of events up to the longest.
fn all_event_sequences() -> Vec<Vec<RunEvent>> {
    let mut all = vec![Vec::new()];
    let mut last = all.clone();
    for _ in 0..MAX_EVENTS {
        let longer = |events: &Vec<RunEvent>| EVENTS.map(|event| [&events[..], &[event]].concat());
        last = last.iter().flat_map(longer).collect();
        all.extend(last.iter().cloned());
    }
    all
}

/// Guards against giving up a request although a backend server may still answer it, and against
/// sending it to more backend servers than its route allows.
#[test]
fn request_ends_only_when_no_backend_server_may_answer() {
    for max_backends in 1..=3 {
        for events in all_event_sequences() {
            let mut model = AttemptModel::new(max_backends);
            let mut continues = true;
            for event in &events {
                continues = model.step(*event);
                if !continues {
                    break;
                }
            }
            let name = format!("{max_backends} allowed, {events:?}");
            assert!(model.ran.len() <= max_backends as usize, "{name}: ran at {:?}", model.ran);
            assert!(
                continues || model.may_answer.is_empty(),
                "{name}: {:?} may answer",
                model.may_answer
            );
            assert!(
                continues || model.ran.len() == max_backends as usize,
                "{name}: {:?}",
                model.ran
            );
        }
    }
}

/// Guards against a request that alternates between two silent backend servers.
#[test]
fn request_returns_at_most_once_to_each_backend_server() {
    let mut model = AttemptModel::new(2);
    assert!(model.step(RunEvent::Replaced));
    assert!(model.step(RunEvent::Lost), "no return");
    assert_eq!(model.current, (0, true));
    assert!(!model.tracker.may_be_replaced());
    assert!(!model.step(RunEvent::Lost), "a second return");
}
