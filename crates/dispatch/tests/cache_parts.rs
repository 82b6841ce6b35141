//! The memory of the estimate of what is cached at an engine.

use {
    gullglade_dispatch::{CacheEstimate, PromptPart, PromptShape},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// Parts without tokens, or with few, were remembered without a bound.
#[test]
fn number_of_remembered_parts_is_bounded() {
    const MOST: usize = 4_096;
    struct Case {
        name: &'static str,
        tokens: u32,
    }
    for Case { name, tokens } in [Case { name: "none", tokens: 0 }, Case { name: "one", tokens: 1 }]
    {
        let mut estimate = CacheEstimate::default();
        for request in 0..200 {
            let parts: Vec<_> =
                (0..256).map(|part| PromptPart { id: request << 16 | part, tokens }).collect();
            estimate.note(&parts, 470_000, MonotonicTime(Duration::from_millis(request)));
            assert!(estimate.len() <= MOST, "{name}: {}", estimate.len());
        }
        let last = PromptPart { id: 199 << 16, tokens };
        let shape = PromptShape {
            parts: vec![last],
            prompt_tokens: tokens,
            answer_tokens: 0,
            expected_answer_tokens: None,
        };
        assert_eq!(estimate.held_tokens(&shape), tokens, "{name}: the latest parts stay");
    }
}
