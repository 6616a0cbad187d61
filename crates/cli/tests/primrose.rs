//! Runs the program against a fake daemon.

#[path = "../../operator/tests/fake/mod.rs"]
mod fake;

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

use fake::{FakeDaemon, Response};
use tempfile::TempDir;
use test_case::test_case;

const FLEET: &str = "\
version: 4
accounts:
- {name: kitchens, share: 4, keys: []}
pools:
- {name: chat, kind: {model: {model: plum-8b}}}
servers:
- {name: m1, pool: chat, address: '10.0.0.1:8000', domain: kumamoto, slots: 8}
";

const CHANGE: &str = "\
id: raise-kitchens
base: 4
actions:
- put_account:
    name: kitchens
    share: 6
    keys: []
";

const ACCEPTED: &str = r#"{"outcome":"accepted","version":5}"#;

const REFUSED: &str = r#"{"outcome":"refused","code":"duplicate_key","message":"same key","action":0,"field":"keys","version":4}"#;

const RECORDED: &str = r#"{"outcome":"recorded","number":7}"#;

const STATUS: &str = r#"{"host":"h1","version":5,"leader":"h1","term":2,"reachable_voters":2,"voters":3,"hosts":[
{"name":"h1","domain":"a","reachable":true,"version":5,"incarnation":1,"role":"leader","ready":true},
{"name":"h2","domain":"b","reachable":true,"version":5,"incarnation":2,"role":"voter","ready":true},
{"name":"h3","domain":"c","reachable":false,"version":null,"incarnation":null,"role":"voter","ready":false}]}"#;

const ACCOUNTS: &str = r#"{"host":"h1","accounts":[{"account":"kitchens","pool":"chat","share":4,"waiting":2,"in_flight":1,"service":800,"v":200}]}"#;

const COUNTERS: &str = r#"{"host":"h1","counters":[{"name":"refused.draining","value":3}]}"#;

const ORDERS: &str = r#"{"host":"h1","orders":[{"number":1,"id":"o1","server":"m1","work":{"load_model":{"model":"plum-8b"}},"state":{"failed":{"message":"no room"}}}]}"#;

