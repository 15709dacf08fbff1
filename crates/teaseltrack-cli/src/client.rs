//! Calls to an entry's operators' port.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use teaseltrack::{ids::Revision, journal::ChainError, outcome::Outcome};
use teaseltrack_daemon::http_client::{CallError, HttpClient, parse_response};
use teaseltrack_wire::headers;

/// Exit code of a refusal.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code of bad input.
pub const EXIT_BAD_INPUT: u8 = 2;
/// Exit code of a command whose outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 3;
/// Exit code of a history that isn't whole.
pub const EXIT_BROKEN_HISTORY: u8 = 4;

/// Time for an entry to answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Why a command or query failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The input can't be used.
    #[snafu(display("{message}"))]
    BadInput {
        /// What is wrong, naming the field.
        message: String,
    },
    /// The entry refused, or didn't answer.
    #[snafu(display("{source}"))]
    Call {
        /// Cause.
        #[snafu(source(from(CallError, Box::new)))]
        source: Box<CallError>,
    },
    /// The history isn't whole.
    #[snafu(display("{source}"))]
    BrokenHistory {
        /// Cause.
        source: ChainError,
    },
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::BadInput { .. } => EXIT_BAD_INPUT,
            Self::BrokenHistory { .. } => EXIT_BROKEN_HISTORY,
            Self::Call { source } => match source.as_ref() {
                CallError::Refused { problem } if problem.outcome == Outcome::NotRun => {
                    EXIT_REFUSED
                }
                CallError::Unreachable { .. } => EXIT_REFUSED,
                _ => EXIT_UNKNOWN,
            },
        }
    }
}

/// Client of an entry's operators' port.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: HttpClient,
    entry: SocketAddr,
    author: String,
}

impl OperatorClient {
    /// A client on behalf of an operator.
    pub fn new(entry: SocketAddr, author: String) -> Self {
        Self { client: HttpClient::new(TIMEOUT), entry, author }
    }

    /// Gets an answer to a query.
    ///
    /// # Errors
    ///
    /// A refusal or no answer.
    pub async fn query<T: DeserializeOwned>(&self, path_and_query: &str) -> Result<T, CliError> {
        self.client.get(self.entry, path_and_query).await.context(CallSnafu)
    }

    /// Gives a command; `seen_revision` guards against other operators' changes.
    ///
    /// # Errors
    ///
    /// A refusal or no answer.
    pub async fn command<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        seen_revision: Option<Revision>,
        body: Option<&B>,
    ) -> Result<T, CliError> {
        let text = body.map(serde_json::to_vec).transpose();
        let text = text.map_err(|error| CliError::BadInput { message: error.to_string() })?;
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header(header::CONTENT_TYPE, "application/json")
            .header(headers::AUTHOR, &self.author);
        if let Some(revision) = seen_revision {
            request = request.header(header::IF_MATCH, format!("\"{revision}\""));
        }
        let request = request
            .body(Full::<Bytes>::from(text.unwrap_or_default()))
            .map_err(|error| CliError::BadInput { message: error.to_string() })?;
        let answer = self.client.send(self.entry, request).await.context(CallSnafu)?;
        parse_response(&answer).context(CallSnafu)
    }
}
