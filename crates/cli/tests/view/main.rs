//! Several `peppercove serve` processes with bounded views of a fleet that is larger than a view, and faults between them:
//! a third of them killed at once, late and doubled lists, hosts that fall silent, drain, die and come cold. Judged by
//! what crossed the sockets.

#[path = "../common/mod.rs"]
mod common;
mod host;
#[path = "../fleet/journal.rs"]
mod journal;
#[path = "../fleet/owner.rs"]
#[allow(dead_code, reason = "shared with the fleet's days")]
mod owner;

use common::{Controller, LONG, SETTINGS};
use host::{Host, Record, Sent};
use journal::Journal;
use owner::Owners;
use peppercove::NodeId;
use peppercove_platform::wire::code;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::{LocalSet, spawn_local};

/// More than twice a view of 1,024 and what the one zone and kind add: a process that starts below that waits before it
/// sends anything to a cold host.
const HOSTS: usize = 2200;
const CELL: usize = 40;
/// Schedulers by the settings, and those that run.
const SCHEDULERS: u32 = 64;
const SEATS: u32 = 6;
/// What a cold host always bears within [`WINDOW`], as in the settings.
const BEARS: u64 = 20;
const WINDOW: Duration = Duration::from_secs(2);
const WARM: Duration = Duration::from_secs(9);
/// Far beyond the grace of the settings, 0.25 s: on a busy machine bytes lie about.
const GRACE: Duration = Duration::from_secs(2);
const SERVICES: u64 = 60;

/// The process whose owner used this id.
fn seat_of(id: u64) -> u32 {
    (id >> 32) as u32 & 0xff
}

fn own_number(seat: u32) -> u32 {
    seat * (SCHEDULERS / SEATS) + 3
}

/// When the journal told a process that a host takes nothing new, or is gone.
type Told = Rc<RefCell<BTreeMap<(u32, usize), Instant>>>;

struct Seat {
    number: u32,
    process: Option<Controller>,
    journal: Journal,
    owners: Owners,
}

impl Seat {
    fn start(&mut self) {
        let (pos, known) = self.journal.known();
        let own = own_number(self.number);
        let settings = SETTINGS
            .replace(r#""dial-timeout":5000000"#, r#""dial-timeout":1000000"#)
            // Cold hosts promise to be as quick as others: what holds them back is their ramp alone.
            .replace(r#""cold-from":0.2"#, r#""cold-from":1.0"#)
            .replace(
                r#""fleet-size":1"#,
                &format!(r#""fleet-size":{SCHEDULERS},"self-index":{own}"#),
            );
        assert!(
            settings.contains(r#""fleet-size":64,"self-index""#),
            "{settings}"
        );
        let (name, journal) = (format!("c{}", self.number), self.journal.address);
        let text = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","seed":"00000000000000ff",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":1024}},"journal":"{journal}",
            "known":{{"pos":{pos},"entries":[{known}]}},"settings":{settings}}}"#
        );
        self.process = Some(Controller::start_with(&name, &text));
    }

    fn address(&self) -> std::net::SocketAddr {
        self.process.as_ref().expect("started").address
    }

    fn placed(&self) -> u64 {
        let mut placed = 0;
        self.owners
            .each(|_, ask| placed += u64::from(ask.placed().is_some()));
        placed
    }

    /// The list tells it later than others.
    fn late(&self) -> Duration {
        Duration::from_millis(150 * u64::from(self.number))
    }
}

struct World {
    hosts: Vec<Host>,
    seats: Vec<Seat>,
    record: Record,
    told: Told,
}

