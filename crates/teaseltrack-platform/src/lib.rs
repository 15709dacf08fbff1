//! Narrow port to the platform's table and object store.
//!
//! [`store`] is the port: a few calls, each with a deadline, within the process's own budget of
//! writes and reads. [`http_adapter`] speaks the platform's protocol; another platform needs only
//! another adapter. [`stream`] appends to hash-chained journals and settles lost answers by reading,
//! [`history`] moves them to the object store and reads them back, and [`keys`] names the rows. [`worker`] calls the
//! worker on the agent's own instance.

pub mod history;
pub mod http_adapter;
pub mod inbox;
pub mod keys;
pub mod shard_state;
pub mod store;
pub mod stream;
pub mod worker;
