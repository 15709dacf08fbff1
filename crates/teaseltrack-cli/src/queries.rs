//! Read-only queries.

use teaseltrack::{
    journal::{EntryBody, JournalEntry, SealedEntry},
    membership::Member,
    record::Record,
};
use teaseltrack_wire::operators::{ExplainedDecision, FleetStatus, HistoryPage, JobView};

use crate::{
    client::{CliError, OperatorClient},
    output::{Output, Table, format_time},
};

/// Lists records.
///
/// # Errors
///
/// The entry refused or didn't respond.
pub async fn list(client: &OperatorClient, kind: Option<&str>) -> Result<Output, CliError> {
    let query = kind.map_or(String::new(), |kind| format!("?kind={kind}"));
    let records: Vec<Record> = client.query(&format!("/records{query}")).await?;
    let mut table = Table::new(["KIND", "NAME", "SCHEMA", "REVISION", "AUTHOR", "IN FORCE"]);
    for record in &records {
        table.add_row([
            record.kind.as_str().to_owned(),
            record.name.clone(),
            record.schema_version.to_string(),
            record.revision.to_string(),
            record.author.clone(),
            if record.is_withdrawn { "no" } else { "yes" }.to_owned(),
        ]);
    }
    Ok(Output::new(&records, table.render()))
}

/// Shows a record, and the tasks of a job.
///
/// # Errors
///
/// The entry refused or didn't respond.
pub async fn show(client: &OperatorClient, kind: &str, name: &str) -> Result<Output, CliError> {
    let record: Record = client.query(&format!("/records/{kind}/{name}")).await?;
    let mut output = Output::record("record", &record);
    if kind != "job" {
        return Ok(output);
    }
    let Ok(job) = client.query::<JobView>(&format!("/jobs/{name}")).await else {
        return Ok(output);
    };
    let counts = job.counts;
    output.append(
        "tasks",
        &job,
        &format!(
            "tasks: {} pending, {} running, {} evicted, {} done, {} failed, {} parked, {} cancelled\n",
            counts.pending,
            counts.running,
            counts.evicted,
            counts.done,
            counts.failed,
            counts.parked,
            counts.cancelled
        ),
    );
    Ok(output)
}

/// Shows the decisions on a job and their reasons.
///
/// # Errors
///
/// The entry refused or didn't respond.
pub async fn explain(client: &OperatorClient, job: &str) -> Result<Output, CliError> {
    let decisions: Vec<ExplainedDecision> = client.query(&format!("/explain/{job}")).await?;
    let mut table = Table::new(["TIME", "ENTRY", "BY", "DECISION"]);
    for explained in &decisions {
        table.add_row([
            format_time(explained.at_ms),
            explained.sequence.to_string(),
            explained.author.clone(),
            serde_json::to_string(&explained.decision).unwrap_or_default(),
        ]);
    }
    Ok(Output::new(&decisions, table.render()))
}

/// Shows fleet membership as seen by the entry.
///
/// # Errors
///
/// The entry refused or didn't respond.
pub async fn status(client: &OperatorClient) -> Result<Output, CliError> {
    let status: FleetStatus = client.query("/status").await?;
    let mut table = Table::new(["INSTANCE", "ROLE", "ZONE", "STATE", "SERVICE", "SLOTS"]);
    for member in &status.members {
        table.add_row(member_cells(member));
    }
    let text = format!("configuration revision {}\n{}", status.revision, table.render());
    Ok(Output::new(&status, text))
}

fn member_cells(member: &Member) -> [String; 6] {
    let target = member.target.as_ref();
    [
        member.instance.clone(),
        format!("{:?}", member.role).to_lowercase(),
        member.zone.clone(),
        format!("{:?}", member.state).to_lowercase(),
        target.map_or("-".to_owned(), |target| target.service.clone()),
        target.map_or("-".to_owned(), |target| target.slots.to_string()),
    ]
}

/// Shows the journal entries of a stream, oldest first.
///
/// # Errors
///
/// The entry refused or didn't respond, or a journal entry can't be parsed.
pub async fn history(client: &OperatorClient, stream: &str) -> Result<Output, CliError> {
    let mut table = Table::new(["ENTRY", "TIME", "BY", "WHAT"]);
    let mut journal_entries: Vec<JournalEntry> = Vec::new();
    loop {
        let after = journal_entries.last().map_or(0, |entry| entry.sequence);
        let page = fetch_page(client, stream, after).await?;
        if page.entries.is_empty() {
            break;
        }
        for sealed in &page.entries {
            journal_entries.push(parse_entry(stream, sealed)?);
        }
    }
    for entry in &journal_entries {
        table.add_row([
            entry.sequence.to_string(),
            format_time(entry.at_ms),
            entry.author.clone(),
            summary(&entry.body),
        ]);
    }
    Ok(Output::new(&journal_entries, table.render()))
}

/// Fetches a page of a stream's entries after a sequence number.
///
/// # Errors
///
/// The entry refused or didn't respond.
pub async fn fetch_page(
    client: &OperatorClient,
    stream: &str,
    after: u64,
) -> Result<HistoryPage, CliError> {
    client.query(&format!("/history/{stream}?after={after}")).await
}

fn parse_entry(stream: &str, sealed: &SealedEntry) -> Result<JournalEntry, CliError> {
    sealed.open().map_err(|error| CliError::BadInput { message: format!("{stream}: {error}") })
}

fn summary(body: &EntryBody) -> String {
    match body {
        EntryBody::Change { action, record } => {
            format!("{action:?} {} {}", record.kind.as_str(), record.name).to_lowercase()
        }
        EntryBody::Ownership { owner, reason } => {
            let owner = owner.as_ref().map_or("nobody", |owner| owner.instance.as_str());
            format!("owner {owner}: {reason}")
        }
        EntryBody::Decisions(decisions) => format!("{} decisions", decisions.len()),
    }
}
