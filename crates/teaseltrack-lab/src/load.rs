//! An open-loop load generator: requests come when they come, however slow the answers.

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

/// Time for which a caller waits beyond its own time-out.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant figures of latencies.
const LATENCY_FIGURES: u8 = 3;

/// Load to be generated.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Callers' ports, or targets for a baseline; requests take turns.
    pub addresses: Vec<SocketAddr>,
    /// Path prefix, `/{service}` for entries and empty for targets.
    pub prefix: String,
    /// Prefix of request identifiers; differs between loads.
    pub name: String,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Time-out that callers ask for.
    pub timeout: Duration,
    /// RFC 9218 urgency.
    pub urgency: u32,
    /// Share of requests that aren't idempotent.
    pub post_ratio: f64,
    /// Team that pays.
    pub team: String,
    /// Seed of arrivals and methods.
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

/// How one request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The whole answer to its own request came in time.
    Answered,
    /// The whole answer came after the time-out.
    Late,
    /// Refused as proved not to have run.
    NotRun,
    /// Refused with an unknown outcome.
    Unknown,
    /// The connection failed before any answer, so that nothing was promised.
    ConnectFailed,
    /// No answer within the time-out and the caller's patience.
    TimedOut,
    /// The answer stopped short.
    Truncated,
    /// A whole answer to another request came.
    Mismatched,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// The request.
    pub request_id: String,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time to its end.
    pub latency: Duration,
}

/// All requests of a load.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Requests by the order of their end.
    pub requests: Vec<RequestResult>,
}

/// How a load ended, checked against what ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whole answers in time.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused as unknown.
    pub unknown: u64,
    /// Callers left without answer or refusal.
    pub lost: u64,
    /// Answers that stopped short or belong to another request, and came as if whole.
    pub mismatched: u64,
    /// Answers cut off, as the caller could see.
    pub truncated: u64,
    /// Refused as not run, although they ran.
    pub false_not_run: u64,
    /// Requests that aren't idempotent and ran more than once.
    pub duplicated: u64,
    /// Starts beyond a target's slots.
    pub over_capacity: u64,
}

impl LoadResult {
    /// Requests with the outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.requests.iter().filter(|request| request.outcome == outcome).count() as u64
    }

    /// Requests by outcome.
    pub fn counts(&self) -> BTreeMap<RequestOutcome, u64> {
        let mut counts = BTreeMap::new();
        for request in &self.requests {
            *counts.entry(request.outcome).or_insert(0) += 1;
        }
        counts
    }

    /// Latency at a quantile of the requests that were answered in time, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_FIGURES);
        let Ok(mut histogram) = histogram else { return f64::NAN };
        for request in
            self.requests.iter().filter(|request| request.outcome == RequestOutcome::Answered)
        {
            histogram.saturating_record(request.latency.as_micros() as u64);
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Checks the callers' view against what ran.
    pub fn verdict(&self, ran: &RequestLedger) -> Verdict {
        let false_not_run = self
            .requests
            .iter()
            .filter(|request| request.outcome == RequestOutcome::NotRun)
            .filter(|request| ran.runs.contains_key(&request.request_id))
            .count() as u64;
        let own: BTreeSet<&str> =
            self.requests.iter().map(|request| request.request_id.as_str()).collect();
        debug_assert_eq!(own.len(), self.requests.len());
        Verdict {
            answered: self.count(RequestOutcome::Answered),
            not_run: self.count(RequestOutcome::NotRun),
            unknown: self.count(RequestOutcome::Unknown),
            lost: self.count(RequestOutcome::TimedOut),
            mismatched: self.count(RequestOutcome::Mismatched),
            truncated: self.count(RequestOutcome::Truncated),
            false_not_run,
            duplicated: ran.duplicated,
            over_capacity: ran.over_capacity,
        }
    }
}

/// Sends a load and waits for all answers.
pub async fn send_load(plan: LoadPlan) -> LoadResult {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let client = HttpClient::new(plan.timeout + CALLER_PATIENCE);
    let plan = Arc::new(plan);
    let mut pending = JoinSet::new();
    let started_at = tokio::time::Instant::now();
    let mut at = Duration::ZERO;
    let mut requests = Vec::new();
    for number in 0_u64.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / plan.rate_per_s);
        if at >= plan.duration {
            break;
        }
        let is_post = rng.random::<f64>() < plan.post_ratio;
        sleep_until(started_at + at).await;
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
    let answer = timeout(plan.timeout + CALLER_PATIENCE, client.send(address, request)).await;
    let latency = sent_at.elapsed();
    let outcome = match answer {
        Ok(Ok(answer)) if answer.status.is_success() => {
            // The target pads its answer to the length of the request's body.
            let is_own = answer.body == expected;
            match (is_own, latency <= plan.timeout) {
                (false, _) => RequestOutcome::Mismatched,
                (true, true) => RequestOutcome::Answered,
                (true, false) => RequestOutcome::Late,
            }
        }
        Ok(Ok(answer)) => outcome_of_refusal(&answer.body),
        Ok(Err(CallError::Unreachable { .. })) => RequestOutcome::ConnectFailed,
        Ok(Err(_)) if latency >= plan.timeout + CALLER_PATIENCE => RequestOutcome::TimedOut,
        Ok(Err(_)) => RequestOutcome::Truncated,
        Err(_) => RequestOutcome::TimedOut,
    };
    RequestResult { request_id, outcome, sent_at, latency }
}

fn outcome_of_refusal(body: &[u8]) -> RequestOutcome {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) if problem.outcome == Outcome::NotRun => RequestOutcome::NotRun,
        Ok(_) => RequestOutcome::Unknown,
        Err(_) => RequestOutcome::Mismatched,
    }
}
