//! Routes requests to their handlers.

use std::net::SocketAddr;
use std::sync::Arc;

use marigold_api::{Problem, ProblemKind};
use rouille::{Request, Response};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::access::{check_local_host, read_body, verify_operator};
use super::announcements::Announcements;
use super::limiting_proxy::PeerMap;
use super::operators;
use super::parts::AdminParts;
use super::reply::{Reply, bad_request, json, problem};
use crate::BackendServer;

/// How many requests may use the log at once, so that probes and metrics never wait for them.
const MAX_LOG_REQUESTS: usize = 8;
const PLANS_PREFIX: &str = "/v1/plans/";

/// Dispatches the requests of the admin API.
pub struct Routes {
    parts: AdminParts,
    announcements: Arc<Announcements>,
    peers: PeerMap,
    log_permits: Semaphore,
}

impl Routes {
    /// Creates the routes; `peers` maps proxied connections to their peers.
    pub fn new(parts: AdminParts, announcements: Arc<Announcements>, peers: PeerMap) -> Self {
        Self {
            parts,
            announcements,
            peers,
            log_permits: Semaphore::new(MAX_LOG_REQUESTS),
        }
    }

    /// Handles one request and counts it by status code.
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
        let peer = self.peer_address(request)?;
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/healthz") => Ok(Response::text("ok\n")),
            ("GET", "/readyz") => Ok(self.readiness()),
            ("GET", "/metrics") => Ok(Response::text(parts.metrics.render())),
            ("POST", "/v1/announce") => self.announce(request, peer),
            ("DELETE", "/v1/announce") => self.withdraw(peer),
            ("GET", "/v1/status") => {
                verify_operator(parts, request).map(|_| operators::status(parts))
            }
            ("GET", "/v1/burn") => verify_operator(parts, request).map(|_| operators::burn(parts)),
            ("POST", "/v1/drain") => operators::drain(parts, &verify_operator(parts, request)?),
            _ => self.route_log(request, &path),
        }
    }

    /// Handles requests that use the log, at most [`MAX_LOG_REQUESTS`] at a time.
    fn route_log(&self, request: &Request, path: &str) -> Reply {
        let parts = &self.parts;
        let is_known_route = match (request.method(), path) {
            ("GET", "/v1/config" | "/v1/history") | ("POST", "/v1/plans" | "/v1/confirmations") => {
                true
            }
            (method, path) => method == "GET" && path.starts_with(PLANS_PREFIX),
        };
        if !is_known_route {
            let text = format!("unknown method or path: {} {path}", request.method());
            return Err(Problem::new(ProblemKind::NotFound, text));
        }
        let signed = verify_operator(parts, request)?;
        let _permit = self.log_permits.try_acquire().map_err(|_| {
            let text = "too many concurrent requests that use the log; try again in a moment";
            Problem::new(ProblemKind::Busy, text)
        })?;
        match path {
            "/v1/config" => Ok(operators::config(parts)),
            "/v1/history" => operators::history(parts),
            "/v1/plans" => operators::store_plan(parts, &signed),
            "/v1/confirmations" => operators::confirm(parts, &signed),
            plan => {
                operators::show_plan(parts, plan.strip_prefix(PLANS_PREFIX).unwrap_or_default())
            }
        }
    }

    fn readiness(&self) -> Response {
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

    /// Returns the peer that sent the request.
    ///
    /// Connections that bypass the proxy are refused, since its limits don't apply to them.
    fn peer_address(&self, request: &Request) -> Result<SocketAddr, Problem> {
        let peer = self.peers.find(*request.remote_addr());
        peer.ok_or_else(|| bad_request("connect to the address of the setting [admin] listen"))
    }

    fn announce(&self, request: &Request, peer: SocketAddr) -> Reply {
        check_local_host(&self.parts, peer)?;
        let body = read_body(request)?;
        let server: BackendServer = serde_json::from_slice(&body)
            .map_err(|error| bad_request(format!("invalid announcement: {error}")))?;
        let _context = self.parts.runtime.enter();
        let answer = self.announcements.announce(server, Instant::now());
        let status = if answer.accepted { 200 } else { 409 };
        Ok(json(status, &answer))
    }

    fn withdraw(&self, peer: SocketAddr) -> Reply {
        check_local_host(&self.parts, peer)?;
        self.announcements.withdraw();
        Ok(Response::empty_204())
    }
}
