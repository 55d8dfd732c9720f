//! Asks daemons, one after the other until one answers.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use marigold_api::{Problem, ProblemKind};
use marigold_auth::{OperatorKey, RequestProof};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{CtlError, DaemonUrl, ServerFault, clock};

/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// An operator's way to the daemons.
pub struct Client {
    daemons: Vec<DaemonUrl>,
    key: OperatorKey,
    timeout: Duration,
}

/// An answer with the daemon that gave it.
pub struct Answered<T> {
    /// The daemon.
    pub peer: DaemonUrl,
    /// The answer.
    pub body: T,
}

impl Client {
    /// Builds a client; one request to one daemon takes at most `timeout`.
    ///
    /// # Errors
    ///
    /// When there is no daemon to ask.
    pub fn new(
        daemons: Vec<DaemonUrl>,
        key: OperatorKey,
        timeout: Duration,
    ) -> Result<Self, CtlError> {
        if daemons.is_empty() {
            return Err(CtlError::Usage(
                "which daemon? give --daemon http://IP:PORT or set MARIGOLD_DAEMON",
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
    /// When the file cannot be read or holds no key; the key is not repeated.
    pub fn read_key(path: &Path) -> Result<OperatorKey, CtlError> {
        let text = std::fs::read_to_string(path).map_err(|error| CtlError::File {
            step: "read",
            path: path.to_owned(),
            reason: Arc::from(error.to_string()),
        })?;
        OperatorKey::from_file_text(&text).map_err(|error| CtlError::Key {
            path: path.to_owned(),
            error,
        })
    }

    /// Returns the operator's key.
    #[must_use]
    pub fn key(&self) -> &OperatorKey {
        &self.key
    }

    /// Returns the daemons in the order they are asked.
    #[must_use]
    pub fn daemons(&self) -> &[DaemonUrl] {
        &self.daemons
    }

    /// Asks for `target`.
    ///
    /// # Errors
    ///
    /// When no daemon answers with what was asked for.
    pub fn get<T: DeserializeOwned>(&self, target: &str) -> Result<Answered<T>, CtlError> {
        self.ask("GET", target, &[])
    }

    /// Sends `body` to `target`; it has to be safe at several daemons, since the next one is asked
    /// when an answer is lost.
    ///
    /// # Errors
    ///
    /// When no daemon answers with what was asked for.
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        target: &str,
        body: &B,
    ) -> Result<Answered<T>, CtlError> {
        let body = serde_json::to_vec(body).map_err(|_| CtlError::Usage("no JSON form"))?;
        self.ask("POST", target, &body)
    }

    /// Asks one daemon.
    ///
    /// # Errors
    ///
    /// When it does not answer with what was asked for.
    pub fn ask_one<T: DeserializeOwned>(
        &self,
        peer: DaemonUrl,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<T, ServerFault> {
        let unclear = |reason: String| ServerFault::Unclear {
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
            .map_err(|error| unclear(error.to_string()))?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(self.timeout))
            .http_status_as_error(false);
        let agent: ureq::Agent = config.build().into();
        let mut response = agent.run(request).map_err(|error| fault_of(peer, &error))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let body = body
            .read_to_vec()
            .map_err(|error| unclear(error.to_string()))?;
        // A refused confirmation is an answer of its own kind.
        if status < 400 || status == 409 {
            let parsed = serde_json::from_slice(&body);
            return parsed.map_err(|error| unclear(format!("not the expected answer: {error}")));
        }
        let problem = serde_json::from_slice(&body).unwrap_or_else(|_| {
            let text = format!("status {status}, not a daemon's answer");
            Problem::new(ProblemKind::BadRequest, text)
        });
        Err(ServerFault::Problem { peer, problem })
    }

    fn ask<T: DeserializeOwned>(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<Answered<T>, CtlError> {
        let mut unclear = false;
        let mut last = None;
        let mut asked = 0;
        for &peer in &self.daemons {
            asked += 1;
            match self.ask_one(peer, method, target, body) {
                Ok(body) => return Ok(Answered { peer, body }),
                Err(fault) => {
                    let cut_off = matches!(fault, ServerFault::Unclear { .. });
                    unclear |= cut_off && method != "GET";
                    let passing = fault.is_passing();
                    last = Some(fault);
                    if !passing {
                        // The daemon has judged, so what another may have done is known, too.
                        unclear = false;
                        break;
                    }
                }
            }
        }
        let fault = last.ok_or(CtlError::Usage("no daemon to ask"))?;
        Err(CtlError::Servers {
            fault,
            asked,
            unclear,
        })
    }
}

fn fault_of(peer: DaemonUrl, error: &ureq::Error) -> ServerFault {
    let reason = Arc::from(error.to_string());
    let refused = |io: &std::io::Error| io.kind() == std::io::ErrorKind::ConnectionRefused;
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            ServerFault::Unreachable { peer, reason }
        }
        ureq::Error::Io(io) if refused(io) => ServerFault::Unreachable { peer, reason },
        _ => ServerFault::Unclear { peer, reason },
    }
}
