//! Hashes of the keys of teams, and an index of the keys by hash.

use std::fmt;
use std::hint::black_box;

use sha2::{Digest, Sha256};

use crate::Name;

/// The SHA-256 hash of a key.
#[derive(Clone, Copy)]
pub struct KeyHash([u8; 32]);

impl fmt::Debug for KeyHash {
    /// Writes the first 8 bytes only, so that no log line contains a whole hash.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:016x}..)", self.prefix())
    }
}

impl KeyHash {
    /// Returns the SHA-256 hash of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses 64 lower-case hexadecimal digits; returns `None` for any other text.
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

    /// Returns the hash as 64 lower-case hexadecimal digits.
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

    /// Compares two hashes in constant time, wherever they differ.
    #[must_use]
    pub fn constant_time_eq(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        // `black_box` keeps the compiler from ending the loop at the first difference.
        pairs.fold(0, |bits, (a, b)| black_box(bits | (a ^ b))) == 0
    }

    /// Returns the first 8 bytes as a number.
    fn prefix(&self) -> u64 {
        self.0[..8]
            .iter()
            .fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }
}

/// Returns the value of one lower-case hexadecimal digit.
fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

/// A key in the index.
#[derive(Debug, Clone)]
struct IndexedKey {
    hash: KeyHash,
    version: u64,
    name: Name,
}

/// An index of keys by hash.
///
/// The binary search uses only the first 8 bytes of a hash, which a caller cannot choose without
/// inverting SHA-256. Whole hashes are compared in constant time.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    entries: Vec<IndexedKey>,
}

impl KeyIndex {
    /// Adds the key `name`, or replaces its version and hash.
    pub fn insert(&mut self, name: &Name, version: u64, hash: KeyHash) {
        self.remove(name);
        let position = (hash.prefix(), version);
        let at = self
            .entries
            .partition_point(|entry| (entry.hash.prefix(), entry.version) < position);
        let name = name.clone();
        self.entries.insert(
            at,
            IndexedKey {
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

    /// Returns the name of the key with `hash`. If several keys have this hash, the one with the
    /// lowest version is returned.
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
