//! The calls of a session that have not ended.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::{CallId, CallResult};

#[derive(Debug)]
struct Open {
    /// Whether it was written to a connection, so that it may have arrived.
    sent: bool,
    ending: oneshot::Sender<CallResult>,
}

/// Finds whoever waits for the end of a call.
#[derive(Debug, Default)]
pub struct Pending {
    calls: BTreeMap<CallId, Open>,
    next: u64,
}

impl Pending {
    /// Opens a call that waits to be written.
    pub fn open(&mut self) -> (CallId, oneshot::Receiver<CallResult>) {
        self.next += 1;
        let id = CallId(self.next);
        let (ending, receiver) = oneshot::channel();
        let open = Open {
            sent: false,
            ending,
        };
        self.calls.insert(id, open);
        (id, receiver)
    }

    /// Returns the first open call, below which all have ended.
    pub fn floor(&self) -> CallId {
        let first = self.calls.first_key_value().map(|(id, _)| *id);
        first.unwrap_or(CallId(self.next + 1))
    }

    /// Returns whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether any call was sent and waits.
    pub fn has_sent(&self) -> bool {
        self.calls.values().any(|open| open.sent)
    }

    /// Notes that a call is written; false if nobody waits for it any more.
    pub fn sent(&mut self, id: CallId) -> bool {
        self.calls
            .get_mut(&id)
            .map(|open| open.sent = true)
            .is_some()
    }

    /// Returns the calls that may have arrived.
    pub fn sent_ids(&self) -> Vec<CallId> {
        let sent = self.calls.iter().filter(|(_, open)| open.sent);
        sent.map(|(id, _)| *id).collect()
    }

    /// Forgets a call that nobody waits for; returns whether it may have arrived.
    pub fn abandon(&mut self, id: CallId) -> bool {
        self.calls.remove(&id).is_some_and(|open| open.sent)
    }

    /// Ends a call.
    pub fn end(&mut self, id: CallId, ending: CallResult) {
        if let Some(open) = self.calls.remove(&id) {
            // The one who waited may just have left.
            open.ending.send(ending).ok();
        }
    }

    /// Ends all calls for which `ending`, given whether they may have arrived, has an end.
    pub fn end_all(&mut self, ending: impl Fn(bool) -> Option<CallResult>) {
        let ids: Vec<_> = self
            .calls
            .iter()
            .map(|(id, open)| (*id, open.sent))
            .collect();
        for (id, sent) in ids {
            if let Some(ending) = ending(sent) {
                self.end(id, ending);
            }
        }
    }
}
