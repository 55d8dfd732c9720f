//! The witness of this daemon, and requests to those of others. See docs/design/at-most-once.md.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigold_request::at_most_once::{RequestKey, WitnessTable};
use marigold_request::{StreamOpen, WitnessAnswer, WitnessRequest};
use marigold_types::{Address, InstanceId};
use tokio::time::{Instant, timeout_at};

use crate::Shared;
use crate::peer::{CallSend, PeerLink, QuicPeers, codec};

/// How long a witness may take before the request is retried over another connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a request is sent before it is given up.
const MAX_ATTEMPTS: u32 = 2;

/// Answers requests to the witness of this daemon, and sends requests to other witnesses.
pub struct Witnesses {
    shared: Arc<Shared>,
    peers: Arc<QuicPeers>,
    table: Mutex<WitnessTable>,
}

impl Witnesses {
    /// Creates an empty witness whose uptime starts now.
    #[must_use]
    pub fn new(shared: Arc<Shared>, peers: Arc<QuicPeers>) -> Self {
        let request = &shared.settings.request;
        let capacity = usize::try_from(request.keys).unwrap_or(usize::MAX);
        let table = WitnessTable::new(shared.local, request.key_ttl, capacity, Instant::now());
        Self {
            shared,
            peers,
            table: Mutex::new(table),
        }
    }

    /// Sets the instance of this daemon, unless the witness has recorded a key.
    pub fn adopt(&self, local: InstanceId) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.adopt(local);
    }

    /// Answers a request to this daemon's witness.
    #[must_use]
    pub fn answer(&self, request: &WitnessRequest) -> WitnessAnswer {
        let now = Instant::now();
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let decode = |key: &str| RequestKey::decode(key, &self.shared.mesh_key);
        match request {
            WitnessRequest::Start { key } => match decode(key) {
                Ok(key) => table.start(&key, now),
                Err(_) => WitnessAnswer::WrongWitness,
            },
            WitnessRequest::Seal { key } => match decode(key) {
                Ok(key) => table.seal(&key, now),
                Err(_) => WitnessAnswer::WrongWitness,
            },
            WitnessRequest::Reserve { count } => table.reserve(*count, now),
        }
    }

    /// Answers a request from another daemon over `send`.
    ///
    /// # Errors
    ///
    /// If the answer cannot be encoded.
    pub async fn reply(
        &self,
        request: &WitnessRequest,
        send: &mut CallSend,
    ) -> Result<(), codec::FrameError> {
        let answer = codec::encode(&self.answer(request))?;
        if send.write(answer).await.is_ok() {
            send.finish();
        }
        Ok(())
    }

    /// Sends a request to the witness at `address`; returns `None` if there is no answer by
    /// `deadline`.
    ///
    /// A request is safe to send again after its answer was lost.
    pub async fn ask(
        &self,
        address: Address,
        request: WitnessRequest,
        deadline: Instant,
    ) -> Option<WitnessAnswer> {
        if address == self.shared.local.address {
            return Some(self.answer(&request));
        }
        let question = codec::encode(&StreamOpen::Witness(request)).ok()?;
        for _ in 0..MAX_ATTEMPTS {
            let until = deadline.min(Instant::now() + ANSWER_TIMEOUT);
            let mut used_link = None;
            let asked = self.ask_once(address, question.clone(), &mut used_link);
            match timeout_at(until, asked).await {
                Ok(Some(answer)) => return Some(answer),
                Ok(None) => {}
                Err(_) => {
                    if let Some(link) = used_link {
                        self.peers.retire(address, &link);
                    }
                }
            }
            if Instant::now() >= deadline {
                return None;
            }
        }
        None
    }

    async fn ask_once(
        &self,
        address: Address,
        question: bytes::Bytes,
        used_link: &mut Option<PeerLink>,
    ) -> Option<WitnessAnswer> {
        let mut stream = self.peers.open(address, true).await.ok()?;
        *used_link = Some(stream.link.clone());
        stream.send.write(question).await.ok()?;
        stream.send.finish();
        codec::read(&mut stream.frames).await.ok()
    }
}
