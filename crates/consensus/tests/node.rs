//! Tests of single protocol rules, on nodes without disks.

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::disk::Recovered;
use primrose_consensus::entry::{Entry, Hard, Payload, Position};
use primrose_consensus::membership::{Change, Id, Member, Membership, Refusal};
use primrose_consensus::message::{Body, Message, Outcome, Stamp};
use primrose_consensus::node::{Error, Node, Options, Role};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn host() -> Name {
    Name::new("host").expect("a valid name")
}

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        position: Position { term, index },
        payload: Payload::Empty,
    }
}

fn initial_membership(count: u64) -> Membership {
    let member = |id| Member {
        id: Id(id),
        host: host(),
        voter: true,
    };
    Membership::new((1..=count).map(member).collect())
}

/// The recovered state of a node. The first entry of its log is a membership of `voters` voters, followed by
/// `entries`.
fn recovered(id: u64, voters: u64, entries: &[Entry]) -> Recovered {
    let first = Entry {
        position: Position { term: 1, index: 1 },
        payload: Payload::Members(initial_membership(voters)),
    };
    let mut all = vec![first];
    all.extend_from_slice(entries);
    let term = all[all.len() - 1].position.term;
    Recovered {
        id: Id(id),
        hard: Hard {
            term,
            voted_for: None,
            commit: 0,
        },
        snapshot: None,
        entries: all,
    }
}

fn empty(id: u64) -> Recovered {
    Recovered {
        id: Id(id),
        hard: Hard::default(),
        snapshot: None,
        entries: Vec::new(),
    }
}

fn node(id: u64, voters: u64) -> Node {
    let options = Options::default();
    Node::new(recovered(id, voters, &[]), options, at(1), id)
}

/// Acknowledges all outputs as persisted and returns the messages.
fn flush(node: &mut Node) -> Vec<Message> {
    let mut messages = Vec::new();
    while let Some(ready) = node.ready() {
        node.persisted();
        messages.extend(ready.messages);
    }
    messages
}

/// Exchanges messages at `now` until there are none left. Messages to replicas that are not in `nodes` are dropped.
fn exchange(nodes: &mut [&mut Node], now: Time) {
    loop {
        let mut messages = Vec::new();
        for node in nodes.iter_mut() {
            messages.extend(flush(node));
        }
        if messages.is_empty() {
            return;
        }
        for message in messages {
            if let Some(node) = nodes.iter_mut().find(|n| n.id() == message.to) {
                node.step(now, message);
            }
        }
    }
}

/// Ticks the nodes every 20 ms for `ms` and returns the new time.
fn run(nodes: &mut [&mut Node], from: Time, ms: u64) -> Time {
    let end = from.plus_ms(ms);
    let mut now = from;
    while now < end {
        now = now.plus_ms(20);
        nodes.iter_mut().for_each(|node| node.tick(now));
        exchange(nodes, now);
    }
    now
}

/// Three connected nodes, of which the first is the leader, and the current time.
fn three_nodes() -> ([Node; 3], Time) {
    three_nodes_with(&Options::default())
}

fn three_nodes_with(options: &Options) -> ([Node; 3], Time) {
    let start = |id| Node::new(recovered(id, 3, &[]), options.clone(), at(1), id);
    let mut nodes = [start(1), start(2), start(3)];
    let mut now = at(700);
    let [first, second, third] = &mut nodes;
    // Only the first node ticks, so only its election timer expires. The others grant their vote, because they have
    // had no contact with a leader since their start.
    while first.role() != Role::Leader {
        now = now.plus_ms(20);
        first.tick(now);
        second.step(now, time_message(2));
        third.step(now, time_message(3));
        exchange(&mut [first, second, third], now);
    }
    let now = run(&mut [first, second, third], now, 200);
    (nodes, now)
}

/// A message of term 0, which has no effect but to advance the clock of the receiver.
fn time_message(to: u64) -> Message {
    Message {
        from: Id(99),
        to: Id(to),
        term: 0,
        body: Body::Transfer,
    }
}

fn vote(from: u64, to: u64, term: u64, pre: bool) -> Message {
    let last = Position {
        term: 100,
        index: 100,
    };
    Message {
        from: Id(from),
        to: Id(to),
        term,
        body: Body::Vote {
            last,
            pre,
            transfer: false,
        },
    }
}

