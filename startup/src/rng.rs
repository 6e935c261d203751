//! Numbers that look random and follow from a seed.

/// Mixes a number so that seeds which differ by one have nothing in common.
pub fn mixed(n: u64) -> u64 {
    // SplitMix64.
    let mut z = n.wrapping_add(STEP);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The next number of a row whose state this is.
pub fn next(state: &mut u64) -> u64 {
    let found = mixed(*state);
    *state = state.wrapping_add(STEP);
    found
}

const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
