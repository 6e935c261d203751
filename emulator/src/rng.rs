//! Pseudo-random numbers.

/// A pseudo-random number generator; the field is its state, initially the seed.
pub struct Rng(pub u64);

impl Rng {
    fn next(&mut self) -> u64 {
        cranesill_startup::rng::next_u64(&mut self.0)
    }

    /// A number of at least 0 and less than 1.
    pub fn uniform(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number less than `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}
