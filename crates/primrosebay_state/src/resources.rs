//! Amounts of cores, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of resources, such as the capacity of a worker or the request of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cores_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Zero in every dimension.
    pub const ZERO: Self = Self {
        cores_milli: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Returns whether `self` fits into `free` in every dimension.
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.cores_milli <= free.cores_milli
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// Adds `other` in each dimension, saturating at `u64::MAX`.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other` in each dimension, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies every dimension by `count`, saturating at `u64::MAX`.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Divides every dimension by `parts`, rounding down; 0 counts as 1.
    #[must_use]
    pub fn divided(&self, parts: u64) -> Self {
        let parts = parts.max(1);
        Self {
            cores_milli: self.cores_milli / parts,
            memory_mib: self.memory_mib / parts,
            accelerators: self.accelerators / parts,
        }
    }

    /// Returns the smaller amount in each dimension.
    #[must_use]
    pub fn minimum(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.min(other.cores_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the larger amount in each dimension.
    #[must_use]
    pub fn maximum(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.max(other.cores_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns whether every dimension is zero.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Returns the largest share of `total` that `self` takes in any dimension: 0.0 to 1.0 for
    /// amounts within the total. A dimension with a total of zero counts as 0.0.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "the precision of 52 bits suffices for a share"
    )]
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |used: u64, total: u64| {
            if total == 0 {
                0.0
            } else {
                used as f64 / total as f64
            }
        };
        share(self.cores_milli, total.cores_milli)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }
}
