//! Type aliases for identifiers exchanged between processes.

/// Name of an instance, unique in the fleet; set in the configuration file.
pub type InstanceId = String;
/// Name of an availability zone; set in the configuration file.
pub type ZoneName = String;
/// Name of a service record.
pub type ServiceName = String;
/// Name of a job record.
pub type JobName = String;
/// Name of a team record.
pub type TeamName = String;
/// Identifier of a request, assigned by the caller or the entry.
pub type RequestId = String;
/// Number of a configuration change; increases monotonically.
pub type Revision = u64;
/// Number of an ownership period of a shard or cell; increases monotonically.
pub type Epoch = u64;
/// Number of an attempt at a task; increases monotonically.
pub type AttemptNumber = u32;
/// Monotonically increasing number of one of three things: the version of an instance's member
/// entry, raised only by the instance at each restart and change; an instance's lease; or an agent
/// process, as the holder of a lease or shard.
pub type Incarnation = u64;
/// Number of a job shard.
pub type ShardNumber = u16;