/// A fake daemon that responds to each submission with the status and body in `submission`. Without them, it
/// truncates the response to a drain and sends none to other submissions.
fn daemon(submission: Option<(u16, &'static str)>) -> FakeDaemon {
    FakeDaemon::start(move |request| match (request.target.as_str(), submission) {
        ("GET /operator/configuration", _) => Response::Complete(200, FLEET.to_owned()),
        ("GET /operator/status", _) => Response::Complete(200, STATUS.to_owned()),
        ("GET /operator/accounts", _) => Response::Complete(200, ACCOUNTS.to_owned()),
        ("GET /operator/counters", _) => Response::Complete(200, COUNTERS.to_owned()),
        ("GET /operator/orders", _) => Response::Complete(200, ORDERS.to_owned()),
        ("POST /operator/orders" | "POST /operator/changes", Some((status, body))) => {
            Response::Complete(status, body.to_owned())
        }
        _ if request.body.contains("drain") => Response::Truncated("{".to_owned()),
        _ => Response::Missing,
    })
}

/// Runs the program in `folder`, with the address of `daemon` and the key in the environment.
fn run(folder: &Path, daemon: &FakeDaemon, arguments: &[&str]) -> Output {
    program(folder)
        .env("PRIMROSE_ADDRESSES", &daemon.address)
        .env("PRIMROSE_KEY", "secret")
        .args(arguments)
        .output()
        .expect("the program runs")
}

/// The program in `folder`, with an environment that sets nothing but `NO_COLOR`.
fn program(folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrose"));
    command.env_clear().env("NO_COLOR", "1").current_dir(folder);
    command
}

/// A temporary folder with a change and a configuration.
fn folder() -> TempDir {
    let folder = TempDir::new().expect("a folder");
    std::fs::write(folder.path().join("change.yaml"), CHANGE).expect("written");
    std::fs::write(folder.path().join("fleet.yaml"), FLEET).expect("written");
    folder
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Scripts of operators act on the exit code, and people on the message.
#[test_case(Some((200, ACCEPTED)), &["apply", "change.yaml"], 0, "accepted: change raise-kitchens made version 5"; "accepted")]
#[test_case(Some((200, ACCEPTED)), &["apply", "change.yaml", "--wait"], 0, "in force on 2 of 2 reachable hosts\nnot reachable: h3"; "accepted and waited")]
#[test_case(Some((409, REFUSED)), &["apply", "change.yaml"], 1, "change.yaml:7:11"; "refused")]
#[test_case(None, &["apply", "change.yaml"], 3, "primrose apply change.yaml"; "response lost")]
#[test_case(None, &["drain", "server", "m1", "--id", "d1"], 3, "primrose drain server m1 --id d1 --base 4"; "response to a drain lost")]
#[test_case(Some((200, RECORDED)), &["order", "load-model", "m1", "plum-8b", "--id", "o1"], 0, "recorded: order o1 has number 7"; "order recorded")]
#[test_case(Some((409, REFUSED)), &["order", "change-role", "m1", "decode"], 1, "same key"; "order refused")]
#[test_case(None, &["order", "load-adapter", "m1", "plum-8b", "stock", "--id", "o1"], 3, "primrose order --id o1 load-adapter m1 plum-8b stock"; "response to an order lost")]
#[test_case(None, &["order", "list"], 0, "1       o1  m1      load-model plum-8b  failed: no room"; "orders")]
#[test_case(None, &["apply", "fleet.yaml"], 2, "holds a configuration"; "a configuration instead of a change")]
#[test_case(None, &["apply", "missing.yaml"], 2, "cannot be read"; "no such file")]
#[test_case(None, &["aply", "change.yaml"], 2, "unexpected argument"; "no such command")]
#[test_case(None, &["status"], 0, "h3    c       no"; "status")]
#[test_case(None, &["accounts"], 0, "kitchens  chat  4      2        1          800      200"; "accounts")]
#[test_case(None, &["counters"], 0, "refused.draining  3"; "counters")]
#[test_case(None, &["show"], 0, "version: 4"; "show")]
fn exit_codes_and_messages(
    submission: Option<(u16, &'static str)>,
    arguments: &[&str],
    code: i32,
    shown: &str,
) {
    let folder = folder();
    let output = run(folder.path(), &daemon(submission), arguments);
    let printed = text(&output.stdout) + &text(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{printed}");
    assert!(printed.contains(shown), "{printed}");
}

/// Guards against a command for a resend that a shell splits or expands, so that it submits something else.
#[test_case("change.yaml"; "plain name")]
#[test_case("a change; echo x.yaml"; "separators")]
#[test_case("it's $HOME \"`id`\" *.yaml"; "quotes and expansions")]
fn a_shell_reads_the_resend_command_as_it_was(file: &str) {
    let folder = folder();
    std::fs::write(folder.path().join(file), CHANGE).expect("written");
    let apply = ["apply", file];
    let order = ["order", "--id", "o1", "load-adapter", "m1", file, ""];
    for arguments in [&apply[..], &order[..]] {
        let output = run(folder.path(), &daemon(None), arguments);
        let printed = text(&output.stderr);
        let command = printed.lines().last().expect("a command");
        let script = format!("primrose() {{ printf '<%s>' \"$@\"; }}\n{command}");
        let shell = Command::new("sh").args(["-c", &script]).output();
        let seen = text(&shell.expect("a shell").stdout);
        let expected: String = arguments.iter().map(|word| format!("<{word}>")).collect();
        assert_eq!(seen, expected, "{printed}");
    }
}

/// With `--json`, programs must find each value in a field of its own, without parsing sentences.
#[test_case(Some((200, ACCEPTED)), &["apply", "change.yaml", "--wait"], "outcome", "accepted"; "accepted")]
#[test_case(Some((409, REFUSED)), &["apply", "change.yaml"], "line", "7"; "refused")]
#[test_case(None, &["drain", "host", "h1", "--id", "d1"], "resend", "primrose drain host h1 --id d1 --base 4"; "unknown")]
#[test_case(None, &["status"], "leader", "h1"; "status")]
#[test_case(None, &["show"], "version", "4"; "show")]
#[test_case(None, &["check", "change.yaml"], "outcome", "valid"; "check")]
fn json_output_has_the_values_as_fields(
    submission: Option<(u16, &'static str)>,
    arguments: &[&str],
    key: &str,
    value: &str,
) {
    let folder = folder();
    let arguments = [arguments, &["--json"]].concat();
    let output = run(folder.path(), &daemon(submission), &arguments);
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(
        printed[key].to_string().trim_matches('"'),
        value,
        "{printed}"
    );
}

/// Guards against a repeated drain command that submits a different change: with other content it would be refused,
/// and with another id it would be applied a second time.
#[test]
fn a_repeated_drain_submits_the_same_change() {
    let folder = folder();
    let daemon = daemon(None);
    run(
        folder.path(),
        &daemon,
        &["drain", "server", "m1", "--id", "d1"],
    );
    let again = ["drain", "server", "m1", "--id", "d1", "--base", "4"];
    run(folder.path(), &daemon, &again);
    let requests = daemon.requests.lock().expect("no panic");
    let posted: Vec<_> = requests
        .iter()
        .filter(|request| request.target.starts_with("POST"))
        .collect();
    assert_eq!(
        posted[0].body,
        "id: d1\nbase: 4\nactions:\n- drain_server: m1\n"
    );
    assert_eq!(posted[0].body, posted[1].body);
    assert_eq!(posted[0].authorization, "Bearer secret");
}

/// Guards against a difference from a file with an outdated version: it would undo the changes in between unnoticed.
#[test]
fn diff_requires_a_file_with_the_current_version() {
    let folder = folder();
    let daemon = daemon(None);
    let edited = folder.path().join("edited.yaml");
    std::fs::write(&edited, FLEET.replace("share: 4", "share: 6")).expect("written");
    let output = run(
        folder.path(),
        &daemon,
        &["diff", "edited.yaml", "--id", "raise-kitchens"],
    );
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(
        printed,
        CHANGE.replace("keys: []\n", "keys: []\n    waiting_limit: null\n")
    );
    std::fs::write(&edited, FLEET.replace("version: 4", "version: 3")).expect("written");
    let output = run(folder.path(), &daemon, &["diff", "edited.yaml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("current version is 4"));
}

/// A change that cannot be applied must fail during review, with its location in the file, rather than when a script
/// applies it.
#[test]
fn check_tests_a_change_against_a_configuration_file() {
    let folder = folder();
    let check = ["check", "change.yaml", "--against", "fleet.yaml"];
    let check = |folder: &Path| {
        program(folder)
            .args(check)
            .output()
            .expect("the program runs")
    };
    assert_eq!(check(folder.path()).status.code(), Some(0));
    let broken = CHANGE.replace("put_account:", "drain_server: m9\n- put_account:");
    std::fs::write(folder.path().join("change.yaml"), broken).expect("written");
    let output = check(folder.path());
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text(&output.stderr).contains("change.yaml:4:17"),
        "{}",
        text(&output.stderr)
    );
}

/// Guards against using a key file that other users can read or replace: they could then change the fleet.
#[test_case(0o600, Some(0); "owner only")]
#[test_case(0o400, Some(0); "read only")]
#[test_case(0o640, Some(2); "readable by group")]
#[test_case(0o602, Some(2); "writable by others")]
fn key_files_must_be_private_to_their_owner(mode: u32, code: Option<i32>) {
    let folder = folder();
    let path = folder.path().join("operator.key");
    std::fs::write(&path, "from-file\n").expect("written");
    std::fs::set_permissions(&path, PermissionsExt::from_mode(mode)).expect("changed");
    let daemon = daemon(None);
    let output = program(folder.path())
        .args([
            "status",
            "--key-file",
            "operator.key",
            "--addresses",
            &daemon.address,
        ])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), code, "{}", text(&output.stderr));
    let requests = daemon.requests.lock().expect("no panic");
    let sent = requests
        .first()
        .map(|request| request.authorization.as_str());
    assert_eq!(
        sent,
        code.filter(|code| *code == 0).map(|_| "Bearer from-file")
    );
}

/// Guards against a command on the operations page that the program does not accept: operators would find out only
/// during an incident.
#[test]
fn every_command_on_the_operations_page_is_accepted() {
    let folder = folder();
    let page = include_str!("../../../docs/OPERATIONS.md");
    let commands = page
        .lines()
        .filter_map(|line| line.trim_start().strip_prefix("primrose "));
    let mut count = 0;
    for command in commands {
        let command = command.split(" > ").next().unwrap_or_default();
        let arguments: Vec<&str> = command.split_whitespace().collect();
        let output = program(folder.path())
            .args(&arguments)
            .output()
            .expect("the program runs");
        let printed = text(&output.stderr);
        // There is no fleet, so an accepted command fails later: for lack of addresses, a key or its input file.
        let accepted = output.status.success()
            || printed.contains("no addresses of daemons")
            || printed.contains("no key: give")
            || printed.contains("cannot be read");
        assert!(accepted, "primrose {command}: {printed}");
        count += 1;
    }
    assert!(count > 20, "found only {count} commands on the page");
}
