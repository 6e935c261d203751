//! What stands at whatever is acted on under a duty.
use crate::Fence;

/// The highest fence that was seen. Whoever keeps it makes it durable before an act under a higher one is carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gate {
    highest: Fence,
    /// Acts that were refused: for operators.
    pub refused: u64,
}

impl Gate {
    /// As it lay on disk.
    pub fn at(highest: Fence) -> Self {
        Gate { highest, refused: 0 }
    }

    /// Whether an act under this fence may go on. `Err` has the highest that was seen.
    pub fn pass(&mut self, fence: Fence) -> Result<(), Fence> {
        if fence < self.highest {
            self.refused += 1;
            return Err(self.highest);
        }
        self.highest = fence;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
