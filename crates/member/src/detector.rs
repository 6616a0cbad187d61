//! Failure detector in the manner of SWIM (Das, Gupta, Motivala, DSN 2002).
//!
//! In each period a host probes one member of a shuffled round; if the answer is late, it repeats the ping and asks
//! other members to ping as well. A member that fails a probe is suspected, and the host that suspects it goes on
//! probing it in every period and tells it about the suspicion. The member refutes a claim by raising its incarnation.
//! It is declared dead by the suspecting host after [`Settings::probes_to_death`] failed probes in a row. Another host
//! that has heard of a suspicion but not of its end starts to probe the member itself after [`Detector::suspicion_ms`].
//! It does not declare it dead without own probes: at 20% loss a refutation was seen to miss one of 200 hosts.
//!
//! Time from a crash until the last live host knows, with period `P`, `k` = `probes_to_death` and `n` members:
//!
//! ```text
//! F + k * P + S
//! ```
//!
//! `F` is the wait for the first probe by anyone: `P / (1 - 1/e)` = 1.6 `P` on average, and longer than `f * P` with a
//! probability of about `e^-f`. `S` is the time that the claim needs to spread, about `log2(n) * P`.
//!
//! With loss rate `l` of single datagrams and three helpers, a probe of a live member fails with probability
//! `(1 - (1-l)^2)^2 * (1 - (1-l)^4)^3`, 2.7% at 20% loss, and a live member is declared dead only after `k` such failures
//! in a row, during which every ping tells it that it has to refute.
//!
//! Cost per host, with 60 bytes of authentication and headers per datagram (test `cost_per_host_is_flat`): 152 to 168
//! bytes/s and 2 datagrams/s sent in a quiet fleet of 9 to 670 hosts; 888 bytes/s on average and 1,237 at most in the 20 s
//! after 61 of 670 hosts crash.
//!
//! Two views are reconciled in three ways. A datagram to a member that the sender does not hold for alive starts with
//! that claim, so that the member refutes it or learns that it was left behind. Every ping carries the digest of one
//! group of members, and a host with another digest answers with its records of the group. And every
//! [`Settings::rejoin_ms`] a host pings one member that it holds for dead, so that a partition that ends is noticed.

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

/// Bytes of a datagram besides its updates and records: sender, incarnation, state, body and lengths.
const HEADER_BYTES: usize = 40;

/// Bytes of records in the answer to a ping with another digest; with the header and the updates it stays below
/// [`message::MAX_BYTES`].
const DIFFERENCE_BYTES: usize = 640;

/// Most suspected members that a host probes besides the round, so that the failure of a whole failure domain does not
/// multiply the cost of the others.
const MAX_WATCHED: usize = 3;

/// With more suspicions of its own a host asks no helpers. Their pings brought each host to 2,098 bytes/s in the first
/// 30 s after 305 of 670 hosts were cut off, even when they were left out above three suspicions; now it is 1,531.
const MAX_HELPED: usize = 1;

/// Most probes under way on behalf of other hosts; more requests are dropped.
const MAX_RELAYS: usize = 64;

/// Bound of the first nonce of a process; small, because the encoding of a number grows with it.
const MAX_FIRST_NONCE: u32 = 1 << 16;

/// Members that are told at once about a departure; the others learn it from them.
const TOLD_AT_LEAVE: usize = 5;

/// Times and limits of a [`Detector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Time between two probes.
    pub period_ms: u64,
    /// How long a host waits for an answer before it repeats the ping and asks others to ping.
    pub direct_timeout_ms: u64,
    /// How many others it asks.
    pub helpers: usize,
    /// Failed probes in a row after which a member is dead, including the one that started the suspicion.
    pub probes_to_death: u32,
    /// Time between two attempts to reach a member that was declared dead.
    pub rejoin_ms: u64,
    /// A longer gap between two calls means that this host was frozen and that others may hold it for dead. Must be
    /// well above the interval in which the caller calls [`Detector::tick`].
    pub freeze_ms: u64,
    /// Most bytes of updates in one datagram.
    pub update_bytes: usize,
    /// Most bytes of updates that are passed on in one period. A limit per datagram alone let a host reach 2,046 bytes/s
    /// when 61 of 670 hosts crashed, because a suspicion takes more datagrams.
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
    /// A member joined, changed its state or restarted.
    Changed {
        /// The member as it is now.
        member: Member,
        /// Its former state; `None` if it was unknown.
        before: Option<State>,
    },
    /// Others held this host for something that it is not, and it raised its incarnation.
    Refuted {
        /// What was claimed.
        claim: State,
        /// The new incarnation of this host.
        incarnation: u64,
    },
    /// This host was not running for a while. Its incarnation was raised and its timers were moved on.
    Frozen {
        /// How long.
        gap_ms: u64,
        /// The new incarnation of this host.
        incarnation: u64,
    },
}

