//! Decision logic of the teaseltrack scheduler.
//!
//! The crate does no I/O, starts no threads and, apart from [`clock::SystemClock`], doesn't read
//! the system clock. Time and randomness are passed in as arguments, and each decision is returned
//! as a value. The daemons execute the decisions; other programs can embed the same modules.
//!
//! - Requests: [`admission`], [`concurrency_limit`], [`routing`], [`retry`], [`quota`], [`outcome`].
//! - Membership and configuration: [`membership`], [`record`], [`configuration`].
//! - Scheduling of multi-stage jobs on a cell: [`cell`].
//! - Tasks: [`task`], [`shard`], [`placement`], [`lease`], [`journal`], [`throttle`].

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
