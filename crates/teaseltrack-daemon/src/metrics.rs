//! Metrics, pushed over UDP in the statsd format if an address is configured, and exposed for
//! scraping in the OpenMetrics text format by [`serve_metrics`].

use std::{
    collections::HashMap,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::http_server::{ResponseBody, full_body, serve};

/// Prefix of all metric names.
const PREFIX: &str = "teaseltrack";

/// Help text that a scrape shows for every metric; points to its documentation.
const HELP: &str = "See docs/OPERATIONS.md";
/// Content type of a scrape response.
const SCRAPE_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum concurrent connections of scrapers.
const MAX_SCRAPERS: usize = 8;
/// Upper bound of the first histogram bucket, in seconds; covers calls within one instance.
const FIRST_BUCKET_S: f64 = 0.001;
/// Number of histogram buckets; bounds double up to 32 s.
const BUCKETS: u16 = 16;

/// Metric settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Address of the statsd server, `IP:port`; `None` disables pushing.
    pub statsd_address: Option<SocketAddr>,
}

type Labels = Vec<(String, String)>;

/// Metrics exposed for scraping, by name.
#[derive(Debug, Default)]
struct Exposition {
    registry: Registry,
    counters: HashMap<String, Counter>,
    tagged_counters: HashMap<String, Family<Labels, Counter>>,
    gauges: HashMap<String, Gauge>,
    tagged_gauges: HashMap<String, Family<Labels, Gauge>>,
    histograms: HashMap<String, Histogram>,
}

/// Recorder of metrics; cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    exposition: Arc<Mutex<Exposition>>,
}

impl Metrics {
    /// Creates a recorder that also pushes to the statsd address, if one is configured.
    ///
    /// # Errors
    ///
    /// The local socket can't be opened.
    pub fn new(settings: &MetricSettings) -> std::io::Result<Self> {
        let Some(address) = settings.statsd_address else { return Ok(Self::scrape_only()) };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        Ok(Self::with_client(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))))
    }

    /// Creates a recorder that exposes metrics for scraping and pushes nothing.
    pub fn scrape_only() -> Self {
        Self::with_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    fn with_client(client: StatsdClient) -> Self {
        Self { client: Arc::new(client), exposition: Arc::default() }
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        drop(self.client.incr(name));
        self.lock_exposition().counter(name).inc();
    }

    /// Increments a counter with one label.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1_i64).with_tag(tag, value).send();
        let labels = vec![(tag.to_owned(), value.to_owned())];
        self.lock_exposition().tagged_counter(name).get_or_create(&labels).inc();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
        self.lock_exposition().gauge(name).set(i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// Sets a gauge with one label.
    pub fn gauge_tagged(&self, name: &str, tag: &str, tag_value: &str, value: u64) {
        self.client.gauge_with_tags(name, value).with_tag(tag, tag_value).send();
        let labels = vec![(tag.to_owned(), tag_value.to_owned())];
        let mut exposition = self.lock_exposition();
        let gauge = exposition.tagged_gauge(name).get_or_create(&labels);
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// Records a duration; exposed as a histogram in seconds.
    pub fn time(&self, name: &str, duration: Duration) {
        drop(self.client.time(name, duration));
        self.lock_exposition().histogram(name).observe(duration.as_secs_f64());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// A metric can't be encoded.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.lock_exposition().registry)?;
        Ok(text)
    }

    fn lock_exposition(&self) -> MutexGuard<'_, Exposition> {
        self.exposition.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Exposition {
    fn counter(&mut self, name: &str) -> &Counter {
        self.counters.entry(name.to_owned()).or_insert_with(|| {
            let counter = Counter::default();
            self.registry.register(full_name(name), HELP, counter.clone());
            counter
        })
    }

    fn tagged_counter(&mut self, name: &str) -> &Family<Labels, Counter> {
        self.tagged_counters.entry(name.to_owned()).or_insert_with(|| {
            let family = Family::default();
            self.registry.register(full_name(name), HELP, family.clone());
            family
        })
    }

    fn gauge(&mut self, name: &str) -> &Gauge {
        self.gauges.entry(name.to_owned()).or_insert_with(|| {
            let gauge = Gauge::default();
            self.registry.register(full_name(name), HELP, gauge.clone());
            gauge
        })
    }

    fn tagged_gauge(&mut self, name: &str) -> &Family<Labels, Gauge> {
        self.tagged_gauges.entry(name.to_owned()).or_insert_with(|| {
            let family = Family::default();
            self.registry.register(full_name(name), HELP, family.clone());
            family
        })
    }

    fn histogram(&mut self, name: &str) -> &Histogram {
        self.histograms.entry(name.to_owned()).or_insert_with(|| {
            let histogram = Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS));
            let metric_name = format!("{}_seconds", full_name(name));
            self.registry.register(metric_name, HELP, histogram.clone());
            histogram
        })
    }
}

/// Serves all metrics, at any path, until `closing` is cancelled.
pub async fn serve_metrics(listener: TcpListener, metrics: Metrics, closing: CancellationToken) {
    let handler = move |_: Request<Incoming>| std::future::ready(scrape(&metrics));
    serve(listener, MAX_SCRAPERS, closing, handler).await;
}

fn scrape(metrics: &Metrics) -> Response<ResponseBody> {
    let Ok(text) = metrics.text() else {
        let mut response = Response::new(full_body("a metric can't be written as text"));
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return response;
    };
    let mut response = Response::new(full_body(text));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(SCRAPE_TYPE));
    response
}

fn full_name(name: &str) -> String {
    format!("{PREFIX}_{name}")
}
