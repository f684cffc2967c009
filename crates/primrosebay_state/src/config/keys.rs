//! Hashes of keys and their index.

use std::fmt;
use std::hint::black_box;

use sha2::{Digest, Sha256};

use crate::Name;

/// SHA-256 of a key.
#[derive(Clone, Copy)]
pub struct KeyHash([u8; 32]);

impl fmt::Debug for KeyHash {
    /// Shows the first bytes only, so that no whole hash gets into a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:016x}..)", self.prefix())
    }
}

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Reads 64 lower-case hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
        }
        Some(Self(bytes))
    }

    /// Returns the hexadecimal digits.
    #[must_use]
    pub fn hex(&self) -> String {
        self.0
            .iter()
            .fold(String::with_capacity(64), |mut text, byte| {
                for digit in [byte >> 4, byte & 15] {
                    text.push(char::from(b"0123456789abcdef"[usize::from(digit)]));
                }
                text
            })
    }

    /// Compares in a time that does not depend on where the hashes differ.
    #[must_use]
    pub fn constant_time_eq(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        // The barrier keeps the compiler from leaving the loop at the first difference.
        pairs.fold(0, |sum, (a, b)| black_box(sum | (a ^ b))) == 0
    }

    fn prefix(&self) -> u64 {
        self.0[..8]
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

/// One key of the index.
#[derive(Debug, Clone)]
struct Entry {
    hash: KeyHash,
    version: u64,
    name: Name,
}

/// Keys by hash.
///
/// The binary search uses the first 8 bytes only, which a caller cannot choose without inverting
/// SHA-256; whole hashes are compared in constant time.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    entries: Vec<Entry>,
}

impl KeyIndex {
    /// Adds the key `name`, or replaces its hash.
    pub fn insert(&mut self, name: &Name, version: u64, hash: KeyHash) {
        self.remove(name);
        let place = (hash.prefix(), version);
        let at = self
            .entries
            .partition_point(|entry| (entry.hash.prefix(), entry.version) < place);
        let name = name.clone();
        self.entries.insert(
            at,
            Entry {
                hash,
                version,
                name,
            },
        );
    }

    /// Removes the key `name`.
    pub fn remove(&mut self, name: &str) {
        self.entries.retain(|entry| &*entry.name != name);
    }

    /// Returns the name of the key with `hash`. If two names have it, the first recorded one wins.
    #[must_use]
    pub fn find(&self, hash: &KeyHash) -> Option<Name> {
        let prefix = hash.prefix();
        let start = self
            .entries
            .partition_point(|entry| entry.hash.prefix() < prefix);
        self.entries[start..]
            .iter()
            .take_while(|entry| entry.hash.prefix() == prefix)
            .find(|entry| entry.hash.constant_time_eq(hash))
            .map(|entry| entry.name.clone())
    }
}
