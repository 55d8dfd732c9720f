//! Asks witnesses, and answers as one. See docs/design/at-most-once.md.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigold_request::at_most_once::{RequestKey, WitnessTable};
use marigold_request::{StreamOpen, WitnessAnswer, WitnessRequest};
use marigold_types::{Address, InstanceId};
use tokio::time::{Instant, timeout_at};

use crate::Shared;
use crate::peer::{CallSend, PeerLink, QuicPeers, codec};

/// How long a witness may take before it is asked again over another connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often one question is asked.
const TRIES: u32 = 2;

/// The witness of this daemon, and the way to those of others.
pub struct Witnesses {
    shared: Arc<Shared>,
    peers: Arc<QuicPeers>,
    table: Mutex<WitnessTable>,
}

impl Witnesses {
    /// Builds an empty witness whose uptime starts now.
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

    /// Takes `local` for the life of this daemon, if the witness remembers no key yet.
    pub fn adopt(&self, local: InstanceId) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.adopt(local);
    }

    /// Answers a question to this daemon's witness.
    #[must_use]
    pub fn answer(&self, request: &WitnessRequest) -> WitnessAnswer {
        let now = Instant::now();
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let open = |key: &str| RequestKey::decode(key, &self.shared.mesh_key);
        match request {
            WitnessRequest::Start { key } => match open(key) {
                Ok(key) => table.start(&key, now),
                Err(_) => WitnessAnswer::NotMine,
            },
            WitnessRequest::Seal { key } => match open(key) {
                Ok(key) => table.seal(&key, now),
                Err(_) => WitnessAnswer::NotMine,
            },
            WitnessRequest::Reserve { count } => table.reserve(*count, now),
        }
    }

    /// Answers a question that came over `send`.
    ///
    /// # Errors
    ///
    /// When the answer cannot be encoded.
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

    /// Asks the witness at `address`, or returns none when it gives no answer by `deadline`.
    ///
    /// Each question may be asked again: an answer that was lost changes nothing.
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
        for _ in 0..TRIES {
            let until = deadline.min(Instant::now() + ANSWER_TIMEOUT);
            let mut used = None;
            let asked = self.ask_once(address, question.clone(), &mut used);
            match timeout_at(until, asked).await {
                Ok(Some(answer)) => return Some(answer),
                Ok(None) => {}
                Err(_) => {
                    if let Some(link) = used {
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
        used: &mut Option<PeerLink>,
    ) -> Option<WitnessAnswer> {
        let mut stream = self.peers.open(address, true).await.ok()?;
        *used = Some(stream.link.clone());
        stream.send.write(question).await.ok()?;
        stream.send.finish();
        codec::read(&mut stream.frames).await.ok()
    }
}
