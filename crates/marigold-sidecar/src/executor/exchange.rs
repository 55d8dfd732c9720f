//! One request to the backend server and the answer that belongs to it.

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::BackendPool;
use super::backend_conn::BackendConn;
use crate::HeaderNames;
use crate::http1::{HttpError, ParsedResponse, Response, ResponseReader};

const READ_ROOM: usize = 8 << 10;
/// Status by which a backend server says that the request was meant for another one.
const MISDIRECTED: u16 = 421;
/// Answers to other requests that are passed over before a connection is given up.
const MAX_STRAYS: u32 = 8;

/// A request as the backend server gets it.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// The id that the answer must repeat.
    pub id: Arc<str>,
    /// Whether the answer has no body.
    pub bodiless: bool,
    /// Head and body.
    pub bytes: Bytes,
    /// The largest body of an answer that is taken.
    pub max_body_bytes: u64,
}

/// What became of a request at the backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeOutcome {
    /// It ran and this is the whole answer.
    Answered(Response),
    /// The backend server says that it did not run it.
    Rejected {
        /// The answer's status.
        status: u16,
    },
    /// No proper answer came; it may have run.
    Broken(Fault),
}

/// Why there is no proper answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The connection failed.
    #[error("{step}: {kind}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// How it failed.
        kind: io::ErrorKind,
    },
    /// The bytes are no answer.
    #[error("reading the answer: {0}")]
    Http(#[from] HttpError),
    /// The answer is a success that the backend server did not sign, or an encoded one.
    #[error("the answer is not the backend server's own")]
    Foreign,
    /// Too many answers to other requests.
    #[error("only answers to other requests came")]
    Strays,
}

/// Sends `request` over `conn` and finds the answer that belongs to it.
///
/// The connection goes back to `pool` only after an exchange without any oddity.
pub async fn exchange(
    pool: &BackendPool,
    mut conn: BackendConn,
    names: &Arc<HeaderNames>,
    request: &BackendRequest,
) -> ExchangeOutcome {
    let mut reader = ResponseReader::new(names.clone(), request.bodiless, request.max_body_bytes);
    let mut sent = 0;
    let mut strays = 0;
    let answer = loop {
        let answer = match read_answer(&mut conn, &mut reader, &request.bytes, &mut sent).await {
            Ok(answer) => answer,
            Err(fault) => return ExchangeOutcome::Broken(fault),
        };
        if belongs(&answer, &request.id) {
            break answer;
        }
        strays += 1;
        if strays > MAX_STRAYS || answer.close_delimited {
            return ExchangeOutcome::Broken(Fault::Strays);
        }
    };
    // What is left over belongs to no request, and a body that was not read to its end would be taken
    // for the next request.
    let is_clean = strays == 0 && conn.input.is_empty() && sent == request.bytes.len();
    if is_clean && !answer.close && !answer.close_delimited {
        pool.release(conn, answer.idle_timeout);
    }
    judge(answer)
}

/// Returns whether the answer is to the request with `id`.
///
/// A server that turns a request away unread may leave its id out.
fn belongs(answer: &ParsedResponse, id: &str) -> bool {
    match &answer.id {
        Some(other) => **other == *id,
        None => !answer.signed && answer.response.status >= 400,
    }
}

fn judge(answer: ParsedResponse) -> ExchangeOutcome {
    let status = answer.response.status;
    if answer.not_run || status == MISDIRECTED {
        return ExchangeOutcome::Rejected { status };
    }
    let is_success = (200..300).contains(&status);
    if is_success && (!answer.signed || answer.encoded) {
        return ExchangeOutcome::Broken(Fault::Foreign);
    }
    ExchangeOutcome::Answered(answer.response)
}

async fn read_answer(
    conn: &mut BackendConn,
    reader: &mut ResponseReader,
    bytes: &[u8],
    sent: &mut usize,
) -> Result<ParsedResponse, Fault> {
    loop {
        if let Some(answer) = reader.next(&mut conn.input)? {
            return Ok(answer);
        }
        let (mut read, mut write) = conn.stream.split();
        conn.input.reserve(READ_ROOM);
        let input: &mut BytesMut = &mut conn.input;
        // An answer may come before the request is sent as a whole.
        tokio::select! {
            result = write.write(&bytes[*sent..]), if *sent < bytes.len() => {
                *sent += result.map_err(|error| io_fault("sending the request", &error))?;
            }
            result = read.read_buf(input) => {
                match result {
                    Ok(0) => return Ok(reader.finish()?),
                    Ok(_) => {}
                    Err(error) => return Err(io_fault("reading the answer", &error)),
                }
            }
        }
    }
}

fn io_fault(step: &'static str, error: &io::Error) -> Fault {
    Fault::Io {
        step,
        kind: error.kind(),
    }
}
