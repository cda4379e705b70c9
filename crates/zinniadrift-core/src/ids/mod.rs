//! Identifiers of members, services, targets, zones and packets.

mod incarnation;
mod member_id;
mod packet_token;
mod service_id;
mod target_id;
mod zone_name;

pub use incarnation::Incarnation;
pub use member_id::MemberId;
pub use packet_token::PacketToken;
pub use service_id::ServiceId;
pub use target_id::TargetId;
pub use zone_name::ZoneName;
