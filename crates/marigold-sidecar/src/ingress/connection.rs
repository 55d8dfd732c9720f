//! An HTTP connection of a caller.

mod arrival;
mod output;
mod read_buffer;

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use marigold_dispatch::{CallerLimits, Claimant, Holding, HoldingKind};
use marigold_types::ByteSize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use self::arrival::Arrival;
use self::output::Output;
use self::read_buffer::ReadBuffer;
use super::request_handler::Ingress;
use crate::http1::{FieldBlock, Rejection, Request, RequestReader, Response};
use crate::{Charge, EvictionCause, OutOfMemory, Share};

/// Limit on concurrent requests of one connection; further pipelined requests stay unread.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Limit on the bytes read from a connection on which no further requests are started.
const MAX_UNPARSED_BYTES: usize = 16 << 10;
/// Time limit for the caller to read a part of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a closing connection is still read, since closing it with unread bytes would reset it before
/// the caller has received the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Response to a request for which there is no memory.
const NO_MEMORY: Rejection = Rejection {
    status: 503,
    retry_after: Some(Duration::from_millis(200)),
};
/// Response to a request that did not arrive in time.
const TIMED_OUT: Rejection = Rejection {
    status: 408,
    retry_after: None,
};
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Memory of a connection besides its buffers.
const CONNECTION_BYTES: usize = 4 << 10;
/// Memory of a request at work besides its fields and body.
const REQUEST_BYTES: usize = 8 << 10;

/// The properties of a request that determine how its response is written.
#[derive(Clone, Copy)]
struct ResponseMode {
    bodiless: bool,
    close: bool,
}

type PendingResponse = Pin<Box<dyn Future<Output = Response>>>;

/// What a connection waits for.
enum Event {
    Evicted(EvictionCause),
    Response(Response),
    Readable,
    Writable,
    /// The caller has not read for [`WRITE_TIMEOUT`].
    Unread,
    /// The limit on a head, or on the time without a request, is over.
    Expired,
}

/// Whether a connection accepts requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    /// It ends after the responses to the requests that were started.
    Closing,
    /// As [`Self::Closing`], with this as its last response.
    Rejecting(Rejection),
}

/// Whether a connection goes on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    End,
}

/// Why a connection could not take what arrives.
enum ClaimError {
    OutOfMemory,
    Evicted(EvictionCause),
}

/// Reads requests and writes their responses in the same order, until either end closes the connection.
pub struct Connection {
    ingress: Rc<Ingress>,
    stream: TcpStream,
    reader: RequestReader,
    input: ReadBuffer,
    output: Output,
    share: Share,
    /// Covers the buffers of the connection, apart from shared bodies.
    charge: Charge,
    _base_charge: Charge,
    responses: FuturesOrdered<PendingResponse>,
    modes: VecDeque<ResponseMode>,
    idle_since: Instant,
    arrival: Arrival,
    phase: Phase,
}

impl Connection {
    /// Creates a connection on which nothing has been received.
    pub fn new(ingress: Rc<Ingress>, stream: TcpStream) -> Self {
        let memory = &ingress.options.memory;
        let mut base_charge = memory.charge();
        base_charge.set(CONNECTION_BYTES);
        Self {
            reader: RequestReader::new(ingress.options.names.clone()),
            share: memory.holders().add(),
            charge: memory.charge(),
            _base_charge: base_charge,
            ingress,
            stream,
            input: ReadBuffer::default(),
            output: Output::new(Instant::now()),
            responses: FuturesOrdered::new(),
            modes: VecDeque::new(),
            idle_since: Instant::now(),
            arrival: Arrival::new(Instant::now()),
            phase: Phase::Open,
        }
    }

    /// Serves the caller until the connection ends.
    ///
    /// # Errors
    ///
    /// If the connection fails, or the caller does not read a response.
    pub async fn serve(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        loop {
            let limits = self.ingress.limits();
            if self.output.is_empty() {
                if self.output.closes() {
                    // Pipelined requests after this response count as unread; the caller sends them on another
                    // connection.
                    return self.close().await;
                }
                if self.start_requests(&limits).await == Flow::End {
                    return Ok(());
                }
                if self.reader.take_expect_continue() {
                    self.output.begin(Instant::now());
                    self.output.push(Bytes::from_static(CONTINUE_RESPONSE));
                    self.write()?;
                }
                match self.phase {
                    Phase::Closing if self.responses.is_empty() => return self.close().await,
                    Phase::Rejecting(rejection) if self.responses.is_empty() => {
                        self.phase = Phase::Closing;
                        self.push_rejection(&rejection);
                        self.write()?;
                        continue;
                    }
                    _ => {}
                }
            }
            self.share.set(self.holding());
            let flow = match self.next_event(&limits).await? {
                Event::Evicted(cause) => self.give_up(cause),
                Event::Response(response) => {
                    self.push_response(&response)?;
                    self.write()?;
                    Flow::Continue
                }
                Event::Writable => {
                    self.write()?;
                    Flow::Continue
                }
                Event::Readable => self.read().await?,
                Event::Unread => return Err(io::ErrorKind::TimedOut.into()),
                Event::Expired if !self.reader.is_mid_request() => Flow::End,
                Event::Expired => {
                    self.reject_arrival(TIMED_OUT);
                    Flow::Continue
                }
            };
            if flow == Flow::End {
                // Dropping the futures of pending requests cancels them.
                return Ok(());
            }
        }
    }

