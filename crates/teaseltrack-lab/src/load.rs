//! Open-loop load generator: requests are sent at random times, independent of response times.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::Full;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::outcome::Outcome;
use teaseltrack_daemon::{
    http_client::{CallError, HttpClient},
    problem::Problem,
};
use teaseltrack_wire::headers;
use tokio::{
    task::JoinSet,
    time::{sleep_until, timeout},
};

use crate::ledger::RequestLedger;

/// Time for which a caller waits for a response beyond its own timeout.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// Configuration of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller ports of entries, or targets for a baseline; used round-robin.
    pub addresses: Vec<SocketAddr>,
    /// Path prefix, `/{service}` for entries and empty for targets.
    pub prefix: String,
    /// Prefix of request identifiers, unique to the load.
    pub name: String,
    /// Mean requests per second of a Poisson process.
    pub rate_per_s: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Timeout that callers specify.
    pub timeout: Duration,
    /// RFC 9218 urgency.
    pub urgency: u32,
    /// Fraction of non-idempotent requests.
    pub post_ratio: f64,
    /// Team that the requests are accounted to.
    pub team: String,
    /// Seed of arrival times and methods.
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            prefix: "/tickets".to_owned(),
            name: "load".to_owned(),
            rate_per_s: 100.0,
            duration: Duration::from_secs(5),
            timeout: Duration::from_secs(2),
            urgency: 3,
            post_ratio: 0.5,
            team: "lab".to_owned(),
            seed: 1,
        }
    }
}

/// Outcome of a request as observed by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The complete, matching response was received within the timeout.
    Answered,
    /// The complete, matching response was received after the timeout.
    Late,
    /// Refused, with the guarantee that the request wasn't executed.
    NotRun,
    /// Refused without that guarantee.
    Unknown,
    /// Connecting failed, so the request wasn't sent.
    ConnectFailed,
    /// No response within the timeout and the margin.
    TimedOut,
    /// The connection failed before the response was complete.
    Truncated,
    /// A complete response didn't match the request, or was an error without problem details.
    Mismatched,
}

/// Result of a request as observed by its caller.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Identifier of the request.
    pub request_id: String,
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Time of sending.
    pub sent_at: Instant,
    /// Time from sending to the outcome.
    pub latency: Duration,
}

/// Results of all requests of a load.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Results in order of completion.
    pub requests: Vec<RequestResult>,
}

/// Outcomes of a load, checked against the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Complete responses within the timeout.
    pub answered: u64,
    /// Requests refused as not executed.
    pub not_run: u64,
    /// Requests refused with an unknown outcome.
    pub unknown: u64,
    /// Requests without a response or refusal within the timeout and the margin.
    pub lost: u64,
    /// Responses that appeared complete but didn't match the request.
    pub mismatched: u64,
    /// Requests whose connection failed before the response was complete.
    pub truncated: u64,
    /// Requests refused as not executed although the ledger shows an execution.
    pub false_not_run: u64,
    /// Non-idempotent requests executed more than once, of all loads in the ledger.
    pub duplicated: u64,
    /// Requests started while all slots of a target were in use, of all loads in the ledger.
    pub over_capacity: u64,
}

impl LoadResult {
    /// Counts the requests with an outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.requests.iter().filter(|request| request.outcome == outcome).count() as u64
    }

    /// Counts the requests by outcome.
    pub fn counts(&self) -> BTreeMap<RequestOutcome, u64> {
        let mut counts = BTreeMap::new();
        for request in &self.requests {
            *counts.entry(request.outcome).or_insert(0) += 1;
        }
        counts
    }

    /// Latency quantile of the requests answered within the timeout, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        let Ok(mut histogram) = histogram else { return f64::NAN };
        for request in
            self.requests.iter().filter(|request| request.outcome == RequestOutcome::Answered)
        {
            histogram.saturating_record(request.latency.as_micros() as u64);
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Checks the outcomes that callers observed against the ledger.
    pub fn verdict(&self, executed: &RequestLedger) -> Verdict {
        let false_not_run = self
            .requests
            .iter()
            .filter(|request| request.outcome == RequestOutcome::NotRun)
            .filter(|request| executed.runs.contains_key(&request.request_id))
            .count() as u64;
        let request_ids: BTreeSet<&str> =
            self.requests.iter().map(|request| request.request_id.as_str()).collect();
        debug_assert_eq!(request_ids.len(), self.requests.len());
        Verdict {
            answered: self.count(RequestOutcome::Answered),
            not_run: self.count(RequestOutcome::NotRun),
            unknown: self.count(RequestOutcome::Unknown),
            lost: self.count(RequestOutcome::TimedOut),
            mismatched: self.count(RequestOutcome::Mismatched),
            truncated: self.count(RequestOutcome::Truncated),
            false_not_run,
            duplicated: executed.duplicated,
            over_capacity: executed.over_capacity,
        }
    }
}

