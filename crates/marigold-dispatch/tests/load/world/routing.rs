//! What happens at ingresses.

use std::net::SocketAddr;

use marigold_dispatch::{AttemptOutcome, PlacementRequest};

use super::{
    Attempt, BODY, End, Event, FAR, MAX_ASKED, MAX_ATTEMPTS, MIN_LEFT_PART, NEAR, REJECTED_RETRY,
    World, address, number_of,
};

impl World {
    /// Sends a request to the next executor, or ends it.
    pub(super) fn walk(&mut self, number: usize) {
        let request = &self.requests[number];
        let class = &self.day.classes[request.class];
        let ingress = &mut self.ingresses[request.ingress];
        let passed = self.now.saturating_duration_since(request.came);
        let tried: Vec<SocketAddr> = request.tried.iter().map(|at| address(*at)).collect();
        let patience = request.deadline.saturating_duration_since(self.now);
        let wanted = PlacementRequest {
            service: &class.service,
            kind: &class.kind,
            rank: class.rank,
            idempotent: class.idempotent,
            objective: request.objective.saturating_sub(passed),
            time_left: patience,
            bytes: BODY as u64,
            tried: &tried,
        };
        let choice = if tried.len() < MAX_ASKED {
            ingress
                .placement
                .choose(&self.directory, &wanted, &mut self.rng, self.now)
        } else {
            None
        };
        let arrivals = request.progress.arrivals();
        let usual = ingress.placement.expected_run(&class.kind);
        let may_go = arrivals == 0
            || (arrivals < MAX_ATTEMPTS
                && patience >= usual.mul_f64(MIN_LEFT_PART)
                && choice.is_some()
                && ingress.spend(&class.service, self.now));
        let Some(choice) = choice.filter(|_| may_go) else {
            let conclusion = request.progress.conclusion();
            return self.conclude(number, conclusion);
        };
        let executor = number_of(choice.address);
        ingress
            .placement
            .executor_mut(choice.address, self.now)
            .call_started(self.now);
        let way = if choice.is_remote { FAR } else { NEAR };
        let class = request.class;
        self.requests[number].tried.push(executor);
        self.played.tallies[class].crossed += u32::from(choice.is_remote);
        self.attempts.push(Attempt {
            request: number,
            executor,
            began: None,
            permit: None,
            is_over: false,
        });
        self.after(way, Event::Attempt(self.attempts.len() - 1));
    }

    pub(super) fn reply(&mut self, number: usize, end: End) {
        let attempt = self.attempts[number];
        let request = &mut self.requests[attempt.request];
        let kind = &self.day.classes[request.class].kind;
        let idempotent = self.day.classes[request.class].idempotent;
        let at = address(attempt.executor);
        let placement = &mut self.ingresses[request.ingress].placement;
        let track = placement.executor_mut(at, self.now);
        track.call_ended();
        track.apply_report(self.executors[attempt.executor].report(), self.now);
        let sign = match end {
            End::Served(_) => AttemptOutcome::Served,
            End::Failed | End::Lost => AttemptOutcome::Failed,
            End::Rejected => AttemptOutcome::Rejected,
            End::Refused(_) => AttemptOutcome::Refused,
        };
        placement.record_outcome(&self.directory, at, sign, self.now);
        match end {
            End::Served(ran) => {
                placement.record_run(at, kind, ran, BODY, self.now);
                self.served(attempt.request);
            }
            End::Failed if idempotent => {
                request.progress.may_have_run();
                self.walk(attempt.request);
            }
            End::Failed | End::Lost => self.failed(attempt.request),
            End::Rejected => {
                request.progress.rejected(REJECTED_RETRY);
                self.walk(attempt.request);
            }
            End::Refused(after) => {
                request.progress.refused(after);
                self.walk(attempt.request);
            }
        }
    }
}
