//! Links between nodes and the keepers of quotas and limits.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use croftrill_scheduler::quota::keeper::{QuotaKeeper, QuotaRequest, ReservationDecision};
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::limits::{LimitKeeper, LimitRequest, ReportedLimit};
use croftrill_scheduler::replica::RequestRate;
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use super::partition_keeper::PartitionKeeper;
use super::permit_keeper::PermitRequester;
use super::wire::{FromKeeper, ToKeeper, WireLimitQuery, WireQuotaQuery};
use super::{Fleet, KeeperLink, Quotas, Uplink};
use crate::link::PeerLink;
use crate::peer::ToOrderer;
use crate::wire::decode;

/// Interval at which the fleet is polled: two wake-ups per second for each partition.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Polling interval of a node that knows no other node yet.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a query after which a node sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Time without a byte after which a link counts as dead. A node that becomes silent may count
/// at two keepers for this time.
const SILENCE_LIMIT: Duration = Duration::from_millis(3000);
/// Maximum time for connecting a link, including the keeper's first message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a failed keeper is not tried again.
const FAILED_COOLDOWN: Duration = Duration::from_millis(2000);
/// Maximum number of keepers of quotas that are tried before a node uses only its own share.
const MAX_QUOTA_KEEPERS: usize = 3;
/// Maximum number of keepers of limits that are tried. Only the first two of the list grant
/// any share of a limit.
const MAX_LIMIT_KEEPERS: usize = 2;
/// Maximum number of queries that wait to be sent.
const MAX_QUEUED_QUERIES: usize = 1024;

/// Follows the keeper of a partition, whichever node that is, until the process ends.
pub(crate) async fn follow_keeper(
    quotas: Rc<Quotas>,
    fleet: Rc<dyn Fleet>,
    partition: QuotaPartition,
    own: SocketAddr,
) {
    let mut failed = FailedKeepers::default();
    let mut next: Option<(SocketAddr, PeerLink)> = None;
    loop {
        quotas.update_keeper(partition, &*fleet, own);
        if let Some((address, link)) = next.take() {
            next = match listen(&quotas, &*fleet, partition, (address, link), &mut failed, own).await {
                Ok(preferred) => preferred,
                Err(error) => {
                    tracing::info!(target: "quota", event = "keeper lost", partition = partition.index(), %address, %error);
                    quotas.keepers_lost.inc();
                    failed.record(address);
                    quotas.set_uplink(partition, Uplink::Connecting, false);
                    None
                }
            };
            continue;
        }
        if !is_keeper_needed(&quotas, &*fleet, partition) {
            quotas.set_uplink(partition, Uplink::Connecting, false);
            wait_until_needed(&quotas, partition).await;
            continue;
        }
        match preferred_keeper(&*fleet, partition, &mut failed) {
            Some(address) if address == own => {
                switch_to_own_keeper(&quotas, partition, true);
                sleep(POLL_INTERVAL).await;
            }
            Some(address) => match connect(address, partition).await {
                Ok(link) => next = Some((address, link)),
                Err(_) => failed.record(address),
            },
            None => {
                switch_to_own_keeper(&quotas, partition, false);
                let is_first = fleet.keepers(partition).is_empty();
                sleep(if is_first {
                    STARTUP_POLL_INTERVAL
                } else {
                    POLL_INTERVAL
                })
                .await;
            }
        }
    }
}

/// Waits while no keeper is needed. Limits are rare: a node that neither sends nor receives
/// queries about any is not woken.
async fn wait_until_needed(quotas: &Quotas, partition: QuotaPartition) {
    let state = &quotas.partitions[partition.index()];
    let is_idle = partition.covers_replicas() && state.listeners.get() == 0;
    tokio::select! {
        () = state.limit_needed.notified() => {}
        () = sleep(POLL_INTERVAL), if !is_idle => {}
    }
}

/// Returns true if a tenant of the partition has a quota, or a recent call needed a limit of
/// the partition. Otherwise links to keepers would cost every node bytes and wake-ups for
/// nothing.
fn is_keeper_needed(quotas: &Quotas, fleet: &dyn Fleet, partition: QuotaPartition) -> bool {
    if partition.covers_replicas() {
        return quotas.is_limit_needed(partition);
    }
    fleet.configuration().is_some_and(|configuration| {
        let mut tenants = configuration.tenants.iter();
        tenants.any(|tenant| tenant.quota.is_some() && QuotaPartition::of_tenant(&tenant.name) == partition)
    })
}

/// Keepers that failed recently.
#[derive(Default)]
struct FailedKeepers(HashMap<SocketAddr, Instant>);

impl FailedKeepers {
    fn record(&mut self, address: SocketAddr) {
        self.0.insert(address, Instant::now());
    }

    fn is_cooling_down(&mut self, address: &SocketAddr) -> bool {
        self.0.retain(|_, at| at.elapsed() < FAILED_COOLDOWN);
        self.0.contains_key(address)
    }
}

