//! Typed access to options, which also records what the documentation says.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::Arc;

use serde_norway::Value;

use crate::options::Options;
use crate::problem::Problem;

/// Longest name, in bytes, as in resources.
const MAX_NAME: usize = 63;

/// The documentation of one option.
#[derive(Debug, Clone)]
pub struct Field {
    /// The path.
    pub path: &'static str,
    /// What is allowed.
    pub expected: String,
    /// The default; nothing if the option must be set.
    pub default: Option<String>,
    /// What the option does.
    pub doc: &'static str,
}

/// Reads options and collects problems.
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

    pub(crate) fn number(
        &mut self,
        path: &'static str,
        default: u64,
        range: &RangeInclusive<u64>,
        doc: &'static str,
    ) -> u64 {
        let expected = format!("{} to {}", range.start(), range.end());
        let parse = |value: &Value| value.as_u64().filter(|number| range.contains(number));
        let shown = Some(default.to_string());
        self.read(path, expected, shown, doc, parse)
            .unwrap_or(default)
    }

    /// Reads a name that must be set.
    pub(crate) fn name(&mut self, path: &'static str, doc: &'static str) -> Arc<str> {
        let expected = format!("1 to {MAX_NAME} of a-z, 0-9 and inner hyphens");
        let parse = |value: &Value| value.as_str().filter(|text| is_name(text)).map(Arc::from);
        let name = self.read(path, expected, None, doc, parse);
        name.unwrap_or_else(|| Arc::from(""))
    }

    /// Reads an address; one without a default must be set.
    pub(crate) fn address(
        &mut self,
        path: &'static str,
        default: Option<SocketAddr>,
        doc: &'static str,
    ) -> Option<SocketAddr> {
        let expected = "an IP address and port, such as 10.0.0.1:8080 or [::1]:8080".to_owned();
        let parse = |value: &Value| value.as_str().and_then(|text| text.parse().ok());
        let shown = default.map(|address| address.to_string());
        self.read(path, expected, shown, doc, parse).or(default)
    }

    /// Reads the path of a file; it is not opened here.
    pub(crate) fn file(&mut self, path: &'static str, doc: &'static str) -> Option<PathBuf> {
        let parse = |value: &Value| {
            let text = value.as_str().filter(|text| !text.is_empty());
            text.map(PathBuf::from)
        };
        let shown = Some("none".to_owned());
        self.read(path, "the path of a PEM file".to_owned(), shown, doc, parse)
    }

    /// Reads SHA-256 hashes.
    pub(crate) fn hashes(&mut self, path: &'static str, doc: &'static str) -> Vec<Arc<str>> {
        let expected = "a list of 64 lower-case hexadecimal digits each".to_owned();
        let parse = |value: &Value| {
            let hash = |item: &Value| item.as_str().filter(|text| is_hash(text)).map(Arc::from);
            value.as_sequence()?.iter().map(hash).collect()
        };
        let shown = Some("[]".to_owned());
        self.read(path, expected, shown, doc, parse)
            .unwrap_or_default()
    }

    pub(crate) fn problem(&mut self, path: &str, expected: impl Into<String>) {
        self.problems.push(Problem::new(path, expected));
    }

    /// Adds a problem for each option that no field was read from.
    pub(crate) fn refuse_unknown(&mut self) {
        for path in self.options.paths() {
            if self.fields.iter().all(|field| field.path != path) {
                self.problems.push(Problem::new(
                    path,
                    "an option of docs/settings.md; this one is unknown",
                ));
            }
        }
    }

    fn read<T>(
        &mut self,
        path: &'static str,
        expected: String,
        default: Option<String>,
        doc: &'static str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let given = self.options.get(path);
        let value = given.and_then(parse);
        if value.is_none() && (given.is_some() || default.is_none()) {
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
    let inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME).contains(&name.len())
        && !name.starts_with('-')
        && !name.ends_with('-')
        && name.bytes().all(inner)
}

fn is_hash(text: &str) -> bool {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == 64 && text.bytes().all(digit)
}