impl World {
    async fn start() -> World {
        let record = Record::default();
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            hosts.push(Host::start(number, (number / CELL) as u16, 0, record.clone()).await);
        }
        let lines: Vec<String> = hosts.iter().map(|host| host.line("active")).collect();
        let mut seats = Vec::new();
        for number in 0..SEATS {
            let journal = Journal::start(lines.clone()).await;
            let mut seat = Seat {
                number,
                process: None,
                journal,
                owners: Owners::new(),
            };
            seat.start();
            seat.owners.admitted(seat.address()).await;
            seats.push(seat);
        }
        World {
            hosts,
            seats,
            record,
            told: Told::default(),
        }
    }

    /// Hosts that were sent most, and are alive as far as anybody was told.
    fn busiest(&self, most: usize) -> Vec<usize> {
        let mut sent = BTreeMap::<usize, usize>::new();
        self.record
            .borrow()
            .iter()
            .for_each(|s| *sent.entry(s.host).or_default() += 1);
        let told = self.told.borrow();
        let alive = |host: &usize| !told.keys().any(|(_, h)| h == host);
        let mut hosts: Vec<(usize, usize)> = sent
            .into_iter()
            .filter(|(h, _)| alive(h))
            .map(|(h, n)| (n, h))
            .collect();
        hosts.sort_unstable();
        hosts
            .into_iter()
            .rev()
            .take(most)
            .map(|(_, host)| host)
            .collect()
    }

    /// Tells each process, in its own time, what became of these hosts.
    fn tell(&self, hosts: &[usize], state: &str) {
        let lines: Vec<String> = hosts.iter().map(|h| self.hosts[*h].line(state)).collect();
        for seat in &self.seats {
            let (told, number, hosts) = (self.told.clone(), seat.number, hosts.to_vec());
            let active = state == "active";
            seat.journal
                .tell_lines(seat.late(), lines.clone(), move || {
                    if !active {
                        let now = Instant::now();
                        hosts.iter().for_each(|h| {
                            told.borrow_mut().entry((number, *h)).or_insert(now);
                        });
                    }
                });
        }
    }

    /// Cold hosts come, so many that some are homes of services.
    async fn cold(&mut self, count: usize) {
        let first = self.hosts.len();
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock")
            .as_millis() as u64;
        for number in first..first + count {
            let cell = (number % HOSTS / CELL) as u16;
            self.hosts
                .push(Host::start(number, cell, now, self.record.clone()).await);
        }
        let new: Vec<usize> = (first..first + count).collect();
        self.tell(&new, "active");
    }

    async fn fault(&mut self, step: usize) {
        match step {
            1 => {
                self.seats[1].journal.doubles();
                self.cold(150).await;
            }
            2 => self.tell(&self.busiest(20), "leaving"),
            3 => {
                // A third at once, while others hear of hosts that have just come and gone.
                let dead = self.busiest(10);
                dead.iter().for_each(|h| self.hosts[*h].die());
                self.tell(&dead, "left");
                for seat in self.seats.iter_mut().take(SEATS as usize / 3) {
                    seat.process = None;
                    seat.owners.killed();
                }
            }
            4 => {
                self.seats[3].journal.breaks(Duration::from_millis(900));
                for seat in self.seats.iter_mut().take(SEATS as usize / 3) {
                    seat.start();
                    seat.owners.admitted(seat.address()).await;
                    seat.owners.hand_over();
                }
            }
            5 => {
                self.cold(100).await;
                self.busiest(3)
                    .iter()
                    .for_each(|h| self.hosts[*h].silent.set(true));
            }
            6 => self.tell(&self.busiest(20), "leaving"),
            _ => {}
        }
    }

    fn missing(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for seat in &self.seats {
            seat.owners.each(|id, ask| {
                if ask.answers.is_empty() && !ask.void {
                    missing.push(format!("c{} {id:016x}", seat.number));
                }
            });
        }
        missing
    }
}

/// Owners of a process ask until the day is over: half for the same services as all others, half for one of their
/// own each: what a start without the program takes is learned, and a cold host is drawn.
fn load(seat: &Seat, over: Rc<Cell<bool>>) {
    let (owners, number) = (seat.owners.clone(), u64::from(seat.number));
    spawn_local(async move {
        let mut rng = fastrand::Rng::with_seed(number);
        for n in 0u64.. {
            tokio::time::sleep(Duration::from_millis(rng.u64(4..20))).await;
            if over.get() {
                return;
            }
            let class = ["any", "any", "key", "one"][rng.usize(0..4)];
            let service = if rng.bool() {
                n << 8 | number | 1 << 40
            } else {
                rng.u64(1..SERVICES)
            };
            owners.ask(1 << 48 | number << 32 | n, class, service);
        }
    });
}

async fn day() {
    let mut world = World::start().await;
    let over = Rc::new(Cell::new(false));
    world.seats.iter().for_each(|seat| load(seat, over.clone()));
    for step in 0..9 {
        world.fault(step).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        for seat in world.seats.iter().filter(|s| s.process.is_some()) {
            seat.owners.connect(seat.address()).await;
        }
    }
    // After the last fault each process goes on placing, however slow the machine is.
    let before: Vec<u64> = world.seats.iter().map(Seat::placed).collect();
    let goes_on = |(seat, before): (&Seat, &u64)| seat.placed() >= before + 30;
    let end = Instant::now() + LONG;
    while !world.seats.iter().zip(&before).all(goes_on) && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for (seat, before) in world.seats.iter().zip(&before) {
        assert!(
            goes_on((seat, before)),
            "c{} places no more: {before}, {}",
            seat.number,
            seat.placed()
        );
    }
    over.set(true);
    let end = Instant::now() + LONG;
    while !world.missing().is_empty() && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let missing = world.missing();
    assert!(
        missing.is_empty(),
        "{} have no answer: {:?}",
        missing.len(),
        &missing[..missing.len().min(5)]
    );
    judge(&mut world);
}

