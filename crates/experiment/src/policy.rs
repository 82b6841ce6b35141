//! The policies that are compared.

use {
    crate::deployment::{ChoiceError, choose},
    gullglade_route::{CheckedPolicy, LatencyPolicy, LatencySettings, RoutePolicy, baseline},
    std::str::FromStr,
};

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// Every engine in its turn.
    RoundRobin,
    /// The least load as reported.
    LeastReported,
    /// The better of two drawn.
    TwoChoices,
    /// The better of two drawn, never away.
    LocalOnly,
    /// The product's.
    Gullglade,
    /// One queue with perfect knowledge: the bound on tail latency.
    Omniscient,
    /// Perfect knowledge, sending away only what would miss the target: the bound on the share.
    OmniscientNear,
}

impl PolicyKind {
    /// All of them.
    pub const ALL: [PolicyKind; 7] = [
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::LocalOnly,
        Self::Gullglade,
        Self::Omniscient,
        Self::OmniscientNear,
    ];

    /// The name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
            Self::LocalOnly => "local-only",
            Self::Gullglade => "gullglade",
            Self::Omniscient => "omniscient",
            Self::OmniscientNear => "omniscient-near",
        }
    }

    /// Whether it has perfect knowledge, which no gateway has.
    pub fn is_bound(self) -> bool {
        matches!(self, Self::Omniscient | Self::OmniscientNear)
    }

    /// Whether it is one that the product is compared with and could be run.
    pub fn is_baseline(self) -> bool {
        self != Self::Gullglade && !self.is_bound()
    }

    /// Whether requests wait in the gateway's queue.
    pub(crate) fn uses_queue(self) -> bool {
        self == Self::Gullglade
    }

    /// The policy of one gateway; none for the omniscient ones, which are no gateway's.
    pub(crate) fn build(self, settings: LatencySettings) -> Option<Box<dyn RoutePolicy>> {
        match self {
            Self::RoundRobin => checked(baseline::RoundRobin::default()),
            Self::LeastReported => checked(baseline::LeastReported),
            Self::TwoChoices => checked(baseline::TwoChoices),
            Self::LocalOnly => checked(baseline::LocalOnly),
            Self::Gullglade => checked(LatencyPolicy::new(settings)),
            Self::Omniscient | Self::OmniscientNear => None,
        }
    }
}

fn checked(policy: impl RoutePolicy + 'static) -> Option<Box<dyn RoutePolicy>> {
    Some(Box::new(CheckedPolicy::new(policy)))
}

impl FromStr for PolicyKind {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, ChoiceError> {
        choose("policy", text, &Self::ALL, Self::name)
    }
}
