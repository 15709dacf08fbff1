//! Request path for callers: parsing, quota admission, routing to an agent, and safe retries.

pub mod agent_connection;
pub mod attempt;
pub mod dispatcher;
pub mod parse;
pub mod server;