fn judge(world: &mut World) {
    let record = world.record.borrow();
    let mut answers = BTreeMap::<(u32, Option<Vec<u8>>), u32>::new();
    for seat in &world.seats {
        assert_eq!(seat.owners.faults(), [] as [String; 0], "c{}", seat.number);
        seat.owners.each(|_, ask| {
            let cause = ask
                .answers
                .first()
                .and_then(|m| m.get(code::CAUSE))
                .map(<[u8]>::to_vec);
            *answers.entry((seat.number, cause)).or_default() += u32::from(!ask.void);
        });
    }
    let placed: u64 = world.seats.iter().map(Seat::placed).sum();
    assert!(
        placed > 400,
        "{placed} placed, by process and cause: {answers:?}"
    );
    judge_tasks(&record);
    judge_drains(&record, &world.told.borrow());
    judge_cold(&record, &world.hosts);
    judge_reach(&record);
    drop(record);
    for seat in &mut world.seats {
        let alive = seat
            .process
            .as_mut()
            .is_some_and(|p| p.child.try_wait().expect("a child").is_none());
        assert!(alive, "c{} has ended", seat.number);
    }
}

/// After a send that may have run an unsafe task goes nowhere else, and a keyed one stays in its cell.
fn judge_tasks(record: &[Sent]) {
    let mut doubts = BTreeMap::<u64, &Sent>::new();
    for sent in record {
        if let Some(first) = doubts.get(&sent.id) {
            assert!(
                sent.class != "one",
                "an unsafe task went on: {first:?}, {sent:?}"
            );
            assert!(
                sent.class != "key" || sent.cell == first.cell,
                "beyond its cell: {first:?}, {sent:?}"
            );
        } else if !sent.refused {
            doubts.insert(sent.id, sent);
        }
    }
}

fn judge_drains(record: &[Sent], told: &BTreeMap<(u32, usize), Instant>) {
    assert!(told.len() > 200, "{} told", told.len());
    let late = |s: &&Sent| {
        told.get(&(seat_of(s.id), s.host))
            .is_some_and(|at| s.at > *at + GRACE)
    };
    let late: Vec<&Sent> = record.iter().filter(late).collect();
    assert!(
        late.is_empty(),
        "{} sends after a drain was told: {:?}",
        late.len(),
        late.first()
    );
}

/// The ramp of a cold host is its owners' alone, and all together keep to what it bears.
fn judge_cold(record: &[Sent], hosts: &[Host]) {
    let mut contacted = 0;
    for host in hosts {
        let Some(started) = host.started_at else {
            continue;
        };
        let machine = NodeId(xxhash_rust::xxh3::xxh3_64(host.name.as_bytes()));
        let sent = record
            .iter()
            .filter(|s| s.host == host.number && s.at < started + WARM);
        let sent: Vec<&Sent> = sent.collect();
        contacted += usize::from(!sent.is_empty());
        for one in &sent {
            let own = own_number(seat_of(one.id));
            let share = peppercove_fleet::cold_start_share(machine, own, SCHEDULERS, BEARS);
            assert!(
                share > 0,
                "c{} has no share of the cold {}: {one:?}",
                seat_of(one.id),
                host.name
            );
            let within = sent
                .iter()
                .filter(|s| s.at >= one.at && s.at < one.at + WINDOW)
                .count();
            let most = BEARS as f64 + 2.0 * (BEARS as f64).sqrt() + 2.0;
            assert!(
                within as f64 <= most,
                "{within} sends to the cold {} within {WINDOW:?}",
                host.name
            );
        }
    }
    assert!(contacted > 0, "no cold host was sent anything");
}

/// Views differ: each process sends to a part of the fleet, and together they reach more than any of them.
fn judge_reach(record: &[Sent]) {
    let mut reached = BTreeMap::<u32, BTreeSet<usize>>::new();
    for sent in record {
        reached
            .entry(seat_of(sent.id))
            .or_default()
            .insert(sent.host);
    }
    assert_eq!(reached.len(), SEATS as usize, "each process sent something");
    let all = reached.values().flatten().collect::<BTreeSet<_>>().len();
    let most = reached.values().map(BTreeSet::len).max().unwrap_or(0);
    assert!(
        most < HOSTS && all > most,
        "{most} by one process, {all} by all"
    );
}

#[test]
fn processes_with_bounded_views_keep_their_word_while_hosts_and_processes_come_and_go() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, day());
}
