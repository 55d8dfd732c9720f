//! Whether a request may run for its caller, before it is routed and before each attempt.

use std::sync::Arc;

use marigold_dispatch::{Progress, RoutePolicy, RouteTable, Workspace};
use tokio::time::Instant;

use super::Ingress;
use super::conclusion::{conclude, conclude_refused};
use super::request_context::RequestContext;
use crate::http1::{Request, Response};
use crate::ingress::RequestOutcome;
use crate::ingress::caller_check::{CallerRefusal, check_again, check_caller, needs_key};

impl Ingress {
    /// Returns whether keys of callers have a meaning, as they may before the first configuration.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        let table = self.table.borrow();
        table
            .as_ref()
            .is_none_or(|table| table.workspaces().is_some())
    }

    /// Returns the workspace of the caller, or `None` if the request needs no key.
    pub(super) fn identify_caller<'a>(
        &self,
        request: &Request,
        table: &'a RouteTable,
        route: &RoutePolicy,
    ) -> Result<Option<&'a Arc<Workspace>>, CallerRefusal> {
        if needs_key(table, route) {
            self.require_fresh_config()?;
        }
        check_caller(table, route, &request.key).map_err(|refusal| self.reconsider(refusal, table))
    }

    /// Returns the refusal of a key that may just have been added: other daemons already have a newer configuration.
    fn reconsider(&self, refusal: CallerRefusal, table: &RouteTable) -> CallerRefusal {
        let is_behind = table.version() < *self.newest_seen_version.borrow();
        match refusal {
            CallerRefusal::UnknownKey { .. } if is_behind => CallerRefusal::Undecided {
                reason: "a newer configuration may hold the key",
            },
            refusal => refusal,
        }
    }

    /// Returns the outcome of a request for which no attempt may be made, although an executor could take it.
    pub(super) fn end_early(
        &self,
        request: &Request,
        context: &RequestContext<'_>,
        progress: &Progress,
        failure: &mut Option<Response>,
    ) -> Option<RequestOutcome> {
        let arrivals = progress.arrivals();
        if arrivals > 0 && !self.may_retry(context, arrivals) {
            return Some(conclude(progress, failure.take()));
        }
        let refusal = self.check_caller_again(request, context).err()?;
        Some(conclude_refused(refusal, progress, failure.take()))
    }

    /// Checks the caller by the newest configuration, if it is newer than the one the request is routed by.
    fn check_caller_again(
        &self,
        request: &Request,
        context: &RequestContext<'_>,
    ) -> Result<(), CallerRefusal> {
        if context.workspace.is_some() {
            self.require_fresh_config()?;
        }
        let newest = self.table.borrow();
        match &*newest {
            Some(newest) if newest.version() != context.table.version() => {
                let address = (&*request.host, &*request.target);
                check_again(newest, address, &request.key, context.workspace)
            }
            _ => Ok(()),
        }
    }

    fn require_fresh_config(&self) -> Result<(), CallerRefusal> {
        if self.freshness.is_outdated(Instant::now()) {
            let reason = "the configuration may be outdated";
            return Err(CallerRefusal::Undecided { reason });
        }
        Ok(())
    }
}
