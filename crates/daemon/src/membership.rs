//! The task that runs the failure detector and publishes its view of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, State as Lifecycle};
use primrose_member::detector::{Detector, Event, Output, Settings};
use primrose_member::view::{Location, Member, State};
use primrose_wire::peer::Packet;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::counters::Counters;
use crate::packets::{Outbox, Received};

/// Interval between two calls of [`Detector::tick`], well below the gap that counts as a suspension of the process.
const TICK_MS: u64 = 100;

/// The state of the members of the fleet according to this host.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// All known members including this host, sorted by host.
    pub members: Vec<Member>,
}

impl View {
    /// Returns the member `host`, or `None` if it is not known.
    pub fn member(&self, host: id::Host) -> Option<&Member> {
        let at = self
            .members
            .binary_search_by_key(&host, |member| member.host)
            .ok()?;
        Some(&self.members[at])
    }

    /// Returns the hosts of `domain` that are not dead and have not left, sorted.
    pub fn live(&self, domain: &Name) -> Vec<id::Host> {
        let members = self.members.iter();
        let live =
            members.filter(|member| member.state.is_present() && member.location.domain == *domain);
        live.map(|member| member.host).collect()
    }

    /// Returns the address to which packets for `host` are sent, or `None` if the host is not known.
    pub fn address(&self, host: id::Host) -> Option<SocketAddr> {
        self.member(host).map(|member| member.location.address)
    }
}

/// The inputs of the task.
pub struct Inputs {
    /// Id of this host.
    pub host: id::Host,
    /// Start time of the process in wall-clock ms.
    pub incarnation: u64,
    /// Address and failure domain of this host, which the other hosts learn.
    pub location: Location,
    /// The configuration in force on this host. Its hosts are the seeds, and hosts that it retires are removed.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Becomes true when the daemon starts to drain.
    pub draining: watch::Receiver<bool>,
    /// Packets between failure detectors. The task ends when all senders are dropped.
    pub packets: mpsc::Receiver<Received>,
    /// Sends packets to other hosts.
    pub outbox: Outbox,
    /// Counts `freeze_detected`.
    pub counters: Arc<Counters>,
    /// Receives the log lines of the task.
    pub log: Logger,
}

/// A running failure detector.
pub struct Handle {
    /// The latest view; empty until the task has published the first one.
    pub view: watch::Receiver<Arc<View>>,
    /// The task, which runs until the daemon ends.
    pub task: JoinHandle<()>,
}

/// Starts the failure detector with the hosts of the configuration as seeds.
pub fn spawn(inputs: Inputs) -> Handle {
    let (sender, view) = watch::channel(Arc::default());
    let me = Member {
        host: inputs.host,
        incarnation: inputs.incarnation,
        state: State::Alive,
        location: inputs.location.clone(),
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
                    self.update_configuration();
                    continue;
                }
                Ok(_) = draining.wait_for(|draining| *draining), if self.detector.local().state == State::Alive => {
                    self.detector.leave(Time::now())
                }
            };
            self.carry_out(output);
        }
    }

    fn update_configuration(&mut self) {
        self.detector.set_seeds(seeds(&self.inputs));
        let Some(configuration) = self.inputs.configuration.borrow().clone() else {
            return;
        };
        for host in configuration
            .hosts
            .iter()
            .filter(|host| host.state == Lifecycle::Retired)
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
            self.log_event(event);
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

    fn log_event(&self, event: Event) {
        let log = &self.inputs.log;
        match event {
            Event::Changed { member, before } => {
                info!(log, "member changed"; "member" => member.host.0, "before" => ?before, "after" => ?member.state);
            }
            Event::Refuted { claim, incarnation } => {
                info!(log, "refuted a wrong claim about this host"; "claim" => ?claim, "incarnation" => incarnation);
            }
            Event::Frozen {
                gap_ms,
                incarnation,
            } => {
                self.inputs.counters.count("freeze_detected");
                warn!(log, "this process was suspended"; "gap_ms" => gap_ms, "incarnation" => incarnation);
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
        .filter(|host| host.state != Lifecycle::Retired)
        .map(|host| host.peer)
        .collect()
}
