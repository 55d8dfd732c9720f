//! Simulated ingresses.

use std::net::SocketAddr;

use marigold_dispatch::{AttemptOutcome, PlacementRequest, RetryRequest};

use super::{
    Attempt, AttemptResult, BODY_BYTES, Event, LOCAL_DELAY, MAX_ATTEMPTS, MAX_EXECUTORS,
    MIN_TIME_LEFT_RATIO, REJECTED_RETRY_AFTER, REMOTE_DELAY, Simulation, address, number_of,
};

impl Simulation {
    /// Sends a request to the next executor, or concludes it.
    pub(super) fn send_to_next(&mut self, number: usize) {
        let excluded = self.excluded(number);
        let request = &self.requests[number];
        let class = &self.scenario.classes[request.class];
        let ingress = &mut self.ingresses[request.ingress];
        let elapsed = self.now.saturating_duration_since(request.arrived_at);
        let mut tried: Vec<SocketAddr> = request.tried.iter().map(|at| address(*at)).collect();
        let may_try = tried.len() < MAX_EXECUTORS;
        if tried.is_empty() {
            tried = excluded;
        }
        let timeout = request.deadline.saturating_duration_since(self.now);
        let placement_request = PlacementRequest {
            service: &class.service,
            kind: &class.kind,
            precedence: class.precedence,
            rank: class.rank,
            idempotent: class.idempotent,
            objective: request.objective.saturating_sub(elapsed),
            time_left: timeout,
            bytes: BODY_BYTES as u64,
            tried: &tried,
            versions: marigold_dispatch::VersionFilter::ANY,
        };
        let choice = if may_try {
            ingress
                .placement
                .choose(&self.directory, &placement_request, &mut self.rng, self.now)
        } else {
            None
        };
        let arrivals = request.progress.arrivals();
        let expected_run = ingress.placement.expected_run(&class.kind);
        let retry_request = RetryRequest {
            rank: class.rank,
            returns: request.returns,
        };
        let may_send = arrivals == 0
            || (arrivals < MAX_ATTEMPTS
                && timeout >= expected_run.mul_f64(MIN_TIME_LEFT_RATIO)
                && choice.is_some()
                && ingress.try_spend_retry(&class.service, retry_request, self.now));
        let Some(choice) = choice.filter(|_| may_send) else {
            let conclusion = request.progress.conclusion();
            return self.conclude(number, conclusion);
        };
        let executor = number_of(choice.address);
        ingress
            .placement
            .executor_mut(choice.address, self.now)
            .call_started(self.now);
        let delay = if choice.is_remote {
            REMOTE_DELAY
        } else {
            LOCAL_DELAY
        };
        let class = request.class;
        self.requests[number].tried.push(executor);
        self.results.stats[class].cross_data_centre += u32::from(choice.is_remote);
        self.attempts.push(Attempt {
            request: number,
            executor,
            choice,
            arrived: None,
            began: None,
            permit: None,
            is_over: false,
            open: None,
        });
        self.after(delay, Event::Attempt(self.attempts.len() - 1));
    }

    pub(super) fn reply(&mut self, number: usize, result: AttemptResult) {
        let attempt = self.attempts[number];
        if self.requests[attempt.request].is_over {
            return;
        }
        let request = &mut self.requests[attempt.request];
        let kind = &self.scenario.classes[request.class].kind;
        let idempotent = self.scenario.classes[request.class].idempotent;
        let at = address(attempt.executor);
        let placement = &mut self.ingresses[request.ingress].placement;
        let executor = placement.executor_mut(at, self.now);
        executor.call_ended();
        executor.apply_report(self.executors[attempt.executor].report(), self.now);
        let outcome = match result {
            AttemptResult::Served(_) => AttemptOutcome::Served,
            AttemptResult::Failed | AttemptResult::Lost => AttemptOutcome::Failed,
            AttemptResult::Rejected => AttemptOutcome::Rejected,
            AttemptResult::Refused(_) => AttemptOutcome::Refused,
        };
        placement.record_outcome(&self.directory, at, outcome, self.now);
        if let (Some(arrived), Some(began)) = (attempt.arrived, attempt.began) {
            let class = (kind, self.scenario.classes[request.class].precedence);
            placement.record_wait(&attempt.choice, class, began - arrived);
        }
        match result {
            AttemptResult::Served(ran) => {
                placement.record_run(at, kind, ran, BODY_BYTES, self.now);
                self.served(attempt.request);
            }
            AttemptResult::Failed if idempotent => {
                request.progress.may_have_run();
                self.send_to_next(attempt.request);
            }
            AttemptResult::Failed | AttemptResult::Lost => self.failed(attempt.request),
            AttemptResult::Rejected => {
                request.progress.rejected(REJECTED_RETRY_AFTER);
                self.send_to_next(attempt.request);
            }
            AttemptResult::Refused(after) => {
                request.progress.refused(after);
                self.send_to_next(attempt.request);
            }
        }
    }
}
