//! Many membership state machines on one simulated, faulty network.
#![allow(dead_code)] // Each test file uses a part of it.

use croftrill_state::membership::{
    Health, LocalMember, Membership, MembershipAction, MembershipConfig, MembershipEvent, Probe,
};
use croftrill_state::{Instant, NodeId, Revision};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const TICK_MILLIS: u64 = 100;
/// IP and UDP headers.
pub const HEADER_BYTES: u64 = 28;
/// From hearing of a log head to having applied it.
const FETCH_MILLIS: u64 = 20;

#[derive(Clone, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplicates: f64,
    pub latency_millis: (u64, u64),
}

impl Network {
    pub fn good() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            latency_millis: (1, 3),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    Running,
    Paused,
    Crashed,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick { node: usize, process: u64 },
    Deliver { to: usize, datagram: Vec<u8> },
    Fetched { node: usize, process: u64, head: u64 },
}

pub struct SimulatedNode {
    pub membership: Membership,
    pub run: Run,
    pub side: u8,
    pub bytes_sent: u64,
    pub bytes_received: u64,
    pub head: u64,
    pub head_at: Instant,
    process: u64,
    held_back: Vec<Event>,
}

pub struct Simulation {
    pub now: Instant,
    pub nodes: Vec<SimulatedNode>,
    pub network: Network,
    pub reports: Vec<(Instant, usize, MembershipEvent)>,
    config: MembershipConfig,
    addresses: BTreeMap<String, usize>,
    random: SmallRng,
    queue: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    queued: u64,
}

pub fn name(node: usize) -> NodeId {
    NodeId(format!("node-{node:03}"))
}

pub fn address(node: usize) -> String {
    format!("10.1.{}.{}:7000", node / 250, node % 250 + 1)
}

impl Simulation {
    /// `count` nodes that all know each other from the cluster state.
    pub fn new(count: usize, config: MembershipConfig, network: Network, seed: u64) -> Self {
        let mut simulation = Self {
            now: Instant(0),
            nodes: Vec::new(),
            network,
            reports: Vec::new(),
            config,
            addresses: (0..count).map(|node| (address(node), node)).collect(),
            random: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            queued: 0,
        };
        for node in 0..count {
            let fresh = simulation.fresh_node(node, 0);
            simulation.nodes.push(fresh);
            simulation.list_all(node, count);
            simulation.schedule_tick(node);
        }
        simulation
    }

    fn fresh_node(&mut self, node: usize, process: u64) -> SimulatedNode {
        let local = LocalMember {
            node: name(node),
            address: address(node),
            incarnation: 0,
        };
        let seeds = vec![address(0), address(1)];
        let seed = self.random.random();
        SimulatedNode {
            membership: Membership::new(self.config.clone(), local, seeds, seed, self.now),
            run: Run::Running,
            side: 0,
            bytes_sent: 0,
            bytes_received: 0,
            head: 0,
            head_at: Instant(0),
            process,
            held_back: Vec::new(),
        }
    }

