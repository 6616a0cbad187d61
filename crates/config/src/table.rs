//! Collections of items with lookup by name and by id.

use std::sync::Arc;

use primrose_base::name::Name;

/// An element of a [`Table`].
pub trait Item {
    /// Type of the id; its default value means that no id is assigned.
    type Id: Copy + Ord;

    /// The id, unique within a table unless it is the default.
    fn id(&self) -> Self::Id;

    /// The name, unique within a table.
    fn name(&self) -> &Name;
}

/// Items sorted by name, with an index by id.
///
/// Copy-on-write: a clone shares the lists and the items, and the first change to it copies one pointer per item.
#[derive(Debug)]
pub struct Table<T> {
    /// Ascending by name, without duplicates.
    by_name: Arc<Vec<Arc<T>>>,
    /// The same items, ascending by id.
    by_id: Arc<Vec<Arc<T>>>,
}

impl<T> Clone for Table<T> {
    fn clone(&self) -> Table<T> {
        Table {
            by_name: self.by_name.clone(),
            by_id: self.by_id.clone(),
        }
    }
}

impl<T> Default for Table<T> {
    fn default() -> Table<T> {
        Table {
            by_name: Arc::default(),
            by_id: Arc::default(),
        }
    }
}

impl<T: PartialEq> PartialEq for Table<T> {
    fn eq(&self, other: &Table<T>) -> bool {
        self.by_name == other.by_name
    }
}

impl<T: Eq> Eq for Table<T> {}

impl<T: Item> Table<T> {
    /// A table of `items`, in any order. Their names must be distinct.
    pub(crate) fn new(mut items: Vec<Arc<T>>) -> Table<T> {
        items.sort_by(|a, b| a.name().cmp(b.name()));
        let mut by_id = items.clone();
        by_id.sort_by_key(|item| item.id());
        Table {
            by_name: Arc::new(items),
            by_id: Arc::new(by_id),
        }
    }

    /// The items, ascending by name.
    pub fn items(&self) -> &[Arc<T>] {
        &self.by_name
    }

    /// Iterates over the items, ascending by name.
    pub fn iter(&self) -> std::slice::Iter<'_, Arc<T>> {
        self.by_name.iter()
    }

    /// The number of items, of all states.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The item with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<T>> {
        let at = self.position(name).ok()?;
        self.by_name.get(at)
    }

    /// The item with this id. Id 0 means "not assigned"; several items may have it, so don't look it up.
    pub fn by_id(&self, id: T::Id) -> Option<&Arc<T>> {
        let at = self
            .by_id
            .binary_search_by_key(&id, |item| item.id())
            .ok()?;
        self.by_id.get(at)
    }

    /// Adds `item`, or replaces the item with the same name.
    pub(crate) fn put(&mut self, item: T) {
        let item = Arc::new(item);
        match self.position(item.name().as_str()) {
            Ok(at) => {
                let slot = &mut Arc::make_mut(&mut self.by_name)[at];
                let old = std::mem::replace(slot, item.clone());
                self.remove_id(old.id());
            }
            Err(at) => Arc::make_mut(&mut self.by_name).insert(at, item.clone()),
        }
        let at = self.by_id.partition_point(|other| other.id() < item.id());
        Arc::make_mut(&mut self.by_id).insert(at, item);
    }

    /// Removes the item with this name and returns it.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Arc<T>> {
        let at = self.position(name).ok()?;
        let item = Arc::make_mut(&mut self.by_name).remove(at);
        self.remove_id(item.id());
        Some(item)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|item| item.name().as_str().cmp(name))
    }

    fn remove_id(&mut self, id: T::Id) {
        if let Ok(at) = self.by_id.binary_search_by_key(&id, |item| item.id()) {
            Arc::make_mut(&mut self.by_id).remove(at);
        }
    }
}

impl<'a, T: Item> IntoIterator for &'a Table<T> {
    type Item = &'a Arc<T>;
    type IntoIter = std::slice::Iter<'a, Arc<T>>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
