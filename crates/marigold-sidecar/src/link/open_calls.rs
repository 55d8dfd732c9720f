//! Open calls at the ingress's end of a session.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::{CallId, CallResult};

#[derive(Debug)]
struct OpenEntry {
    /// Whether any part of the call was written to a connection, so that the executor may have received it.
    sent: bool,
    result: oneshot::Sender<CallResult>,
}

/// The open calls of a session, each with the sender of its result.
#[derive(Debug, Default)]
pub struct OpenCalls {
    calls: BTreeMap<CallId, OpenEntry>,
    last_id: u64,
}

impl OpenCalls {
    /// Registers a call that has not been sent yet.
    pub fn open(&mut self) -> (CallId, oneshot::Receiver<CallResult>) {
        self.last_id += 1;
        let id = CallId(self.last_id);
        let (result, receiver) = oneshot::channel();
        let open = OpenEntry {
            sent: false,
            result,
        };
        self.calls.insert(id, open);
        (id, receiver)
    }

    /// Returns the lowest id of an open call, or the next id if none is open.
    pub fn floor(&self) -> CallId {
        let first = self.calls.first_key_value().map(|(id, _)| *id);
        first.unwrap_or(CallId(self.last_id + 1))
    }

    /// Returns whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether the call is open.
    pub fn is_open(&self, id: CallId) -> bool {
        self.calls.contains_key(&id)
    }

    /// Returns whether any open call may have been received by the executor.
    pub fn has_sent(&self) -> bool {
        self.calls.values().any(|open| open.sent)
    }

    /// Marks a call as sent; returns `false` if it is no longer open.
    pub fn mark_sent(&mut self, id: CallId) -> bool {
        self.calls
            .get_mut(&id)
            .map(|open| open.sent = true)
            .is_some()
    }

    /// Returns the open calls that the executor may have received.
    pub fn sent_ids(&self) -> Vec<CallId> {
        let sent = self.calls.iter().filter(|(_, open)| open.sent);
        sent.map(|(id, _)| *id).collect()
    }

    /// Removes a call whose result is no longer needed; returns whether the executor may have received it.
    pub fn abandon(&mut self, id: CallId) -> bool {
        self.calls.remove(&id).is_some_and(|open| open.sent)
    }

    /// Resolves a call, if it is open.
    pub fn resolve(&mut self, id: CallId, result: CallResult) {
        if let Some(open) = self.calls.remove(&id) {
            // The receiver may just have been dropped.
            open.result.send(result).ok();
        }
    }

    /// Resolves all calls for which `result_for` returns a result. Its argument is whether the executor may have
    /// received the call.
    pub fn resolve_all(&mut self, result_for: impl Fn(bool) -> Option<CallResult>) {
        let ids: Vec<_> = self
            .calls
            .iter()
            .map(|(id, open)| (*id, open.sent))
            .collect();
        for (id, sent) in ids {
            if let Some(result) = result_for(sent) {
                self.resolve(id, result);
            }
        }
    }
}
