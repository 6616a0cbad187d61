//! Invalid settings files, and the documentation pages that list settings and counters.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;

use miette::Diagnostic;
use primrose_daemon::counters;
use primrose_daemon::settings::{self, Error, Invalid, Limits};
use test_case::test_case;

const VALID: &str = "fleet: test
host: v1
failure_domain: d1
caller_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
fleet_key_file: fleet.key
data_folder: data
peers:
- {host: v1, failure_domain: d1, peer_address: '127.0.0.1:1', voter: true}
";

/// Parses settings that must be refused; returns the error.
fn refused(text: &str) -> Invalid {
    match settings::parse("test.yaml", text) {
        Err(Error::Text(invalid)) => *invalid,
        other => panic!("expected an error in the text, got {other:?}"),
    }
}

/// Guards the tests of refusals below against passing because [`VALID`] itself has an error.
#[test]
fn valid_settings_are_accepted() {
    let settings = settings::parse("test.yaml", VALID).expect("valid settings");
    assert_eq!(settings.host.as_str(), "v1");
}

/// Guards against a misspelt key that is ignored, so that the daemon uses the default instead.
#[test_case("data_foldr: data\n", "data_foldr", "data_folder"; "at the top")]
#[test_case("limits: {queue_timeout: 5}\n", "queue_timeout", "queue_timeout_ms"; "in limits")]
#[test_case("log: {levl: info}\n", "levl", "level"; "in log")]
fn an_unknown_key_is_refused_with_its_position_and_the_nearest_key(
    line: &str,
    unknown: &str,
    nearest: &str,
) {
    let text = format!("{VALID}{line}");
    let invalid = refused(&text);
    assert!(invalid.message.contains(unknown), "{}", invalid.message);
    let help = invalid.help().expect("a suggestion").to_string();
    assert!(help.contains(&format!("'{nearest}'")), "{help}");
    let span = invalid.span.expect("a position in the text");
    let at = text.find(unknown).expect("the key");
    let line = |offset: usize| text[..offset].matches('\n').count();
    assert_eq!(
        line(span.offset()),
        line(at),
        "line of the error and line of the unknown key"
    );
}

/// Guards against a voter that keeps its votes in memory only, and against contradictory settings.
#[test_case("data_folder: data\n", "", "data_folder is missing"; "a voter without a data folder")]
#[test_case("voter: true", "voter: false", "at least one peer"; "no voter")]
#[test_case("failure_domain: d1\n", "failure_domain: d2\n", "differs from its own"; "two failure domains")]
#[test_case("data_folder: data\n", "data_folder: data\nlimits: {grace_ms: 999}\n", "limits.grace_ms must be at least 1000"; "no time for answers")]
fn contradictory_settings_are_refused(from: &str, to: &str, message: &str) {
    let invalid = refused(&VALID.replacen(from, to, 1));
    assert!(invalid.message.contains(message), "{}", invalid.message);
}

/// Runs `primrosed --check-settings` with a key file of the given mode and contents; returns whether it succeeded,
/// and its standard error.
fn check(mode: u32, key: &str) -> (bool, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.yaml");
    std::fs::write(&file, VALID).expect("a settings file");
    let key_file = folder.path().join("fleet.key");
    std::fs::write(&key_file, key).expect("a key file");
    let permissions = std::fs::Permissions::from_mode(mode);
    std::fs::set_permissions(&key_file, permissions).expect("the mode is set");
    let output = Command::new(env!("CARGO_BIN_EXE_primrosed"))
        .arg(&file)
        .arg("--check-settings")
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), text)
}

/// Guards against a fleet key that other users of the machine can read or replace.
#[test_case(0o640; "readable by the group")]
#[test_case(0o604; "readable by others")]
#[test_case(0o620; "writable by the group")]
fn a_key_file_that_others_can_access_is_refused(mode: u32) {
    let (success, text) = check(mode, "a fleet key for tests, 32 bytes or more");
    assert!(!success, "a key file with mode {mode:03o} was accepted");
    assert!(text.contains(&format!("{mode:03o}")), "{text}");
}

/// Guards the test above against a program that refuses every key file, and guards against a key so short that it can
/// be guessed.
#[test]
fn a_private_key_file_is_accepted_and_a_short_key_is_refused() {
    let (success, text) = check(0o600, "a fleet key for tests, 32 bytes or more");
    assert!(success, "{text}");
    let (success, text) = check(0o600, "short");
    assert!(!success, "a key of 5 bytes was accepted");
    assert!(text.contains("needs at least 32"), "{text}");
}

/// Returns the cells of those table rows of a documentation page that begin with a backquote.
fn rows(page: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    let text = std::fs::read_to_string(path).expect("the page");
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells = row.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().to_owned()).collect()
    })
    .collect()
}

fn first_cells(rows: &[Vec<String>]) -> Vec<&str> {
    rows.iter().map(|row| row[0].trim_matches('`')).collect()
}

/// Guards against a counter that is not documented, and a documented one that no longer exists.
#[test]
fn the_counters_page_lists_every_counter() {
    let rows = rows("counters.md");
    assert_eq!(first_cells(&rows), counters::ALL);
    for row in &rows {
        assert!(
            row.len() == 3 && row.iter().all(|cell| !cell.is_empty()),
            "expected three cells with text: {row:?}"
        );
    }
}

/// Returns the keys that are allowed where `text` has an unknown one, as the error message lists them.
fn keys(text: &str) -> Vec<String> {
    let invalid = refused(text);
    let (_, expected) = invalid
        .message
        .split_once("expected one of ")
        .expect("a list of keys");
    let keys = expected.split('`').skip(1).step_by(2);
    keys.map(str::to_owned).collect()
}

/// Guards against a setting that is not documented, and a documented one that no longer exists.
#[test]
fn the_settings_page_lists_every_key() {
    let rows = rows("settings.md");
    let mut listed = first_cells(&rows);
    listed.sort_unstable();
    let mut expected = keys("nonsense: 1\n");
    let nested = [
        ("peers", "peers: [{nonsense: 1}]\n"),
        ("limits", "limits: {nonsense: 1}\n"),
    ];
    for (part, text) in nested {
        expected.extend(keys(text).iter().map(|key| format!("{part}.{key}")));
    }
    // With only two keys, the message has "or" between them instead of "one of".
    let log = refused("log: {nonsense: 1}\n").message;
    for key in log.split('`').skip(3).step_by(2) {
        expected.push(format!("log.{key}"));
    }
    // The page lists only the keys inside these two.
    expected.retain(|key| key != "limits" && key != "log");
    expected.sort_unstable();
    assert_eq!(listed, expected);
}

/// Guards against a documented default that differs from the default in the code.
#[test]
fn the_settings_page_lists_the_default_limits() {
    let limits = Limits::default();
    let expected = [
        ("limits.max_body_bytes", limits.max_body_bytes),
        ("limits.queue_timeout_ms", limits.queue_timeout_ms),
        ("limits.answer_timeout_ms", limits.answer_timeout_ms),
        (
            "limits.waiting_per_host",
            u64::from(limits.waiting_per_host),
        ),
    ];
    let rows = rows("settings.md");
    for (key, value) in expected {
        let row = rows.iter().find(|row| row[0].trim_matches('`') == key);
        assert_eq!(row.expect("a row")[2], value.to_string(), "{key}");
    }
}