/// What the caller has to send and may want to act on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Datagrams to send, in this order. Each may be lost.
    pub datagrams: Vec<Envelope>,
    /// What happened, in this order.
    pub events: Vec<Event>,
}

/// An entry of the platform's list of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The host.
    pub host: id::Host,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// How a claim reached this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// As news, or from the member itself.
    News,
    /// From a host whose view differs and may be old. Its claim that a member is dead counts as a suspicion only.
    Correction,
    /// From a host that this one joined through. It is not passed on.
    View,
}

/// Finds out which hosts of the fleet are alive.
///
/// The caller passes every datagram to [`Detector::receive`], calls [`Detector::tick`] at least every 100 ms, and sends
/// what the output holds.
#[derive(Clone, Debug)]
pub struct Detector {
    settings: Settings,
    /// This host. Its state is `Alive` or `Left`.
    local: Member,
    /// How often the record of this host is still to be passed on.
    sends_left: u32,
    /// Bytes of updates that may still be passed on in this period.
    bytes_left: usize,
    seeds: Vec<SocketAddr>,
    table: Table,
    /// Hosts that were retired by the configuration, sorted. Ids are never reused, so claims about them stay invalid.
    retired: Vec<id::Host>,
    /// The platform's latest list, sorted by host.
    listed: Vec<Listing>,
    round: Round,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next_nonce: u32,
    /// Group whose digest went out with the latest ping.
    group: Group,
    next_period: Time,
    next_rejoin: Time,
    last_call: Time,
    rng: Xoshiro256PlusPlus,
}

