//! Health checks that spare requests what they would find out.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::LocalExecutor;

/// Interval at which a silent backend server is asked whether it is alive.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which a backend server is asked for its limit of requests.
const LIMIT_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Asks the silent backend server whether it is alive, so that no request is spent on that.
pub async fn probe_until_heard(executor: Rc<LocalExecutor>) {
    let backend = executor.backend();
    let Some(pool) = backend.pool() else {
        return;
    };
    loop {
        sleep(SILENCE_PROBE_INTERVAL).await;
        let is_over = !backend.is_current(&pool) || !backend.silence.is_silent();
        if is_over || backend.serving().is_none() {
            return;
        }
        // Without a health check, requests show it.
        let is_alive = executor
            .check_health()
            .await
            .is_none_or(|result| result.is_ok());
        if is_alive {
            backend.silence.record_sound();
        }
    }
}

/// Asks a backend server from which the response to a run is overdue whether it is alive. With few requests in flight,
/// nothing else tells that it has ended until its successor announces itself.
pub async fn probe_quiet_backend(executor: Rc<LocalExecutor>) {
    let backend = executor.backend();
    let Some(pool) = backend.pool() else {
        return;
    };
    let sent_at = Instant::now();
    let result = executor.check_health().await;
    if backend.is_current(&pool) {
        let answered = result.map(|result| result.is_ok());
        backend.silence.end_probe(sent_at, answered);
    }
}

/// Asks a backend server that served before this daemon started for its limit of requests. It runs one request at a
/// time until it has responded, and that request may be a long one.
pub async fn probe_until_limit_is_known(executor: Rc<LocalExecutor>) {
    let backend = executor.backend();
    let Some(pool) = backend.pool() else {
        return;
    };
    while backend.is_current(&pool) && backend.is_limit_unknown() {
        if let Some(Ok(response)) = executor.check_health().await
            && backend.is_current(&pool)
        {
            executor.apply_statement(&response.statement);
        }
        sleep(LIMIT_PROBE_INTERVAL).await;
    }
}