fn grants(messages: &[Message]) -> bool {
    let granted = |m: &Message| matches!(m.body, Body::VoteReply { granted: true, .. });
    messages.iter().any(granted)
}

// A vote during the lease of a leader would allow two leaders at the same time. A replica must not vote right after a
// restart either, because it may have acknowledged a heartbeat just before.
#[test_case(true ; "pre-vote")]
#[test_case(false ; "vote")]
fn no_vote_while_a_leader_is_alive(pre: bool) {
    let ([_, mut follower, _], now) = three_nodes();
    let term = follower.term();
    follower.step(now.plus_ms(300), vote(3, 2, term + 1, pre));
    assert!(!grants(&flush(&mut follower)));
    assert_eq!(follower.term(), term);
    follower.step(now.plus_ms(399), time_message(2));
    follower.step(now.plus_ms(601), vote(3, 2, term + 1, pre));
    assert!(grants(&flush(&mut follower)));

    let mut restarted = Node::new(recovered(2, 3, &[]), Options::default(), at(1000), 2);
    restarted.step(at(1400), vote(3, 2, 5, pre));
    assert!(!grants(&flush(&mut restarted)));
}

/// Options without a lease, as where machines may be suspended.
fn without_lease() -> Options {
    Options {
        lease_reads: false,
        keeps_lease_over_restart: false,
        ..Options::default()
    }
}

/// A voter of `voters` that starts at `now`, without a lease to wait for.
fn restarted(id: u64, voters: u64, entries: &[Entry], now: Time) -> Node {
    Node::new(recovered(id, voters, entries), without_lease(), now, id)
}

fn leads(node: &Node) -> bool {
    node.role() == Role::Leader
}

// After the loss of all hosts, callers were refused for up to a second while every voter waited for its election
// timeout. The last voter that a majority needs must lead as soon as it has started, whenever the others did.
#[test]
fn last_voter_of_a_majority_leads_when_it_starts() {
    let mut first = restarted(1, 5, &[], at(1));
    let mut second = restarted(2, 5, &[], at(1));
    let now = run(&mut [&mut first, &mut second], at(1), 3_000);
    assert!(
        !leads(&first) && !leads(&second),
        "two of five are no majority"
    );
    let mut third = restarted(3, 5, &[], now);
    third.tick(now);
    exchange(&mut [&mut first, &mut second, &mut third], now);
    assert!(
        leads(&third),
        "the third voter waits although a majority is there"
    );
}

// The last voter to start cannot win if it lacks entries. One that has them must then stand without waiting for its
// own timer.
#[test]
fn voter_with_longer_log_leads_when_last_voter_starts() {
    let entries = [entry(1, 2)];
    let mut first = restarted(1, 3, &entries, at(1));
    let now = run(&mut [&mut first], at(1), 3_000);
    let mut second = restarted(2, 3, &[], now);
    second.tick(now);
    exchange(&mut [&mut first, &mut second], now);
    assert!(
        leads(&first),
        "the voter with the longer log does not stand"
    );
}

// A voter that restarts while a leader is alive must not replace it, however often it stands.
#[test]
fn restarted_voter_does_not_replace_a_live_leader() {
    let ([mut leader, mut follower, _], now) = three_nodes_with(&without_lease());
    let term = leader.term();
    let mut third = restarted(3, 3, &[], now);
    third.tick(now);
    exchange(&mut [&mut leader, &mut follower, &mut third], now);
    run(&mut [&mut leader, &mut follower, &mut third], now, 2_000);
    assert!(leads(&leader), "the restarted voter replaced the leader");
    assert_eq!(leader.term(), term);
}

// If the messages of a start are lost, the voters must stand again soon, and ever less often while no majority is
// there: an isolated host must not flood the network.
#[test]
fn restarted_voter_stands_less_and_less_often() {
    let mut alone = restarted(1, 3, &[], at(1));
    let mut now = at(1);
    let mut sent = Vec::new();
    while now < at(10_000) {
        now = now.plus_ms(5);
        alone.tick(now);
        if !flush(&mut alone).is_empty() {
            sent.push(now.since(at(1)));
        }
    }
    assert!(sent[0] <= 5 && sent[1] <= 100, "candidacies at {sent:?} ms");
    assert!(sent.len() < 30, "{} candidacies in 10 s", sent.len());
}

