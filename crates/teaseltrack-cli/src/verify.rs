//! Proves the history whole: every hash is worked out again here, on the operator's side.

use serde::Serialize;
use snafu::ResultExt;
use teaseltrack::journal::ChainPosition;

use crate::{
    client::{BrokenHistorySnafu, CliError, OperatorClient},
    output::{Output, Table},
    queries::page_after,
};

/// A stream that was proved whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VerifiedStream {
    /// Name of the stream.
    pub stream: String,
    /// Entries that were proved.
    pub entries: u64,
    /// Hash of the last one.
    pub hash: String,
}

/// Proves all streams whole.
///
/// # Errors
///
/// The first entry that is missing or doesn't follow, a refusal, or no answer.
pub async fn verify_all(client: &OperatorClient) -> Result<Output, CliError> {
    let verified = verify_streams(client).await?;
    let mut table = Table::new(["STREAM", "ENTRIES", "HASH"]);
    for stream in &verified {
        table.row([stream.stream.clone(), stream.entries.to_string(), stream.hash.clone()]);
    }
    Ok(Output::new(&verified, table.text()))
}

/// Proves all streams whole, and says how long they are.
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
        let page = page_after(client, &stream, position.sequence).await?;
        if page.entries.is_empty() {
            let ChainPosition { sequence: entries, hash } = position;
            return Ok(VerifiedStream { stream, entries, hash });
        }
        for sealed in &page.entries {
            position.advance(&stream, Some(sealed)).context(BrokenHistorySnafu)?;
        }
    }
}
