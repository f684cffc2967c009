//! Pagination and filters of list requests.

use std::str::FromStr;

use primrosebay_protocol::api::{Failure, ListPage};
use primrosebay_protocol::code::Code;
use primrosebay_state::job::Problem;
use serde::Serialize;
use serde_json::Value;
use serde_json::value::RawValue;

use super::ApiRequest;
use super::input::Query;

/// Query options of a list request.
#[derive(Debug)]
pub(crate) struct ListOptions {
    /// Most items of the page.
    limit: usize,
    /// Most bytes of the items of the page, unless it has only one.
    bytes: usize,
    /// Name after which the page starts; empty for the first page.
    after: String,
    /// Prefix of the names to list; empty for all.
    prefix: String,
    /// JSON pointers, each with the text that the field must equal.
    filters: Vec<(String, String)>,
    /// Offset of the configuration log from which a watch continues the list.
    from: u64,
}

impl ListOptions {
    /// Parses the query of `request`. `filters` are the names of the parameters that select items,
    /// each with the JSON pointer of the field that it is compared with.
    ///
    /// # Errors
    /// Returns [`Code::INVALID`] with all problems of the query.
    pub(crate) fn new(request: &ApiRequest, filters: &[(&str, &str)]) -> Result<Self, Failure> {
        let shared = request.state();
        let max_items = shared.setup.limits.page_items;
        let mut query = Query::new(request);
        let limit = query.number("limit", 1, max_items).unwrap_or(max_items);
        let mut parameter = |name| query.take(name).unwrap_or_default();
        let (after, prefix) = (parameter("after"), parameter("prefix"));
        let filters = filters
            .iter()
            .filter_map(|(name, pointer)| Some(((*pointer).to_owned(), query.take(name)?)))
            .collect();
        query.finish()?;
        Ok(Self {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            bytes: usize::try_from(shared.setup.limits.page_bytes).unwrap_or(usize::MAX),
            after,
            prefix,
            filters,
            from: shared.config().next,
        })
    }

    /// Removes the name after which the page starts and returns it as an identifier; `None` for the
    /// first page. For items that are not in the order of their names.
    ///
    /// # Errors
    /// Returns [`Code::INVALID`] if it is no identifier of the type.
    pub(crate) fn take_after<T: FromStr>(&mut self) -> Result<Option<T>, Failure> {
        let after = std::mem::take(&mut self.after);
        if after.is_empty() {
            return Ok(None);
        }
        let problem = || Problem::new("query.after", "the value of `next` of a page");
        let id = after.parse().ok();
        id.map(Some)
            .ok_or_else(|| Failure::with_problems(Code::INVALID, vec![problem()]))
    }

    /// Returns the requested page of `items`, which must be sorted by `name`.
    ///
    /// # Errors
    /// Returns [`Code::INTERNAL`] if an item cannot be serialized as JSON.
    pub(crate) fn page<T: Serialize>(
        &self,
        items: impl IntoIterator<Item = T>,
        name: impl Fn(&T) -> String,
    ) -> Result<ListPage<Box<RawValue>>, Failure> {
        let mut page = ListPage {
            items: Vec::new(),
            next: None,
            from: self.from,
        };
        let mut last_name = String::new();
        let mut bytes = 0;
        for item in items {
            let name = name(&item);
            if name <= self.after && !self.after.is_empty() || !name.starts_with(&self.prefix) {
                continue;
            }
            if !self.matches(&item)? {
                continue;
            }
            let value = serde_json::value::to_raw_value(&item).map_err(internal)?;
            bytes += value.get().len();
            let is_full = page.items.len() == self.limit || bytes > self.bytes;
            if is_full && !page.items.is_empty() {
                page.next = Some(last_name);
                break;
            }
            page.items.push(value);
            last_name = name;
        }
        Ok(page)
    }

    /// Returns whether all filters match. A field that is not a string is compared as JSON.
    ///
    /// # Errors
    /// Returns [`Code::INTERNAL`] if the item cannot be serialized as JSON.
    fn matches(&self, item: &impl Serialize) -> Result<bool, Failure> {
        if self.filters.is_empty() {
            return Ok(true);
        }
        let value = serde_json::to_value(item).map_err(internal)?;
        let matches = self.filters.iter().all(|(pointer, expected)| {
            value.pointer(pointer).is_some_and(|actual| match actual {
                Value::String(actual) => actual == expected,
                other => {
                    serde_json::from_str::<Value>(expected).is_ok_and(|expected| expected == *other)
                }
            })
        });
        Ok(matches)
    }
}

fn internal(_: serde_json::Error) -> Failure {
    Failure::new(Code::INTERNAL)
}