    fn list_all(&mut self, node: usize, count: usize) {
        let now = self.now;
        let listed = (0..count).map(|other| (name(other), address(other)));
        self.nodes[node].membership.list_members(listed, now);
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse((at, self.queued, event)));
    }

    fn schedule_tick(&mut self, node: usize) {
        let delay = self.random.random_range(0..TICK_MILLIS);
        let process = self.nodes[node].process;
        self.schedule(self.now + delay, Event::Tick { node, process });
    }

    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            if let Some(Reverse((at, _, event))) = self.queue.pop() {
                self.now = at;
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let (node, process) = match &event {
            Event::Tick { node, process } | Event::Fetched { node, process, .. } => (*node, Some(*process)),
            Event::Deliver { to, .. } => (*to, None),
        };
        let target = &mut self.nodes[node];
        if target.run == Run::Crashed || process.is_some_and(|process| process != target.process) {
            return;
        }
        if target.run == Run::Paused {
            target.held_back.push(event);
            return;
        }
        match event {
            Event::Tick { node, process } => {
                let actions = self.nodes[node].membership.tick(self.now);
                self.perform(node, actions);
                self.schedule(self.now + TICK_MILLIS, Event::Tick { node, process });
            }
            Event::Deliver { to, datagram } => {
                self.nodes[to].bytes_received += datagram.len() as u64 + HEADER_BYTES;
                let probe = Probe::decode(&datagram).expect("a datagram decodes");
                let actions = self.nodes[to].membership.receive(probe, self.now);
                self.perform(to, actions);
            }
            Event::Fetched { node, head, .. } => self.apply_head(node, head),
        }
    }

    /// The node applied the log up to `head`.
    pub fn apply_head(&mut self, node: usize, head: u64) {
        if head <= self.nodes[node].head {
            return;
        }
        self.nodes[node].head = head;
        self.nodes[node].head_at = self.now;
        let actions = self.nodes[node].membership.new_head(Revision(head), self.now);
        self.perform(node, actions);
    }

    pub fn leave(&mut self, node: usize) {
        let actions = self.nodes[node].membership.leave();
        self.perform(node, actions);
    }

    fn perform(&mut self, node: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, probe } => self.transmit(node, &to, &probe),
                MembershipAction::Report(event) => self.report(node, event),
            }
        }
    }

    fn report(&mut self, node: usize, event: MembershipEvent) {
        if let MembershipEvent::HeadSeen { head, .. } = event {
            let process = self.nodes[node].process;
            let fetched = Event::Fetched {
                node,
                process,
                head: head.0,
            };
            self.schedule(self.now + FETCH_MILLIS, fetched);
            return;
        }
        self.reports.push((self.now, node, event));
    }

    fn transmit(&mut self, from: usize, to: &str, probe: &Probe) {
        let datagram = probe.encode();
        self.nodes[from].bytes_sent += datagram.len() as u64 + HEADER_BYTES;
        let Some(&to) = self.addresses.get(to) else {
            return;
        };
        if self.nodes[from].side != self.nodes[to].side || self.random.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.network.duplicates));
        for _ in 0..copies {
            let (least, most) = self.network.latency_millis;
            let at = self.now + self.random.random_range(least..=most);
            let datagram = datagram.clone();
            self.schedule(at, Event::Deliver { to, datagram });
        }
    }

    pub fn crash(&mut self, node: usize) {
        self.nodes[node].run = Run::Crashed;
        self.nodes[node].held_back.clear();
    }

    /// Starts a new process of a crashed node, which knows nothing.
    pub fn restart(&mut self, node: usize) {
        let process = self.nodes[node].process + 1;
        let side = self.nodes[node].side;
        self.nodes[node] = self.fresh_node(node, process);
        self.nodes[node].side = side;
        self.list_all(node, self.nodes.len());
        self.schedule_tick(node);
    }

    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].run == Run::Running {
            self.nodes[node].run = Run::Paused;
        }
    }

    /// Lets a paused node go on. Its timer fires first, then it reads what
    /// waited in its socket, as the driver does.
    pub fn resume(&mut self, node: usize) {
        if self.nodes[node].run != Run::Paused {
            return;
        }
        self.nodes[node].run = Run::Running;
        let mut events = std::mem::take(&mut self.nodes[node].held_back);
        events.sort_by_key(|event| !matches!(event, Event::Tick { .. }));
        for event in events {
            self.handle(event);
        }
    }

    pub fn health(&self, observer: usize, node: usize) -> Option<Health> {
        self.nodes[observer].membership.health(&name(node))
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].run == Run::Running)
            .collect()
    }

    /// Pairs (observer, node) of running observers that believe otherwise.
    pub fn disagreeing(&self, nodes: &[usize], expected: Health) -> Vec<(usize, usize)> {
        let mut found = Vec::new();
        for observer in self.running() {
            for &node in nodes {
                if self.health(observer, node) != Some(expected) {
                    found.push((observer, node));
                }
            }
        }
        found
    }

    /// Runs until all running nodes believe this; how long it took.
    pub fn run_until(&mut self, nodes: &[usize], expected: Health, limit_millis: u64) -> u64 {
        let start = self.now;
        while !self.disagreeing(nodes, expected).is_empty() {
            let taken = self.now.millis_since(start);
            assert!(
                taken < limit_millis,
                "after {taken} ms not {expected:?}: {:?}",
                self.disagreeing(nodes, expected)
            );
            self.run_for(TICK_MILLIS);
        }
        self.now.millis_since(start)
    }

    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.bytes_sent = 0;
            node.bytes_received = 0;
        }
    }
}
