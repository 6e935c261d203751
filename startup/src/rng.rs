//! Pseudo-random numbers from a seed (SplitMix64).

const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes a number, so that seeds which differ by one have nothing in common.
pub fn mix(number: u64) -> u64 {
    let mut hash = number.wrapping_add(STEP);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The next number of the sequence with this state.
pub fn next_u64(state: &mut u64) -> u64 {
    let number = mix(*state);
    *state = state.wrapping_add(STEP);
    number
}

/// The next number of the sequence with this state, from 0 up to but without 1.
pub fn next_fraction(state: &mut u64) -> f64 {
    (next_u64(state) >> 11) as f64 / (1u64 << 53) as f64
}
