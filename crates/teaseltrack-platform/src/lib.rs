//! Client of the platform's table, object store and worker.
//!
//! [`store`] defines the storage interface: a small set of calls, each with a deadline, under
//! per-process rate limits for reads and writes. [`http_adapter`] implements it over the platform's
//! protocol; another platform needs only another adapter. [`stream`] appends to hash-chained
//! journals and resolves lost responses by reading back, [`history`] archives journals in the
//! object store and reads them, and [`keys`] defines row and object keys. [`shard_state`] loads
//! shards and writes their snapshots, [`inbox`] reads commands queued for a shard's owner, and
//! [`worker`] calls the worker on the agent's own instance.

pub mod history;
pub mod http_adapter;
pub mod inbox;
pub mod keys;
pub mod shard_state;
pub mod store;
pub mod stream;
pub mod worker;
