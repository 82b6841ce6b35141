//! Random numbers behind a trait, so that a test can replay a run from its seed.

use {
    rand::{RngCore, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::cell::RefCell,
};

/// A source of uniformly distributed 64-bit numbers.
pub trait RandomSource {
    /// The next number.
    fn next_u64(&self) -> u64;

    /// A number in `0..bound`, by multiply-shift (Lemire, 2019, without the rejection step: the
    /// bias is below bound / 2^64). Zero where `bound` is zero.
    fn below(&self, bound: u64) -> u64 {
        let wide = u128::from(self.next_u64()) * u128::from(bound);
        u64::try_from(wide >> 64).unwrap_or(0)
    }

    /// A number in `[0, 1)` with 53 random bits.
    fn unit(&self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// ChaCha8 from a seed.
pub struct SeededRandom {
    generator: RefCell<ChaCha8Rng>,
}

impl SeededRandom {
    /// The sequence of `seed`.
    pub fn new(seed: u64) -> Self {
        Self { generator: RefCell::new(ChaCha8Rng::seed_from_u64(seed)) }
    }

    /// A sequence seeded by the operating system.
    pub fn from_system() -> Self {
        Self { generator: RefCell::new(ChaCha8Rng::from_os_rng()) }
    }
}

impl RandomSource for SeededRandom {
    fn next_u64(&self) -> u64 {
        self.generator.borrow_mut().next_u64()
    }
}
