//! Selection of the gateways that an answer of the directory names.
//!
//! Load: callers draw one address of their answer uniformly for each new connection, keep the
//! connection for many requests, and close it when a new answer does not name its address. The only
//! way to send a small gateway fewer callers is to name it in fewer answers.
//!
//! Each gateway is named with a probability in proportion to its weight, and all answers have the
//! same size, so that the load of a gateway is in proportion to its weight as well. Answers are as
//! long as the largest gateway allows, which is then in all of them.
//!
//! An answer must be stable. Connections to a gateway that is in every answer are never closed,
//! those to others are closed whenever an answer changes: with a new selection every 10 s, half of
//! the load of small gateways moves to the large ones. The draws therefore are hashes of the caller
//! and the gateway, and each of them is renewed every [`RENEWAL_SLOTS`] only.
//!
//! Callers behind one address cannot be told apart. If they shared one answer, its small gateways
//! would take as many callers as the large ones. Their answers depend on the port as well, which
//! may differ in every look-up, so their connections close often. A connection then lasts longer
//! the more often its gateway is named, which the probabilities have to make up for.

use {
    crate::are_equal_weights,
    gullglade_units::{VmName, WallMillis, rendezvous::score},
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr},
    },
};

/// Largest size of a selection. Callers read no more addresses.
const MAX_SELECTED: usize = 64;

/// Smallest size of a selection, so that a caller has a choice when gateways fail.
const MIN_SELECTED: usize = 3;

/// Assumed rate at which callers close connections for other reasons than an answer, relative to the
/// rate of their look-ups: connections of 40 s, and look-ups every 6 s. It matters only for callers
/// behind a shared address.
const CLOSE_RATIO: f64 = 0.15;

/// Smallest probability of a gateway to be named, so that it is never without callers.
const MIN_PROBABILITY: f64 = 0.1;

/// Duration of a time slot. Answers change only between two slots of their caller.
const SLOT_MS: u64 = 10_000;

/// Number of slots after which a draw is renewed: ten minutes, which is long compared with the life
/// of a connection. A sixtieth of the draws of a caller is renewed in each slot.
const RENEWAL_SLOTS: u64 = 60;

/// Most look-ups of one host in a slot that come from a single caller: callers cache an answer for
/// 2 s.
const SINGLE_CALLER_LOOKUPS: u32 = 6;

/// Maximum number of callers whose look-ups are counted, which bounds the memory to about 500 KB.
/// Callers beyond are considered single.
const MAX_COUNTED: usize = 8_192;

/// Number of bisection steps, enough for an error of 2^-24 of the result.
const BISECTION_STEPS: u32 = 24;

/// Gateway that an answer may name.
#[derive(Clone, Copy, Debug)]
pub struct EntryCandidate<'a> {
    /// Its VM.
    pub vm: &'a VmName,
    /// Its address for callers.
    pub address: SocketAddr,
    /// Its weight.
    pub weight: f64,
}

/// Caller that an answer is meant for, as far as it is known.
#[derive(Clone, Debug)]
pub struct EntryCaller {
    /// Hash of what identifies it.
    key: u64,
    /// Whether it is one of several behind its address.
    is_shared: bool,
}

/// Identifies callers, and counts their look-ups to detect addresses that several of them share.
#[derive(Debug, Default)]
pub struct CallerCounter {
    slot: u64,
    current: BTreeMap<u64, u32>,
    previous: BTreeMap<u64, u32>,
}

impl CallerCounter {
    /// Counts a look-up of `host` by the caller at `remote`, and returns the caller.
    pub fn identify(&mut self, remote: SocketAddr, host: &str, now: WallMillis) -> EntryCaller {
        let slot = now.0 / SLOT_MS;
        if slot != self.slot {
            let is_next = slot == self.slot + 1;
            let counted = std::mem::take(&mut self.current);
            self.previous = if is_next { counted } else { BTreeMap::new() };
            self.slot = slot;
        }
        let key = caller_key(remote.ip(), host);
        if self.current.len() < MAX_COUNTED || self.current.contains_key(&key) {
            *self.current.entry(key).or_default() += 1;
        }
        let counts = [self.current.get(&key), self.previous.get(&key)];
        let is_shared = counts.into_iter().flatten().any(|count| *count > SINGLE_CALLER_LOOKUPS);
        let port = if is_shared { remote.port() } else { 0 };
        EntryCaller { key: score(&key.to_string(), &port.to_string()), is_shared }
    }
}

