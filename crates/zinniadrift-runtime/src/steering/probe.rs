use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpStream;

use zinniadrift_core::steering::ProbeResult;

/// The time-out of a connection attempt; a running host responds within one round trip.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);
/// The number of attempts that time out before a probe does; more than one, because a SYN packet
/// may be lost.
const ATTEMPTS: u32 = 2;

/// Probes whether a target's host responds to a connection attempt.
///
/// The health that the target reports does not matter: any response, even a refusal, shows that the
/// host runs.
pub(super) async fn probe(address: SocketAddrV4) -> ProbeResult {
    for _ in 0..ATTEMPTS {
        match tokio::time::timeout(ATTEMPT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return ProbeResult::Accepted,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return ProbeResult::Refused,
            Ok(Err(e)) => {
                tracing::warn!(%address, error = %e, "cannot probe target");
                return ProbeResult::Inconclusive;
            }
            Err(_) => {}
        }
    }
    ProbeResult::TimedOut
}
