//! The task that owns the control connection to one daemon.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_control::Event;
use marigold_types::Address;
use quinn::SendStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::control_links::ControlLinks;
use super::dialler::LocalPort;
use super::{LinkKind, PeerError, PeerLink, codec};

/// How long a link without messages is kept; equal to the idle timeout of the connection.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// How long after a message the peer may stay silent before the connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A queued message.
pub(super) struct Outgoing {
    pub(super) kind: &'static str,
    pub(super) message: Bytes,
}

/// The outgoing stream with its connection.
struct Writer {
    link: PeerLink,
    stream: SendStream,
}

/// A pending check that the peer has sent any datagram since a message went out.
struct Check {
    due: Instant,
    /// The number of datagrams received when the message was sent.
    received_datagrams: u64,
}

/// Sends the messages to one daemon in order, over one stream.
pub(super) struct ControlLink {
    peer: Address,
    links: Arc<ControlLinks>,
    queue: mpsc::Receiver<Outgoing>,
    accepted: mpsc::Receiver<PeerLink>,
    writer: Option<Writer>,
    check: Option<Check>,
    port: LocalPort,
}

impl ControlLink {
    pub(super) fn new(
        peer: Address,
        links: Arc<ControlLinks>,
        queue: mpsc::Receiver<Outgoing>,
        accepted: mpsc::Receiver<PeerLink>,
    ) -> Self {
        Self {
            peer,
            links,
            queue,
            accepted,
            writer: None,
            check: None,
            port: LocalPort::Listening,
        }
    }

    /// Sends queued messages until the queue has been empty for [`IDLE_TIMEOUT`].
    pub(super) async fn run(mut self) {
        loop {
            let idle = Instant::now() + IDLE_TIMEOUT;
            let due = self.check.as_ref().map_or(idle, |check| check.due);
            tokio::select! {
                message = self.queue.recv() => match message {
                    Some(message) => self.send(message).await,
                    None => return,
                },
                () = closed(self.writer.as_ref()) => self.handle_closed().await,
                () = sleep_until(due) => {
                    if self.check.is_some() {
                        self.check_silence();
                    } else if self.links.remove_idle(self.peer, &self.queue) {
                        return;
                    }
                }
            }
        }
    }

    async fn send(&mut self, outgoing: Outgoing) {
        let Outgoing { kind, message } = outgoing;
        let bytes = message.len();
        match self.write(message).await {
            Ok(()) => {
                self.links.context().meters.count_sent(kind, bytes);
                self.schedule_check();
            }
            Err(error) => self.fail(&error).await,
        }
    }

    async fn write(&mut self, message: Bytes) -> Result<(), PeerError> {
        let frame = codec::frame(message).map_err(|error| self.error("frame", &error, false))?;
        self.open().await?;
        let Some(writer) = &mut self.writer else {
            return Err(self.error("open stream", &"no stream", false));
        };
        writer.link.usage.touch();
        let written = writer.stream.write_all(&frame).await;
        written.map_err(|error| self.error("send", &error, true))
    }

    /// Opens a stream, and a connection if necessary.
    async fn open(&mut self) -> Result<(), PeerError> {
        // Prefer the connection that the peer opened: it may have lost the older one in a restart.
        if let Some(link) = self.adopted()
            && let Ok(stream) = link.connection.open_uni().await
        {
            self.check = None;
            self.writer = Some(Writer { link, stream });
        }
        if self.writer.as_ref().is_some_and(|w| w.link.is_open()) {
            return Ok(());
        }
        self.writer = None;
        self.check = None;
        let context = self.links.context().clone();
        let dialled = context
            .dialler
            .dial(self.peer, LinkKind::Control, self.port);
        let link = dialled.await?;
        let mut stream = link
            .connection
            .open_uni()
            .await
            .map_err(|error| self.error("open stream", &error, false))?;
        // The greeting carries the address of this daemon, which the peer checks against the
        // certificate.
        let greeting =
            codec::encode(&context.local).map_err(|error| self.error("greet", &error, false))?;
        stream
            .write_all(&greeting)
            .await
            .map_err(|error| self.error("greet", &error, false))?;
        self.port = LocalPort::Listening;
        self.spawn_reader(link.clone());
        self.writer = Some(Writer { link, stream });
        Ok(())
    }

    /// Returns the newest connection that the peer opened, if it is still open.
    fn adopted(&mut self) -> Option<PeerLink> {
        let mut newest = None;
        while let Ok(link) = self.accepted.try_recv() {
            newest = Some(link);
        }
        newest.filter(PeerLink::is_open)
    }

    /// Spawns a task that reads the peer's messages on a connection that this daemon opened.
    fn spawn_reader(&self, link: PeerLink) {
        let (peer, context) = (self.peer, self.links.context().clone());
        tokio::spawn(async move {
            if let Ok(stream) = link.connection.accept_uni().await {
                ControlLinks::read(&context, peer, &link, codec::frames(stream)).await;
            }
        });
    }

    fn schedule_check(&mut self) {
        if self.check.is_some() {
            return;
        }
        self.check = self.writer.as_ref().map(|writer| Check {
            due: Instant::now() + SILENCE_TIMEOUT,
            received_datagrams: writer.link.received_datagrams(),
        });
    }

    /// Closes a silent connection; the next message goes out from another port.
    fn check_silence(&mut self) {
        let Some(check) = self.check.take() else {
            return;
        };
        let Some(writer) = &self.writer else {
            return;
        };
        if writer.link.received_datagrams() == check.received_datagrams {
            self.links.context().meters.count_fault("silent control");
            writer.link.close_silent();
            self.writer = None;
            self.port = LocalPort::Ephemeral;
        }
    }

    /// Handles a closed connection. It is reported if the last messages may not have arrived.
    async fn handle_closed(&mut self) {
        self.writer = None;
        if self.check.take().is_some() {
            let error = self.error("connection", &"closed", true);
            self.fail(&error).await;
        }
    }

    /// Drops the queued messages and reports the peer to the control loop as unreachable.
    async fn fail(&mut self, error: &PeerError) {
        let context = self.links.context().clone();
        context.meters.count_fault(error.step);
        context.meters.count_dropped("unreachable");
        self.writer = None;
        self.check = None;
        while self.queue.try_recv().is_ok() {
            context.meters.count_dropped("unreachable");
        }
        let peer = self.peer;
        // A closed channel means that the daemon is shutting down.
        let _ = context.events.send(Event::Unreachable { peer }).await;
    }

    fn error(&self, step: &'static str, reason: &dyn ToString, sent: bool) -> PeerError {
        PeerError {
            step,
            peer: self.peer,
            reason: Arc::from(reason.to_string()),
            sent,
        }
    }
}

/// Waits until the connection is closed; pending forever without a connection.
async fn closed(writer: Option<&Writer>) {
    match writer {
        Some(writer) => drop(writer.link.connection.closed().await),
        None => std::future::pending().await,
    }
}
