//! Slot of a running request.

use std::sync::Arc;

use super::BackendState;

/// Holds a slot until dropped. If it is dropped without a call of [`SlotGuard::release`], the request
/// counts as cancelled.
pub struct SlotGuard {
    state: Arc<BackendState>,
    completed: bool,
}

impl SlotGuard {
    /// Acquires a slot, or returns `None` if the request must be refused.
    pub fn acquire(state: &Arc<BackendState>) -> Option<Self> {
        state.acquire_slot().then(|| Self {
            state: state.clone(),
            completed: false,
        })
    }

    /// Releases the slot of a request that has completed.
    pub fn release(mut self) {
        self.completed = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.state.release_slot();
        if !self.completed {
            self.state.count_cancelled();
        }
    }
}
