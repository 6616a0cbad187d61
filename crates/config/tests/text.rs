//! Reading and printing configurations and changes as YAML.

use primrose_config::{Action, Code, Configuration, text};
use test_case::test_case;

const CONFIGURATION: &str = "\
version: 7
# Comments and the order of items are free.
accounts:
- name: kitchens
  share: 4
  keys:
  - bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
  - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
- name: contracts
  share: 9
  keys: []
  waiting_limit: 20
pools:
- {name: chat, kind: {model: {model: plum-8b}}}
- {name: orders, kind: plain, output_estimate: 1}
servers:
- {name: m1, pool: chat, address: '10.0.0.1:8000', domain: kumamoto, slots: 8, checks_fencing: true}
- {name: m0, pool: chat, address: '10.0.0.2:8000', domain: kumamoto, slots: 8, state: leaving}
hosts:
- {name: e1, domain: kumamoto, peer: '10.0.1.1:7000', voter: true}
";

const CHANGE: &str = "\
id: add-stock
base: 7
actions:
- put_account:
    name: stock
    share: 2
    keys: []
- put_pool: {name: search, kind: {model: {model: plum-1b, input_weight: 1, output_weight: 3}}}
- drain_server: m1
";

/// If printing and reading did not give the same value, fields would be lost between review and submission.
#[test]
fn printed_texts_are_stable() {
    let configuration = text::read_configuration("fleet.yaml", CONFIGURATION).unwrap();
    let printed = text::print_configuration(&configuration);
    let again = text::read_configuration("fleet.yaml", &printed).unwrap();
    assert_eq!(again, configuration);
    assert_eq!(text::print_configuration(&again), printed);

    let change = text::read_change("change.yaml", CHANGE).unwrap();
    let printed = text::print_change(&change);
    assert_eq!(text::read_change("change.yaml", &printed).unwrap(), change);
    assert!(printed.contains("- drain_server: m1\n"), "{printed}");
    assert!(matches!(change.actions[1], Action::PutPool(_)));
}

/// With a wrong lookup, requests of an account would be refused or routed to a leaving server.
#[test]
fn lookups_find_the_items_of_the_text() {
    let fleet = text::read_configuration("fleet.yaml", CONFIGURATION).unwrap();
    let key = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
    let account = fleet.account_by_key(&key.parse().unwrap()).unwrap();
    assert_eq!(account.name.as_str(), "kitchens");
    assert_eq!(fleet.waiting_limit(account), fleet.settings.waiting_limit);
    assert_eq!(
        fleet.pool_by_model("plum-8b").unwrap().name.as_str(),
        "chat"
    );
    assert!(fleet.pool_by_model("chat").is_none());
    assert!(fleet.plain_pool("orders").is_some() && fleet.plain_pool("chat").is_none());
    let active: Vec<_> = fleet
        .active_servers("chat")
        .iter()
        .map(|s| s.name.as_str())
        .collect();
    assert_eq!(active, ["m1"]);
    assert!(fleet.active_servers("orders").is_empty());
}

/// With a wrong or missing location, an operator would correct the wrong line.
#[test_case("shar: 4", "share: 4", 5, 3, "did you mean `share`?"; "unknown key")]
#[test_case("share: 0", "share: 4", 5, 10, ""; "share of zero")]
#[test_case("share: four", "share: 4", 5, 10, ""; "not a number")]
#[test_case("name: kitchens\n  share: 9", "name: contracts\n  share: 9", 9, 9, ""; "name listed twice")]
#[test_case("pool: chit", "pool: chat", 17, 20, ""; "unknown pool")]
#[test_case("acounts:", "accounts:", 3, 1, "did you mean `accounts`?"; "unknown list")]
#[test_case("10.0.0.1:8000', domain: kumamoto, slots: 0", "10.0.0.1:8000', domain: kumamoto, slots: 8", 17, 77, ""; "no slots")]
fn errors_of_a_configuration_have_a_location(
    wrong: &str,
    right: &str,
    line: usize,
    column: usize,
    help: &str,
) {
    let broken = CONFIGURATION.replacen(right, wrong, 1);
    let error = text::read_configuration("fleet.yaml", &broken).expect_err("the text is wrong");
    assert_eq!(
        (error.line, error.column),
        (Some(line), Some(column)),
        "{error:?}"
    );
    assert_eq!(error.help.as_deref().unwrap_or_default(), help, "{error}");
}

/// As above, for a change that cannot be read or that is refused when it is applied.
#[test_case("shar: 2", "share: 2", 6, 5, "unknown field"; "unknown key")]
#[test_case("drain_sever: m1", "drain_server: m1", 9, 3, "unknown variant"; "unknown action")]
#[test_case("share: 0", "share: 2", 6, 12, "at least 1"; "share of zero")]
#[test_case("model: plum-8b,", "model: plum-1b,", 8, 34, "same model"; "model served twice")]
#[test_case("drain_server: m9", "drain_server: m1", 9, 17, "no server m9"; "unknown server")]
#[test_case("base: 6", "base: 7", 2, 7, "version 6"; "old base version")]
fn errors_of_a_change_have_a_location(
    wrong: &str,
    right: &str,
    line: usize,
    column: usize,
    message: &str,
) {
    let fleet = text::read_configuration("fleet.yaml", CONFIGURATION).expect("a valid text");
    let broken = CHANGE.replacen(right, wrong, 1);
    let error = match text::read_change("change.yaml", &broken) {
        Err(error) => error,
        Ok(change) => {
            let refusal = fleet.apply(&change).expect_err("the change is wrong");
            text::locate_refusal("change.yaml", &broken, &refusal)
        }
    };
    assert!(error.message.contains(message), "{error}");
    assert_eq!(
        (error.line, error.column),
        (Some(line), Some(column)),
        "{error:?}"
    );
}

/// Without the index of the refused action, the operator would have to search for it.
#[test]
fn a_refusal_has_the_index_of_the_action() {
    let fleet = text::read_configuration("fleet.yaml", CONFIGURATION).expect("a valid text");
    let broken = CHANGE.replace("drain_server: m1", "remove_pool: chat");
    let change = text::read_change("change.yaml", &broken).unwrap();
    let refusal = fleet.apply(&change).expect_err("the change is wrong");
    assert_eq!((refusal.code, refusal.action), (Code::InUse, Some(2)));
    assert_eq!(Configuration::default().version, 0);
}
