//! Measurements, with one function for each figure or group of figures.

mod deadlines;
mod decisions;
mod packing;
mod share;
mod urgent;

pub use deadlines::{DeadlineProfile, deadlines};
pub use decisions::{Churn, decision_rate, growth, latency};
pub use packing::packing;
pub use share::share;
pub use urgent::urgent;

use crate::cell::{thistlewood, tugtog};
use crate::figure::Figure;

/// Runs all measurements and returns their figures, in a fixed order.
#[must_use]
pub fn all() -> Vec<Figure> {
    let mut figures = decision_rate(1);
    figures.extend(decision_rate(16));
    figures.push(latency());
    figures.extend(growth());
    for cell in [thistlewood(), tugtog()] {
        figures.push(packing(&cell));
    }
    for with_deadlines in [false, true] {
        for cell in [thistlewood(), tugtog()] {
            figures.push(share(&cell, with_deadlines));
        }
    }
    for cell in [thistlewood(), tugtog()] {
        figures.push(urgent(&cell));
    }
    for profile in [DeadlineProfile::Overnight, DeadlineProfile::Tight] {
        for cell in [thistlewood(), tugtog()] {
            figures.push(deadlines(&cell, profile));
        }
    }
    figures
}
