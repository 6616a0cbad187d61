//! Restarts of daemons that keep or lose their disks (G8).

use hyper::StatusCode;
use primrose_config::{Action, spec};
use primrose_operator::api::Role;

use crate::harness::{Fleet, Host, VOTERS, account, eventually, follower, name, rounds, voter};

/// Number of changes before the restart. It exceeds the number up to which followers are sent single changes.
const CHANGES: u32 = 300;

/// Returns the share of the account in the configuration that `host` reports.
async fn share(host: &Host) -> u32 {
    let configuration = host.operator().configuration().await;
    let configuration = configuration.expect("a configuration");
    let account = configuration.accounts.get("tester");
    account.expect("the account").share
}

/// Guards against a fleet that has an older configuration than the newest accepted one after all its daemons were
/// killed and restarted, and against a host without a disk that serves requests before it has a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_newest_configuration_survives_a_restart_of_all_daemons() {
    let specs = [VOTERS[0], VOTERS[1], VOTERS[2], follower("e1", "d1")];
    let mut fleet = Fleet::start(&specs).await;
    let changes = CHANGES * rounds() as u32;
    let mut newest = 0;
    for number in 1..=changes {
        newest = fleet
            .change(&format!("c{number}"), vec![account(number)])
            .await;
    }
    // The last change was acknowledged just before, so an entry that is not yet synced to disk would be lost here.
    fleet.hosts.iter_mut().for_each(Host::kill);

    fleet.hosts[3].start();
    let diskless = &fleet.hosts[3];
    eventually("e1 answers", async || diskless.health("/healthz").await).await;
    assert_eq!(
        diskless.health("/readyz").await,
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    assert_eq!(
        diskless.version().await,
        None,
        "a host without a disk has no configuration after a restart"
    );
    let refused = diskless.send_chat("e1 has no configuration").await;
    refused.assert_refused(StatusCode::SERVICE_UNAVAILABLE, "no_configuration");

    for at in 0..3 {
        fleet.hosts[at].start();
    }
    let diskless = &fleet.hosts[3];
    let first = eventually("e1 has a configuration", async || diskless.version().await).await;
    assert_eq!(
        first, newest,
        "first version in force on e1 after the restart"
    );
    diskless.wait_ready().await;
    fleet.wait_version(newest).await;
    for host in &fleet.hosts {
        assert_eq!(share(host).await, changes, "{}", host.spec.name);
    }
    let next = fleet.change("after", vec![account(changes + 1)]).await;
    assert_eq!(next, newest + 1);
}

/// Waits until the host itself reports that it is a voter. Other hosts may still report the replica that it has lost.
async fn wait_voter(host: &Host) {
    eventually("the host is a voter", async || {
        let status = host.operator().status().await.ok()?;
        let own = status
            .hosts
            .iter()
            .find(|one| one.name.as_str() == host.spec.name)?;
        matches!(own.role, Role::Voter | Role::Leader).then_some(())
    })
    .await;
}

/// Guards against a voter with a new disk that never becomes part of the majority again, or that is reported as a
/// voter too early. Then the failure of a second voter right after the repair would stop the fleet or lose a change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_voter_can_fail_right_after_a_disk_was_replaced() {
    let mut fleet = Fleet::start(&VOTERS).await;
    let newest = fleet.change("before", vec![account(1)]).await;
    let leader = fleet.leader().await;
    let (replaced, killed) = ((leader + 1) % 3, leader);
    replace_disk(&mut fleet, replaced).await;
    wait_voter(&fleet.hosts[replaced]).await;
    fleet.hosts[killed].kill();
    let after = fleet.change("after", vec![account(2)]).await;
    assert_eq!(after, newest + 1);
    fleet.hosts[replaced].wait_version(after).await;
    assert_eq!(share(&fleet.hosts[replaced]).await, 2);
    fleet.hosts[killed].start();
    fleet.wait_version(after).await;
}

/// Guards against the repair of a voter that is never completed because the leader that began it was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_leader_completes_the_repair_of_a_disk() {
    let mut fleet = Fleet::start(&VOTERS).await;
    let mut newest = fleet.change("before", vec![account(1)]).await;
    for round in 0..3 * rounds() {
        let leader = fleet.leader().await;
        let replaced = (leader + 1) % 3;
        replace_disk(&mut fleet, replaced).await;
        // The repair has begun when the leader logs its first step.
        fleet.hosts[leader].wait_logged("AddLearner").await;
        fleet.hosts[leader].kill();
        fleet.hosts[leader].start();
        wait_voter(&fleet.hosts[replaced]).await;
        // Without the third voter, there is a majority only if the voter with the new disk is part of it.
        let third = (leader + 2) % 3;
        fleet.hosts[third].kill();
        let next = fleet
            .change(&format!("round-{round}"), vec![account(2)])
            .await;
        assert_eq!(next, newest + 1, "round {round}");
        newest = next;
        fleet.hosts[third].start();
        fleet.wait_version(newest).await;
    }
}

/// Guards against a retired voter that still counts for the majority, so that the next failure after its replacement
/// stops the fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_voter_can_fail_after_a_lost_host_was_replaced() {
    let mut fleet = Fleet::start(&VOTERS).await;
    fleet.hosts[2].kill();
    let added = fleet.add(voter("v4", "d3"));
    let host = spec::Host {
        name: name("v4"),
        domain: name("d3"),
        peer: fleet.hosts[added].peers,
        voter: true,
    };
    let replace = vec![Action::RetireHost(name("v3")), Action::AddHost(host)];
    let newest = fleet.change("replace", replace).await;
    fleet.hosts[added].start();
    wait_voter(&fleet.hosts[added]).await;
    let leader = fleet.leader().await;
    fleet.hosts[leader].kill();
    let after = fleet.change("after", vec![account(1)]).await;
    assert_eq!(after, newest + 1);
    fleet.hosts[added].wait_version(after).await;
}

/// Guards against a host without a disk that, after a restart, takes an older configuration than it had from a
/// lagging voter.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_a_disk_does_not_go_back_to_the_version_of_a_lagging_voter() {
    let specs = [VOTERS[0], VOTERS[1], VOTERS[2], follower("e1", "d1")];
    let mut fleet = Fleet::start(&specs).await;
    let before = fleet.change("before", vec![account(1)]).await;
    fleet.wait_version(before).await;
    fleet.hosts[0].kill();
    let newest = fleet.change("after", vec![account(2)]).await;
    fleet.hosts[3].wait_version(newest).await;
    fleet.hosts.iter_mut().for_each(Host::kill);
    // This voter is in the failure domain of the host and has missed the last change.
    fleet.hosts[0].start();
    fleet.hosts[3].start();
    fleet.hosts[3].wait_logged("host: e1").await;
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    fleet.hosts[1].start();
    fleet.hosts[2].start();
    let host = &fleet.hosts[3];
    let first = eventually("e1 has a configuration", async || host.version().await).await;
    assert_eq!(
        first, newest,
        "first version in force on e1 after the restart"
    );
}

async fn replace_disk(fleet: &mut Fleet, at: usize) {
    let host = &mut fleet.hosts[at];
    host.kill();
    std::fs::remove_dir_all(host.data_folder()).expect("the data folder is removed");
    host.start();
}
