//! An ordered set in sorted blocks.

/// Most entries of one block. Larger blocks move more memory for each change, smaller ones make
/// the outer vector longer.
const BLOCK: usize = 128;

/// An ordered set kept as a vector of sorted vectors, so that a change moves one block at most.
#[derive(Debug, Clone)]
pub(super) struct Blocks<T> {
    blocks: Vec<Vec<T>>,
}

impl<T> Default for Blocks<T> {
    fn default() -> Self {
        Self { blocks: Vec::new() }
    }
}

impl<T: Ord + Copy> Blocks<T> {
    pub(super) fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    pub(super) fn first(&self) -> Option<&T> {
        self.blocks.first().and_then(|block| block.first())
    }

    /// Adds `item`; an equal item is kept once.
    pub(super) fn insert(&mut self, item: T) {
        if self.blocks.is_empty() {
            self.blocks.push(vec![item]);
            return;
        }
        // An item after the last one belongs to the last block.
        let at = self.block(&item).min(self.blocks.len() - 1);
        let block = &mut self.blocks[at];
        if let Err(i) = block.binary_search(&item) {
            block.insert(i, item);
            if block.len() > BLOCK {
                let rest = block.split_off(BLOCK / 2);
                self.blocks.insert(at + 1, rest);
            }
        }
    }

    /// Removes `item` and returns whether it was there.
    pub(super) fn remove(&mut self, item: &T) -> bool {
        let at = self.block(item);
        let Some(block) = self.blocks.get_mut(at) else {
            return false;
        };
        let Ok(i) = block.binary_search(item) else {
            return false;
        };
        block.remove(i);
        if block.is_empty() {
            self.blocks.remove(at);
        }
        true
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.blocks.iter().flatten()
    }

    /// Returns the items that are not before `low`, in order.
    pub(super) fn from(&self, low: T) -> impl Iterator<Item = &T> + use<'_, T> {
        let at = self.block(&low);
        let skip = self
            .blocks
            .get(at)
            .map_or(0, |block| block.partition_point(|x| *x < low));
        self.blocks[at..].iter().flatten().skip(skip)
    }

    /// Returns the first block whose last item is not before `item`.
    fn block(&self, item: &T) -> usize {
        self.blocks
            .partition_point(|block| block.last().is_some_and(|last| last < item))
    }
}
