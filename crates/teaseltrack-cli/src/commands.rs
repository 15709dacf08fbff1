//! Commands: each changes one record, or nothing.

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

/// A record as an operator writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordFile {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Its name.
    pub name: String,
    /// Version of the schema that the body is written in.
    pub schema_version: u32,
    /// The specification.
    pub body: Value,
}

impl RecordFile {
    /// Reads and checks a record's file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or has an unknown or impossible field.
    pub fn read(path: &Path) -> Result<Self, CliError> {
        let bad = |message: String| CliError::BadInput {
            message: format!("{}: {message}", path.display()),
        };
        let text = fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
        let file: Self = toml::from_str(&text).map_err(|error| bad(error.to_string()))?;
        parse_spec(file.kind, file.schema_version, &file.body)
            .map_err(|error| bad(error.to_string()))?;
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
/// Bad input, a refusal or no answer.
pub async fn submit(client: &OperatorClient, file: &Path) -> Result<Output, CliError> {
    let file = RecordFile::read(file)?;
    let record: Record =
        client.command(Method::POST, &file.path(), None, Some(&file.submitted())).await?;
    Ok(Output::record("submitted", &record))
}

/// Gives a record a new body.
///
/// # Errors
///
/// Bad input, a refusal or no answer.
pub async fn amend(
    client: &OperatorClient,
    file: &Path,
    revision: Option<Revision>,
) -> Result<Output, CliError> {
    let file = RecordFile::read(file)?;
    let path = file.path();
    let seen = Some(seen_revision(client, &path, revision).await?);
    let record: Record = client.command(Method::PUT, &path, seen, Some(&file.submitted())).await?;
    Ok(Output::record("amended", &record))
}

/// Takes a record out of force.
///
/// # Errors
///
/// A refusal or no answer.
pub async fn withdraw(
    client: &OperatorClient,
    kind: &str,
    name: &str,
    revision: Option<Revision>,
) -> Result<Output, CliError> {
    let path = record_path(kind, name);
    let seen = Some(seen_revision(client, &path, revision).await?);
    let record: Record = client.command(Method::DELETE, &path, seen, None::<&()>).await?;
    Ok(Output::record("withdrawn", &record))
}

/// Tells a watch of a notice.
///
/// # Errors
///
/// A refusal or no answer.
pub async fn notify(
    client: &OperatorClient,
    watch: &str,
    notice: &str,
) -> Result<Output, CliError> {
    let path = format!("/notices/{watch}/{notice}");
    let record: Record = client.command(Method::POST, &path, None, None::<&()>).await?;
    Ok(Output::record("started", &record))
}

async fn seen_revision(
    client: &OperatorClient,
    path: &str,
    given: Option<Revision>,
) -> Result<Revision, CliError> {
    if let Some(revision) = given {
        return Ok(revision);
    }
    let record: Record = client.query(path).await?;
    Ok(record.revision)
}
