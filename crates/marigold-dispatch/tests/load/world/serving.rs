//! What happens at executors.

use std::time::Duration;

use marigold_dispatch::{Admission, Permit, SlotRequest};
use rand::RngExt;

use super::{AWAY_RETRY, End, Event, FAR, NEAR, SWEEP, World, address};

impl World {
    /// An attempt reaches its executor.
    pub(super) fn attempt(&mut self, number: usize) {
        let attempt = self.attempts[number];
        let request = &self.requests[attempt.request];
        let class = &self.day.classes[request.class];
        let executor = &mut self.executors[attempt.executor];
        if executor.has_left {
            return self.answer(number, End::Refused(AWAY_RETRY));
        }
        let passed = self.now.saturating_duration_since(request.came);
        let work = SlotRequest {
            kind: class.kind.clone(),
            rank: class.rank,
            objective: self.now + request.objective.saturating_sub(passed),
            deadline: request.deadline,
        };
        match executor.gate.admit(work, self.now) {
            Admission::Run(permit) => self.begin(number, permit),
            Admission::Wait(ticket) => {
                executor.waiting.insert(ticket, number);
            }
            Admission::Refuse(after) => self.answer(number, End::Refused(after)),
        }
    }

    /// An attempt has a slot and reaches the backend server.
    pub(super) fn begin(&mut self, number: usize, permit: Permit) {
        let attempt = self.attempts[number];
        let request = &self.requests[attempt.request];
        let class = self.day.classes[request.class].clone();
        let deadline = request.deadline;
        if request.progress.arrivals() > 0 {
            self.played.repeats += 1;
        }
        let executor = &self.executors[attempt.executor];
        let (sheds, fails) = (executor.sheds, executor.fails);
        let mean = class.run.mul_f64(executor.slowness);
        if self.rng.random::<f64>() < sheds {
            self.executors[attempt.executor]
                .gate
                .release(permit, false, self.now);
            self.advance(attempt.executor);
            return self.answer(number, End::Rejected);
        }
        self.attempts[number].permit = Some(permit);
        self.attempts[number].began = Some(self.now);
        let run = self.draw_run(mean);
        let ok = self.rng.random::<f64>() >= fails;
        if let Some((called, share)) = class.calls
            && self.rng.random::<f64>() < share
        {
            // The run goes on when its call has ended.
            let at = attempt.executor;
            let until = deadline.min(self.now + self.day.classes[called].patience);
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

    /// A call that a run waits for has ended.
    pub(super) fn call_ended(&mut self, attempt: usize, ok: bool) {
        let executor = self.attempts[attempt].executor;
        let class = &self.day.classes[self.requests[self.attempts[attempt].request].class];
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
                .gate
                .release(permit, !is_late, self.now);
        }
        self.advance(executor);
        let end = match (is_late, ok) {
            (true, _) => End::Lost,
            (false, true) => End::Served(ran),
            (false, false) => End::Failed,
        };
        self.answer(number, end);
    }

    pub(super) fn advance(&mut self, number: usize) {
        while let Some((ticket, permit)) = self.executors[number].gate.grant(self.now) {
            let attempt = self.executors[number].waiting.remove(&ticket);
            self.begin(attempt.expect("an attempt waits"), permit);
        }
    }

    pub(super) fn answer(&mut self, attempt: usize, end: End) {
        let there = self.executors[self.attempts[attempt].executor].place;
        let request = &self.requests[self.attempts[attempt].request];
        let here = self.ingresses[request.ingress].place;
        let way = if here == there { NEAR } else { FAR };
        self.after(way, Event::Reply { attempt, end });
    }

    pub(super) fn sweep(&mut self) {
        for number in 0..self.executors.len() {
            for (ticket, after) in self.executors[number].gate.remove_expired(self.now) {
                let attempt = self.executors[number].waiting.remove(&ticket);
                self.answer(attempt.expect("an attempt waits"), End::Refused(after));
            }
            self.advance(number);
        }
        // Callers have stopped, and everybody's patience is over.
        let last = self.day.classes.iter().map(|class| class.patience).max();
        if self.now < self.base + self.day.length + last.unwrap_or_default() {
            self.after(SWEEP, Event::Sweep);
        }
    }

    pub(super) fn leave(&mut self, number: usize) {
        self.executors[number].has_left = true;
        let mut waiting: Vec<_> = self.executors[number].waiting.drain().collect();
        // A map has no order, and the day must be the same each time.
        waiting.sort_unstable_by_key(|(_, attempt)| *attempt);
        for (ticket, attempt) in waiting {
            self.executors[number].gate.cancel(ticket);
            self.answer(attempt, End::Refused(AWAY_RETRY));
        }
        let report = self.executors[number].report();
        for ingress in &mut self.ingresses {
            let track = ingress.placement.executor_mut(address(number), self.now);
            track.apply_report(report.clone(), self.now);
        }
    }
}
