//! State that the requests of one ingress share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigold_control::{Endpoint, View};
use marigold_request::Refusal;
use marigold_request::at_most_once::KeyMint;
use marigold_request::balance::TwoChoices;
use marigold_request::burn::{BurnCounters, BurnReport, CallEnd};
use marigold_request::limits::Limiter;
use marigold_request::retry::{Attempt, Decision, RetryPolicy};
use marigold_request::router::{CallReport, Router};
use marigold_types::{Address, CallerName, Class, ServiceName};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::time::Instant;

use crate::Shared;

/// Router, retry policy, limits, counters and keys, each behind a lock that is held for one
/// operation.
pub struct IngressState {
    router: Mutex<Router>,
    retry: Mutex<RetryPolicy>,
    limiter: Mutex<Limiter>,
    burn: Mutex<BurnCounters>,
    mint: Mutex<KeyMint>,
}

impl IngressState {
    /// Creates the state from the settings and the published view.
    #[must_use]
    pub fn new(shared: &Shared) -> Self {
        let settings = &shared.settings;
        let now = Instant::now();
        let rng = ChaCha8Rng::seed_from_u64(rand::random());
        let router = Router::new(
            settings.daemon.data_centre.clone(),
            settings.daemon.region.clone(),
            Box::new(TwoChoices),
            rng,
        );
        let attempts = u8::try_from(settings.request.attempts).unwrap_or(u8::MAX);
        let state = Self {
            router: Mutex::new(router),
            retry: Mutex::new(RetryPolicy::new(settings.request.retry_percent, attempts)),
            limiter: Mutex::new(Limiter::new(shared.local.address, now)),
            burn: Mutex::new(BurnCounters::new(settings.daemon.data_centre.clone(), now)),
            mint: Mutex::new(KeyMint::new(settings.request.key_ttl)),
        };
        state.refresh(&shared.view.load());
        state
    }

    /// Applies the limits and objectives of a published view.
    pub fn refresh(&self, view: &View) {
        let now = Instant::now();
        lock(&self.limiter).refresh(view, now);
        lock(&self.burn).set_config(&view.config, now);
    }

    /// Picks a backend server outside `exclude` and records the start of an attempt at it.
    ///
    /// # Errors
    ///
    /// When no backend server accepts requests.
    pub fn start_attempt(
        &self,
        view: &View,
        service: &ServiceName,
        exclude: &[Address],
    ) -> Result<Endpoint, Refusal> {
        let now = Instant::now();
        let mut router = lock(&self.router);
        let endpoint = router.pick(view, service, exclude, now)?;
        router.started(&endpoint, now);
        Ok(endpoint)
    }

    /// Picks the backend server that executes the request of a new key; records no attempt.
    ///
    /// # Errors
    ///
    /// When no backend server accepts requests.
    pub fn pick_executor(&self, view: &View, service: &ServiceName) -> Result<Endpoint, Refusal> {
        lock(&self.router).pick(view, service, &[], Instant::now())
    }

    /// Records the start of an attempt at the backend server that a key names.
    pub fn record_attempt_start(&self, endpoint: &Endpoint) {
        lock(&self.router).started(endpoint, Instant::now());
    }

    /// Records the end of an attempt, which the router learns from.
    pub fn record_attempt_end(&self, address: Address, report: &CallReport) {
        lock(&self.router).finished(address, report, Instant::now());
    }

    /// Checks a call against the declared rate limits and counts it.
    ///
    /// # Errors
    ///
    /// When a limit is exceeded.
    pub fn check_limits(
        &self,
        service: &ServiceName,
        caller: Option<&CallerName>,
    ) -> Result<(), Refusal> {
        lock(&self.limiter).allow(service, caller, Instant::now())
    }

    /// Records the first attempt of a request for the retry budget.
    ///
    /// `inherited` is the attempt number with which the request arrived.
    pub fn record_first_attempt(&self, inherited: u8) {
        lock(&self.retry).started(inherited);
    }

    /// Decides whether to retry a request.
    pub fn decide_retry(&self, attempt: &Attempt) -> Decision {
        lock(&self.retry).decide(attempt)
    }

    /// Counts the end of a call for the service-level objectives.
    pub fn record_call_end(&self, service: &ServiceName, class: Class, end: &CallEnd) {
        lock(&self.burn).count(service, class, end, Instant::now());
    }

    /// Returns this daemon's part of the report on error budget burn.
    #[must_use]
    pub fn burn_report(&self) -> BurnReport {
        lock(&self.burn).report(Instant::now())
    }

    /// Locks the rate limiter, to exchange shares with other daemons.
    pub fn limiter(&self) -> MutexGuard<'_, Limiter> {
        lock(&self.limiter)
    }

    /// Locks the generator of keys.
    pub fn key_mint(&self) -> MutexGuard<'_, KeyMint> {
        lock(&self.mint)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
