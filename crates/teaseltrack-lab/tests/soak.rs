//! Short soak with a fixed seed; longer soaks are run manually with `teaseltrack-lab soak`.

use std::time::Duration;

use teaseltrack_lab::{
    experiments::soak::{self, SoakOptions},
    report::Report,
};

#[tokio::test(flavor = "multi_thread")]
async fn soak_keeps_its_promises_seed_1() {
    let options = SoakOptions { seed: 1, duration: Duration::from_secs(10) };
    let mut report = Report::new("soak", options.seed);
    soak::run(options, &mut report).await.unwrap();
    assert!(report.metrics["answered"] > 0.0, "{}", report.text());
}
