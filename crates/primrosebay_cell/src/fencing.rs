//! Fencing tokens, by which a minion refuses commands that newer ones have superseded.

use serde::{Deserialize, Serialize};

/// Number of low bits of a token that hold the generation. Minions may read tokens as floating-point
/// numbers, which leaves 33 bits for the epoch.
const GENERATION_BITS: u32 = 20;

/// Token of a command. A minion does nothing for a lower token than the highest that it has seen.
///
/// The epoch of the term precedes the generation, so all tokens of a leader are higher than those of
/// its predecessors, whatever generations they have reached. Within a term, the leader raises the
/// generation of a minion that has restarted: the new incarnation has seen no token, and would carry
/// out commands to the former one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Highest generation of a term.
    pub const MAX_GENERATION: u32 = (1 << GENERATION_BITS) - 1;

    /// Returns the token of a generation in the term `epoch`. Generations above
    /// [`Self::MAX_GENERATION`] count as that one.
    #[must_use]
    pub fn new(epoch: u64, generation: u32) -> Self {
        let generation = generation.min(Self::MAX_GENERATION);
        let epoch = epoch.min(u64::MAX >> GENERATION_BITS);
        Self(epoch << GENERATION_BITS | u64::from(generation))
    }

    /// Returns the token as a number.
    #[must_use]
    pub fn value(self) -> u64 {
        self.0
    }
}

/// Generations of the commands to a minion.
#[derive(Debug, Clone, Copy)]
pub struct Generations {
    current: u32,
    /// Generation of the last hold.
    held: u32,
    /// Whether a command of the current generation was sent that must not reach another incarnation.
    is_bound: bool,
}

impl Generations {
    /// Begins with the generation `first`.
    #[must_use]
    pub fn new(first: u32) -> Self {
        Self {
            current: first,
            held: first,
            is_bound: false,
        }
    }

    /// Returns the current generation.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns the generation of the last hold.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Returns whether the last hold was of the current generation.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held == self.current
    }

    /// Returns whether the term has no generation left for the minion.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.current >= FencingToken::MAX_GENERATION
    }

    /// Notes that a hold of the current generation is sent.
    pub fn hold(&mut self) {
        self.held = self.current;
    }

    /// Notes that a command is sent that must not reach another incarnation: a start, or a hold that
    /// renews the lease or acknowledges ends.
    pub fn bind(&mut self) {
        self.is_bound = true;
    }

    /// Begins a new generation if the current one has any command that must not reach another
    /// incarnation. Returns whether it did.
    ///
    /// A new incarnation has seen no token. It has to see a higher one than those of the commands to
    /// the former incarnation, which may still arrive.
    pub fn raise(&mut self) -> bool {
        let raised = std::mem::take(&mut self.is_bound);
        self.current += u32::from(raised);
        raised
    }

    /// Returns a generation above those of all commands that were bound to an incarnation, and not
    /// below that of any command.
    #[must_use]
    pub fn successor(&self) -> u32 {
        self.current + u32::from(self.is_bound)
    }
}
