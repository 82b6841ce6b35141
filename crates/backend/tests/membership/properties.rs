//! Property tests of membership under reordering, repetition and loss.

use {
    crate::{
        cluster::TestCluster,
        common::{announcement, name, table},
    },
    gullglade_backend::{
        AgedRecord, Announcement, BackendRecord, BackendTable, Origin, RunStatus, ServingState,
    },
    gullglade_units::{BackendName, Incarnation, RandomSource, SeededRandom},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
};

/// An update about one of three engines.
#[derive(Clone, Debug)]
struct Update {
    engine: u8,
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    expired: Option<u64>,
    with_profile: bool,
}

impl Arbitrary for Update {
    fn arbitrary(g: &mut Gen) -> Self {
        let expires = u8::arbitrary(g) % 4 == 0;
        Self {
            engine: u8::arbitrary(g) % 3,
            incarnation: u64::arbitrary(g) % 4,
            sequence: u64::arbitrary(g) % 8,
            leaving: u8::arbitrary(g) % 5 == 0,
            expired: expires.then(|| u64::arbitrary(g) % 8),
            with_profile: bool::arbitrary(g),
        }
    }
}

impl Update {
    fn announcement(&self) -> Announcement {
        let state = if self.leaving { ServingState::Leaving } else { ServingState::Serving };
        let mut message = announcement(self.incarnation, self.sequence, state);
        message.name = name(&format!("e{}", self.engine));
        // The contents are derived from the sequence number, because an announcement with a given
        // number always has the same contents.
        let profile = message.profile.as_mut().expect("the helper includes a profile");
        profile.capacity.slots = u32::try_from(10 + self.sequence).unwrap();
        message.profile = message.profile.filter(|_| self.with_profile);
        message
    }

    fn record(&self) -> BackendRecord {
        let mut record = BackendRecord::from(&self.announcement());
        record.status.expired = self.expired;
        record
    }
}

fn merge(table: &BackendTable, update: &Update) {
    let aged = AgedRecord::new(update.record(), Duration::ZERO, Duration::ZERO);
    table.merge_record(&aged, Origin::Row).unwrap();
}

/// Returns the state on which gateways must agree.
fn replicated_state(table: &BackendTable) -> BTreeMap<BackendName, (RunStatus, Option<u64>)> {
    let names = (0..3).map(|engine| name(&format!("e{engine}")));
    let records = names.filter_map(|name| table.record(&name));
    records.map(|r| (r.name.clone(), (r.status, r.profile.map(|p| p.sequence)))).collect()
}

#[test]
fn membership_is_independent_of_order_and_repetition() {
    fn property(updates: Vec<Update>, seed: u64, repeats: u8) -> bool {
        let (_, first) = table();
        updates.iter().for_each(|update| merge(&first, update));
        let mut shuffled = updates.clone();
        let random = SeededRandom::new(seed);
        for _ in 0..repeats.min(u8::try_from(updates.len()).unwrap_or(u8::MAX)) {
            shuffled.push(updates[random.below(updates.len() as u64) as usize].clone());
        }
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, random.below(index as u64 + 1) as usize);
        }
        let (_, second) = table();
        shuffled.iter().for_each(|update| merge(&second, update));
        replicated_state(&first) == replicated_state(&second)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Update>, u64, u8) -> bool);
}

#[test]
fn incarnations_never_regress_and_leaving_is_final() {
    fn property(updates: Vec<Update>) -> bool {
        let (_, table) = table();
        updates.iter().all(|update| {
            let before = replicated_state(&table);
            merge(&table, update);
            never_regresses(&before, &replicated_state(&table))
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Update>) -> bool);
}

fn never_regresses(
    before: &BTreeMap<BackendName, (RunStatus, Option<u64>)>,
    after: &BTreeMap<BackendName, (RunStatus, Option<u64>)>,
) -> bool {
    before.iter().all(|(name, (old, _))| {
        let Some((new, _)) = after.get(name) else { return false };
        let order = |s: &RunStatus| (s.incarnation, s.state);
        order(new) >= order(old)
    })
}

/// A step in a random schedule with network faults.
#[derive(Clone, Debug)]
enum TestAction {
    /// An engine announces, or an old announcement arrives late or again.
    Announce { gateway: u8, update: Update },
    /// A gateway is killed and restarted without any state.
    Restart { gateway: u8 },
    /// Time passes.
    Wait { millis: u16 },
}

impl Arbitrary for TestAction {
    fn arbitrary(g: &mut Gen) -> Self {
        let gateway = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0 => Self::Restart { gateway },
            1 | 2 => Self::Wait { millis: u16::arbitrary(g) % 3_000 },
            _ => Self::Announce { gateway, update: Update::arbitrary(g) },
        }
    }
}

// Guards against permanent disagreement about the serving engines. Announcements arrive late and
// twice at any gateway, messages between gateways are lost, duplicated and reordered, and gateways
// restart. After the faults end, no update may depend on the order of arrival, and every loss must
// be recovered.
#[test]
fn region_converges_after_network_faults_and_restarts() {
    fn property(actions: Vec<TestAction>, seed: u64, large: bool) -> bool {
        let count = if large { 14 } else { 4 };
        let mut cluster = TestCluster::new(seed, count);
        cluster.set_network_faults(true);
        let mut incarnation = 1;
        for action in &actions {
            let before: Vec<_> = cluster.nodes.iter().map(|n| replicated_state(&n.table)).collect();
            let mut restarted = None;
            match action {
                TestAction::Announce { gateway, update } => {
                    let index = usize::from(*gateway) % count;
                    // All gateways receive the same announcement with its profile.
                    let update = Update { with_profile: true, expired: None, ..update.clone() };
                    cluster.announce(index, &update.announcement());
                }
                TestAction::Restart { gateway } => {
                    incarnation += 1;
                    let index = usize::from(*gateway) % count;
                    cluster.restart(index, incarnation);
                    restarted = Some(index);
                }
                TestAction::Wait { millis } => cluster.run_millis(u64::from(*millis)),
            }
            let is_monotonic =
                cluster.nodes.iter().zip(&before).enumerate().all(|(index, (n, b))| {
                    restarted == Some(index) || never_regresses(b, &replicated_state(&n.table))
                });
            if !is_monotonic {
                return false;
            }
        }
        cluster.set_network_faults(false);
        cluster.run_millis(60_000);
        let first = comparable(&cluster.nodes[0].table);
        let all_joined = cluster.nodes.iter().all(|n| n.relay.members().len() == count);
        all_joined && cluster.nodes.iter().all(|n| comparable(&n.table) == first)
    }
    QuickCheck::new().tests(15).quickcheck(property as fn(Vec<TestAction>, u64, bool) -> bool);
}

/// Returns the known runs and whether they may get requests. Sequence numbers are excluded, because
/// they depend on the last announcement received.
fn comparable(table: &BackendTable) -> Vec<(BackendName, Incarnation, ServingState, bool)> {
    let rows = replicated_state(table).into_iter();
    rows.map(|(name, (s, _))| (name, s.incarnation, s.state, s.is_live())).collect()
}
