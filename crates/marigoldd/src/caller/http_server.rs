//! Accepts callers' HTTP/1.1 connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use marigold_request::drain::Phase;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::ingress::Ingress;
use super::write_timeout_io::WriteTimeoutIo;
use crate::executor::configure_socket;

/// The most open connections of callers; further ones wait in the listen backlog.
const MAX_CONNECTIONS: usize = 8_192;
/// The delay after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// Serves callers on `listener` until the daemon exits.
pub async fn serve(listener: TcpListener, ingress: Arc<Ingress>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let phase = ingress.in_flight.phase();
    // The semaphore is never closed.
    while let Ok(permit) = permits.clone().acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        let (served, phase) = (ingress.clone(), phase.clone());
        ingress.connections.spawn(async move {
            let aborted = served.aborted.clone();
            let connection = serve_connection(stream, served, phase);
            aborted.run_until_cancelled(connection).await;
            drop(permit);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    ingress: Arc<Ingress>,
    mut phase: watch::Receiver<Phase>,
) {
    let settings = ingress.shared.settings.caller.clone();
    let write_timeout = settings.write_timeout.duration();
    if configure_socket(&stream, write_timeout).is_err() {
        return;
    }
    let io = TokioIo::new(WriteTimeoutIo::new(stream, write_timeout));
    let service = service_fn(move |request| {
        let ingress = ingress.clone();
        async move { Ok::<_, Infallible>(ingress.handle(request).await) }
    });
    let max_head = usize::try_from(settings.max_head.0).unwrap_or(usize::MAX);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout.duration())
        .max_buf_size(max_head)
        .serve_connection(io, service);
    tokio::pin!(connection);
    let refusing = phase.wait_for(|phase| matches!(phase, Phase::Refusing | Phase::Exit(_)));
    tokio::select! {
        // An error means that the caller disconnected, or that hyper answered a malformed request.
        _ = connection.as_mut() => return,
        _ = refusing => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
