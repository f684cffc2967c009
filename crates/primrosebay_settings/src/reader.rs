//! Typed access to options, which also collects their documentation.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::Arc;

use serde_norway::Value;

use crate::options::Options;
use crate::problem::Problem;

/// Longest name, in bytes; the same as for the names of teams and zones.
const MAX_NAME: usize = 63;

/// The documentation of one option.
#[derive(Debug, Clone)]
pub struct Field {
    /// The path, such as `limits.body_bytes`.
    pub path: &'static str,
    /// The values that are allowed.
    pub expected: String,
    /// The default; `None` if the option must be set.
    pub default: Option<String>,
    /// The meaning of the option.
    pub doc: &'static str,
}

/// Reads options, and collects their problems and documentation.
#[derive(Debug)]
pub struct Reader<'a> {
    options: &'a Options,
    pub(crate) problems: Vec<Problem>,
    pub(crate) fields: Vec<Field>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(options: &'a Options) -> Self {
        Self {
            options,
            problems: Vec::new(),
            fields: Vec::new(),
        }
    }

    /// Reads a number; returns the default if the option is missing or invalid.
    pub(crate) fn number(
        &mut self,
        path: &'static str,
        default: u64,
        range: &RangeInclusive<u64>,
        doc: &'static str,
    ) -> u64 {
        let expected = format!("{} to {}", range.start(), range.end());
        let parse = |value: &Value| value.as_u64().filter(|number| range.contains(number));
        let default_text = Some(default.to_string());
        self.read(path, expected, default_text, doc, parse)
            .unwrap_or(default)
    }

    /// Reads a required name; returns an empty name if the option is missing or invalid.
    pub(crate) fn name(&mut self, path: &'static str, doc: &'static str) -> Arc<str> {
        let expected = format!("1 to {MAX_NAME} of a-z, 0-9 and inner hyphens");
        let parse = |value: &Value| value.as_str().filter(|text| is_name(text)).map(Arc::from);
        let name = self.read(path, expected, None, doc, parse);
        name.unwrap_or_else(|| Arc::from(""))
    }

    /// Reads an address, which is required if `default` is `None`.
    pub(crate) fn address(
        &mut self,
        path: &'static str,
        default: Option<SocketAddr>,
        doc: &'static str,
    ) -> Option<SocketAddr> {
        let expected = "an IP address and port, such as 10.0.0.1:8080 or [::1]:8080".to_owned();
        let parse = |value: &Value| value.as_str().and_then(|text| text.parse().ok());
        let default_text = default.map(|address| address.to_string());
        self.read(path, expected, default_text, doc, parse)
            .or(default)
    }

    /// Reads the path of a file, without opening the file.
    pub(crate) fn file(&mut self, path: &'static str, doc: &'static str) -> Option<PathBuf> {
        let parse = |value: &Value| {
            let text = value.as_str().filter(|text| !text.is_empty());
            text.map(PathBuf::from)
        };
        let default_text = Some("none".to_owned());
        self.read(
            path,
            "the path of a PEM file".to_owned(),
            default_text,
            doc,
            parse,
        )
    }

    /// Reads a list of SHA-256 hashes; empty if the option is missing or invalid.
    pub(crate) fn hashes(&mut self, path: &'static str, doc: &'static str) -> Vec<Arc<str>> {
        let expected = "a list of 64 lower-case hexadecimal digits each".to_owned();
        let parse = |value: &Value| {
            let hash = |item: &Value| item.as_str().filter(|text| is_hash(text)).map(Arc::from);
            value.as_sequence()?.iter().map(hash).collect()
        };
        let default_text = Some("[]".to_owned());
        self.read(path, expected, default_text, doc, parse)
            .unwrap_or_default()
    }

    /// Adds a problem with the option at `path`.
    pub(crate) fn add_problem(&mut self, path: &str, expected: impl Into<String>) {
        self.problems.push(Problem::new(path, expected));
    }

    /// Adds a problem for each option that was given but not read.
    pub(crate) fn reject_unknown(&mut self) {
        for path in self.options.paths() {
            if self.fields.iter().all(|field| field.path != path) {
                self.problems.push(Problem::new(
                    path,
                    "an option of docs/settings.md; this one is unknown",
                ));
            }
        }
    }

    /// Reads and documents one option. Adds a problem if the option is invalid, or missing without
    /// a default.
    fn read<T>(
        &mut self,
        path: &'static str,
        expected: String,
        default: Option<String>,
        doc: &'static str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let raw = self.options.get(path);
        let value = raw.and_then(parse);
        if value.is_none() && (raw.is_some() || default.is_none()) {
            self.problems.push(Problem::new(path, &expected));
        }
        self.fields.push(Field {
            path,
            expected,
            default,
            doc,
        });
        value
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME).contains(&name.len())
        && !name.starts_with('-')
        && !name.ends_with('-')
        && name.bytes().all(allowed)
}

fn is_hash(text: &str) -> bool {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == 64 && text.bytes().all(digit)
}
