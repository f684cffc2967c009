//! One function for each figure.

mod deadlines;
mod decisions;
mod packing;
mod share;
mod urgent;

pub use deadlines::{Night, deadlines};
pub use decisions::{Churn, decision_rate, growth, latency};
pub use packing::packing;
pub use share::share;
pub use urgent::urgent;

use crate::cell::{thistlewood, tugtog};
use crate::figure::Figure;

/// Measures every figure.
#[must_use]
pub fn all() -> Vec<Figure> {
    let mut figures = vec![decision_rate(), latency()];
    figures.extend(growth());
    for cell in [thistlewood(), tugtog()] {
        figures.push(packing(&cell));
    }
    for due in [false, true] {
        for cell in [thistlewood(), tugtog()] {
            figures.push(share(&cell, due));
        }
    }
    for cell in [thistlewood(), tugtog()] {
        figures.push(urgent(&cell));
    }
    for night in [Night::Overnight, Night::Tight] {
        for cell in [thistlewood(), tugtog()] {
            figures.push(deadlines(&cell, night));
        }
    }
    figures
}
