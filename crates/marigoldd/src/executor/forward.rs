//! What happens to a request from its slot to the end of its answer.

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

/// How long the other executors of a service may take to hear of a crash before its caller does.
const TELL_TIMEOUT: Duration = Duration::from_millis(100);

impl LocalExecutor {
    /// Hands an admitted request on; the slot is free again when the whole answer has gone out.
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
            counted,
            address,
            print,
        } = admitted;
        let watched = self.crashes.start(print);
        let idle = pool.clone();
        let call = BackendCall {
            pool,
            connection,
            deadline,
        };
        match call.run(head, body).await {
            RunResult::Answered(answer) => {
                self.record_answer();
                watched.answered();
                let body = match answer.body {
                    AnswerBody::Stream(body) => AnswerBody::Stream(hold(body, (slot, counted))),
                    whole @ AnswerBody::Whole(_) => whole,
                };
                RunResult::Answered(Answer { body, ..answer })
            }
            // A request whose backend server died with it is not sent again by the mesh.
            RunResult::Unknown(_) if has_crashed(address, &idle).await => {
                self.crashes.record_crash();
                self.shared.healthy.send_replace(false);
                // The caller may send it again at once, to any of the others.
                let _ = timeout(TELL_TIMEOUT, self.send_crash_updates()).await;
                RunResult::unknown(CRASH_STEP)
            }
            other => other,
        }
    }
}

/// Returns whether the process behind a lost connection is gone: it takes no new connection, or all
/// of its idle ones were closed at once.
async fn has_crashed(address: SocketAddr, pool: &BackendPool) -> bool {
    if pool.lost_all() {
        return true;
    }
    matches!(
        TcpStream::connect(address).await,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}

/// Keeps `guards` until `body` has ended or is dropped.
fn hold(body: RequestBody, guards: impl Send + 'static) -> RequestBody {
    let mut guards = Some(guards);
    body.map_frame(move |frame| {
        let _ = &mut guards;
        frame
    })
    .boxed_unsync()
}
