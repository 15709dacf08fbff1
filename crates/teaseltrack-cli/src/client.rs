//! Client for the operator interface of an entry.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use teaseltrack::{ids::Revision, journal::ChainError, outcome::Outcome};
use teaseltrack_daemon::http_client::{CallError, HttpClient, parse_response};
use teaseltrack_wire::headers;

/// Exit code if the entry refused or can't be reached, so that nothing changed.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code for invalid input.
pub const EXIT_BAD_INPUT: u8 = 2;
/// Exit code if the outcome of a command is unknown.
pub const EXIT_UNKNOWN_OUTCOME: u8 = 3;
/// Exit code if the hash chain of the history is inconsistent.
pub const EXIT_INCONSISTENT_HISTORY: u8 = 4;

/// Timeout of a call to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Failure of a command or query.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The input is invalid.
    #[snafu(display("{message}"))]
    BadInput {
        /// Description of the error, with the name of the field.
        message: String,
    },
    /// The entry refused or didn't respond.
    #[snafu(display("{source}"))]
    Call {
        /// Cause.
        #[snafu(source(from(CallError, Box::new)))]
        source: Box<CallError>,
    },
    /// The hash chain of the history is inconsistent.
    #[snafu(display("{source}"))]
    InconsistentHistory {
        /// Cause.
        source: ChainError,
    },
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::BadInput { .. } => EXIT_BAD_INPUT,
            Self::InconsistentHistory { .. } => EXIT_INCONSISTENT_HISTORY,
            Self::Call { source } => match source.as_ref() {
                CallError::Refused { problem } if problem.outcome == Outcome::NotRun => {
                    EXIT_REFUSED
                }
                CallError::Unreachable { .. } => EXIT_REFUSED,
                _ => EXIT_UNKNOWN_OUTCOME,
            },
        }
    }
}

/// Client for the operator interface of an entry.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: HttpClient,
    entry: SocketAddr,
    author: String,
}

impl OperatorClient {
    /// Creates a client for commands by `author`.
    pub fn new(entry: SocketAddr, author: String) -> Self {
        Self { client: HttpClient::new(CALL_TIMEOUT), entry, author }
    }

    /// Sends a query.
    ///
    /// # Errors
    ///
    /// The entry refused or didn't respond.
    pub async fn query<T: DeserializeOwned>(&self, path_and_query: &str) -> Result<T, CliError> {
        self.client.get(self.entry, path_and_query).await.context(CallSnafu)
    }

    /// Sends a command; the entry refuses it if the record is no longer at `expected_revision`.
    ///
    /// # Errors
    ///
    /// The entry refused or didn't respond.
    pub async fn command<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        expected_revision: Option<Revision>,
        body: Option<&B>,
    ) -> Result<T, CliError> {
        let text = body.map(serde_json::to_vec).transpose();
        let text = text.map_err(|error| CliError::BadInput { message: error.to_string() })?;
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header(header::CONTENT_TYPE, "application/json")
            .header(headers::AUTHOR, &self.author);
        if let Some(revision) = expected_revision {
            request = request.header(header::IF_MATCH, format!("\"{revision}\""));
        }
        let request = request
            .body(Full::<Bytes>::from(text.unwrap_or_default()))
            .map_err(|error| CliError::BadInput { message: error.to_string() })?;
        let response = self.client.send(self.entry, request).await.context(CallSnafu)?;
        parse_response(&response).context(CallSnafu)
    }
}
