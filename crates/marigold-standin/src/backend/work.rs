//! One request while it holds a slot.

use std::sync::Arc;

use super::BackendState;

/// Holds a slot until dropped; dropped before its end, it counts as cancelled.
pub struct Work {
    state: Arc<BackendState>,
    ended: bool,
}

impl Work {
    /// Takes a slot when one is free.
    pub fn start(state: &Arc<BackendState>) -> Option<Self> {
        state.take_slot().then(|| Self {
            state: state.clone(),
            ended: false,
        })
    }

    /// Ends the work as it should.
    pub fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.state.free_slot();
        if !self.ended {
            self.state.count_cancelled();
        }
    }
}
