use derive_more::{Display, From, Into};

/// The handle of a packet that the driver holds until the core releases it.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct PacketToken(u64);
