//! Runtime of a cell: the async tasks and sockets around the state machine in `teaseltrack::cell`.
//!
//! - [`entry`] serves callers' jobs: it stores and cancels jobs and returns their states.
//! - [`agent`] manages the worker on its instance: it renews the worker's lease, executes orders
//!   and reports to the owner.
//! - [`candidate`] runs in each agent process and takes over the cell when its owner fails or
//!   releases it; [`owner`] is the async task that it then runs, and [`local_owner`] lets a later
//!   owner end it.
//! - [`partition`] decides how a fleet is divided into cells; each has an owner of its own.
//! - [`rows`] defines the stored rows, [`configuration`] and [`evacuation`] follow the operator's
//!   rows, and [`calls`] implements the RPCs between processes.
//!
//! Workers are called through [`worker_port`], the store through `teaseltrack_platform::store`.

pub mod agent;
pub mod calls;
pub mod candidate;
pub mod configuration;
pub mod constants;
pub mod entry;
pub mod evacuation;
pub mod local_owner;
pub mod owner;
pub mod partition;
pub mod rows;
pub mod worker_port;
