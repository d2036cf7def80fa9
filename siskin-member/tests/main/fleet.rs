//! Simulates a fleet of members with simulated time, message loss, delay, partitions and clocks of different rates.

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

/// Interval at which views are compared with the real state of the fleet.
const SAMPLE_MICROS: u64 = 250_000;

/// Wall-clock time at the start of the simulation, from which incarnations count.
const EPOCH_MICROS: u64 = 1_764_800_000_000_000;

/// Callback for each sent message: index of the sender, message.
type OnSend = Box<dyn FnMut(usize, &Message)>;

/// A simulated VM.
pub(crate) struct Vm {
    pub(crate) member: Option<Member>,
    pub(crate) paused: bool,
    pub(crate) group: usize,
    address: SocketAddr,
    clock_rate: f64,
    clock_offset: u64,
    /// Highest frame incarnation received from each node. The frame layer drops frames with a lower one.
    frame_incarnations: BTreeMap<Node, u64>,
    /// Messages received while the process is paused.
    unread: Vec<(SocketAddr, u64, Message)>,
}

enum Event {
    Tick(usize),
    Deliver { to: usize, from: SocketAddr, incarnation: u64, message: Box<Message> },
}

struct Timed {
    at: u64,
    /// Breaks ties by the order of insertion.
    sequence: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Loss probability and range of delays of datagrams.
#[derive(Clone, Copy)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) delay_micros: (u64, u64),
}

/// Delays of 0.3 to 3 ms and no loss.
pub(crate) const CLEAN: Network = Network { loss: 0.0, delay_micros: (300, 3_000) };

/// Delays of 0.3 to 40 ms; 5% of the datagrams are lost.
pub(crate) const LOSSY: Network = Network { loss: 0.05, delay_micros: (300, 40_000) };

pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) network: Network,
    /// Called for every sent message.
    pub(crate) on_send: Option<OnSend>,
    /// Time spent in calls of members.
    pub(crate) cpu_time: Duration,
    /// For each observer, the longest time for which it had a running, reachable member as unreachable.
    pub(crate) false_unreachable: BTreeMap<usize, Duration>,
    pub(crate) actions: Vec<(usize, Action)>,
    pub(crate) keep_actions: bool,
    /// Present false unreachable states, by observer and target, and since when.
    false_since: BTreeMap<(usize, usize), u64>,
    queue: BinaryHeap<Reverse<Timed>>,
    sequence: u64,
    now: u64,
    next_sample: u64,
    pub(crate) rng: SmallRng,
}

