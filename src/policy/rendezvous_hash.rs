//! Weighted rendezvous hashing.

/// Bits of the hash that a rendezvous score is computed from.
const HASH_BITS: u32 = 53;
/// Number of distinct hashes.
pub(crate) const HASH_RANGE: f64 = (1u64 << HASH_BITS) as f64;

/// Mixes two numbers into one, by the finalizer of SplitMix64 over a combination of both.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    for _ in 0..2 {
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
    }
    z
}

/// Hash of `endpoint` for `object` that its rendezvous score is computed from. Of two endpoints of the same weight the
/// one with the larger hash has the higher score.
pub(crate) fn hash_bits(object: u64, endpoint: u64) -> u64 {
    mix(object, endpoint) >> (u64::BITS - HASH_BITS)
}

/// Weighted rendezvous score of `endpoint` for `object`. Each endpoint has the highest score for a share of the
/// objects in proportion to its weight.
pub(crate) fn rendezvous(object: u64, endpoint: u64, weight: f64) -> f64 {
    let unit = (hash_bits(object, endpoint) as f64 + 0.5) / HASH_RANGE;
    -weight / unit.ln()
}

#[cfg(test)]
mod tests;
