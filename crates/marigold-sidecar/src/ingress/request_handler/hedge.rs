//! A second attempt while the first one is still awaited.
//!
//! Load pattern: backend servers run requests but some responses never arrive. The first attempt is not given up, since it
//! may only take long: whichever backend server responds first answers the request. A daemon that is shutting down has less
//! time than that, and sends the second attempt while it can still end.

use std::net::SocketAddr;

use marigold_dispatch::{ExecutorChoice, Progress};
use marigold_request::quarantine::QuarantineStatus;
use tokio::time::{Instant, sleep};

use super::Ingress;
use super::request_context::RequestContext;
use crate::http1::Request;
use crate::ingress::attempt::attempt;
use crate::ingress::request_trace::RequestTrace;
use crate::link::{CallOutcome, CallResult};

impl Ingress {
    /// Sends the request to `choice`, and to a second executor once the response of the first is most likely lost. Returns
    /// the outcome that the request depends on, and the executor that it is from.
    pub(super) async fn attempt_with_hedge(
        &self,
        request: &Request,
        context: &RequestContext<'_>,
        choice: ExecutorChoice,
        tried: &mut Vec<SocketAddr>,
        trace: &mut RequestTrace,
        progress: &mut Progress,
    ) -> (SocketAddr, CallResult) {
        let first = choice.address;
        tried.push(first);
        trace.executors.push(first);
        let mut first_attempt = Box::pin(attempt(&self.mesh, first, context.call(request)));
        let overdue_after = self.mesh.with_placement(|placement| {
            placement.overdue_after(&choice, &context.route.kind, Instant::now())
        });
        let Some(delay) = overdue_after.filter(|_| context.route.idempotent) else {
            return (first, first_attempt.await);
        };
        tokio::select! {
            biased;
            ending = &mut first_attempt => return (first, ending),
            () = sleep(delay) => {}
            () = self.lifecycle.second_attempt(context.expected_run) => {}
        }
        let Some(second) = self.choose_second(request, context, tried, trace, progress) else {
            return (first, first_attempt.await);
        };
        tried.push(second);
        trace.executors.push(second);
        trace.steps.push("overdue".to_owned());
        let mut second_attempt = Box::pin(attempt(&self.mesh, second, context.call(request)));
        let (ended, ending, other) = tokio::select! {
            biased;
            ending = &mut first_attempt => (first, ending, second),
            ending = &mut second_attempt => (second, ending, first),
        };
        if is_success(&ending) {
            return (ended, ending);
        }
        self.record_failed_hedge(context, ended, &ending, trace, progress);
        let ending = if other == first {
            first_attempt.await
        } else {
            second_attempt.await
        };
        (other, ending)
    }

    fn choose_second(
        &self,
        request: &Request,
        context: &RequestContext<'_>,
        tried: &[SocketAddr],
        trace: &mut RequestTrace,
        progress: &Progress,
    ) -> Option<SocketAddr> {
        if self.quarantine_status(request, context, trace) != QuarantineStatus::Clear
            || self.check_caller_again(request, context).is_err()
        {
            return None;
        }
        let second = self.choose_executor(context, request.body.len(), tried)?;
        // The first attempt counts as an arrival although it has not ended.
        self.may_retry(context, progress.arrivals() + 1)
            .then_some(second.address)
    }

    /// Records the outcome of the attempt that ended first, but without a response to return.
    fn record_failed_hedge(
        &self,
        context: &RequestContext<'_>,
        address: SocketAddr,
        ending: &CallResult,
        trace: &mut RequestTrace,
        progress: &mut Progress,
    ) {
        let CallResult::Replied(reply) = ending else {
            trace.steps.push("executor lost".to_owned());
            if *ending != CallResult::NotSent {
                progress.may_have_run();
            }
            return;
        };
        let outcome = reply.outcome.attempt_outcome();
        self.mesh
            .record_outcome(address, &context.route.kind, outcome, reply);
        match &reply.outcome {
            CallOutcome::Refused {
                reason,
                retry_after,
            } => {
                trace.steps.push(format!("refused: {reason}"));
                progress.refused(*retry_after);
            }
            CallOutcome::Rejected { status } => {
                trace.steps.push(format!("rejected {status}"));
                progress.rejected(super::REJECTED_RETRY_DELAY);
            }
            CallOutcome::Answered { .. } | CallOutcome::Lost { .. } => {
                trace.steps.push("failed".to_owned());
                progress.may_have_run();
            }
        }
    }
}

fn is_success(ending: &CallResult) -> bool {
    let CallResult::Replied(reply) = ending else {
        return false;
    };
    matches!(reply.outcome, CallOutcome::Answered { status, .. } if status < 500)
}