// A candidate that lacks committed entries would replace them if it were elected.
#[test_case(true ; "pre-vote")]
#[test_case(false ; "vote")]
fn no_vote_for_a_shorter_log(pre: bool) {
    let entries = [entry(1, 2), entry(200, 3)];
    let mut voter = Node::new(recovered(2, 3, &entries), Options::default(), at(1), 2);
    voter.step(at(300), time_message(2));
    voter.step(at(600), vote(3, 2, 300, pre));
    assert!(!grants(&flush(&mut voter)));
}

// If a vote is lost in a crash, the replica can vote twice in one term.
#[test]
fn a_vote_is_persisted_before_it_is_sent() {
    let mut voter = node(2, 3);
    voter.step(at(300), time_message(2));
    voter.step(at(600), vote(3, 2, 5, false));
    let ready = voter.ready().expect("a vote");
    assert!(ready.sync && grants(&ready.messages));
    let hard = ready.hard.expect("the hard state has changed");
    assert_eq!((hard.term, hard.voted_for), (5, Some(Id(3))));

    let before = recovered(2, 3, &[]);
    let mut restarted = Node::new(Recovered { hard, ..before }, Options::default(), at(1), 2);
    restarted.step(at(300), time_message(2));
    restarted.step(at(600), vote(1, 2, 5, false));
    assert!(!grants(&flush(&mut restarted)));
    restarted.step(at(600), vote(3, 2, 5, false));
    assert!(grants(&flush(&mut restarted)));
}

// An entry of an earlier term can still be replaced even if a majority holds it, so it must not be committed by
// counting replicas. Reads must wait for the first entry of the new term (sections 5.4.2 and 8 of the Raft paper).
#[test]
fn earlier_terms_are_not_committed_alone() {
    let entries = [entry(2, 2), entry(2, 3)];
    let mut leader = Node::new(recovered(1, 3, &entries), Options::default(), at(1), 1);
    let mut now = at(1);
    while leader.role() != Role::Leader {
        now = now.plus_ms(20);
        leader.tick(now);
        for message in flush(&mut leader) {
            if let Body::Vote { pre, .. } = message.body {
                let granted = true;
                let body = Body::VoteReply { granted, pre };
                leader.step(now, reply_to(&message, body));
            }
        }
    }
    leader.read_barrier(now, 7).expect("is the leader");
    let answer = |leader: &mut Node, index| {
        let stamp = Stamp {
            round: 9,
            sent: now,
        };
        let outcome = Outcome::Matched(index);
        let message = Message {
            from: Id(2),
            to: Id(1),
            term: leader.term(),
            body: Body::AppendReply { stamp, outcome },
        };
        leader.step(now, message);
        leader.ready().map_or(Vec::new(), |ready| ready.reads)
    };
    flush(&mut leader);
    assert!(answer(&mut leader, 3).is_empty());
    assert_eq!(leader.commit(), 0);
    leader.persisted();
    let reads = answer(&mut leader, 4);
    assert_eq!((leader.commit(), reads), (4, vec![7]));
}

fn reply_to(message: &Message, body: Body) -> Message {
    Message {
        from: message.to,
        to: message.from,
        term: message.term,
        body,
    }
}

// A leader must not count itself towards the majority before the entry is on its own disk.
#[test]
fn a_single_voter_waits_for_its_disk() {
    let mut single = node(1, 1);
    let now = run(&mut [&mut single], at(1), 1100);
    let position = single.propose(now, vec![1]).expect("is the leader");
    single.ready().expect("an entry to persist");
    assert!(single.commit() < position.index);
    single.persisted();
    assert_eq!(single.commit(), position.index);
}

// A leader whose process was stopped for longer than its lease must step down before it handles the next input.
#[test]
fn a_leader_steps_down_after_a_freeze() {
    let ([mut leader, ..], now) = three_nodes();
    assert!(leader.has_lease(now));
    let woken = now.plus_ms(401);
    assert!(!leader.has_lease(woken));
    let error = leader
        .propose(woken, vec![1])
        .expect_err("refused after the freeze");
    assert_eq!(error, Error::NotLeader { leader: None });
    assert_eq!(leader.role(), Role::Follower);
}

