//! Which path leads where.

use std::net::SocketAddr;
use std::sync::Arc;

use marigold_api::{Problem, ProblemKind};
use rouille::{Request, Response};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::access::{check_host, read_body, verify};
use super::announcements::Announcements;
use super::gate::Peers;
use super::operators;
use super::parts::AdminParts;
use super::reply::{Reply, bad_request, json, problem};
use crate::BackendServer;

/// How many requests may use the log at once; probes and metrics are never kept waiting by them.
const LOG_REQUESTS: usize = 8;
const PLANS: &str = "/v1/plans/";

/// Answers requests.
pub struct Routes {
    parts: AdminParts,
    announcements: Arc<Announcements>,
    peers: Peers,
    permits: Semaphore,
}

impl Routes {
    /// Builds the routes.
    pub fn new(parts: AdminParts, announcements: Arc<Announcements>, peers: Peers) -> Self {
        Self {
            parts,
            announcements,
            peers,
            permits: Semaphore::new(LOG_REQUESTS),
        }
    }

    /// Answers one request.
    pub fn handle(&self, request: &Request) -> Response {
        let response = self.route(request).unwrap_or_else(|found| problem(&found));
        metrics::counter!(
            "marigold_admin_requests_total",
            "daemon" => self.parts.shared.settings.daemon.address.to_string(),
            "status" => response.status_code.to_string(),
        )
        .increment(1);
        response
    }

    fn route(&self, request: &Request) -> Reply {
        let parts = &self.parts;
        let peer = self.find_peer(request)?;
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/healthz") => Ok(Response::text("ok\n")),
            ("GET", "/readyz") => Ok(self.ready()),
            ("GET", "/metrics") => Ok(Response::text(parts.metrics.render())),
            ("POST", "/v1/announce") => self.announce(request, peer),
            ("DELETE", "/v1/announce") => self.withdraw(peer),
            ("GET", "/v1/status") => verify(parts, request).map(|_| operators::status(parts)),
            ("GET", "/v1/burn") => verify(parts, request).map(|_| operators::burn(parts)),
            ("POST", "/v1/drain") => operators::drain(parts, &verify(parts, request)?),
            _ => self.route_log(request, &path),
        }
    }

    /// Answers requests that use the log, a few at a time.
    fn route_log(&self, request: &Request, path: &str) -> Reply {
        let parts = &self.parts;
        let known = match (request.method(), path) {
            ("GET", "/v1/config" | "/v1/history") | ("POST", "/v1/plans" | "/v1/confirmations") => {
                true
            }
            (method, path) => method == "GET" && path.starts_with(PLANS),
        };
        if !known {
            let text = format!("no such thing: {} {path}", request.method());
            return Err(Problem::new(ProblemKind::NotFound, text));
        }
        let signed = verify(parts, request)?;
        let _permit = self.permits.try_acquire().map_err(|_| {
            let text = "too many operators' requests at once; run it again in a moment";
            Problem::new(ProblemKind::Busy, text)
        })?;
        match path {
            "/v1/config" => Ok(operators::config(parts)),
            "/v1/history" => operators::history(parts),
            "/v1/plans" => operators::store_plan(parts, &signed),
            "/v1/confirmations" => operators::confirm(parts, &signed),
            plan => operators::show_plan(parts, plan.strip_prefix(PLANS).unwrap_or_default()),
        }
    }

    fn ready(&self) -> Response {
        let view = self.parts.shared.view.load();
        let draining = *self.parts.shared.draining.borrow();
        let (status, text) = match (view.serving, draining) {
            (_, true) => (503, "leaving\n"),
            (false, _) => (
                503,
                "not serving yet: the configuration is not known to be current\n",
            ),
            _ => (200, "ready\n"),
        };
        Response::text(text).with_status_code(status)
    }

    /// Finds whom the request is from; what did not come by the gate is not bounded by it.
    fn find_peer(&self, request: &Request) -> Result<SocketAddr, Problem> {
        let peer = self.peers.find(*request.remote_addr());
        peer.ok_or_else(|| bad_request("use the address of the settings, [admin] listen"))
    }

    fn announce(&self, request: &Request, peer: SocketAddr) -> Reply {
        check_host(&self.parts, peer)?;
        let body = read_body(request)?;
        let server: BackendServer = serde_json::from_slice(&body)
            .map_err(|error| bad_request(format!("the announcement: {error}")))?;
        let _context = self.parts.runtime.enter();
        let answer = self.announcements.announce(server, Instant::now());
        let status = if answer.accepted { 200 } else { 409 };
        Ok(json(status, &answer))
    }

    fn withdraw(&self, peer: SocketAddr) -> Reply {
        check_host(&self.parts, peer)?;
        self.announcements.withdraw();
        Ok(Response::empty_204())
    }
}