/// Sends a load and waits for the outcome of every request.
pub async fn send_load(plan: LoadPlan) -> LoadResult {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let client = HttpClient::new(plan.timeout + TIMEOUT_MARGIN);
    let plan = Arc::new(plan);
    let mut pending = JoinSet::new();
    let started_at = tokio::time::Instant::now();
    let mut send_offset = Duration::ZERO;
    let mut requests = Vec::new();
    for number in 0_u64.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        send_offset += Duration::from_secs_f64(-uniform.ln() / plan.rate_per_s);
        if send_offset >= plan.duration {
            break;
        }
        let is_post = rng.random::<f64>() < plan.post_ratio;
        sleep_until(started_at + send_offset).await;
        pending.spawn(send_one(plan.clone(), client.clone(), number, is_post));
        while let Some(Ok(result)) = pending.try_join_next() {
            requests.push(result);
        }
    }
    while let Some(result) = pending.join_next().await {
        requests.extend(result);
    }
    LoadResult { requests }
}

async fn send_one(
    plan: Arc<LoadPlan>,
    client: HttpClient,
    number: u64,
    is_post: bool,
) -> RequestResult {
    let request_id = format!("{}-{}-{number}", plan.name, plan.seed);
    let address = plan.addresses[number as usize % plan.addresses.len()];
    let sent_at = Instant::now();
    let (method, body) = if is_post {
        (Method::POST, Bytes::from_static(b"{}"))
    } else {
        (Method::GET, Bytes::new())
    };
    let mut expected = request_id.clone().into_bytes();
    expected.resize(expected.len() + body.len(), b'.');
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{}/sack", plan.prefix))
        .header(headers::REQUEST_ID, &request_id)
        .header(headers::TIMEOUT_MS, plan.timeout.as_millis().to_string())
        .header(headers::PRIORITY, format!("u={}", plan.urgency))
        .header(headers::TEAM, &plan.team)
        .body(Full::from(body))
        .unwrap_or_default();
    let response = timeout(plan.timeout + TIMEOUT_MARGIN, client.send(address, request)).await;
    let latency = sent_at.elapsed();
    let outcome = match response {
        Ok(Ok(response)) if response.status.is_success() => {
            // The target appends as many padding bytes as the request body has.
            let is_matching = response.body == expected;
            match (is_matching, latency <= plan.timeout) {
                (false, _) => RequestOutcome::Mismatched,
                (true, true) => RequestOutcome::Answered,
                (true, false) => RequestOutcome::Late,
            }
        }
        Ok(Ok(response)) => refusal_outcome(&response.body),
        Ok(Err(CallError::Unreachable { .. })) => RequestOutcome::ConnectFailed,
        Ok(Err(_)) if latency >= plan.timeout + TIMEOUT_MARGIN => RequestOutcome::TimedOut,
        Ok(Err(_)) => RequestOutcome::Truncated,
        Err(_) => RequestOutcome::TimedOut,
    };
    RequestResult { request_id, outcome, sent_at, latency }
}

fn refusal_outcome(body: &[u8]) -> RequestOutcome {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) if problem.outcome == Outcome::NotRun => RequestOutcome::NotRun,
        Ok(_) => RequestOutcome::Unknown,
        Err(_) => RequestOutcome::Mismatched,
    }
}
