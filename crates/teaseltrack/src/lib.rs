//! Coordination parts of the teaseltrack scheduler.
//!
//! Everything here is a plain struct or function that decides: no sockets, no threads, no reads of
//! the system clock. The time is an argument, randomness is an argument, and what a decision asks
//! for is its return value. The daemons carry the decisions out; others may embed the same parts.
//!
//! - Requests: [`admission`], [`concurrency_limit`], [`routing`], [`retry`], [`quota`], [`outcome`].
//! - Membership and configuration: [`membership`], [`record`], [`configuration`].
//! - Jobs of dependent stages: [`cell`].
//! - Tasks: [`task`], [`shard`], [`placement`], [`lease`], [`journal`].

pub mod admission;
pub mod cell;
pub mod clock;
pub mod concurrency_limit;
pub mod configuration;
pub mod ids;
pub mod journal;
pub mod lease;
pub mod membership;
pub mod outcome;
pub mod placement;
pub mod quota;
pub mod record;
pub mod retry;
pub mod routing;
pub mod shard;
pub mod task;
pub mod throttle;
