//! Requests: admitted by the owner of the target's slots, forwarded, and answered whole or not at all.

pub mod capacity;
pub mod forward;
pub mod target_client;
