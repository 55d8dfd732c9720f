//! Health checks that spare requests what they would find out.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::LocalExecutor;

/// Interval at which a silent backend server is asked whether it is alive.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time for the response to a health check after an exchange broke. A request that ends backend servers is soon sent to
/// the next one.
const BREAK_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// A response that is read so soon after an exchange broke may have been sent before.
const RESPONSE_READ_TIME: Duration = Duration::from_millis(5);
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
        let is_alive = executor.is_answering().await.unwrap_or(true);
        if is_alive && backend.is_current(&pool) {
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
    let answered = executor.is_answering().await;
    if backend.is_current(&pool) {
        backend.silence.end_probe(sent_at, answered);
    }
}

/// Finds out whether the backend server has outlived an exchange that broke without a response: its end may close the
/// connection of the request that caused it and leave the others open.
pub async fn probe_after_break(executor: Rc<LocalExecutor>) {
    let check = &executor.backend().crash_check;
    // Exchanges may break while the health check is pending.
    while let Some(outlived) = count_outlived_breaks(&executor).await
        && outlived < check.breaks()
    {}
    check.end();
}

/// Returns how many broken exchanges the backend server has outlived, or `None` if it has ended or fallen silent, which is
/// recorded.
async fn count_outlived_breaks(executor: &LocalExecutor) -> Option<u64> {
    let backend = executor.backend();
    let pool = backend.pool()?;
    let settled = backend.crash_check.settle(&pool).await;
    if !backend.is_current(&pool) {
        return None;
    }
    let Some((broken_at, breaks)) = settled else {
        executor.record_crash();
        return None;
    };
    let event = executor.latest_event();
    let sent_at = Instant::now();
    let mut is_alive = backend.silence.heard_since(broken_at + RESPONSE_READ_TIME);
    if !is_alive {
        let answer = timeout(BREAK_PROBE_TIMEOUT, executor.is_answering()).await;
        // Without a health check, nothing tells a broken connection from a silent end.
        is_alive = answer.unwrap_or(Some(false)).unwrap_or(true);
    }
    if !backend.is_current(&pool) {
        return None;
    }
    if is_alive || backend.silence.heard_since(sent_at) {
        executor.record_alive(event);
        return Some(breaks);
    }
    backend.silence.record_failed_probe(sent_at);
    executor.check_silence();
    None
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
