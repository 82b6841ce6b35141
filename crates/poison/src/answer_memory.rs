//! Remembers which prompt parts were answered lately.

use {
    crate::{PartFingerprint, signed_time::SignedTime},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Time for which an answer is remembered. A part that was answered within it is unlikely to crash
/// engines, unless their software has just changed.
const MEMORY: Duration = Duration::from_secs(600);

/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 4_096;

/// The last answer on a prompt part.
#[derive(Clone, Copy)]
pub(crate) struct LastAnswer {
    pub(crate) at: SignedTime,
    /// Number that identifies the answer.
    pub(crate) answer: u64,
}

/// The last answers on the prompt parts that this process saw answered.
#[derive(Default)]
pub(crate) struct AnswerMemory {
    answers: HashMap<PartFingerprint, LastAnswer>,
}

impl AnswerMemory {
    /// Notes that the answer to a request with this part began.
    pub(crate) fn note(&mut self, part: PartFingerprint, last: LastAnswer) {
        self.answers.insert(part, last);
        if self.answers.len() > MAX_PARTS {
            self.forget_older_half();
        }
    }

    /// Returns the last answer on the part, unless it is too old.
    pub(crate) fn last(&self, part: &PartFingerprint, now: SignedTime) -> Option<LastAnswer> {
        self.answers.get(part).copied().filter(|last| now.since(last.at) < MEMORY)
    }

    /// Evicting many parts at once keeps the cost of a note constant on average.
    fn forget_older_half(&mut self) {
        let mut times: BTreeMap<SignedTime, usize> = BTreeMap::new();
        for last in self.answers.values() {
            *times.entry(last.at).or_default() += 1;
        }
        let mut count = 0;
        let middle = times.into_iter().find_map(|(at, parts)| {
            count += parts;
            (count >= MAX_PARTS / 2).then_some(at)
        });
        self.answers.retain(|_, last| middle.is_some_and(|middle| last.at > middle));
    }
}
