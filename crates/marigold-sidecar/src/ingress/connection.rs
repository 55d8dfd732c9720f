//! One caller's connection.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use marigold_dispatch::ShutdownStage;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::request_handler::Ingress;
use crate::http1::{Reject, Request, RequestReader, Response, encode_response};

/// Requests of one connection that are served at once; more wait unread.
const MAX_PIPELINE: usize = 32;
/// How long a caller may take to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection stays open for reading after its last answer, so that unread bytes do not
/// reset it before the caller has the answer.
const LINGER: Duration = Duration::from_millis(500);
/// How long to wait after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const READ_ROOM: usize = 4 << 10;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Takes callers' connections until the task is dropped.
pub async fn listen(ingress: Rc<Ingress>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let ingress = ingress.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(ingress, stream).await {
                        spdlog::debug!("a caller's connection ended: {error}");
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("accepting a caller's connection failed: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What an answer needs of its request.
#[derive(Clone, Copy)]
struct Mark {
    bodiless: bool,
    close: bool,
}

type Answer = Pin<Box<dyn Future<Output = Response>>>;

async fn serve(ingress: Rc<Ingress>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let names = ingress.options.names.clone();
    let mut reader = RequestReader::new(names);
    let mut input = BytesMut::new();
    let mut out = BytesMut::new();
    let mut answers: FuturesOrdered<Answer> = FuturesOrdered::new();
    let mut marks: VecDeque<Mark> = VecDeque::new();
    let mut idle_since = Instant::now();
    // Set once no further request of the connection will be taken.
    let mut ending: Option<Option<Reject>> = None;
    loop {
        let limits = ingress.limits();
        while ending.is_none() && answers.len() < MAX_PIPELINE {
            match reader.next(&mut input, &limits, Instant::now()) {
                Ok(Some(request)) => {
                    let mark = Mark {
                        bodiless: &*request.method == "HEAD",
                        close: request.close,
                    };
                    if mark.close {
                        ending = Some(None);
                    }
                    marks.push_back(mark);
                    answers.push_back(start(&ingress, request));
                }
                Ok(None) => break,
                Err(fault) => ending = Some(Some(Reject::from(fault))),
            }
        }
        if reader.take_expectation() {
            stream.write_all(CONTINUE).await?;
        }
        if let (true, Some(reject)) = (answers.is_empty(), ending) {
            if let Some(reject) = reject {
                refuse(&mut stream, &reject).await?;
            }
            return close(stream).await;
        }
        // Even when no further request is taken, reading shows whether the caller is still there.
        let can_read = ending.is_some() || answers.len() < MAX_PIPELINE;
        let overdue = match (reader.head_since(), answers.is_empty()) {
            (Some(since), _) => Some(since + limits.head_timeout),
            (None, true) => Some(idle_since + limits.idle_timeout),
            (None, false) => None,
        };
        input.reserve(READ_ROOM);
        tokio::select! {
            Some(response) = answers.next(), if !answers.is_empty() => {
                let Some(mark) = marks.pop_front() else {
                    return Err(io::Error::other("an answer without a request"));
                };
                let closes = mark.close || ingress.stage(0) != ShutdownStage::Serving;
                let extra = if closes { "Connection: close\r\n" } else { "" };
                encode_response(&mut out, &response, extra, mark.bodiless);
                timeout(WRITE_TIMEOUT, stream.write_all(&out)).await??;
                out.clear();
                idle_since = Instant::now();
                if closes {
                    // Requests behind this answer count as unread and are sent again elsewhere.
                    return close(stream).await;
                }
            }
            read = stream.read_buf(&mut input), if can_read => {
                if read? == 0 {
                    // Open requests are cancelled as their futures are dropped.
                    return Ok(());
                }
                if ending.is_some() {
                    input.clear();
                }
            }
            () = sleep_until(overdue.unwrap_or(idle_since)), if overdue.is_some() => {
                if !reader.is_inside() {
                    return Ok(());
                }
                let status = 408;
                ending = Some(Some(Reject { status, retry_after: None }));
            }
        }
    }
}

fn start(ingress: &Rc<Ingress>, request: Request) -> Answer {
    Box::pin(ingress.clone().serve(request))
}

async fn refuse(stream: &mut TcpStream, reject: &Reject) -> io::Result<()> {
    let response = Response {
        status: reject.status,
        ..Response::default()
    };
    let mut out = BytesMut::new();
    encode_response(&mut out, &response, "Connection: close\r\n", false);
    timeout(WRITE_TIMEOUT, stream.write_all(&out)).await?
}

/// Ends a connection without resetting it while its last answer is on the way.
async fn close(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 1024];
    let drain = async {
        while stream.read(&mut rest).await? > 0 {}
        Ok(())
    };
    timeout(LINGER, drain).await.unwrap_or(Ok(()))
}