// A leader that receives no answers must step down within one election timeout, counted from the sending of the last
// heartbeat that a majority answered.
#[test]
fn an_isolated_leader_steps_down() {
    let ([mut leader, ..], now) = three_nodes();
    run(&mut [&mut leader], now, 380);
    assert!(!leader.has_lease(now.plus_ms(400)));
    run(&mut [&mut leader], now.plus_ms(380), 120);
    assert_eq!(leader.role(), Role::Follower);
}

// The lease counts from the time at which a heartbeat was sent, so a late answer must not extend it.
#[test]
fn late_answers_do_not_extend_the_lease() {
    let ([mut leader, mut second, _], now) = three_nodes();
    let sent = now.plus_ms(100);
    leader.tick(sent);
    let heartbeats = flush(&mut leader);
    for message in heartbeats {
        second.step(sent, message);
    }
    let answers = flush(&mut second);
    let late = run(&mut [&mut leader], sent, 300);
    for answer in answers {
        leader.step(late, answer);
    }
    assert_eq!(leader.lease_until(), Some(sent.plus_ms(400)));
}

// Without a lease, a read must wait until a majority has answered a message that was sent after the request for the
// read.
#[test]
fn reads_wait_for_a_majority() {
    let ([mut leader, mut second, mut third], now) = three_nodes();
    let now = run(&mut [&mut leader], now, 420);
    assert_eq!(leader.role(), Role::Leader);
    assert!(!leader.has_lease(now));
    leader.read_barrier(now, 7).expect("is the leader");
    let ready = leader.ready().expect("a heartbeat");
    leader.persisted();
    assert!(ready.reads.is_empty());
    for message in ready.messages {
        second.step(now, message.clone());
        third.step(now, message);
    }
    for message in flush(&mut second) {
        leader.step(now, message);
    }
    let ready = leader.ready().expect("the read is confirmed");
    assert_eq!(ready.reads, [7]);
}

// Where the monotonic clock stops while the machine is suspended, a lease lasts too long in real time. After it
// resumes, a leader must then not answer a read before a majority has confirmed its leadership.
#[test]
fn without_lease_reads_a_leader_with_a_lease_asks_a_majority() {
    let options = Options {
        lease_reads: false,
        ..Options::default()
    };
    let ([mut leader, mut second, third], now) = three_nodes_with(&options);
    drop(third);
    assert!(leader.has_lease(now));
    leader.read_barrier(now, 7).expect("is the leader");
    let ready = leader.ready().expect("a heartbeat");
    leader.persisted();
    assert!(ready.reads.is_empty());
    for message in ready.messages {
        second.step(now, message);
    }
    for message in flush(&mut second) {
        leader.step(now, message);
    }
    let ready = leader.ready().expect("the read is confirmed");
    assert_eq!(ready.reads, [7]);
}

// After the loss of a disk, the old replica id must never be added again, and the new one must not count for
// majorities before its promotion.
#[test]
fn a_lost_disk_gets_a_new_id() {
    let ([mut leader, mut second, third], now) = three_nodes();
    drop(third);
    let mut fresh = Node::new(empty(4), Options::default(), now, 4);
    let add = Change::AddLearner {
        id: Id(4),
        host: host(),
    };
    leader.change_membership(now, &add).expect("a valid change");
    let promote = Change::Promote { id: Id(4) };
    assert_eq!(leader.change_membership(now, &promote), Err(Error::Pending));
    let now = run(&mut [&mut leader, &mut second, &mut fresh], now, 200);
    assert_eq!(leader.membership().majority(), 2);
    let remove = Change::Remove { id: Id(3) };
    leader
        .change_membership(now, &remove)
        .expect("a valid change");
    let now = run(&mut [&mut leader, &mut second, &mut fresh], now, 200);
    leader
        .change_membership(now, &promote)
        .expect("the learner has caught up");
    let now = run(&mut [&mut leader, &mut second, &mut fresh], now, 200);
    assert!(fresh.membership().is_voter(Id(4)));
    let again = Change::AddLearner {
        id: Id(3),
        host: host(),
    };
    let error = Error::Refused(Refusal::Retired(Id(3)));
    assert_eq!(leader.change_membership(now, &again), Err(error));
    // A message to the old replica id that arrives at the new replica.
    fresh.step(now.plus_ms(2000), vote(2, 3, 50, false));
    assert!(!grants(&flush(&mut fresh)));
}

