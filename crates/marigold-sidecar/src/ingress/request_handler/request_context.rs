//! What the attempts of a request have in common.

use std::cell::OnceCell;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{CallKind, Precedence, RetryRequest, RoutePolicy, RouteTable, Workspace};
use marigold_request::quarantine::Fingerprint;
use marigold_types::ServiceName;
use tokio::time::Instant;

use crate::http1::Request;
use crate::link::{Call, CallId};

/// Routing decision and deadlines of a request, shared by its attempts.
pub(super) struct RequestContext<'a> {
    pub table: &'a RouteTable,
    pub route: &'a RoutePolicy,
    pub service: &'a ServiceName,
    /// Workspace of the caller, or `None` if the route is open or the configuration has no workspaces.
    pub workspace: Option<&'a Workspace>,
    /// Service of the instance at which the request entered the mesh.
    pub origin: &'a ServiceName,
    pub id: Arc<str>,
    pub began: Instant,
    pub objective: Duration,
    pub deadline: Instant,
    /// The mean run time of its kind when it arrived.
    pub expected_run: Duration,
    /// How often the caller has come back after a refusal.
    pub returns: u8,
    /// Computed only if there are records of crashes.
    pub fingerprint: OnceCell<Fingerprint>,
}

impl RequestContext<'_> {
    /// Returns the same fingerprint as [`Call::fingerprint`].
    pub fn fingerprint(&self, request: &Request) -> &Fingerprint {
        self.fingerprint.get_or_init(|| {
            Fingerprint::with_caller(
                self.service,
                self.origin,
                &request.method,
                &request.target,
                &request.body.prefix(Fingerprint::BODY_BYTES),
            )
        })
    }

    /// Returns the precedence of the caller's workspace.
    pub fn precedence(&self) -> Precedence {
        self.workspace
            .map(|workspace| workspace.precedence)
            .unwrap_or_default()
    }

    /// Returns what the wait for a slot depends on.
    pub fn wait_class(&self) -> (&CallKind, Precedence) {
        (&self.route.kind, self.precedence())
    }

    /// Returns what the budget is asked for when the request is retried.
    pub fn retry_request(&self) -> RetryRequest {
        RetryRequest {
            rank: self.route.rank,
            returns: self.returns,
        }
    }

    /// Builds a call that has the time that is left now.
    pub fn call(&self, request: &Request) -> Call {
        let now = Instant::now();
        let passed = now.saturating_duration_since(self.began);
        Call {
            id: CallId::default(),
            floor: CallId::default(),
            version: self.table.version(),
            service: self.service.clone(),
            origin: self.origin.clone(),
            kind: self.route.kind.clone(),
            workspace: self.workspace.map(|workspace| workspace.name.clone()),
            precedence: self.precedence(),
            rank: self.route.rank,
            idempotent: self.route.idempotent,
            objective: self.objective.saturating_sub(passed),
            timeout: self.deadline.saturating_duration_since(now),
            request_id: self.id.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            fields: request.fields.clone(),
            body: request.body.clone(),
        }
    }
}
