//! Failure detector based on SWIM (Das, Gupta, Motivala, DSN 2002).
//!
//! In each period a host probes one member, in the order of a shuffled round over all members. If the answer is late,
//! it repeats the ping and asks other members to ping the target as well. A member that fails a probe is suspected.
//! The host that suspects it continues to probe it in every period and tells it about the suspicion, and the member
//! refutes the claim by raising its incarnation. The suspecting host declares it dead after
//! [`Settings::probes_to_death`] failed probes in a row. Another host that has heard of the suspicion but not of its
//! end starts to probe the member itself after [`Detector::suspicion_ms`]. It does not declare the member dead
//! without probes of its own: at 20% packet loss a refutation was seen to miss one of 200 hosts.
//!
//! Time from a crash until the last live host knows of it, with period `P`, `k` = `probes_to_death` and `n` members:
//!
//! ```text
//! F + k * P + S
//! ```
//!
//! `F` is the wait for the first probe by any host: `P / (1 - 1/e)` = 1.6 `P` on average, and longer than `f * P`
//! with a probability of about `e^-f`. `S` is the time that the claim needs to spread, about `log2(n) * P`.
//!
//! With loss rate `l` of single datagrams and three helpers, a probe of a live member fails with probability
//! `(1 - (1-l)^2)^2 * (1 - (1-l)^4)^3`, 2.7% at 20% loss. A live member is declared dead only after `k` such failures
//! in a row, and each ping in that time tells it that it is suspected.
//!
//! Cost per host, with 60 bytes for authentication and headers per datagram (test `cost_per_host_is_flat`): 152 to
//! 168 bytes/s and 2 datagrams/s sent in a fleet of 9 to 670 hosts without changes; 888 bytes/s on average and 1,237
//! at most in the 20 s after 61 of 670 hosts crash.
//!
//! Views that differ are reconciled in three ways:
//!
//! - A datagram to a member that the sender does not believe to be alive starts with the sender's claim about that
//!   member, so that the member refutes the claim, or learns that the others count it as gone.
//! - Every ping carries the digest of one group of members. A host whose digest differs answers with its records of
//!   the group.
//! - Every [`Settings::rejoin_ms`] a host pings one member that it believes dead, so that the end of a partition is
//!   noticed.

use std::net::SocketAddr;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::gossip::{self, Entry, Suspicion, Table};
use crate::message::{self, Body, Datagram, Difference, Envelope, Summary, Update};
use crate::probe::{Probe, Relay, Round};
use crate::view::{self, Group, Member, State};

/// Upper bound of the bytes of a datagram without its updates and records: sender, incarnation, state, body, lengths.
const HEADER_BYTES: usize = 40;

/// Upper bound of the bytes of records in the answer to a ping whose digest differs; with the header and the updates
/// the datagram stays below [`message::MAX_BYTES`].
const DIFFERENCE_BYTES: usize = 640;

/// Maximum number of suspected members that a host probes per period in addition to the round, so that the loss of a
/// whole failure domain does not multiply the traffic of the other hosts.
const MAX_SUSPECT_PROBES: usize = 3;

/// A host that probes more suspected members than this sends no indirect probes. The pings of the helpers brought
/// each host to 2,098 bytes/s in the first 30 s after 305 of 670 hosts were cut off, even with a limit of three
/// suspected members; with this limit it is 1,531.
const MAX_SUSPECTS_WITH_HELPERS: usize = 1;

/// Maximum number of pending probes on behalf of other hosts; further requests are dropped.
const MAX_RELAYS: usize = 64;

/// Upper bound of the random first nonce of a process; small, because a varint takes more bytes for a greater number.
const MAX_FIRST_NONCE: u32 = 1 << 16;

/// Number of members that a leaving host informs directly; the others learn of the departure by gossip.
const LEAVE_FANOUT: usize = 5;