fn caller_key(address: IpAddr, host: &str) -> u64 {
    score(&address.to_string(), host)
}

/// Returns the addresses for an answer to `caller`, in the order of `candidates`. If all weights
/// are equal, these are all addresses.
pub fn select_entries(
    candidates: &[EntryCandidate<'_>],
    caller: &EntryCaller,
    now: WallMillis,
) -> Vec<SocketAddr> {
    let weights: Vec<f64> = candidates.iter().map(|c| c.weight).collect();
    let size = selection_size(&weights);
    if are_equal_weights(&weights) || size >= candidates.len() {
        return candidates.iter().map(|c| c.address).collect();
    }
    let probabilities = probabilities(&weights, size, caller.is_shared);
    let draws = CallerDraws::new(caller, now);
    let rank = |index: usize| {
        let (probability, draw) = (probabilities[index], draws.draw(candidates[index].vm));
        // Pareto sampling (Rosén, 1997): the smallest of these ranks are selected with nearly the
        // given probabilities, and a gateway that comes or goes replaces one other at most.
        draw / (1.0 - draw) * (1.0 - probability) / probability
    };
    let mut ranked: Vec<(f64, usize)> = (0..candidates.len()).map(|i| (rank(i), i)).collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut selected: Vec<usize> = ranked.into_iter().take(size).map(|(_, i)| i).collect();
    selected.sort_unstable();
    selected.into_iter().map(|index| candidates[index].address).collect()
}

/// Returns the size of an answer: with that of the mean weight relative to the largest one, the
/// largest gateway is in every answer and gets its share. Answers have at least half of the
/// gateways and [`MIN_SELECTED`].
fn selection_size(weights: &[f64]) -> usize {
    let max = weights.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let fitting = (weights.iter().sum::<f64>() / max).round() as usize;
    let min = weights.len().div_ceil(2).max(MIN_SELECTED);
    fitting.max(min).min(weights.len()).min(MAX_SELECTED)
}

/// Returns the probability of each gateway to be in a selection of `size`. Their sum is `size`.
fn probabilities(weights: &[f64], size: usize, is_shared: bool) -> Vec<f64> {
    let at = |scale: f64, weight: &f64| {
        let load = scale * weight;
        // With a new selection in each look-up, a gateway of probability p has connections in
        // proportion to p / (CLOSE_RATIO + 1 - p).
        let probability = if is_shared { load * (1.0 + CLOSE_RATIO) / (1.0 + load) } else { load };
        probability.clamp(MIN_PROBABILITY, 1.0)
    };
    let sum = |scale: f64| weights.iter().map(|weight| at(scale, weight)).sum::<f64>();
    let (mut low, mut high) = (0.0, 1.0);
    // Doubling ends because every probability approaches 1 and `size` is below their number.
    while sum(high) < size as f64 {
        high *= 2.0;
    }
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if sum(middle) < size as f64 {
            low = middle;
        } else {
            high = middle;
        }
    }
    weights.iter().map(|weight| at(high, weight)).collect()
}

/// The draws of one caller in one slot.
struct CallerDraws {
    key: String,
    slot: u64,
    /// Keys of the two renewals that draws of this slot can belong to.
    renewals: [String; 2],
}

impl CallerDraws {
    fn new(caller: &EntryCaller, now: WallMillis) -> Self {
        let EntryCaller { key, .. } = caller;
        // Callers change slots at different times, so that they do not all connect at once.
        let slot = now.0.wrapping_add(key % SLOT_MS) / SLOT_MS;
        let first = slot / RENEWAL_SLOTS;
        let renewals = [first, first + 1].map(|renewal| format!("{key}:{renewal}"));
        Self { key: key.to_string(), slot, renewals }
    }

    /// Returns a number between 0 and 1, exclusive, uniformly distributed over callers.
    fn draw(&self, vm: &VmName) -> f64 {
        let phase = score(&self.key, vm.as_str()) % RENEWAL_SLOTS;
        let is_renewed = self.slot % RENEWAL_SLOTS + phase >= RENEWAL_SLOTS;
        let hash = score(&self.renewals[usize::from(is_renewed)], vm.as_str());
        ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    }
}
