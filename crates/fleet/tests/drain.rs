//! Tests of the drained failure domains in the replicated state, and of the layouts of entries and snapshots.

#[path = "support/hosts.rs"]
mod hosts;
#[path = "support/store.rs"]
mod store;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hosts::{Folder, Host, TIMEOUT, document, form_fleet, leader};
use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_fleet::directory::Freshness;
use primrose_fleet::drain::{Action, List, MAX_DOMAINS, MAX_NAMES_BYTES, Order};
use primrose_fleet::entry::Entry;
use primrose_fleet::message::{Heartbeat, Packet, Stamp, Status};
use primrose_fleet::replica::{Current, Input, MAX_ORDER_WAIT_MS, Outcome};
use primrose_fleet::storage::Storage;
use primrose_fleet::store::{Reply, Store, Stored};
use primrose_place::crossing::{MAX_SHARES_BYTES, Share};
use primrose_place::drained::Set;
use primrose_place::quarantine::list::{Clearance, MAX_NOTICES, Notice, Record};
use primrose_place::quarantine::{Key, QUARANTINE_MS, Register};
use primrose_place::speed::{Figures, MAX_FIGURES_BYTES};
use primrose_wire::datagram;
use primrose_wire::key::Key as FleetKey;
use store::store;
use test_case::test_case;

/// The entry of a document with an engine pool and a plain pool, as the build 7b70528 wrote it.
const OLD_ENTRY: &str = "070101720168012f02018827d804000101046465736b01020102046465736bb6020140b09a1a0180900100000000007cf\
     54005706c61696e060080800180808002b8179875000101016101016b00027b7d";

fn old_bytes(prefix: &[u8]) -> Vec<u8> {
    let digits = OLD_ENTRY.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(pair, 16).expect("a byte")
    });
    prefix.iter().copied().chain(bytes).collect()
}

fn assert_old_content(stored: &Stored) {
    let document = &stored.document;
    assert_eq!((document.version, &*stored.source), (7, &b"{}"[..]));
    let pools = document.pools.iter();
    let pools: Vec<(&str, u32)> = pools.map(|p| (&*p.name, p.max_connections)).collect();
    assert_eq!(pools, [("desk", 310), ("plain", 6)]);
    let engine = document.pools[0].engine.as_ref().expect("an engine");
    assert_eq!((engine.slots, engine.cache_tokens), (64, 429_360));
    assert!(document.pools.iter().all(|pool| pool.warmup.is_none()));
    let accounts = document.accounts.as_ref().expect("accounts");
    assert_eq!((accounts.len(), &*accounts[0].keys[0]), (1, "k"));
}

// A fleet that is upgraded must keep its configuration, whether it is in an entry or in a snapshot.
#[test]
fn entries_and_snapshots_of_the_first_layout_are_read() {
    let Ok(Entry::Document(stored)) = Entry::decode(&old_bytes(&[])) else {
        panic!("the entry is no document");
    };
    assert_old_content(&stored);
    let store = Store::restore(&old_bytes(&[1])).expect("a snapshot");
    assert_old_content(store.newest().expect("a document"));
    assert_eq!(**store.drained(), List::default());
    let empty = Store::restore(&[0]).expect("a snapshot");
    assert!(empty.newest().is_none());
    // The same content in the layout of this build.
    let entry = Entry::Document(stored);
    let bytes = entry.encode().expect("the entry can be encoded");
    assert_eq!(Entry::decode(&bytes).expect("an entry"), entry);
}

// A version of the greatest value begins with as many bytes 0xFF as an old entry can, and must not look like a new one.
#[test]
fn old_entry_with_the_greatest_version_is_read() {
    let mut bytes = vec![0xff; 9];
    bytes.push(1);
    bytes.extend(&old_bytes(&[])[1..]);
    let Ok(Entry::Document(stored)) = Entry::decode(&bytes) else {
        panic!("the entry is no document");
    };
    assert_eq!(stored.document.version, u64::MAX);
}

// Bytes of a later layout must be refused as a whole, or a host would lose what it does not understand.
#[test_case(&[0xff; 10]; "nothing after the marker")]
#[test_case(&[&[0xff; 10][..], &[9, 0, 0, 0]].concat(); "unknown variant or version")]
fn unknown_layouts_are_refused(bytes: &[u8]) {
    assert!(Entry::decode(bytes).is_err());
    assert!(Store::restore(bytes).is_err());
}

fn order(domain: &str, action: Action, at_ms: u64) -> Order {
    Order {
        domain: domain.into(),
        action,
        at_ms,
    }
}

