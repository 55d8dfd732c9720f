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
use super::dialler::Port;
use super::{LinkKind, PeerError, PeerLink, codec};

/// How long a link without messages is kept; the connection's own idle timeout is as long.
const IDLE: Duration = Duration::from_mins(1);
/// How long a message may stay without any sign from the peer.
const SILENCE: Duration = Duration::from_secs(2);

/// A message that waits for its link.
pub(super) struct Outgoing {
    pub(super) kind: &'static str,
    pub(super) message: Bytes,
}

/// A stream that is written to, on its connection.
struct Writer {
    link: PeerLink,
    stream: SendStream,
}

/// When to look whether the peer has given a sign since a message was sent.
struct Check {
    due: Instant,
    heard: u64,
}

/// Sends the messages for one daemon in order, over one stream.
pub(super) struct ControlLink {
    peer: Address,
    links: Arc<ControlLinks>,
    queue: mpsc::Receiver<Outgoing>,
    accepted: mpsc::Receiver<PeerLink>,
    writer: Option<Writer>,
    check: Option<Check>,
    port: Port,
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
            port: Port::Usual,
        }
    }

    /// Serves the queue until it has been empty for [`IDLE`].
    pub(super) async fn run(mut self) {
        loop {
            let idle = Instant::now() + IDLE;
            let due = self.check.as_ref().map_or(idle, |check| check.due);
            tokio::select! {
                message = self.queue.recv() => match message {
                    Some(message) => self.send(message).await,
                    None => return,
                },
                () = closed(self.writer.as_ref()) => self.lose().await,
                () = sleep_until(due) => {
                    if self.check.is_some() {
                        self.look();
                    } else if self.links.retire(self.peer, &self.queue) {
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
                self.expect_sign();
            }
            Err(error) => self.give_up(&error).await,
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

    /// Makes sure that there is a stream on an open connection.
    async fn open(&mut self) -> Result<(), PeerError> {
        // A peer that dials anew may have lost the older connection in a restart.
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
        // The greeting says who dialled; the certificate proves it.
        let greeting =
            codec::encode(&context.local).map_err(|error| self.error("greet", &error, false))?;
        stream
            .write_all(&greeting)
            .await
            .map_err(|error| self.error("greet", &error, false))?;
        self.port = Port::Usual;
        self.listen(link.clone());
        self.writer = Some(Writer { link, stream });
        Ok(())
    }

    /// Returns the newest connection that the peer opened and that still is open.
    fn adopted(&mut self) -> Option<PeerLink> {
        let mut newest = None;
        while let Ok(link) = self.accepted.try_recv() {
            newest = Some(link);
        }
        newest.filter(PeerLink::is_open)
    }

    /// Reads what the peer answers on a connection that this daemon dialled.
    fn listen(&self, link: PeerLink) {
        let (peer, context) = (self.peer, self.links.context().clone());
        tokio::spawn(async move {
            if let Ok(stream) = link.connection.accept_uni().await {
                ControlLinks::read(&context, peer, &link, codec::frames(stream)).await;
            }
        });
    }

    fn expect_sign(&mut self) {
        if self.check.is_some() {
            return;
        }
        self.check = self.writer.as_ref().map(|writer| Check {
            due: Instant::now() + SILENCE,
            heard: writer.link.received_datagrams(),
        });
    }

    /// Gives a silent connection up; the next message goes out from another port.
    fn look(&mut self) {
        let Some(check) = self.check.take() else {
            return;
        };
        let Some(writer) = &self.writer else {
            return;
        };
        if writer.link.received_datagrams() == check.heard {
            self.links.context().meters.count_fault("silent control");
            writer.link.close_silent();
            self.writer = None;
            self.port = Port::Fresh;
        }
    }

    /// Takes in that the connection was closed; what was sent last may not have arrived.
    async fn lose(&mut self) {
        self.writer = None;
        if self.check.take().is_some() {
            let error = self.error("connection", &"closed", true);
            self.give_up(&error).await;
        }
    }

    /// Drops what waits and tells the control loop, which decides what that means.
    async fn give_up(&mut self, error: &PeerError) {
        let context = self.links.context().clone();
        context.meters.count_fault(error.step);
        context.meters.count_dropped("unreachable");
        self.writer = None;
        self.check = None;
        while self.queue.try_recv().is_ok() {
            context.meters.count_dropped("unreachable");
        }
        let peer = self.peer;
        // A closed channel means that the daemon is ending.
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

/// Waits until the connection is closed; without one, for ever.
async fn closed(writer: Option<&Writer>) {
    match writer {
        Some(writer) => drop(writer.link.connection.closed().await),
        None => std::future::pending().await,
    }
}
