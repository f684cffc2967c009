//! Pages and filters of lists.

use primrosebay_protocol::api::{Failure, ListPage};
use primrosebay_protocol::code::Code;
use serde::Serialize;
use serde_json::Value;

use super::ApiRequest;
use super::input::Query;

/// What a list request asks for.
#[derive(Debug)]
pub(crate) struct Listing {
    limit: usize,
    after: String,
    prefix: String,
    /// JSON pointers with the text that they must have.
    filters: Vec<(String, String)>,
    from: u64,
}

impl Listing {
    /// Reads the query. `filters` are the parameters that select items, each with the JSON pointer
    /// of the field.
    ///
    /// # Errors
    /// Returns the failure to answer with.
    pub(crate) fn new(request: &ApiRequest, filters: &[(&str, &str)]) -> Result<Self, Failure> {
        let shared = request.state();
        let most = shared.setup.limits.page_items;
        let mut query = Query::new(request);
        let limit = query.number("limit", 1, most).unwrap_or(most);
        let mut text = |name| query.take(name).unwrap_or_default();
        let (after, prefix) = (text("after"), text("prefix"));
        let filters = filters
            .iter()
            .filter_map(|(name, pointer)| Some(((*pointer).to_owned(), query.take(name)?)))
            .collect();
        query.finish()?;
        Ok(Self {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            after,
            prefix,
            filters,
            from: shared.config().next,
        })
    }

    /// Returns the page of `items`, which are sorted by what `name` returns.
    ///
    /// # Errors
    /// Returns a failure if an item has no JSON form.
    pub(crate) fn page<T: Serialize>(
        &self,
        items: impl IntoIterator<Item = T>,
        name: impl Fn(&T) -> String,
    ) -> Result<ListPage<Value>, Failure> {
        let mut page = ListPage {
            items: Vec::new(),
            next: None,
            from: self.from,
        };
        let mut last = String::new();
        for item in items {
            let name = name(&item);
            if name <= self.after && !self.after.is_empty() || !name.starts_with(&self.prefix) {
                continue;
            }
            let value = serde_json::to_value(&item).map_err(|_| Failure::new(Code::INTERNAL))?;
            if !self.selects(&value) {
                continue;
            }
            if page.items.len() == self.limit {
                page.next = Some(last);
                break;
            }
            page.items.push(value);
            last = name;
        }
        Ok(page)
    }

    fn selects(&self, value: &Value) -> bool {
        self.filters.iter().all(|(pointer, text)| {
            value.pointer(pointer).is_some_and(|found| match found {
                Value::String(found) => found == text,
                other => serde_json::from_str::<Value>(text).is_ok_and(|text| text == *other),
            })
        })
    }
}
