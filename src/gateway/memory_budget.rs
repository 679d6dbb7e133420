//! Budget of the memory that callers and servers make this process hold.
//!
//! A process that goes over the memory of its machine is killed, and all of its
//! requests with it. The budget divides that memory between connections and
//! content: heads and bodies of requests, and answers that their callers have not
//! read. Whoever is about to hold content takes a lease first, which gives back
//! when it is dropped. What is asked for in vain is refused before it is read, or
//! waits. It is meant for bodies of legal size, many at once, most of which never
//! end, beside small ordinary requests, which keep a share of their own.
//!
//! Content of up to [`UNLEASED_BYTES`] stands in the cost of its connection, so
//! that ordinary requests take no lease.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use tokio::sync::Notify;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Content that a connection may hold without a lease, in bytes.
pub const UNLEASED_BYTES: usize = 8 * KIB;
/// Largest lease that counts as small, in bytes. Small ones may use more of the
/// budget than others.
pub const SMALL_BYTES: usize = 64 * KIB;
/// Receive buffer of a connection in the kernel, in bytes: what a round trip of
/// some ms needs at the pace of a machine's link.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * KIB;
/// Send buffer of a connection in the kernel, in bytes.
pub const SEND_BUFFER_BYTES: usize = 64 * KIB;
/// Receive buffer of a connection to a backend server, in bytes. What a server
/// sends and no caller reads stays with the server.
pub const SERVER_RECEIVE_BUFFER_BYTES: usize = 64 * KIB;

/// Share of the machine's memory that is divided. The rest is left to the
/// allocator's fragments.
const DIVIDED_PERCENT: usize = 70;
/// Memory of the code, the control state of 320 instances and 1,300 servers, logs,
/// messages of the store and the other instances, and one buffer that grows.
const BASE_BYTES: usize = 32 * MIB;
/// Least memory that is divided, on whatever machine.
const MIN_DIVIDED_BYTES: usize = 16 * MIB;
/// Share of connections in what is divided.
const CONNECTIONS_PERCENT: usize = 50;
/// Memory of one connection: buffers and state of its request in the process, and
/// bytes in the kernel that have not been read.
const CONNECTION_BYTES: usize = 32 * KIB;
/// Descriptors that are no connections: files, listeners, the store's.
const OTHER_DESCRIPTORS: usize = 250;
/// Share of callers in the descriptors; the rest is for backend servers.
const CALLERS_DESCRIPTORS_PERCENT: usize = 55;
/// Share of other instances in the connections.
const RELAYS_PERCENT: usize = 20;
/// Fewest connections, on whatever machine.
const MIN_CONNECTIONS: usize = 64;

/// How the memory of a machine is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections of other instances.
    pub relay_connections: usize,
    /// Content of requests and answers, in bytes.
    pub content_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory of a machine.
    #[must_use]
    pub fn new(memory_bytes: u64, descriptors: u64) -> MemoryPlan {
        let memory = usize::try_from(memory_bytes).unwrap_or(usize::MAX / 100);
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX / 100);
        let divided = (memory / 100 * DIVIDED_PERCENT)
            .saturating_sub(BASE_BYTES)
            .max(MIN_DIVIDED_BYTES);
        let for_connections = divided / 100 * CONNECTIONS_PERCENT;
        let sockets = descriptors.saturating_sub(OTHER_DESCRIPTORS);
        let connections = (for_connections / CONNECTION_BYTES)
            .min(sockets / 100 * CALLERS_DESCRIPTORS_PERCENT)
            .max(MIN_CONNECTIONS);
        let relay_connections = connections / 100 * RELAYS_PERCENT;
        MemoryPlan {
            caller_connections: connections - relay_connections,
            relay_connections,
            content_bytes: divided - for_connections,
        }
    }
}

/// Who holds content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// Request heads.
    Heads,
    /// Request bodies.
    Bodies,
    /// Answers and events.
    Answers,
}

impl Holder {
    /// All holders.
    pub const ALL: [Holder; 3] = [Holder::Heads, Holder::Bodies, Holder::Answers];

    /// Returns the share of all content up to which a lease may grow, in percent.
    /// Answers may use all, so that requests that servers have run come to their
    /// end however many bodies press.
    const fn share_percent(self, is_small: bool) -> usize {
        match (self, is_small) {
            (Holder::Heads, _) => 60,
            (Holder::Bodies, false) => 55,
            (Holder::Bodies, true) => 70,
            (Holder::Answers, false) => 85,
            (Holder::Answers, true) => 100,
        }
    }
}

