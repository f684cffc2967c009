//! Options from a YAML document and from environment variables, before validation.

use serde_norway::Value;

use crate::problem::{Problem, SettingsError};

/// The prefix of the names of environment variables that set options.
pub const PREFIX: &str = "PRIMROSEBAY_";

/// Variables (without the prefix) that the client commands read. They are not options of an
/// instance.
const CLIENT_VARS: [&str; 2] = ["SERVER", "KEY"];

/// Options by path, such as `limits.body_bytes`, before validation.
///
/// Options are kept as YAML values, not as typed fields, so that one pass can report every error.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Options {
    values: Vec<(String, Value)>,
}

impl Options {
    /// Parses a YAML document; an empty document has no options.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is not YAML, or not a mapping whose keys are all text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: Value = serde_norway::from_str(text).map_err(|error| {
            SettingsError::single(Problem::new("", format!("a YAML document ({error})")))
        })?;
        let mut options = Self::default();
        let mut problems = Vec::new();
        match value {
            Value::Null => {}
            Value::Mapping(_) => options.flatten("", value, &mut problems),
            _ => problems.push(Problem::new("", "a mapping")),
        }
        SettingsError::ensure_none(problems)?;
        Ok(options)
    }

    /// Overrides options with environment variables: `PRIMROSEBAY_LIMITS__BODY_BYTES` sets
    /// `limits.body_bytes`. Values are parsed as YAML, so a list is written `[a, b]`; a value that
    /// is not YAML is taken as text.
    #[must_use]
    pub fn with_env(mut self, vars: impl IntoIterator<Item = (String, String)>) -> Self {
        for (name, text) in vars {
            if let Some(rest) = name.strip_prefix(PREFIX)
                && !CLIENT_VARS.contains(&rest)
            {
                let path = rest.to_ascii_lowercase().replace("__", ".");
                let value = serde_norway::from_str(&text).unwrap_or(Value::String(text));
                self.set(path, value);
            }
        }
        self
    }

    /// Returns the paths of all options that are given, in ascending order.
    pub fn paths(&self) -> impl Iterator<Item = &str> {
        self.values.iter().map(|(path, _)| path.as_str())
    }

    /// Returns the value of the option at `path`; `None` if the option is missing or null.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<&Value> {
        let at = self.position(path).ok()?;
        Some(&self.values[at].1).filter(|value| !value.is_null())
    }

    /// Sets one option for each leaf of `value`. The paths of these options begin with `path`.
    fn flatten(&mut self, path: &str, value: Value, problems: &mut Vec<Problem>) {
        let Value::Mapping(fields) = value else {
            self.set(path.to_owned(), value);
            return;
        };
        for (key, value) in fields {
            match key.as_str() {
                Some(key) if path.is_empty() => self.flatten(key, value, problems),
                Some(key) => self.flatten(&format!("{path}.{key}"), value, problems),
                None => problems.push(Problem::new(path, "text as keys")),
            }
        }
    }

    fn set(&mut self, path: String, value: Value) {
        match self.position(&path) {
            Ok(at) => self.values[at].1 = value,
            Err(at) => self.values.insert(at, (path, value)),
        }
    }

    fn position(&self, path: &str) -> Result<usize, usize> {
        self.values
            .binary_search_by(|(other, _)| other.as_str().cmp(path))
    }
}
