//! Which backend servers may get a request next.

use {
    gullglade_dispatch::{AttemptTracker, NextTarget, UsedBackend},
    gullglade_units::{BackendName, RegionName},
    std::collections::BTreeSet,
};

/// What becomes of the run under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunFate {
    /// It ends by itself, without a whole answer.
    Lost,
    /// It is silent, and another run takes its place.
    Replaced,
    /// The same, where its gateway does not know which backend server it was at.
    ReplacedUnnamed,
    /// The backend server turns it away for now.
    TurnedAway,
}

const FATES: [RunFate; 4] =
    [RunFate::Lost, RunFate::Replaced, RunFate::ReplacedUnnamed, RunFate::TurnedAway];

/// Fates of one request's runs, in order, that are played at most.
const LONGEST: usize = 7;

fn used(number: usize) -> UsedBackend {
    UsedBackend {
        region: RegionName::try_from("west").expect("a name"),
        name: BackendName::try_from(format!("i-{number}").as_str()).expect("a name"),
    }
}

/// A request whose runs meet given fates.
struct LedgerPlay {
    ledger: AttemptTracker,
    /// The backend server of the run under way, and whether it had the request before.
    current: (usize, bool),
    /// Backend servers that may have run it.
    ran: BTreeSet<usize>,
    /// Those that were given up and may answer yet.
    owed: BTreeSet<usize>,
    sends: usize,
}

impl LedgerPlay {
    fn new(most: u32) -> Self {
        Self {
            ledger: AttemptTracker::new(most),
            current: (0, false),
            ran: BTreeSet::new(),
            owed: BTreeSet::new(),
            sends: 1,
        }
    }

    /// The request goes to a backend server that has not had it.
    fn send_fresh(&mut self) {
        self.current = (self.sends, false);
        self.sends += 1;
    }

    /// Follows the run under way to its end, and begins the next one; false where there is none.
    fn step(&mut self, fate: RunFate) -> bool {
        let (at, is_return) = self.current;
        match fate {
            RunFate::Lost => self.ledger.note_ended(),
            RunFate::Replaced | RunFate::ReplacedUnnamed => {
                if !self.ledger.may_be_replaced() {
                    // It is waited for, and lost in the end.
                    return self.step(RunFate::Lost);
                }
                let is_named = fate == RunFate::Replaced;
                self.ledger.note_given_up(is_named.then(|| used(at)));
                self.ran.insert(at);
                self.owed.extend(is_named.then_some(at));
                self.send_fresh();
                return true;
            }
            RunFate::TurnedAway if is_return => self.ledger.note_return_refused(used(at)),
            RunFate::TurnedAway => {
                self.send_fresh();
                return true;
            }
        }
        if fate == RunFate::Lost {
            self.ran.insert(at);
        } else {
            self.owed.insert(at);
        }
        self.begin_next()
    }

    fn begin_next(&mut self) -> bool {
        match self.ledger.next_target() {
            None => false,
            Some(NextTarget::Fresh) => {
                self.send_fresh();
                true
            }
            Some(NextTarget::Return(target)) => {
                let target = target.clone();
                self.ledger.note_return(&target);
                let number = (0..self.sends).find(|number| used(*number) == target);
                let number = number.expect("one that had the request");
                assert!(self.owed.remove(&number), "{number} was not given up");
                self.current = (number, true);
                true
            }
        }
    }
}

/// All lists of fates up to the longest.
fn all_fates() -> Vec<Vec<RunFate>> {
    let mut all = vec![Vec::new()];
    let mut last = all.clone();
    for _ in 0..LONGEST {
        let longer = |fates: &Vec<RunFate>| FATES.map(|fate| [&fates[..], &[fate]].concat());
        last = last.iter().flat_map(longer).collect();
        all.extend(last.iter().cloned());
    }
    all
}

/// Guards against a request that is given up although a backend server may answer it yet, and
/// against one that is sent to more backend servers than its route allows.
#[test]
fn a_request_ends_only_where_no_backend_server_may_answer_it_any_more() {
    for most in 1..=3 {
        for fates in all_fates() {
            let mut play = LedgerPlay::new(most);
            let mut goes_on = true;
            for fate in &fates {
                goes_on = play.step(*fate);
                if !goes_on {
                    break;
                }
            }
            let what = format!("{most} allowed, {fates:?}");
            assert!(play.ran.len() <= most as usize, "{what}: ran at {:?}", play.ran);
            assert!(goes_on || play.owed.is_empty(), "{what}: {:?} may answer", play.owed);
            assert!(goes_on || play.ran.len() == most as usize, "{what}: {:?}", play.ran);
        }
    }
}

/// Guards against a request that goes to and fro between two silent backend servers.
#[test]
fn a_request_returns_once_to_each_backend_server_at_most() {
    let mut play = LedgerPlay::new(2);
    assert!(play.step(RunFate::Replaced));
    assert!(play.step(RunFate::Lost), "no return");
    assert_eq!(play.current, (0, true));
    assert!(!play.ledger.may_be_replaced());
    assert!(!play.step(RunFate::Lost), "a second return");
}
