//! Random numbers from a seed.

/// A row of them.
pub struct Rng(pub u64);

impl Rng {
    fn next(&mut self) -> u64 {
        cranesill_startup::rng::next_u64(&mut self.0)
    }

    /// From 0 to 1.
    pub fn uniform(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}
