//! Simulated executors.

use std::time::Duration;

use marigold_dispatch::{AdmissionDecision, Permit, SlotRequest, Ticket};
use rand::RngExt;

use super::{
    AttemptResult, DEFAULT_RETRY_AFTER, EXPIRY_INTERVAL, Event, LOCAL_DELAY, REMOTE_DELAY,
    Simulation,
};

impl Simulation {
    /// Handles the arrival of an attempt at its executor.
    pub(super) fn attempt(&mut self, number: usize) {
        self.attempts[number].arrived = Some(self.now);
        let attempt = self.attempts[number];
        let has_left = self.executors[attempt.executor].has_left;
        if has_left || !self.daemons[attempt.executor].is_up {
            return self.answer(number, AttemptResult::Refused(DEFAULT_RETRY_AFTER));
        }
        self.open_attempt(number);
        let request = &self.requests[attempt.request];
        let class = &self.scenario.classes[request.class];
        let executor = &mut self.executors[attempt.executor];
        let elapsed = self.now.saturating_duration_since(request.arrived_at);
        let slot_request = SlotRequest {
            workspace: class.workspace.clone(),
            precedence: class.precedence,
            kind: class.kind.clone(),
            rank: class.rank,
            objective: self.now + request.objective.saturating_sub(elapsed),
            deadline: request.deadline,
        };
        match executor.admission.admit(slot_request, self.now) {
            AdmissionDecision::Run(permit) => self.begin(number, permit),
            AdmissionDecision::Wait(ticket) => {
                executor.waiting.insert(ticket, number);
            }
            AdmissionDecision::Refuse(after) => self.answer(number, AttemptResult::Refused(after)),
        }
        let displaced = self.executors[attempt.executor].admission.take_displaced();
        self.refuse(attempt.executor, displaced);
    }

    /// Starts an attempt that has been given a slot on the backend server.
    pub(super) fn begin(&mut self, number: usize, permit: Permit) {
        let attempt = self.attempts[number];
        let request = &self.requests[attempt.request];
        let class = self.scenario.classes[request.class].clone();
        let deadline = request.deadline;
        if request.progress.arrivals() > 0 {
            self.results.retries += 1;
        }
        let executor = &self.executors[attempt.executor];
        let (reject_ratio, fail_ratio) = (executor.reject_ratio, executor.fail_ratio);
        let mean = class.run.mul_f64(executor.slowness);
        if self.rng.random::<f64>() < reject_ratio {
            self.executors[attempt.executor]
                .admission
                .release(permit, false, self.now);
            self.advance(attempt.executor);
            return self.answer(number, AttemptResult::Rejected);
        }
        self.attempts[number].permit = Some(permit);
        self.attempts[number].began = Some(self.now);
        let run = self.draw_run(mean);
        let ok = self.rng.random::<f64>() >= fail_ratio;
        if let Some((called, share)) = class.calls
            && self.rng.random::<f64>() < share
        {
            // The run continues after its call has ended.
            let at = attempt.executor;
            let until = deadline.min(self.now + self.scenario.classes[called].timeout);
            return self.start(called, at, until, 0, Some(number));
        }
        self.after(
            run,
            Event::RunEnd {
                attempt: number,
                ok,
            },
        );
    }

    /// Continues a run whose call has ended.
    pub(super) fn call_ended(&mut self, attempt: usize, ok: bool) {
        let executor = self.attempts[attempt].executor;
        let class = &self.scenario.classes[self.requests[self.attempts[attempt].request].class];
        let mean = class.run.mul_f64(self.executors[executor].slowness);
        let run = if ok {
            self.draw_run(mean)
        } else {
            Duration::ZERO
        };
        self.after(run, Event::RunEnd { attempt, ok });
    }

    pub(super) fn run_end(&mut self, number: usize, ok: bool) {
        let attempt = &mut self.attempts[number];
        if attempt.is_over {
            return;
        }
        attempt.is_over = true;
        let executor = attempt.executor;
        let ran = attempt.began.map_or(Duration::ZERO, |at| self.now - at);
        let permit = attempt.permit.take();
        let is_late = self.now > self.requests[attempt.request].deadline;
        if let Some(permit) = permit {
            self.executors[executor]
                .admission
                .release(permit, !is_late, self.now);
        }
        self.advance(executor);
        let result = match (is_late, ok) {
            (true, _) => AttemptResult::Lost,
            (false, true) => AttemptResult::Served(ran),
            (false, false) => AttemptResult::Failed,
        };
        self.answer(number, result);
    }

    pub(super) fn advance(&mut self, number: usize) {
        while let Some((ticket, permit)) = self.executors[number].admission.grant(self.now) {
            let attempt = self.executors[number].waiting.remove(&ticket);
            self.begin(attempt.expect("an attempt waits"), permit);
        }
    }

    pub(super) fn answer(&mut self, attempt: usize, result: AttemptResult) {
        self.close_attempt(attempt);
        let executor_data_centre = self.executors[self.attempts[attempt].executor].data_centre;
        let request = &self.requests[self.attempts[attempt].request];
        let ingress_data_centre = self.ingresses[request.ingress].data_centre;
        let delay = if ingress_data_centre == executor_data_centre {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        };
        self.after(delay, Event::Reply { attempt, result });
    }

    /// Refuses attempts that waited at an executor.
    fn refuse(&mut self, executor: usize, tickets: Vec<(Ticket, Duration)>) {
        for (ticket, after) in tickets {
            let attempt = self.executors[executor].waiting.remove(&ticket);
            self.answer(
                attempt.expect("an attempt waits"),
                AttemptResult::Refused(after),
            );
        }
    }

    pub(super) fn remove_all_expired(&mut self) {
        for number in 0..self.executors.len() {
            let expired = self.executors[number].admission.remove_expired(self.now);
            self.refuse(number, expired);
            self.advance(number);
        }
        // Stops after the last possible deadline, when no requests are left.
        let max_timeout = self
            .scenario
            .classes
            .iter()
            .map(|class| class.timeout)
            .max();
        if self.now < self.base + self.scenario.duration + max_timeout.unwrap_or_default() {
            self.after(EXPIRY_INTERVAL, Event::RemoveExpired);
        }
    }

    pub(super) fn leave(&mut self, number: usize) {
        self.executors[number].has_left = true;
        let mut waiting: Vec<_> = self.executors[number].waiting.drain().collect();
        // HashMap order is random, and the simulation must be deterministic.
        waiting.sort_unstable_by_key(|(_, attempt)| *attempt);
        for (ticket, attempt) in waiting {
            self.executors[number].admission.cancel(ticket);
            self.answer(attempt, AttemptResult::Refused(DEFAULT_RETRY_AFTER));
        }
        self.report_to_all(number);
    }
}