/// Intervals, timeouts and limits of a [`Detector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Interval between two probes of the round.
    pub period_ms: u64,
    /// How long a host waits for an answer before it repeats the ping and asks others to ping.
    pub direct_timeout_ms: u64,
    /// Number of members that are asked to ping the target after a late answer.
    pub helpers: usize,
    /// Failed probes in a row after which a member is declared dead, including the one that started the suspicion.
    pub probes_to_death: u32,
    /// Interval between two attempts to reach a member that was declared dead or a seed that is not a member.
    pub rejoin_ms: u64,
    /// A longer gap between two calls means that this process was suspended and that others may believe it dead. Must
    /// be well above the interval at which the caller calls [`Detector::tick`].
    pub freeze_ms: u64,
    /// Maximum bytes of updates in one datagram.
    pub update_bytes: usize,
    /// Maximum bytes of updates about other members that are gossiped in one period. With a limit per datagram only,
    /// a host reached 2,046 bytes/s when 61 of 670 hosts crashed, because probing suspected members takes more
    /// datagrams.
    pub period_update_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period_ms: 1_000,
            direct_timeout_ms: 300,
            helpers: 3,
            probes_to_death: 5,
            rejoin_ms: 5_000,
            freeze_ms: 2_000,
            update_bytes: 400,
            period_update_bytes: 700,
        }
    }
}

/// A change that the caller may want to act on, count or log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined, restarted or changed its state.
    Changed {
        /// The member after the change.
        member: Member,
        /// Its state before the change; `None` if the member was unknown.
        before: Option<State>,
    },
    /// Another host made a wrong claim about this one, which therefore raised its incarnation.
    Refuted {
        /// The state that was claimed.
        claim: State,
        /// The new incarnation of this host.
        incarnation: u64,
    },
    /// This process was suspended for longer than [`Settings::freeze_ms`]. Its incarnation was raised, pending probes
    /// were dropped and the timers of suspicions were postponed.
    Frozen {
        /// Time between the last call before the suspension and the first call after it.
        gap_ms: u64,
        /// The new incarnation of this host.
        incarnation: u64,
    },
}

/// The result of a call: datagrams that the caller has to send, and events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Datagrams to send, in this order. The protocol tolerates the loss of each.
    pub datagrams: Vec<Envelope>,
    /// Events in the order in which they happened.
    pub events: Vec<Event>,
}

/// An entry of the list of hosts that the platform reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Id of the host, which need not be a known member.
    pub host: id::Host,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// How an update reached this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// As gossip, or from the member itself.
    Gossip,
    /// From a host whose view differs and may be outdated. Its claim that a member is dead only starts a suspicion.
    Reconciliation,
    /// In the answer to a `Join`. The update is not gossiped, because the other hosts know it.
    Join,
}

/// Determines which hosts of the fleet are alive.
///
/// The caller passes every datagram to [`Detector::receive`], calls [`Detector::tick`] at least every 100 ms, and
/// sends the datagrams of each [`Output`].
#[derive(Clone, Debug)]
pub struct Detector {
    settings: Settings,
    /// The record of this host. Its state is `Alive` or `Left`.
    local: Member,
    /// How many more datagrams carry the record of this host.
    transmissions_left: u32,
    /// Bytes of updates that may still be gossiped in this period.
    gossip_bytes_left: usize,
    seeds: Vec<SocketAddr>,
    table: Table,
    /// Hosts that the configuration has retired, sorted. Ids are never reused, so all claims about them are ignored.
    retired: Vec<id::Host>,
    /// The latest list of the platform, sorted by host.
    host_list: Vec<Listing>,
    round: Round,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next_nonce: u32,
    /// Group whose digest was sent with the latest ping.
    group: Group,
    next_period: Time,
    next_rejoin: Time,
    last_call: Time,
    rng: Xoshiro256PlusPlus,
}

