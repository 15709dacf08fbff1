//! Requests from callers: parsed, admitted by quota, sent to an agent, retried where that is safe.

pub mod agent_connection;
pub mod attempt;
pub mod dispatcher;
pub mod parse;
pub mod server;
