//! Mixing of ids into evenly spread numbers, for rendezvous hashing.

/// Mixes two numbers into one (the finaliser of SplitMix64 over a combination of both).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    for _ in 0..2 {
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
    }
    z
}

/// Weighted rendezvous score of `member` for `object`: the highest score among the members wins, and each
/// member wins a share of the objects in proportion to its weight.
pub fn rendezvous(object: u64, member: u64, weight: f64) -> f64 {
    let unit = ((mix(object, member) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}

#[cfg(test)]
mod tests;