impl Detector {
    /// Creates the detector of the host `local`, whose incarnation is the wall-clock start time of the process in ms.
    /// The host joins through one of the `seeds`; its own address among them is ignored. `seed` initialises the
    /// random generator.
    pub fn new(
        local: Member,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        now: Time,
        seed: u64,
    ) -> Detector {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        // The random phase keeps hosts that started at the same time from probing at the same time.
        let phase = rng.random_range(0..settings.period_ms.max(1));
        let local = Member {
            state: State::Alive,
            ..local
        };
        Detector {
            settings,
            local,
            transmissions_left: gossip::transmissions(1),
            gossip_bytes_left: settings.period_update_bytes,
            seeds,
            table: Table::default(),
            retired: Vec::new(),
            host_list: Vec::new(),
            round: Round::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            // Random, so that an answer to a ping of the previous process does not match a probe of this one.
            next_nonce: rng.random_range(0..MAX_FIRST_NONCE),
            group: Group {
                index: rng.random_range(0..u32::MAX),
                count: 1,
            },
            next_period: now.plus_ms(phase),
            next_rejoin: now,
            last_call: now,
            rng,
        }
    }

    /// The record of this host that the others should have.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// All other known members, including those that are dead or have left, sorted by host.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// The record of another member; `None` if it is unknown or `host` is this host.
    pub fn member(&self, host: id::Host) -> Option<&Member> {
        self.table.get(host).map(|entry| &entry.member)
    }

    /// Hosts of `domain` that are alive and not suspected, sorted. This host is included unless it has left.
    pub fn live_in(&self, domain: &Name) -> Vec<id::Host> {
        let all = self.table.members().chain(std::iter::once(&self.local));
        let is_live =
            |member: &&Member| member.state == State::Alive && member.location.domain == *domain;
        let mut live: Vec<id::Host> = all.filter(is_live).map(|member| member.host).collect();
        live.sort_unstable();
        live
    }

    /// How long a suspicion that another host has started may last before this host probes the member itself: the
    /// time that the suspecting host needs for its probes, plus twice the time that a claim needs to spread.
    pub fn suspicion_ms(&self) -> u64 {
        let spread = u64::from((self.fleet_size() + 1).next_power_of_two().ilog2());
        self.settings.period_ms * (u64::from(self.settings.probes_to_death) + 2 * spread)
    }

    /// Replaces the addresses through which this host finds members that it does not know.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Removes a host that the configuration has retired, and ignores its datagrams and all claims about it from now
    /// on.
    pub fn retire(&mut self, host: id::Host) {
        self.table.remove(host);
        self.probes.retain(|probe| probe.host != host);
        if let Err(at) = self.retired.binary_search(&host) {
            self.retired.insert(at, host);
        }
    }

    /// Performs the actions that are due at `now`: probes, their timeouts and attempts to rejoin.
    pub fn tick(&mut self, now: Time) -> Output {
        let mut output = Output::default();
        self.detect_freeze(now, &mut output);
        self.send_indirect_probes(now, &mut output);
        self.expire_probes(now, &mut output);
        self.relays.retain(|relay| relay.expires_at > now);
        if now >= self.next_period {
            // After a late call the next period lasts at least half as long as usual, so that probes can be answered.
            let period_ms = self.settings.period_ms;
            let earliest = now.plus_ms(period_ms / 2);
            self.next_period = self.next_period.plus_ms(period_ms).max(earliest);
            self.gossip_bytes_left = self.settings.period_update_bytes;
            self.start_probes(now, &mut output);
        }
        if now >= self.next_rejoin {
            self.rejoin(now, &mut output);
        }
        output
    }

    /// Handles a datagram that came from `source` and whose authenticity has been checked.
    pub fn receive(&mut self, now: Time, source: SocketAddr, datagram: Datagram) -> Output {
        let mut output = Output::default();
        self.detect_freeze(now, &mut output);
        let from = datagram.from;
        if self.retired.binary_search(&from).is_ok() {
            return output;
        }
        let sender = Update {
            host: from,
            incarnation: datagram.incarnation,
            state: datagram.state,
            location: None,
        };
        // The updates come first: those of a joining host contain its location.
        self.merge_all(now, datagram.updates, Source::Gossip, &mut output);
        self.merge(now, sender, Source::Gossip, &mut output);
        if from != self.local.host {
            self.handle(now, from, source, datagram.body, &mut output);
        }
        output
    }