// If a removal leaves no connected majority, the fleet cannot commit anything any more.
#[test]
fn changes_keep_a_connected_majority() {
    let ([mut leader, mut second, _], now) = three_nodes();
    let now = run(&mut [&mut leader, &mut second], now, 600);
    let remove = Change::Remove { id: Id(2) };
    let error = Error::Quorum {
        connected: 1,
        voters: 2,
    };
    assert_eq!(leader.change_membership(now, &remove), Err(error));
    let itself = Change::Remove { id: Id(1) };
    assert_eq!(
        leader.change_membership(now, &itself),
        Err(Error::RemovesLeader(Id(1)))
    );
}

// After a graceful shutdown of the leader, the fleet must not wait for an election timeout to get a new one.
#[test]
fn a_leadership_transfer_needs_no_election_timeout() {
    let ([mut leader, mut second, mut third], now) = three_nodes();
    leader.propose(now, vec![1]).expect("is the leader");
    assert_eq!(leader.transfer_leadership(now, Some(Id(3))), Ok(Id(3)));
    assert!(matches!(
        leader.propose(now, vec![2]),
        Err(Error::NotLeader { .. })
    ));
    exchange(&mut [&mut leader, &mut second, &mut third], now);
    assert_eq!(third.role(), Role::Leader);
    assert_eq!(leader.lease_until(), None);
}

// Without limits, a slow follower or a burst of proposals would exhaust the memory.
#[test]
fn size_limits_are_enforced() {
    let ([mut leader, mut second, _], now) = three_nodes();
    let options = Options::default();
    let limit = options.max_entry_bytes;
    let result = leader.propose(now, vec![0; limit + 1]);
    let bytes = limit + 1;
    assert_eq!(result, Err(Error::TooLarge { bytes, limit }));
    let mut accepted = 0;
    while leader.propose(now, vec![0; 10_000]).is_ok() {
        accepted += 1;
    }
    assert!(
        accepted * 10_000 <= options.max_uncommitted_bytes + 10_000,
        "{accepted} proposals of 10,000 bytes accepted, the limit is {} bytes",
        options.max_uncommitted_bytes
    );
    assert!(matches!(
        leader.propose(now, vec![0]),
        Err(Error::Full { .. })
    ));
    let messages = flush(&mut leader);
    let appends = messages.iter().filter(|m| m.to == Id(2));
    assert_eq!(appends.count(), options.max_in_flight);
    for message in messages {
        if let Body::Append { entries, .. } = &message.body {
            let bytes: usize = entries.iter().map(Entry::bytes).sum();
            assert!(
                bytes <= options.max_message_bytes,
                "a message has entries of {bytes} bytes, the limit is {}",
                options.max_message_bytes
            );
        }
    }
    exchange(&mut [&mut leader, &mut second], now);
    leader.tick(now.plus_ms(100));
    exchange(&mut [&mut leader, &mut second], now.plus_ms(100));
    assert_eq!(second.last_position(), leader.last_position());
    leader
        .propose(now.plus_ms(100), vec![0])
        .expect("accepted again after the commit");
}

// If a leader takes snapshots faster than a slow link transfers one, it must not start the transfer again with each.
#[test]
fn a_snapshot_arrives_although_newer_ones_are_taken() {
    let options = Options {
        max_message_bytes: 100,
        keep_entries: 0,
        ..Options::default()
    };
    let mut leader = Node::new(recovered(1, 1, &[]), options.clone(), at(1), 1);
    let mut now = run(&mut [&mut leader], at(1), 1100);
    let add = Change::AddLearner {
        id: Id(4),
        host: host(),
    };
    leader.change_membership(now, &add).expect("a valid change");
    let mut learner = Node::new(empty(4), options, now, 4);
    for _ in 0..40 {
        now = now.plus_ms(20);
        leader.tick(now);
        learner.tick(now);
        leader.propose(now, vec![1]).expect("is the leader");
        let chunks = flush(&mut leader);
        let applied = leader.applied();
        leader
            .take_snapshot(applied, vec![0; 1000])
            .expect("the index is applied");
        chunks.into_iter().for_each(|m| learner.step(now, m));
        let answers = flush(&mut learner);
        answers.into_iter().for_each(|m| leader.step(now, m));
    }
    assert!(
        learner.snapshot_position().index > 0,
        "no snapshot has arrived at the learner"
    );
}