    /// Starts the requests that have been received completely.
    async fn start_requests(&mut self, limits: &CallerLimits) -> Flow {
        self.reader.set_keyed(self.ingress.is_keyed());
        while self.phase == Phase::Open && may_start(&self.ingress, self.responses.len()) {
            let parsed = self
                .reader
                .next(&mut self.input.bytes, limits, Instant::now());
            match parsed {
                Ok(Some(request)) => match self.charge_request(request).await {
                    Ok(request) => self.start_request(request),
                    Err(error) => {
                        if self.refuse_arrival(&error) == Flow::End {
                            return Flow::End;
                        }
                    }
                },
                Ok(None) => break,
                Err(error) => {
                    let rejection = Rejection::from(error);
                    self.reject_arrival(rejection);
                }
            }
        }
        self.input.release_if_empty();
        self.charge
            .set(self.input.allocated() + self.reader.allocated());
        Flow::Continue
    }

    fn start_request(&mut self, request: Request) {
        let mode = ResponseMode {
            bodiless: &*request.method == "HEAD",
            close: request.close,
        };
        if mode.close {
            self.phase = Phase::Closing;
        }
        self.arrival = Arrival::new(Instant::now());
        self.modes.push_back(mode);
        let response = Box::pin(self.ingress.clone().serve(request));
        self.responses.push_back(response);
    }

    /// Lets the memory that a request takes count as held until the request has ended.
    async fn charge_request(&mut self, mut request: Request) -> Result<Request, ClaimError> {
        let body = request.body.len();
        let head = REQUEST_BYTES + request.fields.len() + request.target.len();
        self.claim(self.input.allocated() + body + head).await?;
        request.body = self.charge.split(body).attach(&request.body);
        let head = self.charge.split(head);
        request.fields = head.attach_bytes(request.fields);
        Ok(request)
    }

    /// Increases what the connection holds to `bytes`.
    async fn claim(&mut self, bytes: usize) -> Result<(), ClaimError> {
        let Self {
            ingress,
            share,
            charge,
            ..
        } = self;
        let memory = &ingress.options.memory;
        if memory.try_grow(charge, bytes) {
            return Ok(());
        }
        let claimant = Claimant::Caller {
            key: share.key(),
            size: ByteSize(bytes as u64),
        };
        tokio::select! {
            biased;
            cause = share.evicted() => Err(ClaimError::Evicted(cause)),
            grown = memory.grow(charge, bytes, claimant) => {
                grown.map_err(|OutOfMemory| ClaimError::OutOfMemory)
            }
        }
    }

    /// Refuses the request that arrives, since there is no memory for it.
    fn refuse_arrival(&mut self, error: &ClaimError) -> Flow {
        self.reject_arrival(NO_MEMORY);
        match error {
            ClaimError::OutOfMemory => Flow::Continue,
            ClaimError::Evicted(cause) => self.give_up(*cause),
        }
    }

    /// Gives up what the connection holds for its caller, except for requests at work.
    fn give_up(&mut self, cause: EvictionCause) -> Flow {
        let is_unread = !self.output.is_empty();
        let is_closed = cause == EvictionCause::Descriptors && self.responses.is_empty();
        if is_unread || is_closed {
            return Flow::End;
        }
        if self.reader.is_mid_request() {
            self.reject_arrival(NO_MEMORY);
        }
        self.share.settle();
        Flow::Continue
    }

    /// Drops the request that is arriving, which has not run.
    fn reject_arrival(&mut self, rejection: Rejection) {
        let id = self.reader.request_id();
        self.reader.discard();
        self.input.release();
        self.charge.set(0);
        if self.phase == Phase::Open {
            self.ingress
                .record_rejection(id.as_deref(), rejection.status);
            self.phase = Phase::Rejecting(rejection);
        }
    }

    /// Returns what the connection can give up.
    fn holding(&self) -> Option<Holding> {
        let size = ByteSize((self.charge.bytes() + self.output.len()) as u64);
        if !self.output.is_empty() {
            return Some(Holding {
                kind: HoldingKind::Response,
                size,
                began_at: self.output.began_at(),
                moved_at: self.output.moved_at(),
                expires_at: None,
            });
        }
        if self.reader.is_mid_request() && self.phase == Phase::Open {
            let timeout = self.reader.caller_timeout();
            return Some(Holding {
                kind: HoldingKind::Request,
                size,
                began_at: self.arrival.began_at(),
                moved_at: self.arrival.moved_at(),
                expires_at: timeout
                    .and_then(|timeout| self.arrival.began_at().checked_add(timeout)),
            });
        }
        let idle = Holding {
            kind: HoldingKind::Idle,
            size,
            began_at: self.idle_since,
            moved_at: self.idle_since,
            expires_at: None,
        };
        self.responses.is_empty().then_some(idle)
    }

