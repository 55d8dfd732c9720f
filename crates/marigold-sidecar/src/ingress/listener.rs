//! Accepts connections of callers.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::connection::Connection;
use super::request_handler::Ingress;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of callers until the task is dropped.
pub async fn listen(ingress: Rc<Ingress>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if make_room(&ingress).await => {
                let connection = Connection::new(ingress.clone(), stream);
                tokio::task::spawn_local(async move {
                    if let Err(error) = connection.serve().await {
                        spdlog::debug!("caller connection failed: {error}");
                    }
                });
            }
            Ok(_) => metrics::counter!("marigold_callers_refused_total").increment(1),
            Err(error) => {
                spdlog::warn!("failed to accept a caller connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes connections until there is room for another; returns `false` if all have requests at work.
async fn make_room(ingress: &Ingress) -> bool {
    let holders = ingress.options.memory.holders();
    while holders.count() >= ingress.options.max_callers {
        if !holders.is_evicting() && !holders.evict_longest_still() {
            return false;
        }
        yield_now().await;
    }
    true
}
