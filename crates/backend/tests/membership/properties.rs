//! Properties of membership under any order, repetition and loss.

use {
    crate::{
        common::{announcement, name, table},
        region::Region,
    },
    gullglade_backend::{
        AgedRecord, Announcement, BackendRecord, BackendTable, Origin, RunStatus, ServingState,
    },
    gullglade_units::{BackendName, Incarnation, RandomSource, SeededRandom},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
};

/// Something that was said of one of three engines.
#[derive(Clone, Debug)]
struct Saying {
    engine: u8,
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    expired: Option<u64>,
    with_profile: bool,
}

impl Arbitrary for Saying {
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

impl Saying {
    fn announcement(&self) -> Announcement {
        let state = if self.leaving { ServingState::Leaving } else { ServingState::Serving };
        let mut said = announcement(self.incarnation, self.sequence, state);
        said.name = name(&format!("e{}", self.engine));
        // One announcement always says the same, so what it carries follows from its number.
        let profile = said.profile.as_mut().expect("the helper gives one");
        profile.capacity.slots = u32::try_from(10 + self.sequence).unwrap();
        said.profile = said.profile.filter(|_| self.with_profile);
        said
    }

    fn record(&self) -> BackendRecord {
        let mut record = BackendRecord::from(&self.announcement());
        record.status.expired = self.expired;
        record
    }
}

fn take(table: &BackendTable, saying: &Saying) {
    let aged = AgedRecord::new(saying.record(), Duration::ZERO, Duration::ZERO);
    table.merge_record(&aged, Origin::Row).unwrap();
}

/// What gateways must agree on.
fn agreed(table: &BackendTable) -> BTreeMap<BackendName, (RunStatus, Option<u64>)> {
    let names = (0..3).map(|engine| name(&format!("e{engine}")));
    let records = names.filter_map(|name| table.record(&name));
    records.map(|r| (r.name.clone(), (r.status, r.profile.map(|p| p.sequence)))).collect()
}

#[test]
fn any_order_and_repetition_gives_the_same_membership() {
    fn property(sayings: Vec<Saying>, seed: u64, repeats: u8) -> bool {
        let (_, first) = table();
        sayings.iter().for_each(|saying| take(&first, saying));
        let mut shuffled = sayings.clone();
        let random = SeededRandom::new(seed);
        for _ in 0..repeats.min(u8::try_from(sayings.len()).unwrap_or(u8::MAX)) {
            shuffled.push(sayings[random.below(sayings.len() as u64) as usize].clone());
        }
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, random.below(index as u64 + 1) as usize);
        }
        let (_, second) = table();
        shuffled.iter().for_each(|saying| take(&second, saying));
        agreed(&first) == agreed(&second)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Saying>, u64, u8) -> bool);
}

#[test]
fn no_old_incarnation_returns_and_leaving_is_final() {
    fn property(sayings: Vec<Saying>) -> bool {
        let (_, table) = table();
        sayings.iter().all(|saying| {
            let before = agreed(&table);
            take(&table, saying);
            never_goes_back(&before, &agreed(&table))
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Saying>) -> bool);
}

fn never_goes_back(
    before: &BTreeMap<BackendName, (RunStatus, Option<u64>)>,
    after: &BTreeMap<BackendName, (RunStatus, Option<u64>)>,
) -> bool {
    before.iter().all(|(name, (old, _))| {
        let Some((new, _)) = after.get(name) else { return false };
        let order = |s: &RunStatus| (s.incarnation, s.state);
        order(new) >= order(old)
    })
}

/// What happens during a time of disorder.
#[derive(Clone, Debug)]
enum Happening {
    /// An engine announces, or an old announcement arrives late or again.
    Say { gateway: u8, saying: Saying },
    /// A gateway is killed and starts again knowing nobody.
    Restart { gateway: u8 },
    /// Time passes.
    Wait { millis: u16 },
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        let gateway = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0 => Self::Restart { gateway },
            1 | 2 => Self::Wait { millis: u16::arbitrary(g) % 3_000 },
            _ => Self::Say { gateway, saying: Saying::arbitrary(g) },
        }
    }
}

// Symptom: gateways disagree for good on who serves.
// Events: any announcements, late and doubled, at any gateways; messages between these are lost,
// doubled and overtake each other; gateways restart; then the network is whole again.
// Cause: an update that depends on the order of arrival, or a loss that nothing heals.
#[test]
fn a_region_agrees_after_any_disorder() {
    fn property(happenings: Vec<Happening>, seed: u64, many: bool) -> bool {
        let count = if many { 14 } else { 4 };
        let mut region = Region::new(seed, count);
        region.set_disorder(true);
        let mut incarnation = 1;
        for happening in &happenings {
            let before: Vec<_> = region.nodes.iter().map(|n| agreed(&n.table)).collect();
            let mut restarted = None;
            match happening {
                Happening::Say { gateway, saying } => {
                    let index = usize::from(*gateway) % count;
                    // The same announcement goes to all who get it, so it is whole.
                    let saying = Saying { with_profile: true, expired: None, ..saying.clone() };
                    region.announce(index, &saying.announcement());
                }
                Happening::Restart { gateway } => {
                    incarnation += 1;
                    let index = usize::from(*gateway) % count;
                    region.restart(index, incarnation);
                    restarted = Some(index);
                }
                Happening::Wait { millis } => region.run_millis(u64::from(*millis)),
            }
            let ordered = region.nodes.iter().zip(&before).enumerate().all(|(index, (n, b))| {
                restarted == Some(index) || never_goes_back(b, &agreed(&n.table))
            });
            if !ordered {
                return false;
            }
        }
        region.set_disorder(false);
        region.run_millis(60_000);
        let first = comparable(&region.nodes[0].table);
        let met = region.nodes.iter().all(|n| n.relay.members().len() == count);
        met && region.nodes.iter().all(|n| comparable(&n.table) == first)
    }
    QuickCheck::new().tests(15).quickcheck(property as fn(Vec<Happening>, u64, bool) -> bool);
}

/// Which runs there are and whether they may get work; sequences differ with what was heard last.
fn comparable(table: &BackendTable) -> Vec<(BackendName, Incarnation, ServingState, bool)> {
    let rows = agreed(table).into_iter();
    rows.map(|(name, (s, _))| (name, s.incarnation, s.state, s.is_live())).collect()
}