    async fn next_event(&mut self, limits: &CallerLimits) -> io::Result<Event> {
        let is_writing = !self.output.is_empty();
        let is_stopping = self.ingress.lifecycle.is_stopping();
        // A closing connection is still read, to detect when the caller disconnects.
        let can_read = !is_writing
            && (self.phase != Phase::Open
                || may_start(&self.ingress, self.responses.len())
                || (is_stopping && self.input.bytes.len() < MAX_UNPARSED_BYTES));
        let expires_at = match (self.reader.head_since(), self.responses.is_empty()) {
            _ if is_writing => None,
            (Some(since), _) => Some(since + limits.head_timeout),
            (None, true) if self.reader.is_mid_body() => {
                Some(self.arrival.heard_at() + limits.idle_timeout)
            }
            (None, true) => Some(self.idle_since + limits.idle_timeout),
            (None, false) => None,
        };
        let unread_at = self.output.moved_at() + WRITE_TIMEOUT;
        let Self {
            stream,
            share,
            responses,
            idle_since,
            ..
        } = self;
        tokio::select! {
            cause = share.evicted() => Ok(Event::Evicted(cause)),
            Some(response) = responses.next(), if !is_writing && !responses.is_empty() => {
                Ok(Event::Response(response))
            }
            ready = stream.readable(), if can_read => ready.map(|()| Event::Readable),
            ready = stream.writable(), if is_writing => ready.map(|()| Event::Writable),
            () = sleep_until(unread_at), if is_writing => Ok(Event::Unread),
            () = sleep_until(expires_at.unwrap_or(*idle_since)), if expires_at.is_some() => {
                Ok(Event::Expired)
            }
        }
    }

    async fn read(&mut self) -> io::Result<Flow> {
        let size = ReadBuffer::next_read(self.reader.is_mid_body());
        if self.phase == Phase::Open {
            let held = self.input.allocated_after(size) + self.reader.allocated_after(size);
            if let Err(error) = self.claim(held).await {
                return Ok(self.refuse_arrival(&error));
            }
        }
        let was_empty = self.input.bytes.is_empty();
        match self.input.read(&self.stream, size) {
            Ok(0) => return Ok(Flow::End),
            Ok(count) => {
                if was_empty && !self.reader.is_mid_request() {
                    self.arrival = Arrival::new(Instant::now());
                }
                self.arrival.record(count, Instant::now());
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        if self.phase != Phase::Open {
            self.input.release();
        }
        Ok(Flow::Continue)
    }

    fn push_response(&mut self, response: &Response) -> io::Result<()> {
        let Some(mode) = self.modes.pop_front() else {
            return Err(io::Error::other("response without a matching request"));
        };
        // Requests that were started get their responses before the connection is closed.
        let is_last = self.ingress.lifecycle.is_stopping() && self.responses.is_empty();
        self.output.begin(Instant::now());
        self.output
            .push_response(response, mode.close || is_last, mode.bodiless);
        Ok(())
    }

    fn push_rejection(&mut self, rejection: &Rejection) {
        let mut fields = FieldBlock::default();
        if let Some(delay) = rejection.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            fields.push(&self.ingress.options.names.retry_after, seconds.as_bytes());
        }
        let response = Response {
            status: rejection.status,
            fields: fields.freeze(),
            ..Response::default()
        };
        self.output.begin(Instant::now());
        self.output.push_response(&response, true, false);
    }

    /// Writes as much as the caller takes now.
    fn write(&mut self) -> io::Result<()> {
        self.output.write(&self.stream, Instant::now())?;
        if self.output.is_empty() {
            self.idle_since = Instant::now();
        }
        let held = self.input.allocated() + self.reader.allocated() + self.output.own_bytes();
        self.charge.set(held);
        Ok(())
    }

    /// Closes the connection without resetting it before the caller has received the last response.
    async fn close(mut self) -> io::Result<()> {
        // The memory is free during the wait, while the share counts the descriptor.
        self.responses.clear();
        self.reader.discard();
        self.input.release();
        self.charge.set(0);
        self.share.settle();
        self.stream.shutdown().await?;
        let mut discarded = [0; 1024];
        let drain = async {
            while self.stream.read(&mut discarded).await? > 0 {}
            Ok(())
        };
        timeout(LINGER_TIMEOUT, drain).await.unwrap_or(Ok(()))
    }
}

/// Returns whether another request may be started behind `pending` ones.
///
/// While the ingress is stopping, none is started behind a pending one: it would have to be answered before the
/// process ends, but its response cannot be sent before the one ahead. Unread, the caller sends it elsewhere.
fn may_start(ingress: &Ingress, pending: usize) -> bool {
    pending < MAX_PIPELINED_REQUESTS && !(ingress.lifecycle.is_stopping() && pending > 0)
}
