//! Seeded pseudo-random numbers (SplitMix64).

/// State increment of SplitMix64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes a number. The hashes of consecutive numbers are uncorrelated.
pub fn mix(number: u64) -> u64 {
    let mut hash = number.wrapping_add(STEP);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Advances the generator state, and returns the next number of its sequence.
pub fn next_u64(state: &mut u64) -> u64 {
    let number = mix(*state);
    *state = state.wrapping_add(STEP);
    number
}

/// Advances the generator state, and returns the next number as a fraction in the range `0.0..1.0`.
pub fn next_fraction(state: &mut u64) -> f64 {
    (next_u64(state) >> 11) as f64 / (1u64 << 53) as f64
}
