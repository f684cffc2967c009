//! Errors in options.

use std::fmt;

/// One option that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The path of the option, such as `limits.body_bytes`; empty for the whole document.
    pub path: String,
    /// What is expected there.
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

/// All errors of the options.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    /// The errors, by path.
    pub problems: Vec<Problem>,
}

impl SettingsError {
    pub(crate) fn one(problem: Problem) -> Self {
        Self {
            problems: vec![problem],
        }
    }

    /// Returns an error if there are problems.
    pub(crate) fn check(mut problems: Vec<Problem>) -> Result<(), Self> {
        if problems.is_empty() {
            return Ok(());
        }
        problems.sort_by(|a, b| a.path.cmp(&b.path));
        Err(Self { problems })
    }
}

impl fmt::Display for SettingsError {
    /// Writes one line for each error.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} wrong options", self.problems.len())?;
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
