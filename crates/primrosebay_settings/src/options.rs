//! Raw options as written in YAML and in the environment.

use serde_norway::Value;

use crate::problem::{Problem, SettingsError};

/// What names of environment variables start with.
pub const PREFIX: &str = "PRIMROSEBAY_";

/// Variables of the command line's client, which are no options of an instance.
const CLIENT: [&str; 2] = ["SERVER", "KEY"];

/// Options by path, such as `limits.body_bytes`, not yet checked.
///
/// They are kept as values and not as typed fields, so that one pass over all of them finds every
/// error.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Options {
    values: Vec<(String, Value)>,
}

impl Options {
    /// Reads a YAML document; an empty one has no options.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not YAML, or not a mapping with text keys.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: Value = serde_norway::from_str(text).map_err(|error| {
            SettingsError::one(Problem::new("", format!("a YAML document ({error})")))
        })?;
        let mut options = Self::default();
        let mut problems = Vec::new();
        match value {
            Value::Null => {}
            Value::Mapping(_) => options.flatten("", value, &mut problems),
            _ => problems.push(Problem::new("", "a mapping")),
        }
        SettingsError::check(problems)?;
        Ok(options)
    }

    /// Replaces options by those of environment variables: `PRIMROSEBAY_LIMITS__BODY_BYTES` stands
    /// for `limits.body_bytes`. Values are YAML, so that a list is written `[a, b]`.
    #[must_use]
    pub fn with_env(mut self, vars: impl IntoIterator<Item = (String, String)>) -> Self {
        for (name, text) in vars {
            if let Some(rest) = name.strip_prefix(PREFIX)
                && !CLIENT.contains(&rest)
            {
                let path = rest.to_ascii_lowercase().replace("__", ".");
                let value = serde_norway::from_str(&text).unwrap_or(Value::String(text));
                self.set(path, value);
            }
        }
        self
    }

    /// Returns the paths that are set, in ascending order.
    pub fn paths(&self) -> impl Iterator<Item = &str> {
        self.values.iter().map(|(path, _)| path.as_str())
    }

    /// Returns the value at `path`; an empty value counts as not set.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<&Value> {
        let at = self.position(path).ok()?;
        Some(&self.values[at].1).filter(|value| !value.is_null())
    }

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
            .binary_search_by(|(known, _)| known.as_str().cmp(path))
    }
}
