//! The sizes that are replayed.

use {gullglade_route::RouteWeights, snafu::Snafu, std::str::FromStr, std::time::Duration};

/// Which deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeploymentKind {
    /// Cascade Ballast: three regions, twelve engines; tail latency weighs most.
    Ballast,
    /// Fraser Ridge Pipeline: three regions, nine engines; share sent away weighs most.
    Pipeline,
    /// The letter's size by twenty: 20 regions, 145 engines, capacities that differ tenfold.
    Letter,
}

/// Why a text names nothing that can be replayed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is no {kind}; choose one of: {choices}"))]
pub struct ChoiceError {
    /// What was to be named.
    pub kind: &'static str,
    /// The text given.
    pub text: String,
    /// What there is.
    pub choices: String,
}

impl DeploymentKind {
    /// All of them.
    pub const ALL: [DeploymentKind; 3] = [Self::Ballast, Self::Pipeline, Self::Letter];

    /// The name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ballast => "ballast",
            Self::Pipeline => "pipeline",
            Self::Letter => "letter",
        }
    }

    /// The plan of this deployment.
    pub fn plan(self) -> DeploymentPlan {
        match self {
            Self::Ballast => ballast(),
            Self::Pipeline => pipeline(),
            Self::Letter => letter(),
        }
    }
}

/// Finds the item with this name.
pub(crate) fn choose<T: Copy>(
    kind: &'static str,
    text: &str,
    all: &[T],
    name: impl Fn(T) -> &'static str,
) -> Result<T, ChoiceError> {
    all.iter().copied().find(|item| name(*item) == text).ok_or_else(|| {
        let choices: Vec<&str> = all.iter().map(|item| name(*item)).collect();
        ChoiceError { kind, text: text.to_owned(), choices: choices.join(", ") }
    })
}

impl FromStr for DeploymentKind {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, ChoiceError> {
        choose("deployment", text, &Self::ALL, Self::name)
    }
}

/// What every engine of a deployment can do.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: u32,
    /// Prompt tokens a second.
    pub prefill_rate: f64,
    /// Seconds between two tokens of an answer.
    pub token_time: f64,
    /// Tokens of prefixes that its cache holds.
    pub cache_tokens: u64,
}

/// One region.
#[derive(Clone, Debug)]
pub struct RegionPlan {
    /// Its name.
    pub name: String,
    /// Engines.
    pub engines: usize,
    /// Gateways.
    pub gateways: usize,
}

/// A deployment and its traffic.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Which one.
    pub kind: DeploymentKind,
    /// Its regions.
    pub regions: Vec<RegionPlan>,
    /// Its engines.
    pub engine: EngineSpec,
    /// One-way delay inside a region.
    pub domain_link: Duration,
    /// One-way delay between regions.
    pub region_link: Duration,
    /// The time to first token it promises.
    pub target: Duration,
    /// Its document's weights.
    pub weights: RouteWeights,
    /// Workspaces.
    pub workspaces: usize,
    /// Part of the requests that is bound to a home.
    pub home_bound: f64,
    /// Tokens of the prompt shared by a workspace.
    pub template_tokens: (u32, u32),
    /// Mean of the tokens that a turn adds to the prompt.
    pub turn_tokens: f64,
    /// Mean tokens of an answer.
    pub answer_tokens: f64,
    /// Mean turns of a session.
    pub turns: f64,
    /// Measured seconds of virtual time.
    pub seconds: f64,
}

impl DeploymentPlan {
    /// Engines of all regions.
    pub fn engines(&self) -> usize {
        self.regions.iter().map(|region| region.engines).sum()
    }

    /// Whether its document weighs tail latency most.
    pub fn weighs_latency(&self) -> bool {
        self.weights.latency > self.weights.forwarding
    }

    /// Mean seconds that a request keeps a slot, with a warm cache.
    pub fn hold(&self) -> f64 {
        self.turn_tokens / self.engine.prefill_rate + self.answer_tokens * self.engine.token_time
    }

    /// Requests a second that one engine carries at most.
    pub fn engine_rate(&self) -> f64 {
        f64::from(self.engine.slots) / self.hold()
    }
}

fn region(name: &str, engines: usize, gateways: usize) -> RegionPlan {
    RegionPlan { name: name.to_owned(), engines, gateways }
}

fn ballast() -> DeploymentPlan {
    DeploymentPlan {
        kind: DeploymentKind::Ballast,
        regions: vec![region("puget", 8, 3), region("columbia", 3, 3), region("inland", 1, 2)],
        engine: EngineSpec {
            slots: 16,
            prefill_rate: 8_000.0,
            token_time: 0.025,
            cache_tokens: 120_000,
        },
        domain_link: Duration::from_micros(500),
        region_link: Duration::from_millis(55),
        target: Duration::from_millis(1_200),
        weights: RouteWeights { latency: 4.0, forwarding: 1.0 },
        workspaces: 60,
        home_bound: 0.12,
        template_tokens: (600, 2_400),
        turn_tokens: 350.0,
        answer_tokens: 120.0,
        turns: 3.0,
        seconds: 600.0,
    }
}

fn pipeline() -> DeploymentPlan {
    DeploymentPlan {
        kind: DeploymentKind::Pipeline,
        regions: vec![
            region("fraser-valley", 6, 3),
            region("northeast-bc", 2, 3),
            region("okanagan", 1, 2),
        ],
        domain_link: Duration::from_millis(1),
        weights: RouteWeights { latency: 1.0, forwarding: 4.0 },
        workspaces: 40,
        template_tokens: (1_000, 3_000),
        turn_tokens: 500.0,
        answer_tokens: 160.0,
        seconds: 900.0,
        ..ballast()
    }
}

/// Engines of the letter's regions by twenty: 145 in all, from 1 to 18.
const LETTER_ENGINES: [usize; 20] =
    [18, 16, 14, 12, 11, 10, 9, 8, 7, 6, 6, 5, 5, 4, 4, 3, 3, 2, 1, 1];

fn letter() -> DeploymentPlan {
    let regions = LETTER_ENGINES
        .iter()
        .enumerate()
        .map(|(index, engines)| region(&format!("region-{index:02}"), *engines, 2))
        .collect();
    DeploymentPlan {
        kind: DeploymentKind::Letter,
        regions,
        engine: EngineSpec {
            slots: 64,
            prefill_rate: 24_000.0,
            token_time: 0.028,
            cache_tokens: 600_000,
        },
        weights: RouteWeights { latency: 1.0, forwarding: 1.0 },
        workspaces: 445,
        answer_tokens: 267.0,
        seconds: 90.0,
        ..ballast()
    }
}
