//! Forwards an admitted request to the backend server and detects a crash.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use marigold_request::CallHead;
use marigold_request::deadline::Deadline;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::backend_call::BackendCall;
use super::backend_pool::BackendPool;
use super::local_executor::{Admitted, LocalExecutor};
use super::{Answer, AnswerBody, CRASH_STEP, RequestBody, RunResult};

/// How long the answer to the caller is delayed while the other executors of the service are told
/// of a crash.
const CRASH_UPDATE_TIMEOUT: Duration = Duration::from_millis(100);

impl LocalExecutor {
    /// Forwards an admitted request. The slot is released once the whole answer has been sent.
    pub(super) async fn forward(
        &self,
        admitted: Admitted,
        head: &CallHead,
        body: RequestBody,
        deadline: Deadline,
    ) -> RunResult {
        let Admitted {
            slot,
            pool,
            connection,
            in_flight,
            address,
            fingerprint,
            exclusive,
        } = admitted;
        let run = self.crashes.start(fingerprint, exclusive);
        let idle_pool = pool.clone();
        let call = BackendCall {
            pool,
            connection,
            deadline,
        };
        match call.run(head, body).await {
            RunResult::Answered(answer) => {
                self.record_answer();
                run.answered();
                let body = match answer.body {
                    AnswerBody::Stream(body) => {
                        AnswerBody::Stream(attach_guards(body, (slot, in_flight)))
                    }
                    whole @ AnswerBody::Whole(_) => whole,
                };
                RunResult::Answered(Answer { body, ..answer })
            }
            // The mesh does not retry a request that crashed its backend server.
            RunResult::Unknown(_) if has_crashed(address, &idle_pool).await => {
                self.crashes.record_crash();
                self.shared.healthy.send_replace(false);
                // The caller may retry at once on any other executor, which must know of the crash.
                let _ = timeout(CRASH_UPDATE_TIMEOUT, self.send_crash_updates()).await;
                RunResult::unknown(CRASH_STEP)
            }
            other => other,
        }
    }
}

/// Returns whether the backend server has crashed: all of its idle connections, at least two, were
/// closed, or it refuses a new one.
async fn has_crashed(address: SocketAddr, pool: &BackendPool) -> bool {
    if pool.all_idle_closed() {
        return true;
    }
    matches!(
        TcpStream::connect(address).await,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}

/// Holds `guards` until `body` has ended or is dropped.
fn attach_guards(body: RequestBody, guards: impl Send + 'static) -> RequestBody {
    let mut guards = Some(guards);
    body.map_frame(move |frame| {
        let _ = &mut guards;
        frame
    })
    .boxed_unsync()
}