// A lease that lasts as long as the time in which followers grant no vote allows two leaders at the same time.
#[test]
fn unsafe_options_are_refused() {
    let options = Options {
        lease_ms: 500,
        ..Options::default()
    };
    assert!(options.check().is_err());
    assert!(Options::default().check().is_ok());
}

/// Sends a follower the `count` entries that follow the first `previous` ones of a leader's log, or fewer if the log
/// ends before, and returns the outcome in its reply.
fn deliver(
    follower: &mut Node,
    term: u64,
    log: &[Entry],
    previous: usize,
    count: usize,
) -> Outcome {
    let end = (previous + count).min(log.len());
    let entries = log[previous..end].to_vec();
    let message = Message {
        from: Id(2),
        to: Id(1),
        term,
        body: Body::Append {
            stamp: Stamp::default(),
            previous: previous
                .checked_sub(1)
                .map_or(Position::default(), |p| log[p].position),
            entries,
            commit: 0,
        },
    };
    follower.step(follower_time(term), message);
    let messages = flush(follower);
    match messages[messages.len() - 1].body {
        Body::AppendReply { outcome, .. } => outcome,
        ref other => panic!("expected an append reply, got {other:?}"),
    }
}

fn follower_time(term: u64) -> Time {
    at(1000 + term)
}

/// The log of a later leader: the first `keep` entries of an earlier one (at least one), and `count` entries of
/// `term`.
fn next_leader_log(log: &[Entry], keep: usize, term: u64, count: usize) -> Vec<Entry> {
    let mut log = log[..keep.clamp(1, log.len())].to_vec();
    for _ in 0..count {
        let index = log.len() as u64 + 1;
        log.push(entry(term, index));
    }
    log
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    // Whatever messages arrive in whatever order, a follower's log must follow the rules of the Raft paper, which
    // truncate it only at the first conflict. The leader must find the last common entry within one round trip per
    // term.
    #[test]
    fn the_log_matches_a_reference_model(
        leaders in prop::collection::vec(
            (0..20_usize, 0..10_usize, prop::collection::vec((0..25_usize, 0..8_usize), 0..6)),
            1..8,
        ),
    ) {
        let mut follower = Node::new(recovered(1, 3, &[]), Options::default(), at(1), 1);
        let mut log: Vec<Entry> = follower.entries().cloned().collect();
        let mut model = log.clone();
        for (number, (keep, count, messages)) in leaders.into_iter().enumerate() {
            let term = number as u64 + 2;
            log = next_leader_log(&log, keep, term, count);
            for (previous, count) in messages {
                let previous = previous.min(log.len());
                let outcome = deliver(&mut follower, term, &log, previous, count);
                let holds = previous == 0 || model.get(previous - 1) == Some(&log[previous - 1]);
                let sent = &log[previous..(previous + count).min(log.len())];
                if holds {
                    for (offset, entry) in sent.iter().enumerate() {
                        if model.get(previous + offset) != Some(entry) {
                            model.truncate(previous + offset);
                            model.push(entry.clone());
                        }
                    }
                    prop_assert_eq!(outcome, Outcome::Matched((previous + sent.len()) as u64));
                } else {
                    prop_assert!(matches!(outcome, Outcome::Mismatch { .. }), "expected a mismatch, got {outcome:?}");
                }
                prop_assert!(follower.entries().eq(model.iter()));
            }
        }
        let mut previous = log.len();
        for _ in 0..10 {
            match deliver(&mut follower, 10, &log, previous, log.len()) {
                Outcome::Matched(last) => {
                    prop_assert_eq!(last, log.len() as u64);
                    return Ok(());
                }
                Outcome::Mismatch { hint, .. } => {
                    let fits = |e: &&Entry| e.position.index <= hint.index && e.position.term <= hint.term;
                    let agreed = log.iter().filter(fits).count();
                    prop_assert!(agreed < previous, "the hint {hint:?} does not lead below index {previous}");
                    previous = agreed;
                }
                Outcome::Stale => prop_assert!(false, "the follower reports a stale term"),
            }
        }
        prop_assert!(false, "the logs do not agree after ten round trips");
    }
}
