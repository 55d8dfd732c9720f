//! Who a request comes from.

use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::time::{SystemTime, UNIX_EPOCH};

use marigold_api::{Problem, ProblemKind};
use marigold_auth::RequestProof;
use marigold_config::Authority;
use marigold_types::{OperatorName, RecordTime};
use rouille::Request;

use super::parts::AdminParts;
use super::reply::bad_request;

/// The largest body, in bytes: a plan has to fit into a record of the log.
const MAX_BODY_BYTES: u64 = 1_000_000;

/// A request whose operator is known.
pub struct Signed {
    /// Whose request it is.
    pub operator: OperatorName,
    /// Its body.
    pub body: Vec<u8>,
}

/// Returns the time by the daemon's wall clock.
pub fn wall_clock() -> RecordTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    RecordTime(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Reads a request's body.
pub fn read_body(request: &Request) -> Result<Vec<u8>, Problem> {
    let mut body = Vec::new();
    let Some(data) = request.data() else {
        return Ok(body);
    };
    let read = data.take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
    read.map_err(|error| bad_request(format!("the body could not be read: {error}")))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        let text = format!("the body is too large; allowed: {MAX_BODY_BYTES} bytes");
        return Err(bad_request(text));
    }
    Ok(body)
}

/// Reads a request and makes sure that a known operator signed it.
pub fn verify(parts: &AdminParts, request: &Request) -> Result<Signed, Problem> {
    let unauthorised = |text: String| Problem::new(ProblemKind::Unauthorised, text);
    let body = read_body(request)?;
    let proof = RequestProof::from_headers(|name| request.header(name))
        .map_err(|error| unauthorised(error.to_string()))?;
    let config = parts.shared.view.load().config.clone();
    let key = Authority::new(&parts.trust, &config)
        .key_of(&proof.operator)
        .map_err(|reason| unauthorised(reason.to_string()))?;
    let skew = parts.shared.settings.admin.clock_skew.duration();
    let target = request.raw_url();
    proof
        .verify(&key, request.method(), target, &body, wall_clock(), skew)
        .map_err(|error| unauthorised(error.to_string()))?;
    Ok(Signed {
        operator: proof.operator,
        body,
    })
}

/// Makes sure that a request comes from the daemon's own host.
pub fn check_host(parts: &AdminParts, peer: SocketAddr) -> Result<(), Problem> {
    let settings = &parts.shared.settings;
    let own = [settings.daemon.address.0.ip(), settings.admin.listen.ip()];
    if is_own(&own, peer.ip()) {
        return Ok(());
    }
    let text = format!(
        "{} is another host; a backend server announces itself to the daemon beside it",
        peer.ip()
    );
    Err(Problem::new(ProblemKind::Refused, text))
}

/// Returns whether `peer` is this host, whose addresses in the settings are `own`.
fn is_own(own: &[IpAddr], peer: IpAddr) -> bool {
    let peer = peer.to_canonical();
    peer.is_loopback() || own.contains(&peer)
}

#[cfg(test)]
mod tests {
    use super::*;

    macro_rules! own_host {
        ($($name:ident: $peer:literal => $want:literal;)*) => {$(
            #[test]
            fn $name() {
                let own = ["10.0.0.1".parse().unwrap(), "0.0.0.0".parse().unwrap()];
                assert_eq!(is_own(&own, $peer.parse().unwrap()), $want);
            }
        )*};
    }

    own_host! {
        loopback: "127.0.0.1" => true;
        loopback_six: "::1" => true;
        mapped_loopback: "::ffff:127.0.0.1" => true;
        own_address: "10.0.0.1" => true;
        mapped_own_address: "::ffff:10.0.0.1" => true;
        neighbour: "10.0.0.2" => false;
        other_network: "192.0.2.7" => false;
    }
}
