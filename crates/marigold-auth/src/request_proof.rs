//! How an operator's request over HTTP proves whose it is.

use marigold_types::{Digest, OperatorName, RecordTime};

use crate::{AuthError, OperatorKey, PublicKey, Signature};

/// Keeps a signature for a request from being read as one for anything else.
const DOMAIN: &str = "marigold request";

/// The headers that carry the proof; no secret is ever sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProof {
    /// Whose request it is.
    pub operator: OperatorName,
    /// When it was signed, by the operator's clock.
    pub time: RecordTime,
    /// The signature over the request.
    pub signature: Signature,
}

impl RequestProof {
    /// The header with the operator's name.
    pub const OPERATOR_HEADER: &str = "marigold-operator";
    /// The header with the time, in milliseconds since 1970 UTC.
    pub const TIME_HEADER: &str = "marigold-time";
    /// The header with the signature, in hexadecimal.
    pub const SIGNATURE_HEADER: &str = "marigold-signature";

    /// Signs a request; `target` is its path with its query.
    #[must_use]
    pub fn sign(
        key: &OperatorKey,
        method: &str,
        target: &str,
        body: &[u8],
        time: RecordTime,
    ) -> Self {
        let operator = key.operator().clone();
        let signature = key.sign(&to_signed(&operator, method, target, body, time));
        Self {
            operator,
            time,
            signature,
        }
    }

    /// Reads the headers, each as it was sent.
    ///
    /// # Errors
    ///
    /// When one is missing or malformed.
    pub fn from_headers<'a>(
        find: impl Fn(&'static str) -> Option<&'a str>,
    ) -> Result<Self, AuthError> {
        const STEP: &str = "read operator's proof";
        let text = |name: &'static str| {
            let missing = || AuthError::new(STEP, &format!("header {name} is missing"));
            find(name).ok_or_else(missing)
        };
        let wrap = |error: marigold_types::ParseError| AuthError::new(STEP, &error);
        Ok(Self {
            operator: text(Self::OPERATOR_HEADER)?.parse().map_err(wrap)?,
            time: text(Self::TIME_HEADER)?.parse().map_err(wrap)?,
            signature: text(Self::SIGNATURE_HEADER)?.parse().map_err(wrap)?,
        })
    }

    /// Checks that the holder of `key` signed this very request within `skew` of `now`.
    ///
    /// # Errors
    ///
    /// When the time or the signature is wrong.
    pub fn verify(
        &self,
        key: &PublicKey,
        method: &str,
        target: &str,
        body: &[u8],
        now: RecordTime,
        skew: std::time::Duration,
    ) -> Result<(), AuthError> {
        const STEP: &str = "verify operator's proof";
        let apart = now.0.abs_diff(self.time.0);
        if u128::from(apart) > skew.as_millis() {
            let reason = format!("the operator's clock is {apart} ms apart, allowed: {skew:?}");
            return Err(AuthError::new(STEP, &reason));
        }
        let signed = to_signed(&self.operator, method, target, body, self.time);
        if key.verifies(&signed, &self.signature) {
            Ok(())
        } else {
            let reason = format!("the signature is not that of `{}`", self.operator);
            Err(AuthError::new(STEP, &reason))
        }
    }
}

fn to_signed(
    operator: &OperatorName,
    method: &str,
    target: &str,
    body: &[u8],
    time: RecordTime,
) -> Vec<u8> {
    let digest = Digest::of(body);
    let time = time.0;
    format!("{DOMAIN}\n{method}\n{target}\n{operator}\n{time}\n{digest}").into_bytes()
}
