use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// A new flow that asks for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomRequest {
    /// The service address of the flow's route.
    pub route: SocketAddrV4,
    /// The priority of the route; 0 is the highest.
    pub priority: u8,
    /// The response time that callers aim for.
    pub latency_target: Duration,
    /// The time after which callers give up.
    pub timeout: Duration,
    /// The caller's address.
    pub caller: Ipv4Addr,
    /// The number of earlier opening packets of the flow.
    pub retransmissions: u32,
    /// The usual number of requests on a flow of the route; at least 1.
    pub requests_per_flow: f32,
}

/// The times between the opening packets of a caller: it sends them at 0, 200 and 600 ms.
const RETRANSMISSION_INTERVALS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(400)];

impl RoomRequest {
    /// Returns the time until the caller's next opening packet; `None` after the last one.
    pub fn next_retransmission(&self) -> Option<Duration> {
        let sent = usize::try_from(self.retransmissions).ok()?;
        RETRANSMISSION_INTERVALS.get(sent).copied()
    }

    /// Returns whether the flow can wait for all its caller's opening packets and still be answered
    /// within its latency target.
    pub fn is_patient(&self, response_time: Duration) -> bool {
        let waits: Duration = RETRANSMISSION_INTERVALS.iter().sum();
        self.latency_target >= waits + response_time
    }
}
