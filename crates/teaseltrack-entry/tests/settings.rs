//! Validation of the settings file with the `--check` flag.

use std::{fs, path::Path, process::Command};

use tempfile::TempDir;
use yare::parameterized;

const SAMPLE: &str = include_str!("../../../sample_settings/entry.toml");

/// Runs the entry with `--check`; returns its exit code and standard error.
fn check(settings: &str) -> (Option<i32>, String) {
    let directory = TempDir::new().unwrap();
    let path = directory.path().join("entry.toml");
    fs::write(&path, settings).unwrap();
    run(&path)
}

fn run(path: &Path) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_teaseltrack-entry"))
        .arg("--settings")
        .arg(path)
        .arg("--check")
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_sample() {
    assert_eq!(check(SAMPLE), (Some(0), String::new()));
}

#[test]
fn check_missing_file() {
    let (code, message) = run(Path::new("missing.toml"));
    assert_eq!(code, Some(2));
    assert!(message.contains("missing.toml"), "{message}");
}

#[parameterized(
    unknown_key = { "[instance]", "[instance]\nnickname = \"x\"", "nickname" },
    missing_unit = { "probe_period_ms = 1000", "probe_period = 1000", "probe_period" },
    zero_period = { "probe_period_ms = 1000", "probe_period_ms = 0", "control.probe_period_ms" },
    empty_zone = { "zone = \"zilina-a\"", "zone = \"\"", "instance.zone" },
    word_for_number = { "timeout_ms = 2000", "timeout_ms = \"soon\"", "timeout_ms" },
    no_address = { "[platform]\n", "[platform]\naddres = 1\n", "addres" },
    ratio_above_one = { "sampled_ratio = 0.01", "sampled_ratio = 1.5", "observation.traces.sampled_ratio" },
    no_concrete_ip = { "address = \"127.0.0.1:7101\"", "address = \"0.0.0.0:7101\"", "callers.address" },
)]
fn check_names_key(from: &str, to: &str, key: &str) {
    let settings = SAMPLE.replacen(from, to, 1);
    assert_ne!(settings, SAMPLE);
    let (code, message) = check(&settings);
    assert_eq!(code, Some(2), "{message}");
    assert!(message.contains(key), "{message}");
}
