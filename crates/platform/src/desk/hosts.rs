//! Hosts by their ids, the connections to them, and the tasks that stand there.

use super::{Bounds, NodeConnectionId, Output};
use crate::endpoint_watch;
use peppercove::adapter_protocol::RecordSchema;
use peppercove::{Micros, NodeEntry, NodeId, NodeStatus, RequestId, TaskKey};
use peppercove_core::Backoff;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// First and longest wait before a connection that tasks need is dialled anew.
const REDIAL: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(1000)];

/// One host. Its id names it: another one may take its address over.
#[derive(Debug)]
struct Host {
    name: String,
    address: Option<SocketAddr>,
    line: NodeEntry,
    links: Vec<NodeConnectionId>,
    standing: BTreeMap<RequestId, TaskKey>,
    heard_at: Micros,
    watched: bool,
    retry: Backoff,
    /// Tasks whose cut no connection could take yet, or whose connection ended before it was known to be read.
    owed: BTreeSet<RequestId>,
    /// A connection broke on which it may have said what was not heard. It says ends again over the next one opened: one
    /// of this id or a later one, for what was dialled before may have been opened there before it spoke.
    missed: Option<NodeConnectionId>,
}

#[derive(Debug)]
struct Link {
    machine: NodeId,
    up: bool,
    queued: Vec<(RequestId, u16)>,
    out: BTreeSet<(RequestId, u16)>,
    bytes: u64,
    /// Tasks whose cut it may not have read, and how many bytes went before each.
    unread: Vec<(u64, RequestId)>,
    /// Tasks of which something is in doubt until this test is passed here.
    doubted: BTreeSet<(u64, RequestId)>,
    /// Asked whether it works at this time, and silent since.
    tested_at: Option<Micros>,
    heard_at: Micros,
    hung: bool,
}

/// What the list brought.
#[derive(Debug, Default)]
pub(super) struct News {
    pub(super) lines: Vec<NodeEntry>,
    pub(super) restarted: Vec<(NodeId, Micros)>,
    pub(super) gone: Vec<NodeId>,
}

/// A connection that is no more.
#[derive(Debug)]
pub(super) struct Fallen {
    pub(super) machine: NodeId,
    pub(super) tries: Vec<(RequestId, u16)>,
}

/// What is to be done about silent connections.
#[derive(Debug, Default)]
pub(super) struct Watched {
    pub(super) test: Vec<NodeConnectionId>,
    pub(super) hang: Vec<NodeConnectionId>,
    pub(super) lost: bool,
}

#[derive(Debug)]
pub(super) struct Hosts {
    hosts: BTreeMap<NodeId, Host>,
    links: BTreeMap<NodeConnectionId, Link>,
    pub(super) version: u64,
    standing: usize,
    next_link: u64,
    rng: fastrand::Rng,
}

impl Hosts {
    pub(super) fn new(seed: u64) -> Hosts {
        let rng = fastrand::Rng::with_seed(seed);
        Hosts {
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            version: 0,
            standing: 0,
            next_link: 1,
            rng,
        }
    }

    /// The machine of an id: the same number at every controller, since the module ranks homes by it.
    pub(super) fn named(&mut self, name: &str) -> NodeId {
        let mut id = NodeId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        while self.hosts.get(&id).is_some_and(|h| h.name != name) {
            // Two ids of one hash: the later one moves on.
            id = NodeId(id.0.wrapping_add(1));
        }
        self.hosts.entry(id).or_insert_with(|| Host {
            name: name.to_owned(),
            address: None,
            line: NodeEntry {
                node: id,
                ..NodeEntry::default()
            },
            links: Vec::new(),
            standing: BTreeMap::new(),
            heard_at: 0,
            watched: false,
            retry: Backoff::new(REDIAL[0], REDIAL[1]),
            owed: BTreeSet::new(),
            missed: None,
        });
        id
    }

