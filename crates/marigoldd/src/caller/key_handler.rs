//! Issues keys for at-most-once requests to callers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use marigold_control::{Endpoint, EndpointState, View};
use marigold_request::at_most_once::KeyMint;
use marigold_request::{Refusal, RefusalReason, WitnessAnswer, WitnessRequest};
use marigold_types::{InstanceId, Interval, ServiceName};
use serde::Serialize;
use tokio::time::Instant;

use super::ingress::Ingress;
use super::ingress_state::IngressState;
use super::response::{self, CallerBody};
use crate::executor::Witnesses;

/// The path at which callers request keys.
pub const KEYS_PATH: &str = "/.marigold/keys";
/// The most keys issued per request.
const MAX_KEYS_PER_REQUEST: usize = 64;
/// How long to wait for a witness to grant a reservation.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(1);
/// The most witnesses that are asked in turn for a reservation.
const MAX_WITNESSES_ASKED: usize = 2;
/// The retry delay for the caller when no witness replies.
const NO_WITNESS_RETRY_DELAY: Interval = Interval::from_millis(500);

/// The JSON response with new keys.
#[derive(Debug, Serialize)]
struct NewKeys<'a> {
    service: &'a ServiceName,
    keys: Vec<Arc<str>>,
    ttl_ms: u64,
}

/// The parsed query of a request for keys.
struct KeyQuery {
    service: ServiceName,
    count: usize,
}

/// Serves [`KEYS_PATH`].
#[derive(Debug, Default)]
pub struct KeyHandler;

impl KeyHandler {
    /// Handles a request for keys.
    pub async fn handle(
        &self,
        ingress: &Ingress,
        view: &View,
        request: &Request<Incoming>,
    ) -> Response<CallerBody> {
        if request.method() != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return response::bad_request(status, "bad-method", "allowed: POST");
        }
        let query = match KeyQuery::read(view, request.uri().query().unwrap_or_default()) {
            Ok(query) => query,
            Err(detail) => {
                let status = StatusCode::BAD_REQUEST;
                return response::bad_request(status, "bad-query", &detail);
            }
        };
        let mut keys = Vec::with_capacity(query.count);
        while keys.len() < query.count {
            match create_key(ingress, view, &query.service).await {
                Ok(key) => keys.push(key),
                Err(refusal) => return response::not_run(None, refusal, ""),
            }
        }
        let ttl = ingress.shared.settings.request.key_ttl.duration();
        let keys = NewKeys {
            service: &query.service,
            keys,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        };
        response::json(StatusCode::OK, &keys)
    }
}

impl KeyQuery {
    /// Parses `service=NAME` or `path=PATH`, and `count=N`.
    fn read(view: &View, query: &str) -> Result<Self, String> {
        const ALLOWED: &str = "allowed: service=NAME or path=PATH, and count=1 to 64";
        let mut service = None;
        let mut count = 1;
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=') {
                Some(("service", name)) => {
                    service = Some(
                        name.parse()
                            .map_err(|error| format!("{error}; {ALLOWED}"))?,
                    );
                }
                Some(("path", path)) => {
                    let found = view.declared_route_for(path);
                    let (_, route) = found.ok_or(format!("no route takes {path}; {ALLOWED}"))?;
                    service = Some(route.service.clone());
                }
                Some(("count", text)) => {
                    let number = text
                        .parse()
                        .ok()
                        .filter(|n| (1..=MAX_KEYS_PER_REQUEST).contains(n));
                    count = number.ok_or(format!("count={text}; {ALLOWED}"))?;
                }
                _ => return Err(format!("{pair}; {ALLOWED}")),
            }
        }
        let service = service.ok_or(format!("no service is given; {ALLOWED}"))?;
        if view.config.service(&service).is_none() {
            return Err(format!("service {service} is not declared"));
        }
        Ok(Self { service, count })
    }
}

/// Creates one key, and requests a reservation from a witness first if none is left.
async fn create_key(
    ingress: &Ingress,
    view: &View,
    service: &ServiceName,
) -> Result<Arc<str>, Refusal> {
    let executor = ingress.state.pick_executor(view, service)?;
    let candidates = witness_candidates(ingress, view, &executor);
    for witness in candidates.into_iter().take(MAX_WITNESSES_ASKED) {
        let needs_reservation = ingress
            .state
            .key_mint()
            .needs_reservation(&witness, Instant::now());
        if let Some(key) = mint_reserved_key(ingress, &executor, witness, service) {
            if needs_reservation {
                spawn_reservation(ingress, witness);
            }
            return Ok(key);
        }
        reserve(&ingress.witnesses, &ingress.state, witness).await;
        if let Some(key) = mint_reserved_key(ingress, &executor, witness, service) {
            return Ok(key);
        }
    }
    Err(Refusal::retryable(
        RefusalReason::NoWitness,
        NO_WITNESS_RETRY_DELAY,
    ))
}

fn mint_reserved_key(
    ingress: &Ingress,
    executor: &Endpoint,
    witness: InstanceId,
    service: &ServiceName,
) -> Option<Arc<str>> {
    ingress.state.key_mint().mint(
        executor.instance,
        witness,
        service,
        &ingress.shared.mesh_key,
        &mut rand::rng(),
        Instant::now(),
    )
}

/// Requests a reservation in the background, so that a later caller does not wait for it.
fn spawn_reservation(ingress: &Ingress, witness: InstanceId) {
    let (witnesses, state) = (ingress.witnesses.clone(), ingress.state.clone());
    tokio::spawn(async move { reserve(&witnesses, &state, witness).await });
}

async fn reserve(witnesses: &Witnesses, state: &IngressState, witness: InstanceId) {
    let request = WitnessRequest::Reserve {
        count: KeyMint::KEYS_PER_RESERVATION,
    };
    let until = Instant::now() + RESERVATION_TIMEOUT;
    let answer = witnesses.ask(witness.address, request, until).await;
    let mut mint = state.key_mint();
    match answer {
        Some(WitnessAnswer::Reserved { uptime }) => {
            mint.record_reservation(witness, uptime, Instant::now());
        }
        _ => mint.forget(&witness),
    }
}

/// Returns the candidate witnesses for `executor` in order of preference: daemons in another data
/// centre of the same region, in any other data centre, in the same data centre, then this
/// daemon, which is the executor itself if there is no other.
///
/// Within each group a hash spreads the ingresses over the witnesses, and keeps each ingress with
/// the same witness so that its reservation can be reused.
fn witness_candidates(ingress: &Ingress, view: &View, executor: &Endpoint) -> Vec<InstanceId> {
    let others = view.endpoints.values().flat_map(|list| list.iter());
    let mut list: Vec<&Endpoint> = others
        .filter(|other| other.state == EndpointState::Ready)
        .filter(|other| other.instance.address != executor.instance.address)
        .collect();
    list.sort_by_cached_key(|other| {
        let near = other.region == executor.region;
        let apart = other.data_centre != executor.data_centre;
        let distance = match (apart, near) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        };
        (distance, witness_rank(ingress, other))
    });
    let mut found: Vec<InstanceId> = list.iter().map(|other| other.instance).collect();
    found.dedup();
    // This daemon is in no list if it has no backend server, but it can be a witness.
    found.push(view.local);
    found
}

fn witness_rank(ingress: &Ingress, other: &Endpoint) -> u64 {
    let mut hasher = DefaultHasher::new();
    ingress.shared.local.hash(&mut hasher);
    other.instance.hash(&mut hasher);
    hasher.finish()
}
