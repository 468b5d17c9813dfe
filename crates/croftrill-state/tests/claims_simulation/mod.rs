//! Several claim holders and their gateways in one simulated, faulty world, and
//! an independent ledger of what was granted.

use croftrill_state::claims::{
    ClaimConfig, ClaimHandOver, ClaimHolder, ClaimOutcome, ClaimRequest, ClaimResult, ClaimRing, ClaimTable,
    FinishOutcome,
};
use croftrill_state::cluster::FORMER_MEMBERSHIPS;
use croftrill_state::membership::{Health, MemberView, MembershipView};
use croftrill_state::{IdempotencyKey, Instant, NodeId, RequestId, Revision};
use std::collections::{BTreeMap, BTreeSet};

pub const STEP_MILLIS: u64 = 10;
pub const PAUSE_THRESHOLD_MILLIS: u64 = 30;

/// Short times, so that few steps pass a window.
pub fn config() -> ClaimConfig {
    ClaimConfig {
        window_millis: 1_000,
        authority_millis: 200,
        probe_delay_millis: STEP_MILLIS,
        unconfirmed_millis: 1_000_000_000,
        grant_transit_millis: 20,
        view_limit_millis: 20,
        max_records: 100,
    }
}

pub fn name(node: usize) -> NodeId {
    NodeId(format!("node-{node}"))
}

pub fn key(number: usize) -> IdempotencyKey {
    IdempotencyKey(format!("key-{number}"))
}

struct Process {
    table: ClaimTable,
    applied: u64,
    heard_at: BTreeMap<usize, Instant>,
    heads: BTreeMap<usize, Revision>,
    viewed_at: Instant,
    paused_at: Option<Instant>,
}

#[derive(Clone)]
pub struct SentClaim {
    holder: usize,
    request: ClaimRequest,
    asked_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Claiming,
    Granted,
    Ended,
}

struct GatewayRequest {
    key: IdempotencyKey,
    state: RequestState,
}

#[derive(Clone, Debug)]
struct Grant {
    key: IdempotencyKey,
    request: RequestId,
    at: Instant,
    void: bool,
}

pub struct World {
    pub now: Instant,
    pub violations: Vec<String>,
    pub granted: usize,
    pub granted_after_change: usize,
    config: ClaimConfig,
    processes: Vec<Option<Process>>,
    sides: Vec<u8>,
    rings: Vec<ClaimRing>,
    requests: Vec<GatewayRequest>,
    ledger: Vec<Grant>,
    waiting_claims: Vec<SentClaim>,
    sent_claims: Vec<SentClaim>,
    sent_finishes: Vec<(usize, IdempotencyKey, RequestId, ClaimResult)>,
    sent_parts: Vec<(usize, ClaimHandOver)>,
    next_instance: u64,
}

impl World {
    /// `members` of `count` nodes form the first ring; all processes saw the
    /// log empty.
    pub fn new(count: usize, members: &[usize]) -> Self {
        let first = ClaimRing {
            revision: Revision(1),
            version: 1,
            nodes: members.iter().map(|node| name(*node)).collect(),
            former: Vec::new(),
        };
        let mut world = Self {
            now: Instant(1_000_000),
            violations: Vec::new(),
            granted: 0,
            granted_after_change: 0,
            config: config(),
            processes: Vec::new(),
            sides: vec![0; count],
            rings: vec![first],
            requests: Vec::new(),
            ledger: Vec::new(),
            waiting_claims: Vec::new(),
            sent_claims: Vec::new(),
            sent_finishes: Vec::new(),
            sent_parts: Vec::new(),
            next_instance: 1,
        };
        for node in 0..count {
            let process = world.start(node, true);
            world.processes.push(Some(process));
        }
        world.wait(5 * STEP_MILLIS);
        world
    }

