//! The time at which an exhausted budget grants a repeat again.

use {
    gullglade_dispatch::{AllowanceShare, RepeatArrival, RepeatBudget},
    gullglade_units::{MonotonicTime, RandomSource, SeededRandom},
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(10);

/// The longest time over which the next grant is searched for.
const HORIZON: Duration = Duration::from_secs(60);

const STEP: Duration = Duration::from_millis(10);

/// Returns a budget after a random history of requests and repeats, its share, and the time.
fn draw_budget(seed: u64) -> (RepeatBudget, AllowanceShare, MonotonicTime) {
    let random = SeededRandom::new(seed);
    let slack = random.below(4) as f64;
    let mut budget = RepeatBudget::new(WINDOW, 0.2, slack);
    let mut share = AllowanceShare::new(1);
    let mut now = MonotonicTime(Duration::from_secs(1));
    let known_after = random.below(60);
    for number in 0..random.below(80) {
        now = now + Duration::from_millis(random.below(400));
        if number == known_after {
            share.note_total(2, now);
        }
        match random.below(4) {
            0 => {
                if budget.take(&share, now).is_granted {
                    let is_past = random.below(3) > 0;
                    let arrival =
                        if is_past { RepeatArrival::Past } else { RepeatArrival::Unknown };
                    budget.settle(arrival, now);
                }
            }
            _ => budget.note_request(now, now),
        }
    }
    (budget, share, now)
}

/// Guards against waiting for a repeat that is never granted, and against waiting longer than
/// needed.
#[test]
fn next_grant_is_the_first_time_at_which_a_repeat_is_granted() {
    let (mut waits, mut none) = (0, 0);
    for seed in 0..500 {
        let (mut budget, share, now) = draw_budget(seed);
        let next = budget.next_grant(&share, now);
        let is_granted = |at| budget.clone().peek(&share, at).is_granted;
        // A budget may grant a repeat for a moment only, so the exact time is checked.
        assert!(next.is_none_or(is_granted), "seed {seed}: not granted at {next:?}");
        let end = next.unwrap_or(now + HORIZON);
        let mut at = now;
        while at < end {
            assert!(!is_granted(at), "seed {seed}: {next:?}, granted at {at:?}");
            at = at + STEP;
        }
        waits += u32::from(next.is_some_and(|next| next > now));
        none += u32::from(next.is_none());
    }
    assert!(waits > 20 && none > 2, "{waits} waits, {none} without a grant");
}