impl Detector {
    /// Makes the detector of the host `local`, whose incarnation is the start time of the process in ms. It joins through
    /// one of the `seeds`; its own address among them is passed over.
    pub fn new(
        local: Member,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        now: Time,
        seed: u64,
    ) -> Detector {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        // A random phase spreads the probes of hosts that were started together.
        let phase = rng.random_range(0..settings.period_ms.max(1));
        let local = Member {
            state: State::Alive,
            ..local
        };
        Detector {
            settings,
            local,
            sends_left: gossip::sends(1),
            bytes_left: settings.period_update_bytes,
            seeds,
            table: Table::default(),
            retired: Vec::new(),
            listed: Vec::new(),
            round: Round::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            // An answer to a ping of an earlier process must not count for this one.
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

    /// This host as others should see it.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// All other members that are known, also those that are dead or have left, sorted by host.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// The record of one other member.
    pub fn member(&self, host: id::Host) -> Option<&Member> {
        self.table.get(host).map(|entry| &entry.member)
    }

    /// Hosts of `domain` that are alive and not suspected, including this one unless it leaves, sorted.
    pub fn live_in(&self, domain: &Name) -> Vec<id::Host> {
        let all = self.table.members().chain(std::iter::once(&self.local));
        let is_live =
            |member: &&Member| member.state == State::Alive && member.location.domain == *domain;
        let mut live: Vec<id::Host> = all.filter(is_live).map(|member| member.host).collect();
        live.sort_unstable();
        live
    }

    /// How long a suspicion that another host has started may last before this host probes the member itself: the time
    /// of the suspecting host's probes and twice the time to spread a claim.
    pub fn suspicion_ms(&self) -> u64 {
        let spread = u64::from((self.size() + 1).next_power_of_two().ilog2());
        self.settings.period_ms * (u64::from(self.settings.probes_to_death) + 2 * spread)
    }

    /// Replaces the addresses through which unknown members can be found.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Forgets a host that a configuration change has retired, and ignores all claims about it from now on.
    pub fn retire(&mut self, host: id::Host) {
        self.table.remove(host);
        self.probes.retain(|probe| probe.host != host);
        if let Err(at) = self.retired.binary_search(&host) {
            self.retired.insert(at, host);
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Time) -> Output {
        let mut output = Output::default();
        self.notice_freeze(now, &mut output);
        self.help_late_probes(now, &mut output);
        self.end_failed_probes(now, &mut output);
        self.relays.retain(|relay| relay.until > now);
        if now >= self.next_period {
            // After a late call the period is shortened by half at most, so that probes have time to be answered.
            let period_ms = self.settings.period_ms;
            let earliest = now.plus_ms(period_ms / 2);
            self.next_period = self.next_period.plus_ms(period_ms).max(earliest);
            self.bytes_left = self.settings.period_update_bytes;
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
        self.notice_freeze(now, &mut output);
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
        // The news come first: a host that joins tells its place there.
        self.merge_all(now, datagram.updates, Source::News, &mut output);
        self.merge(now, sender, Source::News, &mut output);
        if from != self.local.host {
            self.handle(now, from, source, datagram.body, &mut output);
        }
        output
    }

    /// Announces the departure of this host. It goes on answering probes until the process ends.
    pub fn leave(&mut self, now: Time) -> Output {
        let mut output = Output::default();
        self.local.state = State::Left;
        self.sends_left = gossip::sends(self.size());
        for member in self
            .table
            .pick(TOLD_AT_LEAVE, self.local.host, &mut self.rng)
        {
            self.ping(member.location.address, member.host, &mut output);
        }
        self.last_call = now;
        output
    }

    /// Takes the platform's list. A host that has vanished from it is suspected, and a host that is newly marked as
    /// leaving counts as left; both can refute it. Being on the list changes nothing, and a repeated entry has no new
    /// effect, because the list lags behind a host that has refuted it.
    pub fn apply_host_list(&mut self, now: Time, list: &[Listing]) -> Output {
        let mut output = Output::default();
        let mut list = list.to_vec();
        list.sort_unstable_by_key(|listing| listing.host);
        let before = std::mem::replace(&mut self.listed, list);
        let present: Vec<Member> = self.table.present().cloned().collect();
        for member in present {
            let was = leaving_in(&before, member.host);
            let is = leaving_in(&self.listed, member.host);
            if is == Some(true) && was != Some(true) {
                self.claim(now, &member, State::Left, &mut output);
            } else if is.is_none() && was.is_some() {
                self.suspect(now, member.host, 0, &mut output);
            }
        }
        output
    }

    /// Members that are present, with this host.
    fn size(&self) -> usize {
        self.table.present().count() + 1
    }

    fn notice_freeze(&mut self, now: Time, output: &mut Output) {
        let gap_ms = now.since(self.last_call);
        self.last_call = now;
        if gap_ms <= self.settings.freeze_ms {
            return;
        }
        // What was due during the gap says nothing about the others: answers may wait in the socket.
        self.probes.clear();
        self.relays.clear();
        self.next_period = now;
        self.next_rejoin = now;
        for entry in self.table.iter_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.own_from = suspicion.own_from.plus_ms(gap_ms);
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
        self.sends_left = gossip::sends(self.size());
    }

    fn help_late_probes(&mut self, now: Time, output: &mut Output) {
        let late = |probe: &&mut Probe| probe.indirect_at.is_some_and(|at| at <= now);
        let mut due = Vec::new();
        for probe in self.probes.iter_mut().filter(late) {
            probe.indirect_at = None;
            due.push(*probe);
        }
        let many = self.own_suspicions(now).len() > MAX_HELPED;
        for probe in due {
            let Some(target) = self.member(probe.host).cloned() else {
                continue;
            };
            let body = self.ping_body(probe.nonce);
            self.send(target.location.address, target.host, None, body, output);
            let count = if many { 0 } else { self.settings.helpers };
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

    /// Ends a probe that was answered by `from`, or through a helper.
    fn end_answered_probe(&mut self, from: Option<id::Host>, nonce: u32) {
        let is_it =
            |probe: &Probe| probe.nonce == nonce && from.is_none_or(|host| host == probe.host);
        let Some(at) = self.probes.iter().position(is_it) else {
            return;
        };
        let probe = self.probes.swap_remove(at);
        let entry = self.table.get_mut(probe.host);
        if let Some(suspicion) = entry.and_then(|entry| entry.suspicion.as_mut()) {
            suspicion.failures = 0;
        }
    }

    fn end_failed_probes(&mut self, now: Time, output: &mut Output) {
        let failed: Vec<Probe> = self
            .probes
            .extract_if(.., |probe| probe.until <= now)
            .collect();
        for probe in failed {
            self.suspect(now, probe.host, 1, output);
        }
    }

    /// Starts a suspicion of this host's own, or adds failed probes to it.
    fn suspect(&mut self, now: Time, host: id::Host, failures: u32, output: &mut Output) {
        let Some(entry) = self.table.get(host) else {
            return;
        };
        if entry.member.state == State::Alive {
            let member = entry.member.clone();
            self.claim(now, &member, State::Suspect, output);
        }
        let Some(entry) = self.table.get_mut(host) else {
            return;
        };
        let Some(suspicion) = &mut entry.suspicion else {
            return;
        };
        suspicion.own_from = suspicion.own_from.min(now);
        suspicion.failures += failures;
        if suspicion.failures >= self.settings.probes_to_death {
            let member = entry.member.clone();
            self.claim(now, &member, State::Dead, output);
        }
    }

    fn claim(&mut self, now: Time, member: &Member, state: State, output: &mut Output) {
        let update = Update {
            host: member.host,
            incarnation: member.incarnation,
            state,
            location: None,
        };
        self.merge(now, update, Source::News, output);
    }

    fn start_probes(&mut self, now: Time, output: &mut Output) {
        let mut targets = self.watched(now);
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
                until: self.next_period,
            });
        }
    }

    /// Suspected members that this host probes besides the round: first those that it has probed most often, then in
    /// an order that differs between hosts, so that not all of them probe the same ones.
    fn watched(&self, now: Time) -> Vec<id::Host> {
        let own = self.own_suspicions(now);
        own.into_iter().take(MAX_WATCHED).collect()
    }

    /// Members that this host suspects itself, in the order of `watched`.
    fn own_suspicions(&self, now: Time) -> Vec<id::Host> {
        let mut own: Vec<(u32, u32, id::Host)> = Vec::new();
        for entry in self.table.iter() {
            let Some(suspicion) = entry.suspicion.filter(|one| one.own_from <= now) else {
                continue;
            };
            let host = entry.member.host;
            let order = host.0.wrapping_sub(self.local.host.0);
            own.push((u32::MAX - suspicion.failures, order, host));
        }
        own.sort_unstable();
        own.iter().map(|one| one.2).collect()
    }

    /// Tries to reach a member that was declared dead, or a seed that belongs to no member that is present.
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
                self.end_answered_probe(Some(from), nonce);
                self.pass_on(from, nonce, output);
                if let Some(theirs) = difference {
                    self.correct(now, from, source, theirs, output);
                }
            }
            Body::PingRequest { nonce, target } => {
                self.help(now, source, nonce, target, output);
            }
            Body::RelayedAck { nonce } => self.end_answered_probe(None, nonce),
            Body::Join => self.send_view(source, from, output),
            Body::View { records } => {
                self.merge_all(now, records, Source::View, output);
                self.sends_left = gossip::sends(self.size());
            }
            Body::Records { records } => {
                self.merge_all(now, records, Source::Correction, output);
            }
        }
    }

