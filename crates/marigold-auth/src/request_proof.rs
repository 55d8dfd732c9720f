//! Authentication of operators' HTTP requests by signatures.

use marigold_types::{Digest, OperatorName, RecordTime};

use crate::{AuthError, OperatorKey, PublicKey, Signature};

/// Domain separator, which prevents the signature of a request from being valid for any other data.
const DOMAIN: &str = "marigold request";

/// The signature of a request with the operator and time, sent as headers. It contains no secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProof {
    /// The operator who signed the request.
    pub operator: OperatorName,
    /// Time of signing by the operator's clock.
    pub time: RecordTime,
    /// Signature of operator, time, method, target and body.
    pub signature: Signature,
}

impl RequestProof {
    /// Name of the header with the operator's name.
    pub const OPERATOR_HEADER: &str = "marigold-operator";
    /// Name of the header with the time in milliseconds since 1970 UTC.
    pub const TIME_HEADER: &str = "marigold-time";
    /// Name of the header with the signature in hexadecimal.
    pub const SIGNATURE_HEADER: &str = "marigold-signature";

    /// Signs a request; `target` is its path and query.
    #[must_use]
    pub fn sign(
        key: &OperatorKey,
        method: &str,
        target: &str,
        body: &[u8],
        time: RecordTime,
    ) -> Self {
        let operator = key.operator().clone();
        let signature = key.sign(&signed_bytes(&operator, method, target, body, time));
        Self {
            operator,
            time,
            signature,
        }
    }

    /// Parses the headers of a request; `find` returns the value of a header.
    ///
    /// # Errors
    ///
    /// If a header is missing or malformed.
    pub fn from_headers<'a>(
        find: impl Fn(&'static str) -> Option<&'a str>,
    ) -> Result<Self, AuthError> {
        const STEP: &str = "read the request's signature";
        let header = |name: &'static str| {
            let missing = || AuthError::new(STEP, &format!("header {name} is missing"));
            find(name).ok_or_else(missing)
        };
        let to_auth_error = |error: marigold_types::ParseError| AuthError::new(STEP, &error);
        Ok(Self {
            operator: header(Self::OPERATOR_HEADER)?
                .parse()
                .map_err(to_auth_error)?,
            time: header(Self::TIME_HEADER)?.parse().map_err(to_auth_error)?,
            signature: header(Self::SIGNATURE_HEADER)?
                .parse()
                .map_err(to_auth_error)?,
        })
    }

    /// Checks that the request was signed with `key` at a time that differs from `now` by at most
    /// `skew`.
    ///
    /// # Errors
    ///
    /// If the time is outside that range or the signature does not match the request.
    pub fn verify(
        &self,
        key: &PublicKey,
        method: &str,
        target: &str,
        body: &[u8],
        now: RecordTime,
        skew: std::time::Duration,
    ) -> Result<(), AuthError> {
        const STEP: &str = "verify the request's signature";
        let difference = now.0.abs_diff(self.time.0);
        if u128::from(difference) > skew.as_millis() {
            let reason =
                format!("the operator's clock is off by {difference} ms, allowed: {skew:?}");
            return Err(AuthError::new(STEP, &reason));
        }
        let signed = signed_bytes(&self.operator, method, target, body, self.time);
        if key.verifies(&signed, &self.signature) {
            Ok(())
        } else {
            let reason = format!("the signature is not that of `{}`", self.operator);
            Err(AuthError::new(STEP, &reason))
        }
    }
}

fn signed_bytes(
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