fn drain(domain: &str) -> Order {
    order(domain, Action::Drain, 5)
}

fn release(domain: &str) -> Order {
    order(domain, Action::Return, 5)
}

// A repeated order must be acknowledged without a change, or its repetition would hide when the domain was drained, and
// the state must be the same after a restart from a snapshot.
#[test]
fn orders_make_the_list() {
    let mut store = Store::default();
    let mut apply = |order| store.apply(Entry::Order(order));
    assert_eq!(apply(release("west")), Reply::Ordered);
    assert_eq!(apply(drain("west")), Reply::Ordered);
    assert_eq!(apply(drain("east")), Reply::Ordered);
    assert_eq!(apply(order("west", Action::Drain, 9)), Reply::Ordered);
    assert_eq!(store.put(document(3)), Reply::Stored);
    let list = Arc::clone(store.drained());
    let entries = list.domains.iter();
    let entries: Vec<_> = entries
        .map(|domain| (&*domain.name, domain.since_ms, domain.order))
        .collect();
    assert_eq!(entries, [("east", 5, 2), ("west", 5, 1)]);
    assert_eq!(list.revision, 2);
    let snapshot = store.snapshot().expect("the state can be encoded");
    let mut store = Store::restore(&snapshot).expect("the state can be decoded");
    assert_eq!(*store.drained(), list);
    assert_eq!(
        store.newest().map(|stored| stored.document.version),
        Some(3)
    );
    assert_eq!(store.apply(Entry::Order(release("west"))), Reply::Ordered);
    let set = store.drained().set();
    assert_eq!((set.revision, set.contains("west")), (3, false));
    assert!(set.contains("east"));
}

// The names are sent in every status. Without a bound, orders would make it too long for a datagram, and no host would
// hear of anything any more.
#[test]
fn list_is_bounded() {
    let mut list = List::default();
    for number in 0..MAX_DOMAINS {
        assert!(list.apply(&drain(&format!("d{number}"))).is_ok());
    }
    let full = list.clone();
    assert!(list.apply(&drain("other")).is_err());
    assert!(list.apply(&drain("d0")).is_ok(), "a repeated order");
    assert_eq!(list, full);
    assert!(list.apply(&release("d0")).is_ok());
    assert!(list.apply(&drain(&"x".repeat(MAX_NAMES_BYTES))).is_err());
}

// The longest list must fit into a status beside the quarantined parts that are told in a datagram, and into a heartbeat, or
// hosts would hear of neither, however many parts and groups there are.
#[test_case(1, 0 ; "single parts")]
#[test_case(3, 0 ; "groups of 3 parts")]
#[test_case(4, 10 ; "groups of 4 parts and parts that were cleared")]
#[test_case(40, 0 ; "groups of 40 parts")]
#[test_case(40, 300 ; "parts that were cleared")]
fn longest_list_fits_into_a_datagram(group: u64, clearances: u64) {
    let mut list = List::default();
    while list
        .apply(&drain(&format!("domain-{}", list.domains.len())))
        .is_ok()
    {}
    let host = |number: u8| Name::new(&format!("127.250.250.{number}")).expect("a valid name");
    let stamp = Stamp {
        incarnation: u64::MAX,
        sent: Time::from_ms(1 << 40),
    };
    let freshness = Freshness {
        fingerprint: u64::MAX,
        age_ms: 1 << 40,
    };
    let notices: Vec<Notice> = (0..MAX_NOTICES as u64)
        .map(|number| Notice {
            keys: (0..group)
                .map(|part| Key {
                    pool: u64::MAX,
                    part: u64::MAX - number * group - group + part,
                })
                .collect(),
            remaining_ms: QUARANTINE_MS,
            repeats: u32::MAX,
            age_ms: 1 << 35,
        })
        .collect();
    let cleared = (0..clearances).map(|part| Clearance {
        key: Key { pool: 1, part },
        age_ms: 1,
    });
    let mut register = Register::default();
    let record = Record {
        notices,
        clearances: cleared.collect(),
    };
    register.merge(Time::from_ms(1 << 40), &record);
    let quarantine = register.summary(Time::from_ms(1 << 40));
    assert_ne!(quarantine.digest, 0);
    assert_eq!(quarantine.latest.notices.is_empty(), group > 36);
    assert_eq!(quarantine.latest.clearances.is_empty(), clearances == 0);
    let core_hosts: Vec<Name> = (100..108).map(host).collect();
    let figures = vec![Figures {
        pool: "x".repeat(MAX_FIGURES_BYTES - 22).into(),
        tokens_per_ms: 1.0,
        ms_per_million_pairs: 1.0,
        step_ms: 1.0,
        step_ms_per_thousand: 1.0,
        first_ms: 1.0,
    }];
    let status = Packet::Status(Status {
        host: host(200),
        incarnation: u64::MAX,
        domain: "a-long-name-of-a-domain".into(),
        core_hosts: core_hosts.clone(),
        leader: Some(host(200)),
        term: 1 << 32,
        version: u64::MAX,
        directory: Some(freshness),
        answers: stamp,
        entry_hosts: 1_000,
        smallest_capacity: u32::MAX,
        largest_capacity: u32::MAX,
        quarantine: quarantine.clone(),
        crossing: vec![Share {
            pool: "x".repeat(MAX_SHARES_BYTES - 11).into(),
            home: "home".into(),
            per_mille: 1_000,
        }],
        figures: figures.clone(),
        drained: list.set(),
    });
    let heartbeat = Packet::Heartbeat(Heartbeat {
        host: host(200),
        core_hosts,
        directory: Some(freshness),
        stamp,
        answers: Some(stamp),
        quarantine,
        figures,
        drained: list.set(),
    });
    let key = FleetKey::new(&[1; 32]).expect("32 bytes are enough");
    for packet in [status, heartbeat] {
        let sealed = datagram::seal(&key, &packet);
        assert!(sealed.is_ok(), "{:?}", sealed.err());
    }
}

