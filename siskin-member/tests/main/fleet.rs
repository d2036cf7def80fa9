//! A fleet of members in virtual time, with loss, delay, partitions and clocks that run at different rates.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_member::{Action, Member, Options},
    siskin_types::{id::Node, time::Instant},
    siskin_wire::member::{Identity, Message},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Interval of a router's timer.
const TICK_MICROS: u64 = 50_000;

/// Interval at which views are compared with the truth.
const SAMPLE_MICROS: u64 = 250_000;

/// Start of the first incarnations; also the wall clock at true time zero.
const EPOCH_MICROS: u64 = 1_764_800_000_000_000;

/// Observes messages.
type OnSend = Box<dyn FnMut(usize, &Message)>;

/// A simulated VM.
pub(crate) struct Vm {
    pub(crate) member: Option<Member>,
    pub(crate) paused: bool,
    pub(crate) group: usize,
    address: SocketAddr,
    rate: f64,
    offset: u64,
    /// Incarnations in the frames received so far, as the frame layer keeps them.
    heard: BTreeMap<Node, u64>,
    /// Messages that wait while the process is paused.
    unread: Vec<(SocketAddr, u64, Message)>,
}

enum Event {
    Tick(usize),
    Deliver { to: usize, from: SocketAddr, incarnation: u64, message: Box<Message> },
}

struct Timed {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What the network does to datagrams.
#[derive(Clone, Copy)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) delay_micros: (u64, u64),
}

/// Delays of 0.3 to 3 ms and no loss.
pub(crate) const CLEAN: Network = Network { loss: 0.0, delay_micros: (300, 3_000) };

/// One datagram in twenty is lost and some are late.
pub(crate) const LOSSY: Network = Network { loss: 0.05, delay_micros: (300, 40_000) };

pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) network: Network,
    /// Called for every message sent: index of the sender, message.
    pub(crate) on_send: Option<OnSend>,
    /// Processor time spent in members.
    pub(crate) busy: Duration,
    /// Longest time for which each observer marked a running, reachable member unreachable.
    pub(crate) false_marks: BTreeMap<usize, Duration>,
    pub(crate) actions: Vec<(usize, Action)>,
    pub(crate) keep_actions: bool,
    marks: BTreeMap<(usize, usize), u64>,
    queue: BinaryHeap<Reverse<Timed>>,
    order: u64,
    now: u64,
    next_sample: u64,
    pub(crate) rng: SmallRng,
}

