//! An HTTP client of the daemons' admin API that tries daemons in turn until one answers.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use marigold_api::{Problem, ProblemKind};
use marigold_auth::{OperatorKey, RequestProof};
use marigold_http::ResponseHead;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{CtlError, DaemonError, DaemonUrl, clock};

const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// A client of the admin API that signs every request with an operator's key.
pub struct Client {
    daemons: Vec<DaemonUrl>,
    key: OperatorKey,
    timeout: Duration,
}

/// A response and the daemon that sent it.
pub struct DaemonResponse<T> {
    /// The daemon that answered.
    pub peer: DaemonUrl,
    /// The decoded JSON body.
    pub body: T,
}

impl Client {
    /// Creates a client; `timeout` limits each request to one daemon, not the whole command.
    ///
    /// # Errors
    ///
    /// When `daemons` is empty.
    pub fn new(
        daemons: Vec<DaemonUrl>,
        key: OperatorKey,
        timeout: Duration,
    ) -> Result<Self, CtlError> {
        if daemons.is_empty() {
            return Err(CtlError::Usage(
                "no daemon: give --daemon http://IP:PORT or set MARIGOLD_DAEMON",
            ));
        }
        Ok(Self {
            daemons,
            key,
            timeout,
        })
    }

    /// Reads an operator's key file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or holds no valid key; the error does not contain the file's
    /// text.
    pub fn read_key(path: &Path) -> Result<OperatorKey, CtlError> {
        let text = std::fs::read_to_string(path).map_err(|error| CtlError::File {
            operation: "read",
            path: path.to_owned(),
            reason: Arc::from(error.to_string()),
        })?;
        OperatorKey::from_file_text(&text).map_err(|error| CtlError::Key {
            path: path.to_owned(),
            error,
        })
    }

    /// Returns the operator's key, which signs requests, plans and confirmations.
    #[must_use]
    pub fn key(&self) -> &OperatorKey {
        &self.key
    }

    /// Returns the daemons in the order in which they are tried; there is at least one.
    #[must_use]
    pub fn daemons(&self) -> &[DaemonUrl] {
        &self.daemons
    }

    /// Sends a GET request for `target`, to one daemon after the other until one answers.
    ///
    /// # Errors
    ///
    /// When no daemon returns a valid response.
    pub fn get<T: DeserializeOwned>(&self, target: &str) -> Result<DaemonResponse<T>, CtlError> {
        self.send("GET", target, &[])
    }

    /// Sends a POST request with `body` to `target`. The request must be idempotent across daemons:
    /// the next daemon is tried when a response is lost.
    ///
    /// # Errors
    ///
    /// When no daemon returns a valid response.
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        target: &str,
        body: &B,
    ) -> Result<DaemonResponse<T>, CtlError> {
        let body = serde_json::to_vec(body)
            .map_err(|_| CtlError::Usage("the request cannot be encoded as JSON"))?;
        self.send("POST", target, &body)
    }

    /// Sends a request to one daemon.
    ///
    /// # Errors
    ///
    /// When the daemon does not return a valid response.
    pub fn send_to<T: DeserializeOwned>(
        &self,
        peer: DaemonUrl,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<T, DaemonError> {
        let invalid = |reason: String| DaemonError::NoValidResponse {
            peer,
            reason: Arc::from(reason),
        };
        let proof = RequestProof::sign(&self.key, method, target, body, clock::now());
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("{peer}{target}"))
            .header("connection", "close")
            .header(RequestProof::OPERATOR_HEADER, proof.operator.as_str())
            .header(RequestProof::TIME_HEADER, proof.time.0.to_string())
            .header(RequestProof::SIGNATURE_HEADER, proof.signature.to_string())
            .body(body)
            .map_err(|error| invalid(error.to_string()))?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(self.timeout))
            .http_status_as_error(false);
        let agent: ureq::Agent = config.build().into();
        let mut response = agent
            .run(request)
            .map_err(|error| transport_error(peer, &error))?;
        ResponseHead::check(&response).map_err(|error| invalid(error.to_string()))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let body = body
            .read_to_vec()
            .map_err(|error| invalid(error.to_string()))?;
        // A rejected confirmation has status 409 and a body of the expected type.
        if status < 400 || status == 409 {
            let parsed = serde_json::from_slice(&body);
            return parsed.map_err(|error| invalid(format!("unexpected response body: {error}")));
        }
        let problem = serde_json::from_slice(&body).unwrap_or_else(|_| {
            let text = format!("status {status} without a daemon's error body");
            Problem::new(ProblemKind::BadRequest, text)
        });
        Err(DaemonError::Problem { peer, problem })
    }

    fn send<T: DeserializeOwned>(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<DaemonResponse<T>, CtlError> {
        let mut may_be_applied = false;
        let mut last = None;
        let mut tried = 0;
        for &peer in &self.daemons {
            tried += 1;
            match self.send_to(peer, method, target, body) {
                Ok(body) => return Ok(DaemonResponse { peer, body }),
                Err(fault) => {
                    let no_response = matches!(fault, DaemonError::NoValidResponse { .. });
                    may_be_applied |= no_response && method != "GET";
                    let retryable = fault.is_retryable();
                    last = Some(fault);
                    if !retryable {
                        // A definite answer also settles what an earlier daemon may have done.
                        may_be_applied = false;
                        break;
                    }
                }
            }
        }
        let fault = last.ok_or(CtlError::Usage("no daemon to ask"))?;
        Err(CtlError::Request {
            fault,
            tried,
            may_be_applied,
        })
    }
}

/// Only errors from before a connection exists count as unreachable; all others, timeouts among
/// them, may have come after the daemon read the request.
fn transport_error(peer: DaemonUrl, error: &ureq::Error) -> DaemonError {
    let reason = Arc::from(error.to_string());
    let refused = |io: &std::io::Error| io.kind() == std::io::ErrorKind::ConnectionRefused;
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            DaemonError::Unreachable { peer, reason }
        }
        ureq::Error::Io(io) if refused(io) => DaemonError::Unreachable { peer, reason },
        _ => DaemonError::NoValidResponse { peer, reason },
    }
}