impl Fleet {
    /// Creates a fleet of VMs without running processes. `seed` is the seed of the random numbers.
    pub(crate) fn new(seed: u64, size: usize, network: Network) -> Self {
        println!("SISKIN_SEED={seed} size={size} loss={}", network.loss);
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..size).map(|index| Vm {
            member: None,
            paused: false,
            group: 0,
            address: address(index),
            clock_rate: rng.random_range(0.95..=1.05),
            clock_offset: rng.random_range(0..10_000_000_000),
            frame_incarnations: BTreeMap::new(),
            unread: Vec::new(),
        });
        Self {
            vms: vms.collect(),
            network,
            on_send: None,
            cpu_time: Duration::ZERO,
            false_unreachable: BTreeMap::new(),
            actions: Vec::new(),
            keep_actions: false,
            false_since: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            next_sample: 0,
            rng,
        }
    }

    /// Starts all VMs within a second and runs until all are visible to each other.
    pub(crate) fn joined(seed: u64, size: usize, network: Network) -> Self {
        let mut fleet = Self::new(seed, size, network);
        for index in 0..size {
            fleet.start(index, 0);
        }
        let took = fleet.run_until(Duration::from_secs(180), Self::views_agree);
        println!("{size} members joined within {took:?}");
        assert!(took.is_some(), "seed {seed}: {size} members did not join within 180 s");
        // Lets the updates of the start spread completely, so that they do not affect the test.
        fleet.run_for(Duration::from_secs(10));
        fleet
    }

    /// Starts or restarts the process of a VM, which has no state of an earlier one. Its wall clock is `behind`
    /// microseconds behind.
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
        vm.frame_incarnations.clear();
        vm.unread.clear();
        let after = self.rng.random_range(0..1_000_000);
        self.schedule_event(after, Event::Tick(index));
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.vms[index].member = None;
    }

    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.local_time(index);
        let actions = self.member(index).leave(now);
        self.execute_actions(index, actions);
        self.kill(index);
    }

    /// Calls a method of a member and executes the returned actions.
    pub(crate) fn call_member(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Member, Instant) -> Vec<Action>,
    ) {
        let now = self.local_time(index);
        let actions = call(self.member(index), now);
        self.execute_actions(index, actions);
    }

    pub(crate) fn member(&mut self, index: usize) -> &mut Member {
        self.vms[index].member.as_mut().expect("the process of the VM is running")
    }

    /// Assigns VMs to groups that cannot reach each other.
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

    /// Whether exactly the running processes of its group are visible to every running member. Incarnations may be
    /// higher than at the start of the process, because message loss sometimes causes suspicions and refutations.
    pub(crate) fn views_agree(&self) -> bool {
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
            let is_running = |seen: &Identity| {
                want.get(&seen.node).is_some_and(|started| seen.incarnation >= *started)
            };
            member.visible() == want.len() && member.alive().all(is_running)
        })
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds, which is checked at every sample, and returns the time taken; `None` if it does
    /// not hold within `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let end = start + u64::try_from(limit.as_micros()).unwrap();
        while self.now < end {
            self.advance_to((self.now + SAMPLE_MICROS).min(end));
            self.sample_views();
            if condition(self) {
                return Some(Duration::from_micros(self.now - start));
            }
        }
        None
    }

    /// Processes all events up to the time `end`.
    fn advance_to(&mut self, end: u64) {
        while self.queue.peek().is_some_and(|Reverse(timed)| timed.at <= end) {
            let Some(Reverse(timed)) = self.queue.pop() else { break };
            self.now = timed.at;
            self.process_event(timed.event);
        }
        self.now = end;
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                let now = self.local_time(index);
                let vm = &mut self.vms[index];
                let Some(member) = vm.member.as_mut() else { return };
                if !vm.paused {
                    let unread = std::mem::take(&mut vm.unread);
                    let started = std::time::Instant::now();
                    let actions = member.tick(now);
                    self.cpu_time += started.elapsed();
                    self.execute_actions(index, actions);
                    for (from, incarnation, message) in unread {
                        self.deliver_message(index, from, incarnation, &message);
                    }
                }
                #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                #[expect(clippy::cast_precision_loss)]
                let interval = (TICK_MICROS as f64 / self.vms[index].clock_rate) as u64;
                self.schedule_event(interval, Event::Tick(index));
            }
            Event::Deliver { to, from, incarnation, message } => {
                self.deliver_message(to, from, incarnation, &message);
            }
        }
    }

    fn deliver_message(
        &mut self,
        to: usize,
        from: SocketAddr,
        incarnation: u64,
        message: &Message,
    ) {
        let now = self.local_time(to);
        let vm = &mut self.vms[to];
        let Some(member) = vm.member.as_mut() else { return };
        if vm.paused {
            vm.unread.push((from, incarnation, message.clone()));
            return;
        }
        let highest = vm.frame_incarnations.entry(message.from.node).or_default();
        if incarnation < *highest {
            return;
        }
        *highest = incarnation;
        let started = std::time::Instant::now();
        let actions = member.receive(now, from, message);
        self.cpu_time += started.elapsed();
        self.execute_actions(to, actions);
    }

    fn execute_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            if self.keep_actions {
                self.actions.push((index, action.clone()));
            }
            if let Action::Send { to, message } = action {
                self.transmit_message(index, to, message);
            }
        }
    }

    fn transmit_message(&mut self, index: usize, to: SocketAddr, message: Message) {
        if let Some(on_send) = &mut self.on_send {
            on_send(index, &message);
        }
        let Some(target) = index_of(to).filter(|target| *target < self.vms.len()) else { return };
        let partitioned = self.vms[index].group != self.vms[target].group;
        if partitioned || self.rng.random_bool(self.network.loss) {
            return;
        }
        let incarnation = self.vms[index].member.as_ref().map_or(0, Member::frame_incarnation);
        let (min, max) = self.network.delay_micros;
        let delay = self.rng.random_range(min..=max);
        let from = self.vms[index].address;
        self.schedule_event(
            delay,
            Event::Deliver { to: target, from, incarnation, message: Box::new(message) },
        );
    }

    fn schedule_event(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Timed { at: self.now + after, sequence: self.sequence, event }));
    }

    /// The time of a VM's clock.
    fn local_time(&self, index: usize) -> Instant {
        let vm = &self.vms[index];
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        #[expect(clippy::cast_precision_loss)]
        let elapsed = (self.now as f64 * vm.clock_rate) as u64;
        Instant::from_micros(vm.clock_offset + elapsed)
    }

    /// Records which running members of the observer's own group are unreachable in its view, and since when.
    fn sample_views(&mut self) {
        if self.now < self.next_sample {
            return;
        }
        self.next_sample = self.now + SAMPLE_MICROS;
        let running = self.running();
        let mut false_since = BTreeMap::new();
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
                    let since =
                        self.false_since.get(&(observer, target)).copied().unwrap_or(self.now);
                    false_since.insert((observer, target), since);
                    let lasted = Duration::from_micros(self.now - since + SAMPLE_MICROS);
                    let longest = self.false_unreachable.entry(observer).or_default();
                    *longest = lasted.max(*longest);
                }
            }
        }
        self.false_since = false_since;
    }

    /// Clears the records of false unreachable states.
    pub(crate) fn reset_false_unreachable(&mut self) {
        self.false_unreachable.clear();
        self.false_since.clear();
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
