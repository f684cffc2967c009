//! An ordered set stored in sorted blocks.

/// Maximum number of items in a block. Larger blocks move more memory per change, smaller ones
/// lengthen the outer vector.
const MAX_BLOCK_LEN: usize = 128;

/// An ordered set stored as a vector of sorted vectors, so that a change shifts the items of one
/// block only.
#[derive(Debug, Clone)]
pub(super) struct BlockSet<T> {
    blocks: Vec<Vec<T>>,
}

impl<T> Default for BlockSet<T> {
    fn default() -> Self {
        Self { blocks: Vec::new() }
    }
}

impl<T: Ord + Copy> BlockSet<T> {
    pub(super) fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    pub(super) fn first(&self) -> Option<&T> {
        self.blocks.first().and_then(|block| block.first())
    }

    /// Adds `item` unless an equal item is present.
    pub(super) fn insert(&mut self, item: T) {
        if self.blocks.is_empty() {
            self.blocks.push(vec![item]);
            return;
        }
        // An item greater than all others goes into the last block.
        let index = self.block_index(&item).min(self.blocks.len() - 1);
        let block = &mut self.blocks[index];
        if let Err(pos) = block.binary_search(&item) {
            block.insert(pos, item);
            if block.len() > MAX_BLOCK_LEN {
                let rest = block.split_off(MAX_BLOCK_LEN / 2);
                self.blocks.insert(index + 1, rest);
            }
        }
    }

    /// Removes `item` and returns whether it was present.
    pub(super) fn remove(&mut self, item: &T) -> bool {
        let index = self.block_index(item);
        let Some(block) = self.blocks.get_mut(index) else {
            return false;
        };
        let Ok(pos) = block.binary_search(item) else {
            return false;
        };
        block.remove(pos);
        if block.is_empty() {
            self.blocks.remove(index);
        }
        true
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.blocks.iter().flatten()
    }

    /// Returns the items that are not less than `low`, in order.
    pub(super) fn range_from(&self, low: T) -> impl Iterator<Item = &T> + use<'_, T> {
        let index = self.block_index(&low);
        let skip = self
            .blocks
            .get(index)
            .map_or(0, |block| block.partition_point(|x| *x < low));
        self.blocks[index..].iter().flatten().skip(skip)
    }

    /// Returns the index of the first block whose last item is not less than `item`.
    fn block_index(&self, item: &T) -> usize {
        self.blocks
            .partition_point(|block| block.last().is_some_and(|last| last < item))
    }
}
