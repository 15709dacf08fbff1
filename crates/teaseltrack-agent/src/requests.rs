//! Request path: admission to the target's slots and forwarding to the target.
//!
//! A response is delivered complete or reported as failed.

pub mod capacity;
pub mod forward;
pub mod target_client;