    /// Announces the departure of this host. The host continues to answer probes until the process ends.
    pub fn leave(&mut self, now: Time) -> Output {
        let mut output = Output::default();
        self.local.state = State::Left;
        self.transmissions_left = gossip::transmissions(self.fleet_size());
        for member in self
            .table
            .pick(LEAVE_FANOUT, self.local.host, &mut self.rng)
        {
            self.ping(member.location.address, member.host, &mut output);
        }
        self.last_call = now;
        output
    }

    /// Applies the list of hosts that the platform reports. A host that is no longer on the list is suspected, and a
    /// host that is newly marked as leaving counts as left; both can refute this. Only changes from the previous list
    /// have an effect, because the list may be older than a refutation. Being on the list does not make a host alive.
    pub fn apply_host_list(&mut self, now: Time, list: &[Listing]) -> Output {
        let mut output = Output::default();
        let mut list = list.to_vec();
        list.sort_unstable_by_key(|listing| listing.host);
        let before = std::mem::replace(&mut self.host_list, list);
        let present: Vec<Member> = self.table.present().cloned().collect();
        for member in present {
            let was_leaving = leaving_flag(&before, member.host);
            let is_leaving = leaving_flag(&self.host_list, member.host);
            if is_leaving == Some(true) && was_leaving != Some(true) {
                self.make_claim(now, &member, State::Left, &mut output);
            } else if is_leaving.is_none() && was_leaving.is_some() {
                self.suspect(now, member.host, 0, &mut output);
            }
        }
        output
    }

    /// Number of members that are present, including this host.
    fn fleet_size(&self) -> usize {
        self.table.present().count() + 1
    }

