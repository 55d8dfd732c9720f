//! HTTP connections of callers.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::request_handler::Ingress;
use crate::http1::{Rejection, Request, RequestReader, Response, encode_response};

/// Limit on concurrent requests of one connection; further pipelined requests stay unread.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Limit on the bytes read from a connection on which no further requests are started.
const MAX_UNPARSED_BYTES: usize = 16 << 10;
/// Time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a closing connection is still read, since closing it with unread bytes would reset it before
/// the caller has received the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const READ_BUFFER_BYTES: usize = 4 << 10;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Accepts connections of callers until the task is dropped.
pub async fn listen(ingress: Rc<Ingress>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let ingress = ingress.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(ingress, stream).await {
                        spdlog::debug!("caller connection failed: {error}");
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("failed to accept a caller connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The properties of a request that determine how its response is written.
#[derive(Clone, Copy)]
struct ResponseMode {
    bodiless: bool,
    close: bool,
}

type PendingResponse = Pin<Box<dyn Future<Output = Response>>>;

async fn serve(ingress: Rc<Ingress>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let names = ingress.options.names.clone();
    let mut reader = RequestReader::new(names);
    let mut input = BytesMut::new();
    let mut output = BytesMut::new();
    let mut responses: FuturesOrdered<PendingResponse> = FuturesOrdered::new();
    let mut modes: VecDeque<ResponseMode> = VecDeque::new();
    let mut idle_since = Instant::now();
    // Set once no further requests are accepted on this connection, with the rejection to send last.
    let mut closing: Option<Option<Rejection>> = None;
    loop {
        let limits = ingress.limits();
        reader.set_keyed(ingress.is_keyed());
        while closing.is_none() && may_start(&ingress, responses.len()) {
            match reader.next(&mut input, &limits, Instant::now()) {
                Ok(Some(request)) => {
                    let mode = ResponseMode {
                        bodiless: &*request.method == "HEAD",
                        close: request.close,
                    };
                    if mode.close {
                        closing = Some(None);
                    }
                    modes.push_back(mode);
                    responses.push_back(start_request(&ingress, request));
                }
                Ok(None) => break,
                Err(fault) => closing = Some(Some(Rejection::from(fault))),
            }
        }
        if reader.take_expect_continue() {
            stream.write_all(CONTINUE_RESPONSE).await?;
        }
        if let (true, Some(reject)) = (responses.is_empty(), closing) {
            if let Some(reject) = reject {
                send_reject(&mut stream, &reject).await?;
            }
            return close(stream).await;
        }
        // A closing connection is still read, to detect when the caller disconnects.
        let can_read = closing.is_some()
            || may_start(&ingress, responses.len())
            || (ingress.lifecycle.is_stopping() && input.len() < MAX_UNPARSED_BYTES);
        let expires_at = match (reader.head_since(), responses.is_empty()) {
            (Some(since), _) => Some(since + limits.head_timeout),
            (None, true) => Some(idle_since + limits.idle_timeout),
            (None, false) => None,
        };
        input.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            Some(response) = responses.next(), if !responses.is_empty() => {
                let Some(mode) = modes.pop_front() else {
                    return Err(io::Error::other("response without a matching request"));
                };
                // Requests that were started get their responses before the connection is closed.
                let closes = mode.close || (ingress.lifecycle.is_stopping() && responses.is_empty());
                let extra = if closes { "Connection: close\r\n" } else { "" };
                encode_response(&mut output, &response, extra, mode.bodiless);
                timeout(WRITE_TIMEOUT, stream.write_all(&output)).await??;
                output.clear();
                idle_since = Instant::now();
                if closes {
                    // Pipelined requests after this response count as unread; the caller sends them on
                    // another connection.
                    return close(stream).await;
                }
            }
            read = stream.read_buf(&mut input), if can_read => {
                if read? == 0 {
                    // Dropping the futures of pending requests cancels them.
                    return Ok(());
                }
                if closing.is_some() {
                    input.clear();
                }
            }
            () = sleep_until(expires_at.unwrap_or(idle_since)), if expires_at.is_some() => {
                if !reader.is_mid_request() {
                    return Ok(());
                }
                let status = 408;
                closing = Some(Some(Rejection { status, retry_after: None }));
            }
        }
    }
}

/// Returns whether another request may be started behind `pending` ones.
///
/// While the ingress is stopping, none is started behind a pending one: it would have to be answered before the
/// process ends, but its response cannot be sent before the one ahead. Unread, the caller sends it elsewhere.
fn may_start(ingress: &Ingress, pending: usize) -> bool {
    pending < MAX_PIPELINED_REQUESTS && !(ingress.lifecycle.is_stopping() && pending > 0)
}

fn start_request(ingress: &Rc<Ingress>, request: Request) -> PendingResponse {
    Box::pin(ingress.clone().serve(request))
}

async fn send_reject(stream: &mut TcpStream, reject: &Rejection) -> io::Result<()> {
    let response = Response {
        status: reject.status,
        ..Response::default()
    };
    let mut output = BytesMut::new();
    encode_response(&mut output, &response, "Connection: close\r\n", false);
    timeout(WRITE_TIMEOUT, stream.write_all(&output)).await?
}

/// Closes a connection without resetting it before the caller has received the last response.
async fn close(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut discarded = [0; 1024];
    let drain = async {
        while stream.read(&mut discarded).await? > 0 {}
        Ok(())
    };
    timeout(LINGER_TIMEOUT, drain).await.unwrap_or(Ok(()))
}
