//! The task that owns the failure detector.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, State as Life};
use primrose_member::detector::{Detector, Event, Output, Settings};
use primrose_member::view::{Location, Member, State};
use primrose_wire::peer::Packet;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::counters::Counters;
use crate::packets::{Outbox, Received};

/// Interval between two calls of the detector, as its documentation asks.
const TICK_MS: u64 = 100;

/// What this host believes about the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// All known members with this host, sorted by host.
    pub members: Vec<Member>,
}

impl View {
    /// The member `host`.
    pub fn member(&self, host: id::Host) -> Option<&Member> {
        let at = self
            .members
            .binary_search_by_key(&host, |member| member.host)
            .ok()?;
        Some(&self.members[at])
    }

    /// Hosts of `domain` that are not dead and have not left, sorted.
    pub fn live(&self, domain: &Name) -> Vec<id::Host> {
        let members = self.members.iter();
        let live =
            members.filter(|member| member.state.is_present() && member.location.domain == *domain);
        live.map(|member| member.host).collect()
    }

    /// Where `host` receives packets.
    pub fn address(&self, host: id::Host) -> Option<SocketAddr> {
        self.member(host).map(|member| member.location.address)
    }
}

/// What the task needs.
pub struct Inputs {
    /// This host.
    pub host: id::Host,
    /// Start time of the process in wall-clock ms.
    pub incarnation: u64,
    /// Address and failure domain of this host.
    pub place: Location,
    /// The configuration; hosts that it retires are forgotten.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// True once the daemon is leaving.
    pub draining: watch::Receiver<bool>,
    /// Packets of membership.
    pub packets: mpsc::Receiver<Received>,
    /// Sends packets.
    pub outbox: Outbox,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Log.
    pub log: Logger,
}

/// A running failure detector.
pub struct Handle {
    /// The latest view.
    pub view: watch::Receiver<Arc<View>>,
    /// Ends with the daemon.
    pub task: JoinHandle<()>,
}

/// Starts the failure detector.
pub fn spawn(inputs: Inputs) -> Handle {
    let (sender, view) = watch::channel(Arc::default());
    let me = Member {
        host: inputs.host,
        incarnation: inputs.incarnation,
        state: State::Alive,
        location: inputs.place.clone(),
    };
    let seeds = seeds(&inputs);
    let detector = Detector::new(me, seeds, Settings::default(), Time::now(), rand::random());
    let task = Task {
        detector,
        inputs,
        sender,
    };
    Handle {
        view,
        task: tokio::spawn(task.run()),
    }
}

struct Task {
    detector: Detector,
    inputs: Inputs,
    sender: watch::Sender<Arc<View>>,
}

impl Task {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        let mut configuration = self.inputs.configuration.clone();
        let mut draining = self.inputs.draining.clone();
        loop {
            let output = tokio::select! {
                _ = ticks.tick() => self.detector.tick(Time::now()),
                received = self.inputs.packets.recv() => match received {
                    Some(Received { source, packet: Packet::Membership(datagram) }) => {
                        self.detector.receive(Time::now(), source, datagram)
                    }
                    Some(_) => continue,
                    None => return,
                },
                Ok(()) = configuration.changed() => {
                    self.configure();
                    continue;
                }
                Ok(_) = draining.wait_for(|draining| *draining), if self.detector.local().state == State::Alive => {
                    self.detector.leave(Time::now())
                }
            };
            self.carry_out(output);
        }
    }

    fn configure(&mut self) {
        self.detector.set_seeds(seeds(&self.inputs));
        let Some(configuration) = self.inputs.configuration.borrow().clone() else {
            return;
        };
        for host in configuration
            .hosts
            .iter()
            .filter(|host| host.state == Life::Retired)
        {
            self.detector.retire(host.id);
        }
    }

    fn carry_out(&mut self, output: Output) {
        for envelope in output.datagrams {
            self.inputs
                .outbox
                .send(envelope.to, &Packet::Membership(envelope.datagram));
        }
        for event in output.events {
            self.report(event);
        }
        self.publish();
    }

    fn publish(&self) {
        let mut members: Vec<Member> = self.detector.members().cloned().collect();
        members.push(self.detector.local().clone());
        members.sort_unstable_by_key(|member| member.host);
        self.sender.send_if_modified(|view| {
            if view.members == members {
                return false;
            }
            *view = Arc::new(View { members });
            true
        });
    }

    fn report(&self, event: Event) {
        let log = &self.inputs.log;
        match event {
            Event::Changed { member, before } => {
                info!(log, "member changed"; "member" => member.host.0, "before" => ?before, "after" => ?member.state);
            }
            Event::Refuted { claim, incarnation } => {
                info!(log, "refuted a claim about this host"; "claim" => ?claim, "incarnation" => incarnation);
            }
            Event::Frozen {
                gap_ms,
                incarnation,
            } => {
                self.inputs.counters.count("freeze_detected");
                warn!(log, "this host was frozen"; "gap_ms" => gap_ms, "incarnation" => incarnation);
            }
        }
    }
}

fn seeds(inputs: &Inputs) -> Vec<SocketAddr> {
    let configuration = inputs.configuration.borrow();
    let hosts = configuration
        .iter()
        .flat_map(|configuration| configuration.hosts.iter());
    hosts
        .filter(|host| host.state != Life::Retired)
        .map(|host| host.peer)
        .collect()
}