/// Returns the first keeper that did not fail recently.
fn preferred_keeper(
    fleet: &dyn Fleet,
    partition: QuotaPartition,
    failed: &mut FailedKeepers,
) -> Option<SocketAddr> {
    let max_keepers = if partition.covers_replicas() {
        MAX_LIMIT_KEEPERS
    } else {
        MAX_QUOTA_KEEPERS
    };
    let keepers = fleet.keepers(partition).into_iter().take(max_keepers);
    keepers
        .into_iter()
        .find(|address| !failed.is_cooling_down(address))
}

/// Switches to this node's own keeper, either as the keeper of all nodes or because no other
/// keeper is reachable.
fn switch_to_own_keeper(quotas: &Quotas, partition: QuotaPartition, is_keeper: bool) {
    let state = &quotas.partitions[partition.index()];
    let is_unchanged = matches!(*state.uplink.borrow(), Uplink::Own) && state.is_keeper.get() == is_keeper;
    if is_unchanged {
        return;
    }
    tracing::info!(target: "quota", event = "own keeper", partition = partition.index(), is_keeper,
        share = state.keeper.borrow().share());
    quotas.set_own_uplink(partition, is_keeper);
}

async fn connect(address: SocketAddr, partition: QuotaPartition) -> io::Result<PeerLink> {
    let connecting = async {
        let mut link = PeerLink::connect(address, SILENCE_LIMIT).await?;
        let hello = ToOrderer::ListenToKeeper(partition.index() as u8).serialize_bin();
        link.send(Bytes::from(hello)).await?;
        // A suspended machine accepts connections but sends nothing.
        link.next_or_timeout()
            .await?
            .ok_or(io::ErrorKind::ConnectionReset)?;
        Ok(link)
    };
    timeout(CONNECT_TIMEOUT, connecting).await?
}

/// Queries a keeper until one of these happens: the keeper is lost (returns an error), a
/// preferred keeper has a link (returns its address and link), or this node itself is the
/// preferred keeper or none is needed (returns `None`).
async fn listen(
    quotas: &Quotas,
    fleet: &dyn Fleet,
    partition: QuotaPartition,
    (address, mut link): (SocketAddr, PeerLink),
    failed: &mut FailedKeepers,
    own: SocketAddr,
) -> io::Result<Option<(SocketAddr, PeerLink)>> {
    let (sender, mut queries) = mpsc::channel(MAX_QUEUED_QUERIES);
    for (subject, cost) in quotas.deferred_units(partition) {
        let subject = subject.to_string();
        let carry = ToKeeper::Carry { subject, cost };
        link.send(Bytes::from(carry.serialize_bin())).await?;
    }
    let keeper_link = KeeperLink {
        messages: sender,
        keeps_permits: fleet.keeps_permits(address),
    };
    quotas.set_uplink(partition, Uplink::Linked(keeper_link), false);
    tracing::info!(target: "quota", event = "keeper found", partition = partition.index(), %address);
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    let mut sent_at = Instant::now();
    let mut attempt: Option<Attempt> = None;
    loop {
        tokio::select! {
            frame = link.next_or_timeout() => {
                let frame = frame?.ok_or(io::ErrorKind::ConnectionReset)?;
                apply_answer(quotas, partition, &frame)?;
            }
            query = queries.recv() => {
                // All senders of queries gave up the link.
                let Some(query) = query else { return Err(io::ErrorKind::TimedOut.into()) };
                sent_at = Instant::now();
                link.send(Bytes::from(query.serialize_bin())).await?;
            }
            (preferred, result) = Attempt::finished(&mut attempt), if attempt.is_some() => match result {
                Ok(link) => return Ok(Some((preferred, link))),
                Err(_) => failed.record(preferred),
            },
            _ = poll.tick() => {
                quotas.update_keeper(partition, fleet, own);
                if sent_at.elapsed() >= HEARTBEAT_INTERVAL {
                    sent_at = Instant::now();
                    link.send(Bytes::from(ToKeeper::Alive.serialize_bin())).await?;
                }
                if !is_keeper_needed(quotas, fleet, partition) {
                    return Ok(None);
                }
                match preferred_keeper(fleet, partition, failed) {
                    Some(preferred) if preferred == own => return Ok(None),
                    Some(preferred) if preferred != address && attempt.is_none() => {
                        attempt = Some(Attempt::start(preferred, partition));
                    }
                    _ => {}
                }
            }
        }
    }
}

/// An attempt to reach a preferred keeper while another one serves.
struct Attempt {
    address: SocketAddr,
    connecting: Pin<Box<dyn Future<Output = io::Result<PeerLink>>>>,
}

impl Attempt {
    fn start(address: SocketAddr, partition: QuotaPartition) -> Self {
        Attempt {
            address,
            connecting: Box::pin(connect(address, partition)),
        }
    }

