//! Exit codes and error messages of the command line, run as a process.

use std::{fs, process::Command};

use tempfile::TempDir;
use yare::parameterized;

fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_teaseltrack")).args(args).output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[parameterized(
    unknown_version = { "kind = \"service\"\nname = \"a\"\nschema_version = 9\n[body]\ntimeout_ms = 5", "schema_version" },
    unknown_field = { "kind = \"service\"\nname = \"a\"\nschema_version = 2\n[body]\ntimeout = 5", "timeout" },
    impossible_value = { "kind = \"service\"\nname = \"a\"\nschema_version = 2\n[body]\ntimeout_ms = 0", "timeout_ms" },
    unknown_kind = { "kind = \"song\"\nname = \"a\"\nschema_version = 2\n[body]", "kind" },
    missing_name = { "kind = \"service\"\nschema_version = 2\n[body]", "name" },
)]
fn submit_names_field(record: &str, field: &str) {
    let directory = TempDir::new().unwrap();
    let path = directory.path().join("record.toml");
    fs::write(&path, record).unwrap();
    let (code, message) = run(&["submit", path.to_str().unwrap()]);
    assert_eq!(code, Some(2), "{message}");
    assert!(message.contains(field), "{message}");
}

#[test]
fn submit_samples_are_readable() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../sample_records");
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let file = teaseltrack_cli::commands::RecordFile::read(&path);
        assert!(file.is_ok(), "{}: {file:?}", path.display());
    }
}

#[test]
fn status_unreachable_entry() {
    let (code, message) = run(&["--entry", "127.0.0.1:1", "status"]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.contains("127.0.0.1:1"), "{message}");
}

#[test]
fn help_lists_exit_codes() {
    let output = Command::new(env!("CARGO_BIN_EXE_teaseltrack")).arg("--help").output().unwrap();
    assert!(String::from_utf8_lossy(&output.stdout).contains("Exit codes"));
}
