//! Exposition of metrics to a scraper.

use std::time::Duration;

use teaseltrack_daemon::{
    http_client::HttpClient,
    metrics::{Metrics, serve_metrics},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[test]
fn text_counter_by_tag() {
    let metrics = Metrics::scrape_only();
    metrics.count_tagged("submissions", "outcome", "accepted");
    metrics.count_tagged("submissions", "outcome", "accepted");
    metrics.count_tagged("submissions", "outcome", "refused");
    metrics.count("starts_refused");
    let text = metrics.text().unwrap();
    for line in [
        "teaseltrack_submissions_total{outcome=\"accepted\"} 2",
        "teaseltrack_submissions_total{outcome=\"refused\"} 1",
        "teaseltrack_starts_refused_total 1",
    ] {
        assert!(text.contains(line), "{line} missing in\n{text}");
    }
}

#[test]
fn text_gauge_last_value() {
    let metrics = Metrics::scrape_only();
    metrics.gauge("jobs_open", 7);
    metrics.gauge("jobs_open", 3);
    assert!(metrics.text().unwrap().contains("teaseltrack_jobs_open 3"));
}

#[test]
fn text_duration_in_seconds() {
    let metrics = Metrics::scrape_only();
    metrics.time("commit", Duration::from_millis(3));
    let text = metrics.text().unwrap();
    assert!(text.contains("teaseltrack_commit_seconds_count 1"), "{text}");
    assert!(text.contains("teaseltrack_commit_seconds_bucket{le=\"0.002\"} 0"), "{text}");
    assert!(text.contains("teaseltrack_commit_seconds_bucket{le=\"0.004\"} 1"), "{text}");
}

#[tokio::test]
async fn serve_metrics_scrape() {
    let metrics = Metrics::scrape_only();
    metrics.count("starts_refused");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_metrics(listener, metrics, CancellationToken::new()));
    let request = http::Request::get(format!("http://{address}/metrics"))
        .body(http_body_util::Full::default())
        .unwrap();
    let response = HttpClient::new(Duration::from_secs(10)).send(address, request).await.unwrap();
    let text = String::from_utf8(response.body.to_vec()).unwrap();
    assert!(text.contains("teaseltrack_starts_refused_total 1"), "{text}");
    assert!(text.ends_with("# EOF\n"), "{text}");
}
