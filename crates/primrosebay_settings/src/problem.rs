//! Errors for invalid options.

use std::fmt;

/// An option that is invalid, unknown or missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The path of the option, such as `limits.body_bytes`; empty for the whole document.
    pub path: String,
    /// The values that are allowed.
    pub expected: String,
}

impl Problem {
    /// Creates a problem with the option at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// The error for invalid options; lists every problem.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    /// The problems, sorted by path.
    pub problems: Vec<Problem>,
}

impl SettingsError {
    pub(crate) fn single(problem: Problem) -> Self {
        Self {
            problems: vec![problem],
        }
    }

    /// Returns an error that lists `problems`, sorted by path, if there are any.
    pub(crate) fn ensure_none(mut problems: Vec<Problem>) -> Result<(), Self> {
        if problems.is_empty() {
            return Ok(());
        }
        problems.sort_by(|a, b| a.path.cmp(&b.path));
        Err(Self { problems })
    }
}

impl fmt::Display for SettingsError {
    /// Writes the number of problems and one line for each problem.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} invalid options", self.problems.len())?;
        for problem in &self.problems {
            let path = if problem.path.is_empty() {
                "document"
            } else {
                &problem.path
            };
            write!(f, "\n  {path}: expected {}", problem.expected)?;
        }
        Ok(())
    }
}
