//! A cell at work: the tasks and sockets around `teaseltrack::cell`.
//!
//! - [`entry`] takes callers' jobs: it stores them, cancels them and tells their state.
//! - [`agent`] stands beside a worker: it keeps the worker's lease, carries out orders and reports.
//! - [`candidate`] runs in each agent and takes the cell when its owner has gone; [`owner`] is what
//!   it then runs.
//! - [`rows`] names what lies in the store, [`configuration`] follows the queues in force, and
//!   [`calls`] carries the messages between processes.
//!
//! Workers are reached through [`worker_port`], the store through `teaseltrack_platform::store`.

pub mod agent;
pub mod calls;
pub mod candidate;
pub mod configuration;
pub mod constants;
pub mod entry;
pub mod owner;
pub mod rows;
pub mod worker_port;