impl Fleet {
    /// VMs that are not running yet. The first four addresses serve as seeds if `seeds` is 4, and so on.
    pub(crate) fn new(seed: u64, size: usize, network: Network) -> Self {
        println!("SISKIN_SEED={seed} size={size} loss={}", network.loss);
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..size).map(|index| Vm {
            member: None,
            paused: false,
            group: 0,
            address: address(index),
            rate: rng.random_range(0.95..=1.05),
            offset: rng.random_range(0..10_000_000_000),
            heard: BTreeMap::new(),
            unread: Vec::new(),
        });
        Self {
            vms: vms.collect(),
            network,
            on_send: None,
            busy: Duration::ZERO,
            false_marks: BTreeMap::new(),
            actions: Vec::new(),
            keep_actions: false,
            marks: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            now: 0,
            next_sample: 0,
            rng,
        }
    }

    /// Starts all VMs within a second and runs until they see each other.
    pub(crate) fn joined(seed: u64, size: usize, network: Network) -> Self {
        let mut fleet = Self::new(seed, size, network);
        for index in 0..size {
            fleet.start(index, 0);
        }
        let took = fleet.run_until(Duration::from_secs(180), Self::agrees);
        println!("{size} members joined within {took:?}");
        assert!(took.is_some(), "seed {seed}: {size} members did not join within 180 s");
        // Updates that are still being passed on would blur what follows.
        fleet.run(Duration::from_secs(10));
        fleet
    }

    /// Starts or restarts the process of a VM without memory, with its wall clock `behind` microseconds late.
    pub(crate) fn start(&mut self, index: usize, behind: u64) {
        let node = Node(u32::try_from(index).unwrap());
        let incarnation = EPOCH_MICROS + self.now - behind;
        let vm = &mut self.vms[index];
        let data_centre = format!("dc-{}", index % 4);
        vm.member = Some(Member::new(Options {
            seeds: vec![address(0)],
            seed: self.rng.random(),
            ..Options::new(node, vm.address, &data_centre, incarnation)
        }));
        vm.heard.clear();
        vm.unread.clear();
        let after = self.rng.random_range(0..1_000_000);
        self.push(after, Event::Tick(index));
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.vms[index].member = None;
    }

    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.local(index);
        let actions = self.member(index).leave(now);
        self.perform(index, actions);
        self.kill(index);
    }

    /// Calls a method of a member and carries out its actions.
    pub(crate) fn with(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Member, Instant) -> Vec<Action>,
    ) {
        let now = self.local(index);
        let actions = call(self.member(index), now);
        self.perform(index, actions);
    }

    pub(crate) fn member(&mut self, index: usize) -> &mut Member {
        self.vms[index].member.as_mut().expect("the VM runs")
    }

    /// Puts VMs into groups that cannot reach each other.
    pub(crate) fn partition(&mut self, group: impl Fn(usize) -> usize) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            vm.group = group(index);
        }
    }

    /// Indices of the running VMs.
    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.vms.len()).filter(|index| self.vms[*index].member.is_some()).collect()
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.vms.iter().filter_map(|vm| vm.member.as_ref())
    }

    /// Whether every running member sees exactly the running processes of its group. Refutations, which loss causes
    /// now and then, raise the incarnation of a process and make no difference.
    pub(crate) fn agrees(&self) -> bool {
        let mut groups: BTreeMap<usize, BTreeMap<Node, u64>> = BTreeMap::new();
        for vm in &self.vms {
            if let Some(member) = &vm.member {
                let group = groups.entry(vm.group).or_default();
                group.insert(member.node(), member.frame_incarnation());
            }
        }
        self.vms.iter().all(|vm| {
            let Some(member) = &vm.member else { return true };
            let want = &groups[&vm.group];
            let present = |seen: &Identity| {
                want.get(&seen.node).is_some_and(|started| seen.incarnation >= *started)
            };
            member.visible() == want.len() && member.alive().all(present)
        })
    }

    pub(crate) fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds, which is checked at every sample, and returns the time taken.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let end = start + u64::try_from(limit.as_micros()).unwrap();
        while self.now < end {
            self.advance((self.now + SAMPLE_MICROS).min(end));
            self.sample();
            if condition(self) {
                return Some(Duration::from_micros(self.now - start));
            }
        }
        None
    }

    fn advance(&mut self, end: u64) {
        while self.queue.peek().is_some_and(|Reverse(timed)| timed.at <= end) {
            let Some(Reverse(timed)) = self.queue.pop() else { break };
            self.now = timed.at;
            self.step(timed.event);
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                let now = self.local(index);
                let vm = &mut self.vms[index];
                let Some(member) = vm.member.as_mut() else { return };
                if !vm.paused {
                    let unread = std::mem::take(&mut vm.unread);
                    let started = std::time::Instant::now();
                    let actions = member.tick(now);
                    self.busy += started.elapsed();
                    self.perform(index, actions);
                    for (from, incarnation, message) in unread {
                        self.deliver(index, from, incarnation, &message);
                    }
                }
                #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                #[expect(clippy::cast_precision_loss)]
                let interval = (TICK_MICROS as f64 / self.vms[index].rate) as u64;
                self.push(interval, Event::Tick(index));
            }
            Event::Deliver { to, from, incarnation, message } => {
                self.deliver(to, from, incarnation, &message);
            }
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, incarnation: u64, message: &Message) {
        let now = self.local(to);
        let vm = &mut self.vms[to];
        let Some(member) = vm.member.as_mut() else { return };
        if vm.paused {
            vm.unread.push((from, incarnation, message.clone()));
            return;
        }
        let heard = vm.heard.entry(message.from.node).or_default();
        if incarnation < *heard {
            return;
        }
        *heard = incarnation;
        let started = std::time::Instant::now();
        let actions = member.receive(now, from, message);
        self.busy += started.elapsed();
        self.perform(to, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            if self.keep_actions {
                self.actions.push((index, action.clone()));
            }
            if let Action::Send { to, message } = action {
                self.transmit(index, to, message);
            }
        }
    }

    fn transmit(&mut self, index: usize, to: SocketAddr, message: Message) {
        if let Some(on_send) = &mut self.on_send {
            on_send(index, &message);
        }
        let Some(target) = index_of(to).filter(|target| *target < self.vms.len()) else { return };
        let cut = self.vms[index].group != self.vms[target].group;
        if cut || self.rng.random_bool(self.network.loss) {
            return;
        }
        let incarnation = self.vms[index].member.as_ref().map_or(0, Member::frame_incarnation);
        let (least, most) = self.network.delay_micros;
        let delay = self.rng.random_range(least..=most);
        let from = self.vms[index].address;
        self.push(
            delay,
            Event::Deliver { to: target, from, incarnation, message: Box::new(message) },
        );
    }

    fn push(&mut self, after: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Timed { at: self.now + after, order: self.order, event }));
    }

    /// The time by a VM's own clock.
    fn local(&self, index: usize) -> Instant {
        let vm = &self.vms[index];
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        #[expect(clippy::cast_precision_loss)]
        let elapsed = (self.now as f64 * vm.rate) as u64;
        Instant::from_micros(vm.offset + elapsed)
    }

    /// Notes which running members of the observer's own group are marked unreachable, and since when.
    fn sample(&mut self) {
        if self.now < self.next_sample {
            return;
        }
        self.next_sample = self.now + SAMPLE_MICROS;
        let running = self.running();
        let mut marks = BTreeMap::new();
        for &observer in &running {
            let vm = &self.vms[observer];
            let Some(member) = &vm.member else { continue };
            if member.known() == member.visible() {
                continue;
            }
            for update in member.view(Instant::ZERO) {
                let target = update.about.node.0 as usize;
                let reachable = running.contains(&target)
                    && self.vms[target].group == vm.group
                    && !self.vms[target].paused;
                if reachable && !member.is_visible(update.about.node) {
                    let since = self.marks.get(&(observer, target)).copied().unwrap_or(self.now);
                    marks.insert((observer, target), since);
                    let lasted = Duration::from_micros(self.now - since + SAMPLE_MICROS);
                    let longest = self.false_marks.entry(observer).or_default();
                    *longest = lasted.max(*longest);
                }
            }
        }
        self.marks = marks;
    }

    /// Forgets earlier false marks.
    pub(crate) fn reset_marks(&mut self) {
        self.false_marks.clear();
        self.marks.clear();
    }
}

/// Address of a VM.
pub(crate) fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap().to_be_bytes();
    ([10, 1, high, low], 7_000).into()
}

fn index_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            Some(usize::from(high) * 256 + usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}