    /// Waits for the result of the attempt, forever if there is none.
    async fn finished(attempt: &mut Option<Attempt>) -> (SocketAddr, io::Result<PeerLink>) {
        let Some(running) = attempt else {
            return std::future::pending().await;
        };
        let result = running.connecting.as_mut().await;
        let address = running.address;
        *attempt = None;
        (address, result)
    }
}

/// Applies a keeper's answer. Refunds a grant whose request has ended.
fn apply_answer(quotas: &Quotas, partition: QuotaPartition, frame: &BytesMut) -> io::Result<()> {
    if let Some((id, decision)) = decode::<FromKeeper>(frame)?.to_decision() {
        quotas.complete_query(partition, id, decision);
    }
    Ok(())
}

/// Answers a node that listens to this node's keeper, until it leaves or becomes silent.
pub(crate) async fn serve_listener(
    quotas: Rc<Quotas>,
    link: PeerLink,
    partition: QuotaPartition,
) -> io::Result<()> {
    let mut link = link.with_silence_limit(SILENCE_LIMIT);
    let _listener = Listener::register(&quotas, partition);
    let mut permits = PermitRequester::register(&quotas, partition);
    link.send(Bytes::from(FromKeeper::Alive.serialize_bin())).await?;
    loop {
        let answer = tokio::select! {
            frame = link.next_or_timeout() => {
                let Some(frame) = frame? else { return Ok(()) };
                let message = decode::<ToKeeper>(&frame)?;
                match permits.answer(message) {
                    Ok(answer) => answer,
                    Err(message) => answer(&quotas, partition, *message)?,
                }
            }
            granted = permits.granted() => Some(granted),
        };
        if let Some(answer) = answer {
            link.send(Bytes::from(answer.serialize_bin())).await?;
        }
    }
}

/// Returns this keeper's answer to a message, if it needs one.
///
/// Errors: the query is of a kind that this partition's keeper does not answer.
fn answer(quotas: &Quotas, partition: QuotaPartition, message: ToKeeper) -> io::Result<Option<FromKeeper>> {
    let now = quotas.clock.now();
    let mut keeper = quotas.partitions[partition.index()].keeper.borrow_mut();
    let (id, decision) = match (message, &mut *keeper) {
        (ToKeeper::Alive, _) => return Ok(Some(FromKeeper::Alive)),
        (ToKeeper::Refund { subject, cost }, keeper) => {
            keeper.refund(&subject, cost, now);
            return Ok(None);
        }
        (ToKeeper::Carry { subject, cost }, keeper) => {
            keeper.carry(&subject, cost, now);
            return Ok(None);
        }
        (ToKeeper::ReserveQuota(query), PartitionKeeper::Quotas(keeper)) => {
            (query.id, reserve_quota(keeper, query, now))
        }
        (ToKeeper::ReserveLimit(query), PartitionKeeper::Limits(keeper)) => {
            (query.id, reserve_limit(keeper, &query, now))
        }
        (
            ToKeeper::ReserveQuota(_)
            | ToKeeper::ReserveLimit(_)
            | ToKeeper::RequestPermit(_)
            | ToKeeper::PermitStarted(_)
            | ToKeeper::PermitEnded(_),
            _,
        ) => return Err(io::ErrorKind::InvalidData.into()),
    };
    Ok(Some(FromKeeper::decision(id, decision)))
}

fn reserve_quota(keeper: &mut QuotaKeeper, query: WireQuotaQuery, now: Moment) -> ReservationDecision {
    let request = QuotaRequest {
        cost: query.cost,
        patience: Duration::from_millis(u64::from(query.patience_ms)),
        is_urgent: query.is_urgent,
    };
    let tenant = query.tenant.as_str();
    keeper.update_quota(&tenant.into(), query.quota.to_quota(), query.version, now);
    keeper.reserve(tenant, request, now)
}

fn reserve_limit(keeper: &mut LimitKeeper, query: &WireLimitQuery, now: Moment) -> ReservationDecision {
    let request = LimitRequest {
        patience: Duration::from_millis(u64::from(query.patience_ms)),
        is_urgent: query.is_urgent,
    };
    let limit = ReportedLimit {
        rate: RequestRate::from_millis_per_s(query.limit_millis_per_s),
        received_at: now - Duration::from_millis(query.received_ms_ago),
    };
    keeper.reserve(
        &query.replica.as_str().into(),
        query.started_ms,
        limit,
        request,
        now,
    )
}

/// Counts a node as a listener of this node's keeper until dropped.
struct Listener {
    quotas: Rc<Quotas>,
    partition: QuotaPartition,
}

impl Listener {
    fn register(quotas: &Rc<Quotas>, partition: QuotaPartition) -> Self {
        let listener = Listener {
            quotas: quotas.clone(),
            partition,
        };
        listener.add(1);
        quotas.partitions[partition.index()].limit_needed.notify_one();
        listener
    }

    fn add(&self, change: isize) {
        let partition = &self.quotas.partitions[self.partition.index()];
        partition
            .listeners
            .set(partition.listeners.get().saturating_add_signed(change));
        self.quotas.count_listeners(partition);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.add(-1);
    }
}