    fn detect_freeze(&mut self, now: Time, output: &mut Output) {
        let gap_ms = now.since(self.last_call);
        self.last_call = now;
        if gap_ms <= self.settings.freeze_ms {
            return;
        }
        // Timeouts that passed during the gap say nothing about other hosts: their answers may be queued in the
        // socket.
        self.probes.clear();
        self.relays.clear();
        self.next_period = now;
        self.next_rejoin = now;
        for entry in self.table.iter_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.probe_from = suspicion.probe_from.plus_ms(gap_ms);
                suspicion.failures = 0;
            }
        }
        self.raise_incarnation(self.local.incarnation);
        let incarnation = self.local.incarnation;
        output.events.push(Event::Frozen {
            gap_ms,
            incarnation,
        });
    }

    fn raise_incarnation(&mut self, above: u64) {
        self.local.incarnation = above.saturating_add(1);
        self.transmissions_left = gossip::transmissions(self.fleet_size());
    }

    fn send_indirect_probes(&mut self, now: Time, output: &mut Output) {
        let late = |probe: &&mut Probe| probe.indirect_at.is_some_and(|at| at <= now);
        let mut due = Vec::new();
        for probe in self.probes.iter_mut().filter(late) {
            probe.indirect_at = None;
            due.push(*probe);
        }
        let too_many = self.own_suspects(now).len() > MAX_SUSPECTS_WITH_HELPERS;
        for probe in due {
            let Some(target) = self.member(probe.host).cloned() else {
                continue;
            };
            let body = self.ping_body(probe.nonce);
            self.send(target.location.address, target.host, None, body, output);
            let count = if too_many { 0 } else { self.settings.helpers };
            let helpers = self.table.pick(count, target.host, &mut self.rng);
            for helper in helpers {
                let body = Body::PingRequest {
                    nonce: probe.nonce,
                    target: target.host,
                };
                let about = Some(target.host);
                self.send(helper.location.address, helper.host, about, body, output);
            }
        }
    }

    /// Ends the probe that `from` has answered, or that a helper has answered if `from` is `None`.
    fn complete_probe(&mut self, from: Option<id::Host>, nonce: u32) {
        let matches =
            |probe: &Probe| probe.nonce == nonce && from.is_none_or(|host| host == probe.host);
        let Some(at) = self.probes.iter().position(matches) else {
            return;
        };
        let probe = self.probes.swap_remove(at);
        let entry = self.table.get_mut(probe.host);
        if let Some(suspicion) = entry.and_then(|entry| entry.suspicion.as_mut()) {
            suspicion.failures = 0;
        }
    }

    fn expire_probes(&mut self, now: Time, output: &mut Output) {
        let failed: Vec<Probe> = self
            .probes
            .extract_if(.., |probe| probe.deadline <= now)
            .collect();
        for probe in failed {
            self.suspect(now, probe.host, 1, output);
        }
    }

    /// Suspects a member, or adds failed probes to the suspicion; declares it dead when there are enough of them.
    fn suspect(&mut self, now: Time, host: id::Host, failures: u32, output: &mut Output) {
        let Some(entry) = self.table.get(host) else {
            return;
        };
        if entry.member.state == State::Alive {
            let member = entry.member.clone();
            self.make_claim(now, &member, State::Suspect, output);
        }
        let Some(entry) = self.table.get_mut(host) else {
            return;
        };
        let Some(suspicion) = &mut entry.suspicion else {
            return;
        };
        suspicion.probe_from = suspicion.probe_from.min(now);
        suspicion.failures += failures;
        if suspicion.failures >= self.settings.probes_to_death {
            let member = entry.member.clone();
            self.make_claim(now, &member, State::Dead, output);
        }
    }

    fn make_claim(&mut self, now: Time, member: &Member, state: State, output: &mut Output) {
        let update = Update {
            host: member.host,
            incarnation: member.incarnation,
            state,
            location: None,
        };
        self.merge(now, update, Source::Gossip, output);
    }

    fn start_probes(&mut self, now: Time, output: &mut Output) {
        let mut targets = self.suspects_to_probe(now);
        if let Some(host) = self.round.next(&self.table, &mut self.rng) {
            targets.push(host);
        }
        targets.sort_unstable();
        targets.dedup();
        for host in targets {
            let Some(address) = self.member(host).map(|member| member.location.address) else {
                continue;
            };
            let nonce = self.ping(address, host, output);
            self.probes.push(Probe {
                host,
                nonce,
                indirect_at: Some(now.plus_ms(self.settings.direct_timeout_ms)),
                deadline: self.next_period,
            });
        }
    }

    /// Suspected members that this host probes in this period in addition to the round.
    fn suspects_to_probe(&self, now: Time) -> Vec<id::Host> {
        let own = self.own_suspects(now);
        own.into_iter().take(MAX_SUSPECT_PROBES).collect()
    }

    /// Suspected members that this host has to probe itself: first those with most failed probes, then in an order
    /// that differs between hosts, so that not all hosts probe the same members.
    fn own_suspects(&self, now: Time) -> Vec<id::Host> {
        let mut own: Vec<(u32, u32, id::Host)> = Vec::new();
        for entry in self.table.iter() {
            let Some(suspicion) = entry
                .suspicion
                .filter(|suspicion| suspicion.probe_from <= now)
            else {
                continue;
            };
            let host = entry.member.host;
            let order = host.0.wrapping_sub(self.local.host.0);
            own.push((u32::MAX - suspicion.failures, order, host));
        }
        own.sort_unstable();
        own.into_iter().map(|(_, _, host)| host).collect()
    }

    /// Tries to reach a random member that was declared dead, or a random seed that is not the address of a member
    /// that is present.
    fn rejoin(&mut self, now: Time, output: &mut Output) {
        let alone = self.table.present().next().is_none();
        let wait_ms = if alone {
            self.settings.period_ms
        } else {
            self.settings.rejoin_ms
        };
        self.next_rejoin = now.plus_ms(wait_ms);
        let dead: Vec<SocketAddr> = self
            .table
            .members()
            .filter(|member| member.state == State::Dead)
            .map(|member| member.location.address)
            .collect();
        let known = |address: &SocketAddr| {
            let mut present = self.table.present();
            *address == self.local.location.address
                || present.any(|member| member.location.address == *address)
        };
        let mut addresses = self.seeds.clone();
        addresses.retain(|address| !known(address));
        addresses.extend(dead);
        let Some(&address) = addresses.choose(&mut self.rng) else {
            return;
        };
        let member = self
            .table
            .members()
            .find(|member| member.location.address == address)
            .map(|member| member.host);
        match member {
            Some(host) => {
                self.ping(address, host, output);
            }
            None => self.send(address, self.local.host, None, Body::Join, output),
        }
    }

    fn handle(
        &mut self,
        now: Time,
        from: id::Host,
        source: SocketAddr,
        body: Body,
        output: &mut Output,
    ) {
        match body {
            Body::Ping { nonce, summary } => {
                let difference = self.difference(summary);
                self.send(source, from, None, Body::Ack { nonce, difference }, output);
            }
            Body::Ack { nonce, difference } => {
                self.complete_probe(Some(from), nonce);
                self.relay_ack(from, nonce, output);
                if let Some(theirs) = difference {
                    self.reconcile(now, from, source, theirs, output);
                }
            }
            Body::PingRequest { nonce, target } => {
                self.relay_ping(now, source, nonce, target, output);
            }
            Body::RelayedAck { nonce } => self.complete_probe(None, nonce),
            Body::Join => self.send_view(source, from, output),
            Body::View { records } => {
                self.merge_all(now, records, Source::Join, output);
                self.transmissions_left = gossip::transmissions(self.fleet_size());
            }
            Body::Records { records } => {
                self.merge_all(now, records, Source::Reconciliation, output);
            }
        }
    }

    fn relay_ping(
        &mut self,
        now: Time,
        origin: SocketAddr,
        origin_nonce: u32,
        target: id::Host,
        output: &mut Output,
    ) {
        let Some(address) = self.member(target).map(|member| member.location.address) else {
            return;
        };
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let nonce = self.ping(address, target, output);
        self.relays.push(Relay {
            target,
            nonce,
            origin,
            origin_nonce,
            expires_at: now.plus_ms(self.settings.period_ms),
        });
    }

    fn relay_ack(&mut self, from: id::Host, nonce: u32, output: &mut Output) {
        let matches = |relay: &Relay| relay.nonce == nonce && relay.target == from;
        let Some(at) = self.relays.iter().position(matches) else {
            return;
        };
        let relay = self.relays.swap_remove(at);
        let origin = self
            .table
            .members()
            .find(|member| member.location.address == relay.origin)
            .map_or(self.local.host, |member| member.host);
        let body = Body::RelayedAck {
            nonce: relay.origin_nonce,
        };
        // The target may have refuted the suspicion in its answer, and the origin needs that refutation.
        self.send(relay.origin, origin, Some(relay.target), body, output);
    }

    /// This host's records of the group, if its digest differs from that of the sender.
    fn difference(&mut self, summary: Summary) -> Option<Difference> {
        let group = summary.group;
        if view::digest(self.in_group(group)) == summary.digest {
            return None;
        }
        let mut records: Vec<Update> = self.in_group(group).map(Update::record).collect();
        // The random start sends a different part each time if not all records fit.
        let start = self.rng.random_range(0..records.len().max(1));
        records.rotate_left(start);
        Some(Difference {
            group,
            records: gossip::take_fitting(records.into_iter(), DIFFERENCE_BYTES),
        })
    }

    /// Applies the newer records of another host, and sends it the records that it lacks or has in an older form.
    fn reconcile(
        &mut self,
        now: Time,
        from: id::Host,
        source: SocketAddr,
        theirs: Difference,
        output: &mut Output,
    ) {
        let is_missing = |mine: &&Member| {
            let mut known = theirs.records.iter();
            !known.any(|record| {
                record.host == mine.host && (record.incarnation, record.state) >= precedence(mine)
            })
        };
        let missing: Vec<Update> = self
            .in_group(theirs.group)
            .filter(is_missing)
            .map(Update::record)
            .collect();
        self.merge_all(now, theirs.records, Source::Reconciliation, output);
        if !missing.is_empty() {
            let records = gossip::take_fitting(missing.into_iter(), DIFFERENCE_BYTES);
            self.send(source, from, None, Body::Records { records }, output);
        }
    }

    fn send_view(&mut self, to: SocketAddr, host: id::Host, output: &mut Output) {
        let everyone = self.table.present().chain(std::iter::once(&self.local));
        let mut remaining: Vec<Update> = everyone.map(Update::record).collect();
        while !remaining.is_empty() {
            let records =
                gossip::take_fitting(remaining.iter().cloned(), message::MAX_BYTES - HEADER_BYTES);
            remaining.drain(..records.len().max(1));
            self.send(to, host, None, Body::View { records }, output);
        }
    }

    fn in_group(&self, group: Group) -> impl Iterator<Item = &Member> {
        let all = self.table.members().chain(std::iter::once(&self.local));
        all.filter(move |member| group.contains(member.host))
    }

    fn ping(&mut self, to: SocketAddr, host: id::Host, output: &mut Output) -> u32 {
        let nonce = self.next_nonce;
        self.next_nonce = self.next_nonce.wrapping_add(1);
        let body = self.ping_body(nonce);
        self.send(to, host, None, body, output);
        nonce
    }

    fn ping_body(&mut self, nonce: u32) -> Body {
        let group = self.group.next(self.fleet_size());
        self.group = group;
        let digest = view::digest(self.in_group(group));
        Body::Ping {
            nonce,
            summary: Summary { group, digest },
        }
    }

    /// Sends `body` to `host`. The first updates are the claim about the receiver, if it is not alive, and the claim
    /// about `about`.
    fn send(
        &mut self,
        to: SocketAddr,
        host: id::Host,
        about: Option<id::Host>,
        body: Body,
        output: &mut Output,
    ) {
        let used = HEADER_BYTES + records_bytes(&body);
        let mut byte_budget = message::MAX_BYTES.saturating_sub(used);
        byte_budget = byte_budget.min(self.settings.update_bytes);
        let mut updates = Vec::new();
        let receiver = self
            .member(host)
            .filter(|member| member.state != State::Alive);
        updates.extend(receiver.map(Update::of));
        updates.extend(about.and_then(|host| self.member(host)).map(Update::of));
        if self.transmissions_left > 0 || body == Body::Join {
            self.transmissions_left = self.transmissions_left.saturating_sub(1);
            updates.push(Update::record(&self.local));
        }
        let mut updates = gossip::take_fitting(updates.into_iter(), byte_budget);
        let included: Vec<id::Host> = updates.iter().map(|update| update.host).collect();
        byte_budget -= updates.iter().map(Update::max_bytes).sum::<usize>();
        let gossiped = self
            .table
            .take_updates(byte_budget.min(self.gossip_bytes_left), &included);
        self.gossip_bytes_left -= gossiped.iter().map(Update::max_bytes).sum::<usize>();
        updates.extend(gossiped);
        let datagram = Datagram {
            from: self.local.host,
            incarnation: self.local.incarnation,
            state: self.local.state,
            body,
            updates,
        };
        output.datagrams.push(Envelope { to, datagram });
    }

    fn merge_all(&mut self, now: Time, updates: Vec<Update>, source: Source, output: &mut Output) {
        for update in updates {
            self.merge(now, update, source, output);
        }
    }

    fn merge(&mut self, now: Time, update: Update, source: Source, output: &mut Output) {
        if update.host == self.local.host {
            self.refute(&update, output);
        } else if self.retired.binary_search(&update.host).is_ok() {
            // The configuration has retired this host.
        } else if self.table.get(update.host).is_some() {
            self.merge_known(now, update, source, output);
        } else if update.state == State::Alive {
            self.add_member(update, source, output);
        }
    }

    /// Raises the incarnation of this host if a claim about it is wrong.
    fn refute(&mut self, update: &Update, output: &mut Output) {
        if !self
            .local
            .is_superseded_by(update.incarnation, update.state)
        {
            return;
        }
        self.raise_incarnation(update.incarnation);
        output.events.push(Event::Refuted {
            claim: update.state,
            incarnation: self.local.incarnation,
        });
    }

    fn add_member(&mut self, update: Update, source: Source, output: &mut Output) {
        let Some(location) = update.location else {
            return;
        };
        let member = Member {
            host: update.host,
            incarnation: update.incarnation,
            state: State::Alive,
            location,
        };
        output.events.push(Event::Changed {
            member: member.clone(),
            before: None,
        });
        self.round.insert(member.host, &mut self.rng);
        let transmissions_left = match source {
            Source::Gossip | Source::Reconciliation => gossip::transmissions(self.fleet_size() + 1),
            Source::Join => 0,
        };
        self.table.insert(Entry {
            member,
            suspicion: None,
            transmissions_left,
        });
    }

    fn merge_known(&mut self, now: Time, update: Update, source: Source, output: &mut Output) {
        let Some(entry) = self.table.get_mut(update.host) else {
            return;
        };
        let before = entry.member.state;
        let is_unconfirmed_death =
            source != Source::Gossip && update.state == State::Dead && before.is_present();
        let state = if is_unconfirmed_death {
            State::Suspect
        } else {
            update.state
        };
        let (host, incarnation) = (update.host, update.incarnation);
        if !entry.member.is_superseded_by(incarnation, state) {
            let is_same = (entry.member.incarnation, entry.member.state) == (incarnation, state);
            if is_same && update.location.is_some() == (state == State::Alive) {
                // The sender gossips the same update, so fewer hosts still need it.
                entry.transmissions_left = entry.transmissions_left.saturating_sub(1);
            }
            return;
        }
        let transmissions_left = gossip::transmissions(self.fleet_size());
        let suspicion_ms = self.suspicion_ms();
        let Some(entry) = self.table.get_mut(host) else {
            return;
        };
        entry.member.incarnation = incarnation;
        entry.member.state = state;
        if let Some(location) = update.location {
            entry.member.location = location;
        }
        entry.transmissions_left = transmissions_left;
        entry.suspicion = (state == State::Suspect).then_some(Suspicion {
            probe_from: now.plus_ms(suspicion_ms),
            failures: 0,
        });
        let member = entry.member.clone();
        if !before.is_present() && state.is_present() {
            self.round.insert(member.host, &mut self.rng);
        }
        output.events.push(Event::Changed {
            member,
            before: Some(before),
        });
    }
}

/// Precedence of the record that this host would send about a member.
fn precedence(member: &Member) -> (u64, State) {
    let record = Update::record(member);
    (record.incarnation, record.state)
}

/// Whether the host is marked as leaving in a list that is sorted by host; `None` if the host is not on the list.
fn leaving_flag(list: &[Listing], host: id::Host) -> Option<bool> {
    let at = list.binary_search_by_key(&host, |listing| listing.host);
    at.ok().map(|at| list[at].leaving)
}

fn records_bytes(body: &Body) -> usize {
    let records = match body {
        Body::Ack {
            difference: Some(difference),
            ..
        } => &difference.records,
        Body::View { records } | Body::Records { records } => records,
        _ => return 0,
    };
    records.iter().map(Update::max_bytes).sum()
}
