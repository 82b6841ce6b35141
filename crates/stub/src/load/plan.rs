//! What callers do.

use {
    gullglade_units::{ModelName, ServiceName},
    std::{net::SocketAddr, time::Duration},
};

/// Where callers send their requests.
#[derive(Clone, Debug)]
pub enum LoadTarget {
    /// To the gateways that `GET /v1/entry` of any of these names.
    Entry {
        /// Gateways to ask, the first that answers.
        ask: Vec<SocketAddr>,
        /// The service to ask for.
        service: Option<ServiceName>,
    },
    /// To these addresses in turn.
    Fixed(Vec<SocketAddr>),
}

/// What callers do. The same plan and seed give the same requests at the same times.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where to.
    pub target: LoadTarget,
    /// The bearer token; none by default.
    pub token: Option<String>,
    /// The model asked for.
    pub model: ModelName,
    /// The seed of arrivals and prompts; 1 by default.
    pub seed: u64,
    /// Arrivals a second on average, exponentially spaced; 10 by default.
    pub rate: f64,
    /// How long requests arrive; 5 s by default. Those in progress are then waited for.
    pub duration: Duration,
    /// The share of requests that stream, 0 to 1; 0.8 by default.
    pub stream_share: f64,
    /// Prompt tokens of a request on average; 128 by default.
    pub prompt_tokens: u64,
    /// Distinct beginnings that prompts share; 16 by default.
    pub prefixes: u64,
    /// Answer tokens of a request; 32 by default.
    pub answer_tokens: u64,
    /// How often a refused request is sent again when the refusal says when; 2 by default.
    pub retries: u32,
    /// The longest wait for one answer; 60 s by default.
    pub limit: Duration,
    /// Requests in progress at once, beyond which arrivals are counted as skipped; 20,000 by
    /// default.
    pub outstanding: usize,
}

impl LoadPlan {
    /// The defaults.
    pub fn new(target: LoadTarget, model: ModelName) -> Self {
        Self {
            target,
            token: None,
            model,
            seed: 1,
            rate: 10.0,
            duration: Duration::from_secs(5),
            stream_share: 0.8,
            prompt_tokens: 128,
            prefixes: 16,
            answer_tokens: 32,
            retries: 2,
            limit: Duration::from_secs(60),
            outstanding: 20_000,
        }
    }
}