/// The budget is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// The budget of content; all clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    content_bytes: usize,
    /// Bytes in use, by holder.
    used: Mutex<[usize; Holder::ALL.len()]>,
    freed: Notify,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is in use.
    #[must_use]
    pub fn new(content_bytes: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Shared {
            content_bytes,
            used: Mutex::default(),
            freed: Notify::new(),
        }))
    }

    /// Waits until there is room for a large chunk of an answer, and returns it with
    /// its lease; a small one needs none.
    pub async fn lease_chunk(&self, chunk: Bytes) -> Bytes {
        if chunk.len() <= UNLEASED_BYTES {
            return chunk;
        }
        let mut lease = self.lease(Holder::Answers);
        lease.wait_to_grow(chunk.len()).await;
        Bytes::from_owner(Leased {
            content: chunk,
            _lease: lease,
        })
    }

    /// Returns an empty lease.
    #[must_use]
    pub fn lease(&self, holder: Holder) -> Lease {
        Lease {
            budget: self.clone(),
            holder,
            bytes: 0,
        }
    }

    /// Returns the bytes that a holder has in use.
    #[must_use]
    pub fn used(&self, holder: Holder) -> usize {
        self.0.used()[holder as usize]
    }

    /// Returns whether a lease of this size would be granted now.
    #[must_use]
    pub fn has_room(&self, holder: Holder, bytes: usize) -> bool {
        self.0.has_room(&self.0.used(), holder, bytes, bytes)
    }
}

impl Shared {
    fn used(&self) -> MutexGuard<'_, [usize; Holder::ALL.len()]> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a lease may grow by `added` to `bytes`.
    fn has_room(
        &self,
        used: &[usize; Holder::ALL.len()],
        holder: Holder,
        bytes: usize,
        added: usize,
    ) -> bool {
        let share = self.content_bytes / 100 * holder.share_percent(bytes <= SMALL_BYTES);
        let all: usize = used.iter().sum();
        all.saturating_add(added) <= share
    }
}

/// Bytes that are in use until this is dropped.
#[derive(Debug)]
pub struct Lease {
    budget: MemoryBudget,
    holder: Holder,
    bytes: usize,
}

impl Lease {
    /// Returns its size.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to a size; content of up to [`UNLEASED_BYTES`] needs none.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget does not allow it; the lease stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes <= UNLEASED_BYTES || bytes <= self.bytes {
            return Ok(());
        }
        let added = bytes - self.bytes;
        let shared = &self.budget.0;
        let mut used = shared.used();
        if !shared.has_room(&used, self.holder, bytes, added) {
            return Err(Exhausted);
        }
        used[self.holder as usize] += added;
        self.bytes = bytes;
        Ok(())
    }

    /// Grows to a size as soon as others have given back enough.
    pub async fn wait_to_grow(&mut self, bytes: usize) {
        let shared = Arc::clone(&self.budget.0);
        loop {
            let mut freed = pin!(shared.freed.notified());
            // Nothing that is given back from here on is missed.
            freed.as_mut().enable();
            if self.grow_to(bytes).is_ok() {
                return;
            }
            freed.await;
        }
    }

    /// Gives back what is over a size.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = match bytes > UNLEASED_BYTES {
            true => self.bytes.saturating_sub(bytes),
            false => self.bytes,
        };
        if freed == 0 {
            return;
        }
        self.bytes -= freed;
        let shared = &self.budget.0;
        shared.used()[self.holder as usize] -= freed;
        shared.freed.notify_waiters();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Content with its lease.
struct Leased<T> {
    content: T,
    _lease: Lease,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Leased<T> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}

/// A buffer that grows only as far as its lease.
#[derive(Debug)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    lease: Lease,
    /// Most that will be in it.
    max_bytes: usize,
}

impl LeasedBuffer {
    /// Creates an empty buffer for up to `max_bytes`.
    #[must_use]
    pub fn new(lease: Lease, max_bytes: usize) -> LeasedBuffer {
        LeasedBuffer {
            bytes: Vec::new(),
            lease,
            max_bytes,
        }
    }

    /// Returns the number of bytes in it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing is in it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes that it takes from the budget.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lease.bytes()
    }

    /// Makes room for `added` bytes, which [`LeasedBuffer::append`] then takes.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget does not allow it.
    pub fn reserve(&mut self, added: usize) -> Result<(), Exhausted> {
        let capacity = self.capacity_for(added);
        self.lease.grow_to(capacity)?;
        self.grow(capacity);
        Ok(())
    }

    /// Makes room for `added` bytes as soon as the budget allows it.
    pub async fn wait_to_reserve(&mut self, added: usize) {
        let capacity = self.capacity_for(added);
        self.lease.wait_to_grow(capacity).await;
        self.grow(capacity);
    }

    /// Appends bytes for which room was made.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the capacity that holds `added` more bytes. It doubles, so that
    /// copying stays linear in what arrives, up to what can arrive.
    fn capacity_for(&self, added: usize) -> usize {
        let needed = self.bytes.len().saturating_add(added);
        let capacity = self.bytes.capacity();
        match needed <= capacity {
            true => capacity,
            false => needed.max((capacity * 2).min(self.max_bytes)),
        }
    }

    fn grow(&mut self, capacity: usize) {
        let missing = capacity - self.bytes.len();
        self.bytes.reserve_exact(missing);
    }

    /// Returns the content, which gives its lease back once all copies are dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        if self.lease.bytes() == 0 {
            return Bytes::from(self.bytes);
        }
        Bytes::from_owner(Leased {
            content: self.bytes,
            _lease: self.lease,
        })
    }
}
