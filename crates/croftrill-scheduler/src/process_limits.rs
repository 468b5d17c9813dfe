//! How the memory and the descriptors of a process are divided among what callers can make it hold.
//!
//! Memory: what the node needs for itself comes first. Of the rest, one part holds bodies, answers and
//! streams in flight ([`MemoryAccount`](crate::memory_account::MemoryAccount)), one the buffers of open
//! connections, and the remainder covers what the allocator and the kernel add.

/// Memory of the program, its view of the cluster and its links to other nodes, in bytes.
const NODE_BYTES: u64 = 24 * MB;
const MB: u64 = 1_000_000;
/// Memory of an open connection of a caller: a header block, what the kernel holds unread, and the
/// connection to a replica. In bytes.
const CONNECTION_BYTES: u64 = 48 * 1024;
/// Maximum size of a message between nodes, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Descriptors that the machine reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Number of ports that serve operators or health checks.
const AUXILIARY_PORTS: usize = 3;
/// Sockets for listeners, the store, and the links that the node itself opens.
const OWN_SOCKETS: usize = 32;
/// Links that other nodes may open on the smallest machine.
const MIN_PEER_LINKS: usize = 16;

/// Limits of a process on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory that it may take, in bytes.
    pub memory_bytes: u64,
    /// Number of files and sockets that it may have open.
    pub max_descriptors: usize,
}

/// Memory of a process whose settings give none, in MB.
pub const DEFAULT_MEMORY_MB: u64 = 512;
/// Descriptors of a process whose settings give none.
pub const DEFAULT_MAX_DESCRIPTORS: usize = 4096;
/// Memory below which a node cannot serve, in MB.
pub const MIN_MEMORY_MB: u64 = 32;
/// Descriptors below which a node cannot serve.
pub const MIN_DESCRIPTORS: usize = 64;

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits::new(DEFAULT_MEMORY_MB, DEFAULT_MAX_DESCRIPTORS)
    }
}

impl ProcessLimits {
    /// Returns the limits of a machine whose memory is given in MB.
    pub fn new(memory_mb: u64, max_descriptors: usize) -> Self {
        ProcessLimits {
            memory_bytes: memory_mb * MB,
            max_descriptors,
        }
    }

    /// Returns the memory for what callers can make the node hold.
    fn traffic_bytes(&self) -> u64 {
        let rest = self.memory_bytes.saturating_sub(NODE_BYTES);
        rest.max(self.memory_bytes / 4)
    }

    /// Returns how much large bodies and answers may hold together, in bytes.
    pub fn large_bytes(&self) -> u64 {
        self.traffic_bytes() * 11 / 20
    }

    /// Returns how much more small bodies and answers may hold, so that they find room beside large ones.
    pub fn small_reserve_bytes(&self) -> u64 {
        self.traffic_bytes() / 10
    }

    /// Returns the number of descriptors for sockets.
    fn sockets(&self) -> usize {
        let files = FILE_DESCRIPTORS.min(self.max_descriptors / 2);
        self.max_descriptors - files
    }

    /// Returns the maximum number of connections of callers. Each may need another one to a replica, and
    /// half of the sockets remains for the store, other nodes and the other ports.
    pub fn max_caller_connections(&self) -> usize {
        let by_memory = self.traffic_bytes() / 5 / CONNECTION_BYTES;
        (self.sockets() / 4).min(by_memory as usize).max(1)
    }

    /// Returns the maximum number of requests for one service at the same time, so that one that does not
    /// answer leaves connections to the others.
    pub fn max_requests_of_service(&self) -> usize {
        (self.max_caller_connections() / 2).max(1)
    }

    /// Returns the maximum number of idle connections to replicas that are kept.
    pub fn max_idle_replica_connections(&self) -> usize {
        self.sockets() / 20
    }

    /// Returns the maximum number of connections to a port that serves operators or health checks.
    pub fn max_auxiliary_connections(&self) -> usize {
        (self.sockets() / 32).max(1)
    }

    /// Returns how much large messages of other nodes may hold together while they arrive, in bytes.
    pub fn message_bytes(&self) -> u64 {
        (self.traffic_bytes() * 3 / 20).max(MAX_MESSAGE_BYTES as u64)
    }

    /// Returns the maximum number of links whose first message has not arrived, so that their peers are not
    /// known as nodes.
    pub fn max_unknown_links(&self) -> usize {
        (self.sockets() / 32).max(1)
    }

    /// Returns the maximum number of links that other nodes opened: what the other shares leave.
    pub fn max_peer_links(&self) -> usize {
        let to_replicas = self.max_caller_connections() + self.max_idle_replica_connections();
        let others = self.max_caller_connections()
            + to_replicas
            + 2 * self.max_tunnels()
            + AUXILIARY_PORTS * self.max_auxiliary_connections()
            + self.max_unknown_links()
            + OWN_SOCKETS;
        self.sockets().saturating_sub(others).max(MIN_PEER_LINKS)
    }

    /// Returns the maximum number of other nodes' connections to replicas that this node carries. Each
    /// takes two descriptors.
    pub fn max_tunnels(&self) -> usize {
        self.sockets() / 20
    }
}
