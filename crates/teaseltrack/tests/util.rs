//! What several test files use.

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Seed of all random tests, so that CI gives the same verdict every time.
const SEED: u64 = 20_261_204;

/// A fixed seed and the number of cases, which `PROPTEST_CASES` multiplies outside CI.
pub fn config(cases: u32) -> ProptestConfig {
    let factor = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases * factor.unwrap_or(1),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
