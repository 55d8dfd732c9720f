//! Request-response exchanges between daemons other than calls and witness requests.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::StreamOpen;
use marigold_types::Address;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::peer::{CallSend, QuicPeers, codec};

/// How long another daemon may take to respond, including a connection that must be opened.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends `question` to the daemon at `to` and returns its answer, or `None` on failure or timeout.
pub async fn ask<T: DeserializeOwned>(
    peers: &Arc<QuicPeers>,
    to: Address,
    question: &StreamOpen,
) -> Option<T> {
    let question = codec::encode(question).ok()?;
    let asking = async {
        let mut stream = peers.open(to, true).await.ok()?;
        stream.send.write(question).await.ok()?;
        stream.send.finish();
        codec::read(&mut stream.frames).await.ok()
    };
    timeout(ANSWER_TIMEOUT, asking).await.ok().flatten()
}

/// Sends an answer and finishes the stream.
///
/// # Errors
///
/// If the answer cannot be encoded.
pub async fn answer<T: serde::Serialize>(
    send: &mut CallSend,
    answer: &T,
) -> Result<(), codec::FrameError> {
    let frame = codec::encode(answer)?;
    // A failed write means that the other daemon no longer waits.
    if send.write(frame).await.is_ok() {
        send.finish();
    }
    Ok(())
}