// Statuses arrive from several hosts and out of order. An older list must not revoke a newer order.
#[test]
fn older_set_replaces_no_newer_one() {
    let set = |revision, domains: &[&str]| Set {
        revision,
        domains: domains.iter().map(|&name| name.into()).collect(),
    };
    let mut held = Set::default();
    assert!(held.merge(&set(4, &["west", "east"])));
    assert!(!held.merge(&set(3, &[])) && !held.merge(&set(4, &[])));
    assert!(held.contains("east") && held.contains("west") && !held.contains("north"));
    assert!(held.merge(&set(5, &[])));
    assert!(!held.contains("west"));
}

fn open(folders: &[Folder]) -> Vec<Host> {
    hosts::open(folders.iter().map(|folder| Storage::folder(folder.path())))
}

fn folders() -> Vec<Folder> {
    let folders = (0..3).map(|_| Folder::new());
    folders.collect()
}

/// Copies of the files, which stand for the disks after a kill: the threads of the first replicas still use theirs.
fn copy(folders: &[Folder]) -> Vec<Folder> {
    let copied = self::folders();
    for (from, to) in folders.iter().zip(&copied) {
        for entry in std::fs::read_dir(from.path()).expect("the folder can be read") {
            let path = entry.expect("the entry can be read").path();
            let name = Path::new(path.file_name().expect("a name"));
            std::fs::copy(&path, to.path().join(name)).expect("the file can be copied");
        }
    }
    copied
}

/// Waits until the replica publishes that the domain is drained.
async fn until_published(host: &Host, domain: &str) {
    let mut drained = host.handle.follow_drained();
    let is_drained = drained.wait_for(|list| list.contains(domain));
    let reached = tokio::time::timeout(TIMEOUT, is_drained).await;
    let _ = reached.expect("the order arrives in time");
}

// An acknowledged order must hold on all hosts and after a power loss of all of them, whether it is in an entry or, after
// 40 documents, in a snapshot.
#[test_case(0; "in an entry")]
#[test_case(40; "in a snapshot")]
#[tokio::test]
async fn acknowledged_order_survives_a_power_loss(documents: u64) {
    let disks = folders();
    {
        let hosts = open(&disks);
        form_fleet(&hosts);
        give_order(&hosts, drain("west")).await;
        for version in 1..=documents {
            store(&hosts, version).await;
        }
        for host in &hosts {
            until_published(host, "west").await;
        }
    }
    let copied = copy(&disks);
    let hosts = open(&copied);
    let current = read(&hosts).await;
    assert!(current.drained.contains("west"));
    assert_eq!(current.drained.revision, 1);
    for host in &hosts {
        until_published(host, "west").await;
    }
}

