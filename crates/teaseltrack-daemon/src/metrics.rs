//! Metrics over UDP in the statsd format; off unless an address is set.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};
use serde::{Deserialize, Serialize};

/// Prefix of all metrics.
const PREFIX: &str = "teaseltrack";

/// Settings of the metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Where metrics go, `IP:port`; absent for nowhere.
    pub statsd_address: Option<SocketAddr>,
}

/// Sender of metrics, cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// A sender to the address in the settings, if there is one.
    ///
    /// # Errors
    ///
    /// The local socket can't be opened.
    pub fn new(settings: &MetricSettings) -> std::io::Result<Self> {
        let Some(address) = settings.statsd_address else { return Ok(Self::off()) };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self { client: Arc::new(client) })
    }

    /// A sender to nowhere.
    pub fn off() -> Self {
        Self { client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)) }
    }

    /// Counts an event.
    pub fn count(&self, name: &str) {
        drop(self.client.incr(name));
    }

    /// Counts an event with a tag.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1_i64).with_tag(tag, value).send();
    }

    /// Sets a level.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }

    /// Takes in a duration.
    pub fn time(&self, name: &str, duration: Duration) {
        drop(self.client.time(name, duration));
    }
}
