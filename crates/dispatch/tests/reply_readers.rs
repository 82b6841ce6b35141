//! Which replies are given up because their callers do not read them.

use {
    gullglade_dispatch::{ReaderId, ReplyReaders},
    gullglade_units::{MonotonicTime, RandomSource, SeededRandom, ServiceName},
    std::{collections::BTreeMap, time::Duration},
};

const LIMIT: usize = 8;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a valid name")
}

/// Unread replies kept the slots of backend servers until their connections timed out.
#[test]
fn unread_replies_give_up_the_slots_that_others_lack() {
    struct Case {
        name: &'static str,
        /// When the reply was offered to its caller, and when it was taken.
        offered: u64,
        taken: Option<u64>,
        is_full: bool,
        is_given_up: bool,
    }
    let cases = [
        Case { name: "deaf", offered: 0, taken: None, is_full: true, is_given_up: true },
        Case { name: "free slots", offered: 0, taken: None, is_full: false, is_given_up: false },
        Case { name: "just offered", offered: 500, taken: None, is_full: true, is_given_up: false },
        Case { name: "reading", offered: 0, taken: Some(1_900), is_full: true, is_given_up: false },
    ];
    for Case { name, offered, taken, is_full, is_given_up } in cases {
        let mut readers = ReplyReaders::new(LIMIT);
        let id = readers.add(service("full"));
        readers.note_offered(id, at(offered));
        if let Some(taken) = taken {
            readers.note_taken(id);
            readers.note_offered(id, at(taken));
        }
        let given_up =
            readers.over_slots(|service| is_full && service.as_str() == "full", at(2_000));
        assert_eq!(!given_up.is_empty(), is_given_up, "{name}");
        readers.remove(id);
        assert!(readers.over_slots(|_| true, at(9_000)).is_empty(), "{name}: after its end");
    }
}

/// The buffers of unread replies exceeded the memory. Replays crowds of callers of which some read
/// nothing: the unread replies stay within the limit, and those that are read are never given up.
#[test]
fn unread_replies_stay_within_their_memory() {
    for seed in 0..50 {
        let random = SeededRandom::new(seed);
        let mut readers = ReplyReaders::new(LIMIT);
        let mut callers: BTreeMap<ReaderId, bool> = BTreeMap::new();
        for tick in 0..500 {
            let now = at(tick * 50);
            if random.unit() < 0.5 {
                let id = readers.add(service("pool"));
                readers.note_offered(id, now);
                callers.insert(id, random.unit() < 0.5);
            }
            for (id, _) in callers.iter().filter(|(_, reads)| **reads) {
                readers.note_taken(*id);
                readers.note_offered(*id, now);
            }
            for id in readers.over_memory(now) {
                readers.remove(id);
                assert_eq!(callers.remove(&id), Some(false), "seed {seed}, tick {tick}");
            }
            let reading = callers.values().filter(|reads| **reads).count();
            callers.retain(|id, reads| {
                let ends = *reads && (reading > LIMIT / 2 || random.unit() < 0.1);
                if ends {
                    readers.remove(*id);
                }
                !ends
            });
            let unread = callers.len();
            // A reply is unread for 100 ms before it may be given up, which is two ticks.
            assert!(unread <= LIMIT + 3, "seed {seed}, tick {tick}: {unread} unread");
        }
    }
}