    fn start(&mut self, node: usize, witnessed_no_ring: bool) -> Process {
        let holder = ClaimHolder {
            node: name(node),
            instance: self.next_instance,
            witnessed_no_ring,
        };
        self.next_instance += 1;
        let mut table = ClaimTable::new(self.config.clone(), holder);
        table.observe_ring(self.last_ring().clone(), &MembershipView::default(), self.now);
        Process {
            table,
            applied: self.last_ring().version,
            heard_at: BTreeMap::new(),
            heads: BTreeMap::new(),
            viewed_at: self.now,
            paused_at: None,
        }
    }

    fn last_ring(&self) -> &ClaimRing {
        self.rings.last().expect("there is a first ring")
    }

    fn is_running(&self, node: usize) -> bool {
        let process = self.processes[node].as_ref();
        process.is_some_and(|process| process.paused_at.is_none())
    }

    fn running(&self, node: usize) -> Option<&Process> {
        self.processes[node]
            .as_ref()
            .filter(|process| process.paused_at.is_none())
    }

    fn running_mut(&mut self, node: usize) -> Option<&mut Process> {
        self.processes[node]
            .as_mut()
            .filter(|process| process.paused_at.is_none())
    }

    fn view(&self, node: usize) -> MembershipView {
        let process = self.processes[node].as_ref().expect("a process");
        let members = process
            .heads
            .iter()
            .map(|(other, head)| {
                let member = MemberView {
                    address: String::new(),
                    health: Health::Alive,
                    heard_at: process.heard_at.get(other).copied(),
                    head: *head,
                    caught_up: true,
                };
                (name(*other), member)
            })
            .collect();
        MembershipView {
            local: name(node),
            taken_at: process.viewed_at,
            members,
            head: self.head(process.applied),
        }
    }

    /// The log head of a node that applied so many changes of the ring.
    fn head(&self, applied: u64) -> Revision {
        self.rings[applied as usize - 1].revision
    }

