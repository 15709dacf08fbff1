//! Records and commands that experiments give.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};
use teaseltrack::record::{Record, RecordKind};
use teaseltrack_cli::client::{CliError, OperatorClient};
use teaseltrack_wire::operators::{JobView, SubmittedRecord};

/// An operator of the lab.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Calls to an entry.
    pub client: OperatorClient,
}

/// A job as the lab submits it.
#[derive(Clone, Copy, Debug)]
pub struct LabJob {
    /// Number of tasks.
    pub tasks: u32,
    /// Processor use of a task, in thousandths of a core.
    pub cpu_milli: u64,
    /// Run time of a task, in milliseconds.
    pub run_ms: u64,
    /// RFC 9218 urgency.
    pub urgency: u32,
}

impl LabJob {
    /// The body of the job's record.
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
    /// An operator who talks to the given operators' port.
    pub fn new(entry: SocketAddr, author: &str) -> Self {
        Self { client: OperatorClient::new(entry, author.to_owned()) }
    }

    /// Submits a record.
    ///
    /// # Errors
    ///
    /// A refusal or no answer.
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
    /// A refusal or no answer.
    pub async fn submit_service(&self, name: &str, timeout_ms: u64) -> Result<Record, CliError> {
        self.submit(RecordKind::Service, name, 2, json!({ "timeout_ms": timeout_ms })).await
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// A refusal or no answer.
    pub async fn submit_job(&self, name: &str, job: LabJob) -> Result<Record, CliError> {
        self.submit(RecordKind::Job, name, 2, job.body()).await
    }

    /// Tells a watch of a notice.
    ///
    /// # Errors
    ///
    /// A refusal or no answer.
    pub async fn notify(&self, watch: &str, notice: &str) -> Result<Record, CliError> {
        let path = format!("/notices/{watch}/{notice}");
        self.client.command(Method::POST, &path, None, None::<&()>).await
    }

    /// Shows a job with its tasks.
    ///
    /// # Errors
    ///
    /// A refusal or no answer.
    pub async fn job(&self, name: &str) -> Result<JobView, CliError> {
        self.client.query(&format!("/jobs/{name}")).await
    }
}
