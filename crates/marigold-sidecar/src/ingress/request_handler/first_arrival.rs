//! When the first attempt of a caller arrived.

use marigold_dispatch::{CallerReturn, RoutePolicy};
use tokio::time::Instant;

use super::Ingress;
use crate::http1::Request;

impl Ingress {
    /// Returns when the first attempt of a caller arrived, or would have if it had come here.
    pub(super) fn first_arrival(
        &self,
        request: &Request,
        route: &RoutePolicy,
        found: Option<CallerReturn>,
        began: Instant,
    ) -> Instant {
        if let Some(found) = found {
            return found.first_at;
        }
        let Some(timeout) = request.caller_timeout else {
            return began;
        };
        let waited = (self.caller_timeouts.borrow_mut()).already_waited(&route.kind, timeout);
        began.checked_sub(waited).unwrap_or(began)
    }
}
