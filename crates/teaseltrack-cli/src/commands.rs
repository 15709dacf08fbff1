//! Commands, each of which atomically changes one record.

use std::{fs, path::Path};

use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaseltrack::{
    ids::Revision,
    record::{Record, RecordKind, parse_spec},
};
use teaseltrack_wire::operators::SubmittedRecord;

use crate::{
    client::{CliError, OperatorClient},
    output::Output,
};

/// Record file written by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordFile {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// Schema version of the body.
    pub schema_version: u32,
    /// Specification of the record.
    pub body: Value,
}

impl RecordFile {
    /// Reads and validates a record file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or has an unknown field or an invalid value.
    pub fn read(path: &Path) -> Result<Self, CliError> {
        let bad_input = |message: String| CliError::BadInput {
            message: format!("{}: {message}", path.display()),
        };
        let text = fs::read_to_string(path).map_err(|error| bad_input(error.to_string()))?;
        let file: Self = toml::from_str(&text).map_err(|error| bad_input(error.to_string()))?;
        parse_spec(file.kind, file.schema_version, &file.body)
            .map_err(|error| bad_input(error.to_string()))?;
        Ok(file)
    }

    fn path(&self) -> String {
        record_path(self.kind.as_str(), &self.name)
    }

    fn submitted(&self) -> SubmittedRecord {
        SubmittedRecord { schema_version: self.schema_version, body: self.body.clone() }
    }
}

fn record_path(kind: &str, name: &str) -> String {
    format!("/records/{kind}/{name}")
}

/// Submits a new record.
///
/// # Errors
///
/// The input is invalid, or the entry refused or didn't respond.
pub async fn submit(client: &OperatorClient, file: &Path) -> Result<Output, CliError> {
    let file = RecordFile::read(file)?;
    let record: Record =
        client.command(Method::POST, &file.path(), None, Some(&file.submitted())).await?;
    Ok(Output::record("submitted", &record))
}

/// Replaces the body of a record.
///
/// # Errors
///
/// The input is invalid, or the entry refused or didn't respond.
pub async fn amend(
    client: &OperatorClient,
    file: &Path,
    revision: Option<Revision>,
) -> Result<Output, CliError> {
    let file = RecordFile::read(file)?;
    let path = file.path();
    let expected_revision = Some(resolve_revision(client, &path, revision).await?);
    let record: Record =
        client.command(Method::PUT, &path, expected_revision, Some(&file.submitted())).await?;
    Ok(Output::record("amended", &record))
}

/// Withdraws a record, so that it is no longer active.
///
/// # Errors
///
/// The entry refused or didn't respond.
pub async fn withdraw(
    client: &OperatorClient,
    kind: &str,
    name: &str,
    revision: Option<Revision>,
) -> Result<Output, CliError> {
    let path = record_path(kind, name);
    let expected_revision = Some(resolve_revision(client, &path, revision).await?);
    let record: Record =
        client.command(Method::DELETE, &path, expected_revision, None::<&()>).await?;
    Ok(Output::record("withdrawn", &record))
}

/// Sends a notice to a watch.
///
/// # Errors
///
/// The entry refused or didn't respond.
pub async fn notify(
    client: &OperatorClient,
    watch: &str,
    notice: &str,
) -> Result<Output, CliError> {
    let path = format!("/notices/{watch}/{notice}");
    let record: Record = client.command(Method::POST, &path, None, None::<&()>).await?;
    Ok(Output::record("started", &record))
}

async fn resolve_revision(
    client: &OperatorClient,
    path: &str,
    revision: Option<Revision>,
) -> Result<Revision, CliError> {
    if let Some(revision) = revision {
        return Ok(revision);
    }
    let record: Record = client.query(path).await?;
    Ok(record.revision)
}