    /// Takes an event of the list in.
    pub(super) fn learn(
        &mut self,
        told: &endpoint_watch::NodeListUpdate,
        shape: &RecordSchema,
    ) -> News {
        let mut news = News::default();
        let mut named = BTreeSet::new();
        for host in &told.servers {
            let id = self.named(&host.id);
            named.insert(id);
            let Some(held) = self.hosts.get_mut(&id) else {
                continue;
            };
            let index = |names: &[String], name: &Option<String>| {
                let at = name.as_ref().map(|n| names.iter().position(|x| x == n));
                // A name that the settings do not have is no index of theirs.
                at.map(|at| at.and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX))
            };
            held.address = host.addr.or(held.address);
            let line = &mut held.line;
            line.kind = index(&shape.kinds, &host.kind).unwrap_or(line.kind);
            line.zone = index(&shape.zones, &host.zone).unwrap_or(line.zone);
            line.rack = host.cell.unwrap_or(line.rack);
            if let Some(ms) = host.started_ms {
                let started_at = ms.saturating_mul(1000);
                if started_at > line.started_at {
                    news.restarted.push((id, started_at));
                }
                line.started_at = started_at;
                line.incarnation = started_at;
            }
            if let Some([cores, memory]) = host.room {
                let seen = |x: f64| Some(x).filter(|x| shape.has_free_capacity && x.is_finite());
                (line.free_cores, line.free_memory) = (seen(cores), seen(memory));
            }
            line.state = host.state.map_or(line.state, NodeStatus::from);
            if line.state == NodeStatus::Gone {
                news.gone.push(id);
            }
            news.lines.push(line.clone());
        }
        if told.full {
            for (id, host) in &mut self.hosts {
                if !named.contains(id) {
                    host.line.state = NodeStatus::Gone;
                    news.gone.push(*id);
                }
            }
        }
        news
    }

    /// All hosts that the list names.
    pub(super) fn lines(&self) -> Vec<NodeEntry> {
        let listed = |h: &&Host| h.line.state != NodeStatus::Gone;
        self.hosts
            .values()
            .filter(listed)
            .map(|h| h.line.clone())
            .collect()
    }

    pub(super) fn is_gone(&self, machine: NodeId) -> bool {
        self.hosts
            .get(&machine)
            .is_none_or(|h| h.line.state == NodeStatus::Gone)
    }

    /// A list told its address.
    pub(super) fn is_known(&self, machine: NodeId) -> bool {
        self.hosts
            .get(&machine)
            .is_some_and(|h| h.address.is_some())
    }

    pub(super) fn forget(&mut self, machine: NodeId) {
        let unused = |h: &Host| h.links.is_empty() && h.standing.is_empty();
        if self.is_gone(machine) && self.hosts.get(&machine).is_some_and(unused) {
            self.hosts.remove(&machine);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.hosts.len()
    }

    // ---- Standing tasks ----

    pub(super) fn standing(&self) -> usize {
        self.standing
    }

    pub(super) fn standing_at(&self, machine: NodeId) -> Vec<RequestId> {
        self.hosts
            .get(&machine)
            .map(|h| h.standing.keys().copied().collect())
            .unwrap_or_default()
    }

    /// The standing task of this name there.
    pub(super) fn holding(&self, machine: NodeId, task: TaskKey) -> Option<RequestId> {
        self.hosts
            .get(&machine)?
            .standing
            .iter()
            .find(|(_, t)| **t == task)
            .map(|(request, _)| *request)
    }

    /// A task stands there from now on.
    pub(super) fn stands(&mut self, machine: NodeId, request: RequestId, task: TaskKey) {
        let Some(host) = self.hosts.get_mut(&machine) else {
            return;
        };
        if host.standing.insert(request, task).is_none() {
            self.standing += 1;
        }
    }

    /// Something of ours is there; true where nobody watched the host before.
    pub(super) fn look_after(&mut self, machine: NodeId, now: Micros) -> bool {
        let Some(host) = self.hosts.get_mut(&machine).filter(|h| !h.watched) else {
            return false;
        };
        (host.watched, host.heard_at) = (true, now);
        true
    }

    pub(super) fn stands_no_more(&mut self, machine: NodeId, request: RequestId) {
        let Some(host) = self.hosts.get_mut(&machine) else {
            return;
        };
        host.owed.remove(&request);
        if host.standing.remove(&request).is_some() {
            self.standing -= 1;
        }
    }

    /// Looks at the connections of a host with tasks; `None` ends the watch.
    pub(super) fn watch(
        &mut self,
        machine: NodeId,
        now: Micros,
        bounds: Bounds,
    ) -> Option<Watched> {
        let host = self.hosts.get_mut(&machine)?;
        let idle = host
            .links
            .iter()
            .filter_map(|l| self.links.get(l))
            .all(|l| l.out.is_empty());
        if host.standing.is_empty() && idle {
            host.watched = false;
            return None;
        }
        let mut watched = Watched::default();
        for id in &host.links {
            let Some(link) = self.links.get_mut(id).filter(|l| l.up && !l.hung) else {
                continue;
            };
            match link.tested_at {
                // Danger: a connection can die without a word while its host is well. All that is out on it would
                // wait out its patience, and more be sent after it.
                Some(at) if at + bounds.health_check_timeout <= now => {
                    link.hung = true;
                    watched.hang.push(*id);
                }
                Some(_) => {}
                None if link.heard_at + bounds.health_check_interval <= now => {
                    watched.test.push(*id)
                }
                None => {}
            }
        }
        watched.lost = host.heard_at + bounds.unreachable_timeout <= now;
        Some(watched)
    }

    // ---- Connections ----

    /// The connection for a set-up: one that carried none of its earlier attempts and has the fewest open, or a new
    /// one. `None` where the host has no address.
    pub(super) fn link_for(
        &mut self,
        machine: NodeId,
        carried: &[NodeConnectionId],
        now: Micros,
        bounds: Bounds,
        out: &mut Vec<Output>,
    ) -> Option<NodeConnectionId> {
        let host = self.hosts.get(&machine)?;
        let usable = |id: &&NodeConnectionId| {
            let works = |l: &Link| {
                !l.hung
                    && l.tested_at
                        .is_none_or(|at| at + bounds.health_check_timeout / 2 > now)
            };
            !carried.contains(id) && self.links.get(id).is_some_and(works)
        };
        let load = |id: &NodeConnectionId| {
            self.links
                .get(id)
                .map_or(0, |l| l.out.len() + l.queued.len())
        };
        let usable: Vec<NodeConnectionId> = host.links.iter().filter(usable).copied().collect();
        let best = usable.iter().copied().min_by_key(|id| (load(id), *id));
        match best {
            Some(id) if load(&id) == 0 || usable.len() >= bounds.connections_per_node => Some(id),
            _ => self.dial(machine, bounds, out).or(best),
        }
    }

    /// Closes connections down to this many, as far as idle ones go.
    pub(super) fn keep_to(&mut self, most: usize, out: &mut Vec<Output>) {
        let closing = self.links.values().filter(|l| l.hung).count();
        for _ in most..self.links.len() - closing {
            if self.spare(out).is_none() {
                return;
            }
        }
    }

    /// Closes a connection to make room. Danger: descriptors run out, and hosts that cannot be dialled look dead. The
    /// idle connection that was silent longest goes, one without standing tasks first.
    fn spare(&mut self, out: &mut Vec<Output>) -> Option<()> {
        let idle = |l: &Link| l.up && !l.hung && l.queued.is_empty() && l.out.is_empty();
        let needed = |l: &Link| {
            self.hosts
                .get(&l.machine)
                .is_some_and(|h| !h.standing.is_empty())
        };
        let idle = self.links.iter().filter(|(_, l)| idle(l));
        let silent = idle
            .min_by_key(|(_, l)| (needed(l), l.heard_at))
            .map(|(id, _)| *id)?;
        self.links.get_mut(&silent)?.hung = true;
        out.push(Output::Close(silent));
        Some(())
    }

    fn dial(
        &mut self,
        machine: NodeId,
        bounds: Bounds,
        out: &mut Vec<Output>,
    ) -> Option<NodeConnectionId> {
        let address = self.hosts.get(&machine)?.address?;
        if self.links.len() >= bounds.node_connections {
            self.spare(out)?;
        }
        let host = self.hosts.get_mut(&machine)?;
        let id = NodeConnectionId(self.next_link);
        self.next_link += 1;
        host.links.push(id);
        let link = Link {
            machine,
            up: false,
            queued: Vec::new(),
            out: BTreeSet::new(),
            bytes: 0,
            unread: Vec::new(),
            doubted: BTreeSet::new(),
            tested_at: None,
            heard_at: 0,
            hung: false,
        };
        self.links.insert(id, link);
        out.push(Output::Connect(id, address));
        Some(id)
    }

    /// A connection broke, perhaps with words on it that were not read.
    pub(super) fn missed(&mut self, machine: NodeId) {
        if let Some(host) = self.hosts.get_mut(&machine) {
            host.missed = Some(NodeConnectionId(self.next_link));
        }
    }

    /// Dials a host with tasks where it has no connection left or may have said what was not heard.
    pub(super) fn keep_link(&mut self, machine: NodeId, bounds: Bounds, out: &mut Vec<Output>) {
        let Some(host) = self.hosts.get(&machine) else {
            return;
        };
        let hung = |id: &NodeConnectionId| self.links.get(id).is_none_or(|l| l.hung);
        let none = host
            .links
            .iter()
            .all(|id| hung(id) || host.missed.is_some_and(|first| *id < first));
        if none && host.line.state != NodeStatus::Gone && !host.standing.is_empty() {
            self.dial(machine, bounds, out);
        }
    }

    /// How long to wait before that, where it is needed.
    pub(super) fn wait_to_redial(&mut self, machine: NodeId) -> Option<Micros> {
        let host = self.hosts.get_mut(&machine)?;
        if host.standing.is_empty() || !(host.missed.is_some() || host.links.is_empty()) {
            return None;
        }
        let wait = host.retry.next_delay(self.rng.f64());
        Some(u64::try_from(wait.as_micros()).unwrap_or(0))
    }

    pub(super) fn links_of(&self, machine: NodeId) -> Vec<NodeConnectionId> {
        self.hosts
            .get(&machine)
            .map(|h| h.links.clone())
            .unwrap_or_default()
    }

    pub(super) fn is_up(&self, link: NodeConnectionId) -> bool {
        self.links.get(&link).is_some_and(|l| l.up && !l.hung)
    }

    pub(super) fn any_up(&self, machine: NodeId) -> Option<NodeConnectionId> {
        let host = self.hosts.get(&machine)?;
        host.links.iter().copied().find(|l| self.is_up(*l))
    }

    /// A connection came up: whose it is.
    pub(super) fn up(&mut self, link: NodeConnectionId, now: Micros) -> Option<NodeId> {
        let l = self.links.get_mut(&link)?;
        (l.up, l.heard_at) = (true, now);
        let host = self.hosts.get_mut(&l.machine)?;
        host.heard_at = now;
        host.missed = host.missed.filter(|first| link < *first);
        host.retry.reset();
        Some(l.machine)
    }

    /// The tasks whose cut waits for a connection.
    pub(super) fn take_owed(&mut self, machine: NodeId) -> BTreeSet<RequestId> {
        self.hosts
            .get_mut(&machine)
            .map(|h| std::mem::take(&mut h.owed))
            .unwrap_or_default()
    }

    /// Something came over a connection: whose it is.
    pub(super) fn heard(&mut self, link: NodeConnectionId, now: Micros) -> Option<NodeId> {
        let l = self.links.get_mut(&link)?;
        (l.tested_at, l.heard_at) = (None, now);
        if let Some(host) = self.hosts.get_mut(&l.machine) {
            host.heard_at = now;
        }
        Some(l.machine)
    }

    pub(super) fn down(&mut self, link: NodeConnectionId) -> Option<Fallen> {
        let l = self.links.remove(&link)?;
        if let Some(host) = self.hosts.get_mut(&l.machine) {
            host.links.retain(|id| *id != link);
            let unread = l.unread.into_iter().map(|(_, request)| request);
            host.owed
                .extend(unread.filter(|r| host.standing.contains_key(r)));
        }
        let tries = l.queued.into_iter().chain(l.out).collect();
        Some(Fallen {
            machine: l.machine,
            tries,
        })
    }

    /// No connection can take the cut of a task now.
    pub(super) fn owe(&mut self, machine: NodeId, request: RequestId) {
        if let Some(host) = self.hosts.get_mut(&machine) {
            host.owed.insert(request);
        }
    }

    /// The cut of a task went out behind so many bytes.
    pub(super) fn unread(&mut self, link: NodeConnectionId, at: u64, request: RequestId) {
        if let Some(l) = self.links.get_mut(&link) {
            l.unread.push((at, request));
        }
    }

    /// A test was passed: the tasks whose cut was read before it.
    pub(super) fn read(&mut self, link: NodeConnectionId, test: u64) -> Vec<RequestId> {
        let Some(l) = self.links.get_mut(&link) else {
            return Vec::new();
        };
        let (read, unread) = std::mem::take(&mut l.unread)
            .into_iter()
            .partition(|(at, _)| *at < test);
        l.unread = unread;
        let read: Vec<(u64, RequestId)> = read;
        read.into_iter().map(|(_, request)| request).collect()
    }

    // ---- What is on a connection ----

    pub(super) fn queue(&mut self, link: NodeConnectionId, request: RequestId, attempt: u16) {
        if let Some(l) = self.links.get_mut(&link) {
            l.queued.push((request, attempt));
        }
    }

    /// Attempts that wait for a connection to a host that takes nothing new.
    pub(super) fn unsent_to_leaving(&self, machine: NodeId) -> Vec<(RequestId, u16)> {
        let leaving = self
            .hosts
            .get(&machine)
            .filter(|h| h.line.state != NodeStatus::Ready);
        let links = leaving
            .into_iter()
            .flat_map(|h| &h.links)
            .filter_map(|l| self.links.get(l));
        links.flat_map(|l| l.queued.iter().copied()).collect()
    }

    pub(super) fn queued(&mut self, link: NodeConnectionId) -> Vec<(RequestId, u16)> {
        self.links
            .get_mut(&link)
            .map(|l| std::mem::take(&mut l.queued))
            .unwrap_or_default()
    }

    pub(super) fn out(&mut self, link: NodeConnectionId, request: RequestId, attempt: u16) {
        if let Some(l) = self.links.get_mut(&link) {
            l.out.insert((request, attempt));
        }
    }

    pub(super) fn off(&mut self, link: NodeConnectionId, request: RequestId, attempt: u16) {
        if let Some(l) = self.links.get_mut(&link) {
            l.out.remove(&(request, attempt));
            l.queued.retain(|q| *q != (request, attempt));
        }
    }

    /// A connection is to be tested: the test's id. It tells how much was written before, so that what the host says to
    /// it shows what the host has read; 0 would be no id.
    pub(super) fn tested(&mut self, link: NodeConnectionId, now: Micros) -> u64 {
        let Some(l) = self.links.get_mut(&link) else {
            return 0;
        };
        l.tested_at = l.tested_at.or(Some(now));
        l.bytes + 1
    }

    /// A test was passed: tasks that were in doubt until then, each with the test that was to clear it.
    pub(super) fn passed(
        &mut self,
        link: NodeConnectionId,
        test: u64,
    ) -> BTreeSet<(u64, RequestId)> {
        let Some(l) = self.links.get_mut(&link) else {
            return BTreeSet::new();
        };
        let later = l.doubted.split_off(&(test.saturating_add(1), RequestId(0)));
        std::mem::replace(&mut l.doubted, later)
    }

    /// Something of a task is in doubt until this test is passed on this connection.
    pub(super) fn doubted(&mut self, link: NodeConnectionId, test: u64, request: RequestId) {
        if let Some(l) = self.links.get_mut(&link) {
            l.doubted.insert((test, request));
        }
    }

    /// Counts bytes given to a connection; returns how many were before them.
    pub(super) fn sent(&mut self, link: NodeConnectionId, bytes: usize) -> u64 {
        let Some(l) = self.links.get_mut(&link) else {
            return 0;
        };
        l.bytes += bytes as u64;
        l.bytes - bytes as u64
    }
}
