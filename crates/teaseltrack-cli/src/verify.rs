//! Verification of the history: recomputes every hash on the operator's machine.

use serde::Serialize;
use snafu::ResultExt;
use teaseltrack::journal::ChainPosition;

use crate::{
    client::{CliError, InconsistentHistorySnafu, OperatorClient},
    output::{Output, Table},
    queries::fetch_page,
};

/// Stream whose hash chain was verified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VerifiedStream {
    /// Name of the stream.
    pub stream: String,
    /// Number of verified entries.
    pub entries: u64,
    /// Hash of the last entry.
    pub hash: String,
}

/// Verifies the hash chains of all streams.
///
/// # Errors
///
/// An entry is missing or doesn't match the chain, or the entry daemon refused or didn't respond.
pub async fn verify_all(client: &OperatorClient) -> Result<Output, CliError> {
    let verified = verify_streams(client).await?;
    let mut table = Table::new(["STREAM", "ENTRIES", "HASH"]);
    for stream in &verified {
        table.add_row([stream.stream.clone(), stream.entries.to_string(), stream.hash.clone()]);
    }
    Ok(Output::new(&verified, table.render()))
}

/// Verifies the hash chains of all streams, and returns their lengths and last hashes.
///
/// # Errors
///
/// As [`verify_all`].
pub async fn verify_streams(client: &OperatorClient) -> Result<Vec<VerifiedStream>, CliError> {
    let streams: Vec<String> = client.query("/history").await?;
    let mut verified = Vec::with_capacity(streams.len());
    for stream in streams {
        verified.push(verify_stream(client, stream).await?);
    }
    Ok(verified)
}

async fn verify_stream(
    client: &OperatorClient,
    stream: String,
) -> Result<VerifiedStream, CliError> {
    let mut position = ChainPosition::default();
    loop {
        let page = fetch_page(client, &stream, position.sequence).await?;
        if page.entries.is_empty() {
            let ChainPosition { sequence: entries, hash } = position;
            return Ok(VerifiedStream { stream, entries, hash });
        }
        for sealed in &page.entries {
            position.advance(&stream, Some(sealed)).context(InconsistentHistorySnafu)?;
        }
    }
}
