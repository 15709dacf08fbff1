//! Type aliases for the identifiers that travel between processes.

/// Name of an instance, unique in the fleet; from the settings.
pub type InstanceId = String;
/// Name of an availability zone; from the settings.
pub type ZoneName = String;
/// Name of a service record.
pub type ServiceName = String;
/// Name of a job record.
pub type JobName = String;
/// Name of a team record.
pub type TeamName = String;
/// Identifier of one request, given by the caller or by the entry.
pub type RequestId = String;
/// Number of a configuration change; only goes up.
pub type Revision = u64;
/// Number of an ownership period of a shard; only goes up.
pub type Epoch = u64;
/// Number of a start of one task; only goes up.
pub type AttemptNumber = u32;
/// Number of a life or state of an instance; only goes up.
pub type Incarnation = u64;
/// Number of a job shard.
pub type ShardNumber = u16;
