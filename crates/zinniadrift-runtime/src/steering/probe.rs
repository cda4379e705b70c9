use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpStream;

use zinniadrift_core::steering::ProbeResult;

/// The time for one connection attempt; a living host answers in two network delays.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);
/// The number of attempts without an answer that count as silence; one opening packet may be lost.
const ATTEMPTS: u32 = 2;

/// Finds out whether a target's host accepts connections.
///
/// Whether the target considers itself healthy does not matter: any answer shows that it runs.
pub(super) async fn probe(address: SocketAddrV4) -> ProbeResult {
    for _ in 0..ATTEMPTS {
        match tokio::time::timeout(ATTEMPT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return ProbeResult::Accepted,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return ProbeResult::Refused,
            Ok(Err(e)) => {
                tracing::warn!(%address, error = %e, "cannot probe");
                return ProbeResult::Inconclusive;
            }
            Err(_) => {}
        }
    }
    ProbeResult::TimedOut
}