    fn help(
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
            until: now.plus_ms(self.settings.period_ms),
        });
    }

    fn pass_on(&mut self, from: id::Host, nonce: u32, output: &mut Output) {
        let is_it = |relay: &Relay| relay.nonce == nonce && relay.target == from;
        let Some(at) = self.relays.iter().position(is_it) else {
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
        // The answer may have refuted the suspicion, which is what the origin waits for.
        self.send(relay.origin, origin, Some(relay.target), body, output);
    }

    /// This host's records of the group, if its digest is another one.
    fn difference(&mut self, summary: Summary) -> Option<Difference> {
        let group = summary.group;
        if view::digest(self.in_group(group)) == summary.digest {
            return None;
        }
        let mut records: Vec<Update> = self.in_group(group).map(Update::record).collect();
        // If not all fit, another part is sent the next time.
        let start = self.rng.random_range(0..records.len().max(1));
        records.rotate_left(start);
        Some(Difference {
            group,
            records: gossip::fit(records.into_iter(), DIFFERENCE_BYTES),
        })
    }

    /// Takes over the newer records of another host and returns those that it lacks.
    fn correct(
        &mut self,
        now: Time,
        from: id::Host,
        source: SocketAddr,
        theirs: Difference,
        output: &mut Output,
    ) {
        let is_news = |mine: &&Member| {
            let mut known = theirs.records.iter();
            !known.any(|record| {
                record.host == mine.host && (record.incarnation, record.state) >= rank_of(mine)
            })
        };
        let news: Vec<Update> = self
            .in_group(theirs.group)
            .filter(is_news)
            .map(Update::record)
            .collect();
        self.merge_all(now, theirs.records, Source::Correction, output);
        if !news.is_empty() {
            let records = gossip::fit(news.into_iter(), DIFFERENCE_BYTES);
            self.send(source, from, None, Body::Records { records }, output);
        }
    }

    fn send_view(&mut self, to: SocketAddr, host: id::Host, output: &mut Output) {
        let everyone = self.table.present().chain(std::iter::once(&self.local));
        let mut rest: Vec<Update> = everyone.map(Update::record).collect();
        while !rest.is_empty() {
            let records = gossip::fit(rest.iter().cloned(), message::MAX_BYTES - HEADER_BYTES);
            rest.drain(..records.len().max(1));
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
        let group = self.group.next(self.size());
        self.group = group;
        let digest = view::digest(self.in_group(group));
        Body::Ping {
            nonce,
            summary: Summary { group, digest },
        }
    }

    /// Sends `body` to `host`. The claim about the receiver, unless it is alive, and the one about `about` go first.
    fn send(
        &mut self,
        to: SocketAddr,
        host: id::Host,
        about: Option<id::Host>,
        body: Body,
        output: &mut Output,
    ) {
        let used = HEADER_BYTES + body_bytes(&body);
        let mut budget = message::MAX_BYTES.saturating_sub(used);
        budget = budget.min(self.settings.update_bytes);
        let mut updates = Vec::new();
        let receiver = self
            .member(host)
            .filter(|member| member.state != State::Alive);
        updates.extend(receiver.map(Update::of));
        updates.extend(about.and_then(|host| self.member(host)).map(Update::of));
        if self.sends_left > 0 || body == Body::Join {
            self.sends_left = self.sends_left.saturating_sub(1);
            updates.push(Update::record(&self.local));
        }
        let mut updates = gossip::fit(updates.into_iter(), budget);
        let first: Vec<id::Host> = updates.iter().map(|update| update.host).collect();
        budget -= updates.iter().map(Update::max_bytes).sum::<usize>();
        let passed_on = self.table.take_updates(budget.min(self.bytes_left), &first);
        self.bytes_left -= passed_on.iter().map(Update::max_bytes).sum::<usize>();
        updates.extend(passed_on);
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
            // The configuration says that this host is no part of the fleet.
        } else if self.table.get(update.host).is_some() {
            self.merge_known(now, update, source, output);
        } else if update.state == State::Alive {
            self.join(update, source, output);
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

    fn join(&mut self, update: Update, source: Source, output: &mut Output) {
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
        let sends_left = match source {
            Source::News | Source::Correction => gossip::sends(self.size() + 1),
            Source::View => 0,
        };
        self.table.insert(Entry {
            member,
            suspicion: None,
            sends_left,
        });
    }

    fn merge_known(&mut self, now: Time, update: Update, source: Source, output: &mut Output) {
        let Some(entry) = self.table.get_mut(update.host) else {
            return;
        };
        let before = entry.member.state;
        let doubtful = source != Source::News && update.state == State::Dead && before.is_present();
        let state = if doubtful {
            State::Suspect
        } else {
            update.state
        };
        let (host, incarnation) = (update.host, update.incarnation);
        if !entry.member.is_superseded_by(incarnation, state) {
            let is_same = (entry.member.incarnation, entry.member.state) == (incarnation, state);
            if is_same && update.location.is_some() == (state == State::Alive) {
                // The sender passes on the same update, so fewer hosts still need it.
                entry.sends_left = entry.sends_left.saturating_sub(1);
            }
            return;
        }
        let sends_left = gossip::sends(self.size());
        let suspicion_ms = self.suspicion_ms();
        let Some(entry) = self.table.get_mut(host) else {
            return;
        };
        entry.member.incarnation = incarnation;
        entry.member.state = state;
        if let Some(location) = update.location {
            entry.member.location = location;
        }
        entry.sends_left = sends_left;
        entry.suspicion = (state == State::Suspect).then_some(Suspicion {
            own_from: now.plus_ms(suspicion_ms),
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

/// Precedence of the record of a member.
fn rank_of(member: &Member) -> (u64, State) {
    let record = Update::record(member);
    (record.incarnation, record.state)
}

/// Whether the host is leaving according to a sorted list; `None` if it is not on it.
fn leaving_in(list: &[Listing], host: id::Host) -> Option<bool> {
    let at = list.binary_search_by_key(&host, |listing| listing.host);
    at.ok().map(|at| list[at].leaving)
}

fn body_bytes(body: &Body) -> usize {
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
