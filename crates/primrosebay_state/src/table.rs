//! A map stored as a sorted vector.

use std::cmp::Ordering;

/// A map that stores its entries in a vector sorted by key.
#[derive(Debug, Clone)]
pub struct Table<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord, V> Table<K, V> {
    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.entries.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value of `key`.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|i| &self.entries[i].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|i| &mut self.entries[i].1)
    }

    /// Sets the value of `key` and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(i) => Some(std::mem::replace(&mut self.entries[i].1, value)),
            Err(i) => {
                self.entries.insert(i, (key, value));
                None
            }
        }
    }

    /// Returns the value of `key`, after inserting `value` if `key` is missing.
    pub fn or_insert(&mut self, key: K, value: V) -> &mut V {
        let i = match self.position(&key) {
            Ok(i) => i,
            Err(i) => {
                self.entries.insert(i, (key, value));
                i
            }
        };
        &mut self.entries[i].1
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|i| self.entries.remove(i).1)
    }

    /// Removes the consecutive entries after those whose keys are `before` the range and up to those
    /// whose keys are `within` or before it. Both must hold for a prefix of the sorted keys.
    pub fn remove_range(&mut self, before: impl Fn(&K) -> bool, within: impl Fn(&K) -> bool) {
        let from = self.entries.partition_point(|(key, _)| before(key));
        let to = self.entries.partition_point(|(key, _)| within(key));
        self.entries.drain(from..to);
    }

    /// Removes the entries for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Returns the entries in ascending order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Returns the entries in ascending order of the keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns the position of `key` among the sorted keys.
    pub fn index_of<Q: Ord + ?Sized>(&self, key: &Q) -> Option<usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok()
    }

    /// Returns the position of `key` among the sorted keys, as [`Self::index_of`] does, with few
    /// comparisons if it is `from` or shortly after it.
    pub fn index_near<Q: Ord + ?Sized>(&self, from: usize, key: &Q) -> Option<usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        let order = |index: usize| self.entries[index].0.borrow().cmp(key);
        let (mut low, mut high) = (0, from);
        let mut distance = 1;
        while high < self.entries.len() {
            match order(high) {
                Ordering::Equal => return Some(high),
                Ordering::Greater => break,
                Ordering::Less => {}
            }
            low = high + 1;
            high = low + distance;
            distance *= 2;
        }
        let between = &self.entries[low..high.min(self.entries.len())];
        let found = between.binary_search_by(|(k, _)| k.borrow().cmp(key));
        found.ok().map(|index| low + index)
    }

    /// Returns the entry at a position among the sorted keys. Insertions and removals change the
    /// positions of later entries.
    #[must_use]
    pub fn at(&self, index: usize) -> Option<(&K, &V)> {
        self.entries.get(index).map(|(key, value)| (key, value))
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
