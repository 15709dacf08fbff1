//! Operator that submits records and commands for experiments.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};
use teaseltrack::record::{Record, RecordKind};
use teaseltrack_cli::client::{CliError, OperatorClient};
use teaseltrack_wire::operators::{JobView, SubmittedRecord};

/// Simulated operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Client of an entry's operator port.
    pub client: OperatorClient,
}

/// Parameters of a job that the lab submits.
#[derive(Clone, Copy, Debug)]
pub struct LabJob {
    /// Number of tasks.
    pub tasks: u32,
    /// CPU demand of a task, in thousandths of a core.
    pub cpu_milli: u64,
    /// Run time of a task, in milliseconds.
    pub run_ms: u64,
    /// RFC 9218 urgency.
    pub urgency: u32,
}

impl LabJob {
    /// Body of the job's record.
    pub fn body(&self) -> Value {
        json!({
            "tasks": self.tasks,
            "cpu_milli": self.cpu_milli,
            "memory_mib": 64,
            "run_ms": self.run_ms,
            "team": "lab",
            "urgency": self.urgency,
        })
    }
}

impl Operator {
    /// Creates an operator that uses the operator port at the given address.
    pub fn new(entry: SocketAddr, author: &str) -> Self {
        Self { client: OperatorClient::new(entry, author.to_owned()) }
    }

    /// Submits a record.
    ///
    /// # Errors
    ///
    /// The command was refused, or no response was received.
    pub async fn submit(
        &self,
        kind: RecordKind,
        name: &str,
        schema_version: u32,
        body: Value,
    ) -> Result<Record, CliError> {
        let path = format!("/records/{}/{name}", kind.as_str());
        let submitted = SubmittedRecord { schema_version, body };
        self.client.command(Method::POST, &path, None, Some(&submitted)).await
    }

    /// Submits a service.
    ///
    /// # Errors
    ///
    /// The command was refused, or no response was received.
    pub async fn submit_service(&self, name: &str, timeout_ms: u64) -> Result<Record, CliError> {
        self.submit(RecordKind::Service, name, 2, json!({ "timeout_ms": timeout_ms })).await
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// The command was refused, or no response was received.
    pub async fn submit_job(&self, name: &str, job: LabJob) -> Result<Record, CliError> {
        self.submit(RecordKind::Job, name, 2, job.body()).await
    }

    /// Submits a notice to a watch.
    ///
    /// # Errors
    ///
    /// The command was refused, or no response was received.
    pub async fn notify(&self, watch: &str, notice: &str) -> Result<Record, CliError> {
        let path = format!("/notices/{watch}/{notice}");
        self.client.command(Method::POST, &path, None, None::<&()>).await
    }

    /// Queries a job with its tasks.
    ///
    /// # Errors
    ///
    /// The query was refused, or no response was received.
    pub async fn job(&self, name: &str) -> Result<JobView, CliError> {
        self.client.query(&format!("/jobs/{name}")).await
    }
}
