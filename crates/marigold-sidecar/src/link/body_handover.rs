//! Large bodies of calls from a daemon to its own executor.

use std::cell::RefCell;
use std::collections::HashMap;

use super::{CallId, SessionId};
use crate::Body;

/// Hands large bodies over within the process. Sent over the link of the daemon to itself, they would be held twice.
#[derive(Debug, Default)]
pub struct BodyHandover {
    bodies: RefCell<HashMap<(SessionId, CallId), Body>>,
}

impl BodyHandover {
    /// Keeps the body of a call.
    pub fn put(&self, session: SessionId, id: CallId, body: Body) {
        self.bodies.borrow_mut().insert((session, id), body);
    }

    /// Removes the body of a call, if it is kept.
    pub fn take(&self, session: SessionId, id: CallId) -> Option<Body> {
        self.bodies.borrow_mut().remove(&(session, id))
    }
}