// The leader may be lost at any moment after it has acknowledged an order. The next leader must have the order.
#[tokio::test]
async fn acknowledged_order_survives_the_loss_of_the_leader() {
    let disks = folders();
    let hosts = open(&disks);
    form_fleet(&hosts);
    // The lost host must be the one that has acknowledged the order and leads.
    let old = loop {
        let host = give_order(&hosts, drain("west")).await;
        if host.handle.state().is_leading {
            break host;
        }
    };
    {
        let mut cut_off = old.cut_off.lock().expect("not poisoned");
        cut_off.push(old.name.clone());
    }
    let rest = hosts.iter().filter(|host| host.name != old.name);
    let rest: Vec<Host> = rest.cloned().collect();
    let current = read(&rest).await;
    assert!(current.drained.contains("west"));
    // A repeated order is acknowledged without a change.
    give_order(&rest, drain("west")).await;
    let current = read(&rest).await;
    assert_eq!(current.drained.revision, 1);
    // The lost leader cannot reach a majority and must acknowledge nothing.
    let outcome = old.handle.order(release("west"), Time::now());
    let outcome = tokio::time::timeout(TIMEOUT, outcome).await;
    let outcome = outcome.expect("the old leader steps down");
    assert!(matches!(outcome, Outcome::Unknown | Outcome::NotLeader));
}

/// Gives the order at whichever host leads, as an operator does: on a busy machine the leader may change. Returns the host
/// that has acknowledged it.
async fn give_order(hosts: &[Host], order: Order) -> &Host {
    let given = async {
        loop {
            let host = leader(hosts).await;
            match host.handle.order(order.clone(), Time::now()).await {
                Outcome::Applied(reply) => return (host, reply),
                Outcome::NotLeader | Outcome::Unknown => {}
                other => panic!("{other:?}"),
            }
        }
    };
    let acknowledged = tokio::time::timeout(TIMEOUT, given).await;
    let (host, reply) = acknowledged.expect("an answer in time");
    assert_eq!(reply, Reply::Ordered);
    host
}

/// Reads at whichever host leads, which refuses if another one has become the leader meanwhile.
async fn read(hosts: &[Host]) -> Current {
    let answered = async {
        loop {
            if let Some(current) = leader(hosts).await.handle.read().await {
                return current;
            }
        }
    };
    let current = tokio::time::timeout(TIMEOUT, answered).await;
    current.expect("a leader answers in time")
}

/// Cuts the leader `old` off until another host leads.
async fn change_leader(hosts: &[Host], old: &Host) {
    let cut_off = || old.cut_off.lock().expect("not poisoned");
    cut_off().push(old.name.clone());
    let is_changed = async {
        let others = || hosts.iter().filter(|host| host.name != old.name);
        while !others().any(|host| host.handle.state().is_leading) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let changed = tokio::time::timeout(TIMEOUT, is_changed).await;
    changed.expect("another leader");
    cut_off().clear();
}

/// Introduces a new core host to all others every 250 ms until it is stopped, as core hosts do.
async fn introduce(newcomer: &Host, others: &[Host]) {
    loop {
        let introduction = newcomer.handle.state().introduction;
        for other in others {
            let answer = other.handle.introduce(introduction.clone()).await;
            if answer.expect("an answer").is_retired && !introduction.is_empty {
                newcomer.handle.send(Input::Reset);
            }
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

// A core host that takes the place of another one, or that lost its disk, gets a snapshot and not the entry of the order. An
// introduction to a host that does not lead is lost, so the new host must get the list also if the first one is.
#[test_case(false; "with one leader")]
#[test_case(true; "after a change of the leader")]
#[tokio::test]
async fn new_core_host_gets_the_list(has_new_leader: bool) {
    let mut disks = folders();
    disks.push(Folder::new());
    let hosts = open(&disks);
    form_fleet(&hosts[..3]);
    give_order(&hosts[..3], drain("west")).await;
    for version in 1..=40 {
        store(&hosts[..3], version).await;
    }
    let newcomer = &hosts[3];
    assert_eq!(**newcomer.handle.follow_drained().borrow(), List::default());
    if has_new_leader {
        let old = leader(&hosts[..3]).await;
        change_leader(&hosts[..3], old).await;
        let introduction = newcomer.handle.state().introduction;
        let answer = old.handle.introduce(introduction).await;
        answer.expect("an answer");
    }
    tokio::select! {
        () = introduce(newcomer, &hosts[..3]) => {}
        () = until_published(newcomer, "west") => {}
    }
}

// A host that was frozen must not carry out an order that its author has given up and may have revoked elsewhere.
#[tokio::test]
async fn order_that_waited_too_long_is_not_appended() {
    let disks = folders();
    let hosts = open(&disks[..1]);
    form_fleet(&hosts);
    let leader = leader(&hosts).await;
    let received = Time::now();
    tokio::time::sleep(Duration::from_millis(MAX_ORDER_WAIT_MS + 50)).await;
    let outcome = leader.handle.order(drain("west"), received).await;
    assert_eq!(outcome, Outcome::Expired);
    let current = leader.handle.read().await.expect("the leader can read");
    assert_eq!(*current.drained, List::default());
}
