//! Daemons that are stopped and start again beside their backend servers.

use std::time::Duration;

use marigold_dispatch::{NewRun, ShutdownStage};

use super::{DEFAULT_RETRY_AFTER, Event, Simulation, address};

/// The interval at which a daemon checks the stage of its shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time from the exit of a daemon until it has started again and has the configuration.
const RESTART_TIME: Duration = Duration::from_millis(900);

impl Simulation {
    pub(super) fn restart(&mut self, daemon: usize) {
        if self.daemons[daemon].is_up
            && self.daemons[daemon].stage(self.now) == ShutdownStage::Serving
        {
            self.daemons[daemon].stop(self.now);
            self.after(POLL_INTERVAL, Event::PollShutdown(daemon));
        }
    }

    pub(super) fn poll_shutdown(&mut self, daemon: usize) {
        match self.daemons[daemon].stage(self.now) {
            ShutdownStage::Serving | ShutdownStage::Draining => {}
            ShutdownStage::Finishing | ShutdownStage::Refusing => self.close_executor(daemon),
            ShutdownStage::Concluding | ShutdownStage::Ended => {
                self.close_executor(daemon);
                self.cut(daemon);
                self.daemons[daemon].is_up = false;
                self.results.stops += 1;
                self.results.stop_time += self.daemons[daemon].stopping_for(self.now);
                return self.after(RESTART_TIME, Event::Started(daemon));
            }
        }
        self.after(POLL_INTERVAL, Event::PollShutdown(daemon));
    }

    pub(super) fn started(&mut self, daemon: usize) {
        self.daemons[daemon].start();
        self.executors[daemon].has_left = false;
        self.report_to_all(daemon);
    }

    fn close_executor(&mut self, daemon: usize) {
        if !self.executors[daemon].has_left {
            self.daemons[daemon].close_executor(self.now);
            self.leave(daemon);
        }
    }

    /// Ends what is in flight at a daemon whose process ends.
    fn cut(&mut self, daemon: usize) {
        for number in 0..self.requests.len() {
            let request = &self.requests[number];
            if request.ingress == daemon && request.open.is_some() {
                self.results.cut += 1;
                self.failed(number);
            }
        }
        for number in 0..self.attempts.len() {
            let attempt = &self.attempts[number];
            if attempt.executor == daemon && attempt.open.is_some() && !attempt.is_over {
                self.results.cut += 1;
                self.run_end(number, false);
            }
        }
    }

    /// Returns how long the caller of a request has to wait if its daemon does not accept it.
    pub(super) fn refusal(&self, number: usize) -> Option<Duration> {
        let request = &self.requests[number];
        let class = &self.scenario.classes[request.class];
        let daemon = &self.daemons[request.ingress];
        if !daemon.is_up {
            return Some(DEFAULT_RETRY_AFTER);
        }
        let placement = &self.ingresses[request.ingress].placement;
        let run = NewRun {
            expected: placement.expected_run(&class.kind),
            longest: placement.longest_run(&class.kind),
            idempotent: class.idempotent,
        };
        (!daemon.admits(run, self.now)).then(|| daemon.back_after(self.now))
    }

    pub(super) fn open_request(&mut self, number: usize) {
        let request = &self.requests[number];
        let class = &self.scenario.classes[request.class];
        let ingress = &self.ingresses[request.ingress];
        let expected = ingress.placement.expected_run(&class.kind);
        let open = self.daemons[request.ingress].open(expected, self.now);
        self.requests[number].open = Some(open);
    }

    pub(super) fn close_request(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if let Some(open) = request.open.take() {
            self.daemons[request.ingress].close(open, self.now);
        }
    }

    pub(super) fn open_attempt(&mut self, number: usize) {
        let attempt = &self.attempts[number];
        let class = &self.scenario.classes[self.requests[attempt.request].class];
        let open = self.daemons[attempt.executor].open(class.run, self.now);
        self.attempts[number].open = Some(open);
    }

    pub(super) fn close_attempt(&mut self, number: usize) {
        let attempt = &mut self.attempts[number];
        if let Some(open) = attempt.open.take() {
            self.daemons[attempt.executor].close(open, self.now);
        }
    }

    pub(super) fn report_to_all(&mut self, number: usize) {
        let report = self.executors[number].report();
        for ingress in &mut self.ingresses {
            let state = ingress.placement.executor_mut(address(number), self.now);
            state.apply_report(report.clone(), self.now);
        }
    }
}