    /// Lets time pass; running nodes on one side hear from each other.
    pub fn wait(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP_MILLIS) {
            self.now = self.now + STEP_MILLIS;
            for node in 0..self.processes.len() {
                self.listen(node);
            }
        }
    }

    fn listen(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        let others: Vec<(usize, Revision)> = (0..self.processes.len())
            .filter(|other| *other != node && self.sides[*other] == self.sides[node])
            .filter_map(|other| {
                let process = self.running(other)?;
                Some((other, self.head(process.applied)))
            })
            .collect();
        let now = self.now;
        let Some(process) = self.running_mut(node) else {
            return;
        };
        process.viewed_at = now;
        for (other, applied) in others {
            process.heard_at.insert(other, now);
            process.heads.insert(other, applied);
        }
        let view = self.view(node);
        if let Some(process) = self.running_mut(node) {
            process.table.observe_members(&view, now);
        }
    }

    /// The node applies the next entry of the log, if there is one.
    pub fn apply_next(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        let view = self.view(node);
        let now = self.now;
        let applied = self.processes[node].as_ref().map_or(0, |process| process.applied);
        let Some(next) = self.rings.get(applied as usize).cloned() else {
            return;
        };
        if let Some(process) = self.running_mut(node) {
            process.applied = next.version;
            process.table.observe_ring(next, &view, now);
        }
    }

    /// A node appends a change of the ring, however few of the others it hears;
    /// whoever is not up to date loses the race for the next entry.
    pub fn change_ring(&mut self, author: usize, nodes: BTreeSet<usize>) {
        let last = self.last_ring().clone();
        let up_to_date = self
            .running(author)
            .is_some_and(|process| process.applied == last.version);
        let nodes: BTreeSet<NodeId> = nodes.into_iter().map(name).collect();
        if !up_to_date || nodes == last.nodes || nodes.is_empty() {
            return;
        }
        let mut former = last.former.clone();
        former.push(last.to_former());
        former.drain(..former.len().saturating_sub(FORMER_MEMBERSHIPS));
        self.rings.push(ClaimRing {
            former,
            revision: Revision(last.revision.0 + 3),
            version: last.version + 1,
            nodes,
        });
    }

    pub fn crash(&mut self, node: usize) {
        self.processes[node] = None;
        self.waiting_claims.retain(|sent| sent.holder != node);
    }

    pub fn restart(&mut self, node: usize) {
        if self.processes[node].is_none() {
            let process = self.start(node, false);
            self.processes[node] = Some(process);
        }
    }

    pub fn pause(&mut self, node: usize) {
        let now = self.now;
        if let Some(process) = self.running_mut(node) {
            process.paused_at = Some(now);
        }
    }

    /// A paused node goes on with the claims that waited, before its membership
    /// gets to run.
    pub fn resume(&mut self, node: usize) {
        let now = self.now;
        let Some(process) = self.processes[node].as_mut() else {
            return;
        };
        let Some(paused_at) = process.paused_at.take() else {
            return;
        };
        let (waiting, rest) = std::mem::take(&mut self.waiting_claims)
            .into_iter()
            .partition(|sent| sent.holder == node);
        self.waiting_claims = rest;
        let waiting: Vec<SentClaim> = waiting;
        for sent in waiting {
            self.deliver_claim(&sent, false);
        }
        if now.millis_since(paused_at) >= PAUSE_THRESHOLD_MILLIS {
            if let Some(process) = self.processes[node].as_mut() {
                process.heard_at.clear();
            }
        }
    }

    pub fn partition(&mut self, sides: &[u8]) {
        self.sides.copy_from_slice(sides);
    }

    /// A gateway, which is `behind` entries late, claims a key for a new request.
    pub fn claim_new(&mut self, number: usize, behind: usize, reply_lost: bool) {
        let request = self.requests.len();
        self.requests.push(GatewayRequest {
            key: key(number),
            state: RequestState::Claiming,
        });
        self.ask(request, behind, reply_lost);
    }

    /// A gateway that got no answer asks again for the same request.
    pub fn claim_again(&mut self, request: usize, behind: usize, reply_lost: bool) {
        if self.requests.is_empty() {
            return;
        }
        let request = request % self.requests.len();
        if self.requests[request].state == RequestState::Claiming {
            self.ask(request, behind, reply_lost);
        }
    }

    fn ask(&mut self, request: usize, behind: usize, reply_lost: bool) {
        let ring = &self.rings[self.rings.len().saturating_sub(1 + behind)];
        let claim = ClaimRequest {
            key: self.requests[request].key.clone(),
            request: RequestId(request as u64),
            revision: ring.revision,
        };
        let holder = ring.holder(&claim.key).expect("a ring has nodes").clone();
        let holder = (0..self.processes.len())
            .find(|node| name(*node) == holder)
            .expect("a known node");
        let sent = SentClaim {
            holder,
            request: claim,
            asked_at: self.now,
        };
        self.sent_claims.push(sent.clone());
        match &self.processes[holder] {
            None => {}
            Some(process) if process.paused_at.is_some() => self.waiting_claims.push(sent),
            Some(_) => self.deliver_claim(&sent, reply_lost),
        }
    }

    fn deliver_claim(&mut self, sent: &SentClaim, reply_lost: bool) {
        let view = self.view(sent.holder);
        let now = self.now;
        let Some(process) = self.running_mut(sent.holder) else {
            return;
        };
        let outcome = process.table.claim(&sent.request, &view, now);
        let late = now.millis_since(sent.asked_at) > self.config.grant_transit_millis;
        if outcome != ClaimOutcome::Granted || reply_lost {
            return;
        }
        let number = sent.request.request.0 as usize;
        if self.requests[number].state == RequestState::Ended {
            return;
        }
        if late {
            self.end(number, ClaimResult::NotRun, false);
            return;
        }
        self.requests[number].state = RequestState::Granted;
        self.record_grant(&sent.request);
    }

    fn record_grant(&mut self, claim: &ClaimRequest) {
        let now = self.now;
        let window = self.config.window_millis;
        self.granted += 1;
        self.granted_after_change += usize::from(self.rings.len() > 1);
        let doubled = self.ledger.iter().find(|grant| {
            grant.key == claim.key
                && grant.request != claim.request
                && !grant.void
                && now.millis_since(grant.at) < window
        });
        if let Some(earlier) = doubled {
            self.violations.push(format!(
                "{} granted to {} at {} ms and to {} at {} ms",
                claim.key, earlier.request, earlier.at.0, claim.request, now.0
            ));
        }
        self.ledger.push(Grant {
            key: claim.key.clone(),
            request: claim.request,
            at: now,
            void: false,
        });
    }

    /// The gateway reports the end of a request once, or gives up claiming it.
    pub fn finish(&mut self, request: usize, result: ClaimResult, report_lost: bool) {
        if self.requests.is_empty() {
            return;
        }
        let request = request % self.requests.len();
        match self.requests[request].state {
            RequestState::Claiming => self.end(request, ClaimResult::NotRun, report_lost),
            RequestState::Granted => self.end(request, result, report_lost),
            RequestState::Ended => {}
        }
    }

    fn end(&mut self, request: usize, result: ClaimResult, report_lost: bool) {
        self.requests[request].state = RequestState::Ended;
        let id = RequestId(request as u64);
        if result == ClaimResult::NotRun {
            let grants = self.ledger.iter_mut();
            grants
                .filter(|grant| grant.request == id)
                .for_each(|grant| grant.void = true);
        }
        if report_lost {
            return;
        }
        let key = self.requests[request].key.clone();
        for node in 0..self.processes.len() {
            self.sent_finishes.push((node, key.clone(), id, result));
            if self.deliver_finish(node, &key, id, result) == Some(FinishOutcome::Recorded) {
                return;
            }
        }
    }

    fn deliver_finish(
        &mut self,
        node: usize,
        key: &IdempotencyKey,
        request: RequestId,
        result: ClaimResult,
    ) -> Option<FinishOutcome> {
        let now = self.now;
        let process = self.running_mut(node)?;
        Some(process.table.finish(key, request, result, now))
    }

    /// Sends the next part of a hand-over.
    pub fn hand_over(&mut self, from: usize, to: usize, part_lost: bool, reply_lost: bool) {
        let now = self.now;
        let target = name(to);
        let Some(process) = self.running_mut(from) else {
            return;
        };
        let Some(part) = process.table.next_hand_over(&target, now) else {
            return;
        };
        self.sent_parts.push((to, part.clone()));
        if part_lost {
            return;
        }
        let Some(receiver) = self.running_mut(to) else {
            return;
        };
        let outcome = receiver.table.receive_hand_over(&part, now);
        if reply_lost {
            return;
        }
        if let Some(process) = self.running_mut(from) {
            process.table.take_hand_over_outcome(&target, &part, outcome);
        }
    }

    /// An earlier message arrives late, or once more; nobody waits for the reply.
    pub fn replay(&mut self, kind: u8, index: usize) {
        let now = self.now;
        match kind % 3 {
            0 if !self.sent_claims.is_empty() => {
                let sent = self.sent_claims[index % self.sent_claims.len()].clone();
                if self.is_running(sent.holder) {
                    self.deliver_claim(&sent, true);
                }
            }
            1 if !self.sent_finishes.is_empty() => {
                let (node, key, request, result) =
                    self.sent_finishes[index % self.sent_finishes.len()].clone();
                self.deliver_finish(node, &key, request, result);
            }
            2 if !self.sent_parts.is_empty() => {
                let (to, part) = self.sent_parts[index % self.sent_parts.len()].clone();
                if let Some(process) = self.running_mut(to) {
                    process.table.receive_hand_over(&part, now);
                }
            }
            _ => {}
        }
    }
}
