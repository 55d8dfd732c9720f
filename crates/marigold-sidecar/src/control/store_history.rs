//! Histories of the store.

use marigold_log::StoreEra;

/// A history of the store, which may not name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreHistory(pub Option<StoreEra>);
