//! The state machine: probes, suspicions, refutations and the exchange of views.

use {
    crate::{
        gossip::Queue,
        options::{Options, Timing},
        platform::{List, Listed},
        probe::{Probe, Schedule},
        pull::{self, Exchange},
        rank,
        table::{self, Merge, Record, State, Table},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_types::{id::Node, time::Instant},
    siskin_wire::member::{
        Body, Identity, MAX_DATA_CENTRE_BYTES, MAX_UPDATES, Message, Missing, Status, Update,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Members that are asked to probe a target that does not answer.
const INDIRECT_PROBES: usize = 3;

/// Members that are told of a planned stop directly; the others learn of it by gossip.
const LEAVE_MESSAGES: usize = 8;

/// Members are not forgotten while more than one in this many is unreachable, because that is more likely a partition
/// than the failure of so many. A site of four data centres may lose one and still forget its members.
const MASS_FAILURE_DIVISOR: usize = 3;

/// Most unreachable members in one recheck request. At their longest they take 960 bytes.
const MAX_RECHECK: usize = 120;

/// Views that have differed for this many times the settling time are compared in full although changes continue.
const SETTLE_TIMES_UNTIL_PULL: u32 = 3;

/// Estimated bytes of an entry in a full view, used to keep requests within [`VIEW_BYTES_PER_SECOND`].
const VIEW_ENTRY_BYTES: u64 = 30;

/// Bytes per second of requested full views on average: half of the control traffic that a router may cause.
const VIEW_BYTES_PER_SECOND: u64 = 2_500;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The visible or the known members have changed, so roles may have moved.
    Changed,
    /// A member has announced its configuration version. Emitted for every message of a visible member.
    Config {
        /// The member.
        from: Node,
        /// The version that is in force there.
        version: u64,
        /// Time since the store confirmed the version to it; `None` if the store never did.
        age: Option<Duration>,
    },
}

/// Version of the own configuration.
#[derive(Clone, Copy, Debug, Default)]
struct Config {
    version: u64,
    /// Time since the store confirmed it, as of `set_at`; `None` if the store never did.
    age: Option<Duration>,
    set_at: Instant,
}

impl Config {
    fn age_ms(&self, now: Instant) -> Option<u32> {
        let age = self.age? + (now - self.set_at);
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }
}

/// One router's view of the fleet.
#[derive(Debug)]
pub struct Member {
    /// The own identity.
    me: Identity,
    seeds: Vec<SocketAddr>,
    timing: Timing,
    frame_incarnation: u64,
    leaving: bool,
    config: Config,
    table: Table,
    queue: Queue,
    schedule: Schedule,
    exchange: Exchange,
    list: List,
    rng: SmallRng,
    last_tick: Option<Instant>,
    next_expiry: Instant,
    last_change: Instant,
    /// When a message last carried the digest of the own view.
    last_match: Instant,
}

impl Member {
    /// Creates a member that knows no others; it joins through the seed addresses on the first tick.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let mut data_centre = options.data_centre;
        while data_centre.len() > MAX_DATA_CENTRE_BYTES {
            data_centre.pop();
        }
        let me = Identity {
            node: options.node,
            incarnation: options.incarnation,
            address: options.address,
            data_centre,
        };
        let seeds: Vec<_> =
            options.seeds.into_iter().filter(|seed| *seed != options.address).collect();
        let mut exchange = Exchange::new();
        exchange.joined = seeds.is_empty();
        Self {
            frame_incarnation: me.incarnation,
            me,
            seeds,
            timing: options.timing,
            leaving: false,
            config: Config::default(),
            table: Table::default(),
            queue: Queue::default(),
            schedule: Schedule::default(),
            exchange,
            list: List::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            last_tick: None,
            next_expiry: Instant::ZERO,
            last_change: Instant::ZERO,
            last_match: Instant::ZERO,
        }
    }

    /// The own node.
    #[must_use]
    pub const fn node(&self) -> Node {
        self.me.node
    }

    /// The own incarnation: the start time plus the number of refutations.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.me.incarnation
    }

    /// The incarnation that frames should carry. Refuting a suspicion does not change it; it changes only if an earlier
    /// process of this node had a later clock. See `Sealer::raise_incarnation`.
    #[must_use]
    pub const fn frame_incarnation(&self) -> u64 {
        self.frame_incarnation
    }

    /// Whether a full view has been received, or there are no seed addresses to request it from.
    #[must_use]
    pub const fn joined(&self) -> bool {
        self.exchange.joined
    }

    /// The visible members, which may have roles, the own process first. A suspected member is among them until it is
    /// marked unreachable.
    pub fn alive(&self) -> impl Iterator<Item = &Identity> {
        let others = self.table.visible().iter();
        let others = others.filter_map(|node| Some(&self.table.get(*node)?.about));
        std::iter::once(&self.me).chain(others)
    }

    /// The visible members of a data centre.
    #[must_use]
    pub fn in_data_centre(&self, data_centre: &str) -> Vec<Node> {
        let members = self.alive().filter(|member| member.data_centre == data_centre);
        members.map(|member| member.node).collect()
    }

    /// Whether a node is visible, the own one included.
    #[must_use]
    pub fn is_visible(&self, node: Node) -> bool {
        node == self.me.node || self.table.visible().contains(&node)
    }

    /// Address of a known node.
    #[must_use]
    pub fn address(&self, node: Node) -> Option<SocketAddr> {
        if node == self.me.node {
            return Some(self.me.address);
        }
        self.table.get(node).map(|record| record.about.address)
    }

    /// The records of all other members, for operators.
    #[must_use]
    pub fn view(&self, now: Instant) -> Vec<Update> {
        let update = |record: &Record| Update {
            about: record.about.clone(),
            status: record.status(now, &self.timing),
        };
        self.table.records().map(update).collect()
    }

    /// Number of known members, including the own process and the unreachable ones.
    #[must_use]
    pub fn known(&self) -> usize {
        self.visible() + self.table.unreachable().len()
    }

    /// Number of visible members, including the own process.
    #[must_use]
    pub fn visible(&self) -> usize {
        1 + self.table.visible().len()
    }

    /// The visible nodes in the rendezvous order of a key, the owner of the role first.
    ///
    /// Costs one hash per visible member and a sort; see [`rank`].
    #[must_use]
    pub fn rank(&self, key: &[u8]) -> Vec<Node> {
        rank::order(key, self.visible_nodes())
    }

    /// The owner of a role: the first node of [`Member::rank`], found without a sort.
    #[must_use]
    pub fn owner(&self, key: &[u8]) -> Node {
        rank::first(key, self.visible_nodes()).unwrap_or(self.me.node)
    }

    /// Those of `nodes` that are visible, in the rendezvous order of a key. Used with [`Member::in_data_centre`] to
    /// place a role within a data centre.
    #[must_use]
    pub fn rank_in(&self, key: &[u8], nodes: &[Node]) -> Vec<Node> {
        rank::order(key, nodes.iter().copied().filter(|node| self.is_visible(*node)))
    }

    fn visible_nodes(&self) -> impl Iterator<Item = Node> {
        std::iter::once(self.me.node).chain(self.table.visible().iter().copied())
    }

    /// Sets the own configuration version, which messages announce to other members. `age` is the time since the store
    /// confirmed the version.
    pub fn set_config(&mut self, now: Instant, version: u64, age: Option<Duration>) {
        self.config = Config { version, age, set_at: now };
    }

    /// Updates the platform's list of VMs. A member that was dropped from it is forgotten once it is also unreachable;
    /// the list has no other effect.
    pub fn set_platform_list(&mut self, now: Instant, list: &[Listed]) -> Vec<Action> {
        let generation = self.table.generation();
        self.list.replace(now, list, self.timing.unreachable_retention);
        self.forget_members(now);
        self.append_changed(now, generation, Vec::new())
    }

    /// Announces the planned stop of the own process, which should stop after sending the messages: the member no
    /// longer answers.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.leaving = true;
        let targets = self.random_visible(LEAVE_MESSAGES, None);
        targets.into_iter().filter_map(|node| self.send_to_node(now, node, Body::Leave)).collect()
    }

    /// Handles a message that arrived from `from`. The caller has checked that the message's sender is the frame's.
    pub fn receive(&mut self, now: Instant, from: SocketAddr, message: &Message) -> Vec<Action> {
        if self.leaving || message.updates.len() > MAX_UPDATES {
            return Vec::new();
        }
        let sender = message.from.node;
        if sender == self.me.node {
            log::warn!(node:% = sender, from:%; "message carries the own node number; give each VM its own number");
            return Vec::new();
        }
        let generation = self.table.generation();
        let incarnation = self.me.incarnation;
        let status = match message.body {
            Body::Leave => Status::Left { for_s: 0 },
            _ => Status::Alive,
        };
        self.apply_update(now, &Update { about: message.from.clone(), status }, true);
        for update in &message.updates {
            self.apply_update(now, update, true);
        }
        let mut actions = self.handle_body(now, from, message);
        let answered = matches!(message.body, Body::Ping { .. });
        if self.me.incarnation != incarnation && !answered {
            let number = self.schedule.next_number();
            actions.extend(self.send_to_node(now, sender, Body::Ping { number }));
        }
        if message.digest == self.digest() {
            self.last_match = now;
        } else if self.joined() {
            actions.extend(self.reconcile_view(now, from, message.known));
        }
        if self.is_visible(sender) {
            let age = message.config_age_ms.map(|ms| Duration::from_millis(ms.into()));
            actions.push(Action::Config { from: sender, version: message.config_version, age });
        }
        self.append_changed(now, generation, actions)
    }

    fn handle_body(&mut self, now: Instant, from: SocketAddr, message: &Message) -> Vec<Action> {
        let sender = message.from.node;
        match &message.body {
            Body::Ping { number } => {
                vec![self.send_to_address(now, from, Some(sender), Body::Ack { number: *number })]
            }
            Body::Ack { number } | Body::IndirectAck { number } => {
                let relay = self.schedule.handle_answer(*number);
                let answer = relay.map(|relay| {
                    self.send_to_address(
                        now,
                        relay.requester,
                        None,
                        Body::IndirectAck { number: relay.number },
                    )
                });
                answer.into_iter().collect()
            }
            Body::PingRequest { number, target, address } => {
                let number = self.schedule.add_relay(now, from, *number);
                let ping =
                    number.map(|number| self.send_relayed_ping(now, *address, *target, number));
                ping.into_iter().collect()
            }
            Body::Pull { number } => self.answer_pull(now, from, sender, *number),
            Body::Recheck { unreachable } => self.answer_recheck(now, from, unreachable),
            Body::State { number, piece, pieces, entries } => {
                let disseminate = self.joined();
                for entry in entries {
                    self.apply_update(now, entry, disseminate);
                }
                self.exchange.record_piece(*number, *piece, *pieces);
                Vec::new()
            }
            Body::Leave => Vec::new(),
        }
    }

    /// Advances timers. To be called at least every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.leaving {
            return Vec::new();
        }
        let generation = self.table.generation();
        self.extend_timeouts_after_suspension(now);
        let mut actions = self.advance_probe(now);
        actions.extend(self.check_suspects(now));
        actions.extend(self.probe_unreachable(now));
        actions.extend(self.contact_seeds(now));
        if now >= self.next_expiry {
            self.next_expiry = now + Duration::from_secs(1);
            self.forget_members(now);
            self.schedule.expire_relays(now, self.timing.probe_interval);
        }
        self.append_changed(now, generation, actions)
    }

    /// Appends [`Action::Changed`] if the visible or known members have changed since `generation`.
    fn append_changed(
        &mut self,
        now: Instant,
        generation: u64,
        mut actions: Vec<Action>,
    ) -> Vec<Action> {
        if self.table.generation() != generation {
            self.last_change = now;
            actions.push(Action::Changed);
        }
        actions
    }

    /// Extends running time limits after a suspension of the process, during which answers could not be read.
    fn extend_timeouts_after_suspension(&mut self, now: Instant) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now - last);
        self.last_tick = Some(now);
        if gap <= self.timing.stall_threshold {
            return;
        }
        self.schedule.current = None;
        for node in self.table.suspects().clone() {
            if let Some(suspicion) = self.table.suspicion(node) {
                suspicion.since = suspicion.since + gap;
            }
        }
    }

    fn advance_probe(&mut self, now: Instant) -> Vec<Action> {
        if now >= self.schedule.next_at {
            return self.start_probe(now);
        }
        let Some(probe) = self.schedule.current.as_mut() else {
            return Vec::new();
        };
        if probe.indirect || now - probe.sent < self.timing.indirect_probe_delay {
            return Vec::new();
        }
        probe.indirect = true;
        let Probe { target, number, .. } = *probe;
        let Some(address) = self.address(target) else {
            return Vec::new();
        };
        let helpers = self.random_visible(INDIRECT_PROBES, Some(target));
        let request = Body::PingRequest { number, target, address };
        helpers
            .into_iter()
            .filter_map(|node| self.send_to_node(now, node, request.clone()))
            .collect()
    }

    fn start_probe(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(probe) = self.schedule.current.take()
            && self.table.mark_suspect(now, probe.target)
        {
            log::info!(node:% = probe.target; "member does not answer; suspecting it");
            self.queue.push(probe.target);
        }
        let due = self.schedule.next_at + self.timing.probe_interval;
        self.schedule.next_at = if due > now { due } else { now + self.timing.probe_interval };
        let visible = self.table.visible();
        let all = visible.iter().copied();
        let picked = self.schedule.next_target(all, |node| visible.contains(&node), &mut self.rng);
        if let Some(target) = picked {
            let number = self.schedule.next_number();
            self.schedule.current = Some(Probe { target, number, sent: now, indirect: false });
            actions.extend(self.send_to_node(now, target, Body::Ping { number }));
        }
        actions
    }

    fn check_suspects(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for node in self.table.suspects().clone() {
            let Some(suspicion) = self.table.suspicion(node) else {
                continue;
            };
            let confirmed = suspicion.own_probe_failed || suspicion.reported_unreachable;
            let grace =
                if confirmed { Duration::ZERO } else { self.timing.reported_suspicion_grace };
            let timed_out = now - suspicion.since >= self.timing.suspicion_timeout + grace;
            // A member that only others suspect may have refuted the suspicion in an update that was lost, so it is
            // pinged before it is marked unreachable.
            let pinged = *suspicion.final_ping_at.get_or_insert(now);
            let first_pinged = timed_out && !suspicion.own_probe_failed && pinged == now;
            if !timed_out {
                suspicion.final_ping_at = None;
            } else if suspicion.own_probe_failed || now - pinged >= self.timing.probe_interval {
                log::info!(node:%; "member did not refute the suspicion; it is unreachable");
                self.table.mark_unreachable(node, now + self.timing.unreachable_retention);
                self.queue.push(node);
                continue;
            }
            if first_pinged || (suspicion.own_probe_failed && now >= suspicion.next_ping_at) {
                suspicion.next_ping_at = now + self.timing.probe_interval;
                let number = self.schedule.next_number();
                actions.extend(self.send_to_node(now, node, Body::Ping { number }));
            }
        }
        actions
    }

    /// Pings a random unreachable member. The interval grows with the number of visible members, which share this work.
    fn probe_unreachable(&mut self, now: Instant) -> Vec<Action> {
        let unreachable = self.table.unreachable().len();
        if unreachable == 0 {
            self.schedule.unreachable_probed_at = now;
            return Vec::new();
        }
        let share = u32::try_from(self.visible() / unreachable).unwrap_or(u32::MAX).max(1);
        let jitter = self.rng.random_range(0.5..1.5);
        let interval = self.timing.unreachable_probe_interval.saturating_mul(share).mul_f64(jitter);
        if now - self.schedule.unreachable_probed_at < interval {
            return Vec::new();
        }
        self.schedule.unreachable_probed_at = now;
        let index = self.rng.random_range(0..unreachable);
        let Some(node) = self.table.unreachable().get_index(index).copied() else {
            return Vec::new();
        };
        let number = self.schedule.next_number();
        self.send_to_node(now, node, Body::Ping { number }).into_iter().collect()
    }

    fn contact_seeds(&mut self, now: Instant) -> Vec<Action> {
        if self.seeds.is_empty() || now < self.exchange.next_seed_at {
            return Vec::new();
        }
        if self.joined() {
            self.exchange.next_seed_at = now + self.timing.seed_retry_interval;
            let visible: Vec<_> = self.alive().map(|member| member.address).collect();
            let missing: Vec<_> =
                self.seeds.iter().copied().filter(|seed| !visible.contains(seed)).collect();
            return self.request_view_from_any(now, &missing);
        }
        let jitter = self.rng.random_range(0.75..1.25);
        self.exchange.next_seed_at = now + self.timing.join_retry_interval.mul_f64(jitter);
        let known = self.random_visible(1, None);
        let known: Vec<_> = known.into_iter().filter_map(|node| self.address(node)).collect();
        let use_seed = known.is_empty() || self.rng.random_bool(0.25);
        let targets = if use_seed { self.seeds.clone() } else { known };
        self.request_view_from_any(now, &targets)
    }

    fn request_view_from_any(&mut self, now: Instant, targets: &[SocketAddr]) -> Vec<Action> {
        if targets.is_empty() {
            return Vec::new();
        }
        let target = targets[self.rng.random_range(0..targets.len())];
        vec![self.request_view(now, target)]
    }

    /// Requests state from a member whose view differs. If members are unreachable here, it is asked for these: after a
    /// partition many become visible again, which requests spread faster than gossip. For other differences, the full
    /// view is requested if gossip has not resolved them.
    fn reconcile_view(&mut self, now: Instant, from: SocketAddr, known: u32) -> Option<Action> {
        if !self.table.unreachable().is_empty() && now >= self.exchange.next_recheck_at {
            self.exchange.next_recheck_at = now + self.timing.recheck_interval;
            return Some(self.request_recheck(now, from));
        }
        let lacking = usize::try_from(known).unwrap_or(0) >= self.known() + MAX_UPDATES;
        let settled = now - self.last_change >= self.timing.settle_time;
        // While a partition begins, views differ for long, and a full view would bring nothing new.
        let lasting = now - self.last_match >= self.timing.settle_time * SETTLE_TIMES_UNTIL_PULL;
        let differs = (settled || lasting) && !self.is_mass_failure();
        if !(lacking || differs)
            || now < self.exchange.next_request_at
            || self.exchange.is_waiting(now)
        {
            return None;
        }
        let bytes = VIEW_ENTRY_BYTES * u64::try_from(self.known()).unwrap_or(u64::MAX);
        let jitter = self.rng.random_range(0.75..1.25);
        let paced = Duration::from_millis(bytes * 1_000 / VIEW_BYTES_PER_SECOND);
        self.exchange.next_request_at = now + paced.max(self.timing.pull_interval).mul_f64(jitter);
        Some(self.request_view(now, from))
    }

    fn request_recheck(&mut self, now: Instant, from: SocketAddr) -> Action {
        let nodes = self.table.unreachable();
        let amount = nodes.len().min(MAX_RECHECK);
        let sample = rand::seq::index::sample(&mut self.rng, nodes.len(), amount);
        let nodes = sample.into_iter().filter_map(|index| nodes.get_index(index));
        let records = nodes.filter_map(|node| self.table.get(*node));
        let unreachable = records.map(|record| Missing::new(&record.about)).collect();
        self.send_to_address(now, from, None, Body::Recheck { unreachable })
    }

    /// Sends those entries that would change the requester's view. The requester does not match the answer to its
    /// request, so the number is arbitrary.
    fn answer_recheck(&mut self, now: Instant, to: SocketAddr, missing: &[Missing]) -> Vec<Action> {
        let seen = missing.iter().filter_map(|missing| {
            let record = self.table.get(missing.node)?;
            let newer = record.state.is_visible() && missing.is_older_than(&record.about);
            if newer { self.table.update(now, missing.node, &self.timing) } else { None }
        });
        let pieces: Vec<_> =
            pull::split_entries(seen).into_iter().filter(|piece| !piece.is_empty()).collect();
        let allowed = self.exchange.take_pieces(now, pieces.len());
        let state = |entries| Body::State { number: 0, piece: 0, pieces: 0, entries };
        let bodies = pieces.into_iter().take(allowed).map(state);
        bodies.map(|body| self.send_to_address(now, to, None, body)).collect()
    }

    fn digest(&self) -> u32 {
        self.table.digest() ^ table::identity_digest(&self.me)
    }

    fn request_view(&mut self, now: Instant, from: SocketAddr) -> Action {
        let number = self.schedule.next_number();
        self.exchange.record_request(now, number);
        self.send_to_address(now, from, None, Body::Pull { number })
    }

    /// Sends the own view, beginning at a random record: if the rate limit does not allow all of it, routers that join
    /// at the same time get different parts, and then request views from different members.
    fn answer_pull(
        &mut self,
        now: Instant,
        to: SocketAddr,
        node: Node,
        number: u32,
    ) -> Vec<Action> {
        let records = self.table.records().len();
        let offset = if records == 0 { 0 } else { self.rng.random_range(0..records) };
        let rotated = self.table.records().skip(offset).chain(self.table.records().take(offset));
        let entries = rotated.map(|record| Update {
            about: record.about.clone(),
            status: record.status(now, &self.timing),
        });
        let pieces = pull::split_entries(entries);
        let total = u16::try_from(pieces.len()).unwrap_or(u16::MAX);
        let allowed = self.exchange.take_pieces(now, pieces.len());
        let numbered = (0..total).zip(pieces).take(allowed);
        let state = |(piece, entries)| Body::State { number, piece, pieces: total, entries };
        let bodies: Vec<_> = numbered.map(state).collect();
        bodies.into_iter().map(|body| self.send_to_address(now, to, Some(node), body)).collect()
    }

    /// Merges an update into the table, or refutes it if it is about the own process.
    fn apply_update(&mut self, now: Instant, update: &Update, disseminate: bool) -> Merge {
        let node = update.about.node;
        if node == self.me.node {
            self.refute_update(update);
            return Merge::Unchanged;
        }
        if update.about.data_centre.len() > MAX_DATA_CENTRE_BYTES {
            return Merge::Unchanged;
        }
        let gone = matches!(update.status, Status::Unreachable { .. })
            && self.table.get(node).is_none()
            && self.is_dropped(now, update.about.address);
        if gone {
            return Merge::Unchanged;
        }
        if self.table.get(node).is_some_and(|record| record.matches(update)) {
            self.queue.count_received(node);
            return Merge::Unchanged;
        }
        let merge = self.table.merge(now, update, &self.timing);
        match merge {
            Merge::Unchanged | Merge::Updated => {}
            Merge::Appeared | Merge::Returned => {
                log::debug!(node:%, incarnation = update.about.incarnation; "member appeared");
                self.schedule.insert_member(node, &mut self.rng);
            }
            Merge::Disputed => self.schedule.set_next_target(node),
        }
        if disseminate && !matches!(merge, Merge::Unchanged | Merge::Disputed) {
            self.queue.push(node);
        }
        merge
    }

    /// Raises the own incarnation if an update about the own process has a higher one or a status other than alive.
    fn refute_update(&mut self, update: &Update) {
        let claimed = update.about.incarnation;
        let from_earlier_process = claimed > self.me.incarnation;
        let contradicts = claimed == self.me.incarnation && update.status != Status::Alive;
        if !from_earlier_process && !contradicts {
            return;
        }
        self.me.incarnation = claimed.saturating_add(1);
        if from_earlier_process {
            log::warn!(incarnation = claimed; "an earlier process of this node had a later clock; raising the own incarnation above its incarnation");
            self.frame_incarnation = self.me.incarnation;
        }
        self.queue.push(self.me.node);
    }

    fn is_dropped(&self, now: Instant, address: SocketAddr) -> bool {
        self.list.is_dropped(now, address.ip(), self.timing.drop_grace)
    }

    fn is_mass_failure(&self) -> bool {
        self.table.unreachable().len() > self.known() / MASS_FAILURE_DIVISOR
    }

    /// Forgets members whose retention time is over, and unreachable ones that the platform has dropped.
    fn forget_members(&mut self, now: Instant) {
        let mass_failure = self.is_mass_failure();
        let is_over = |record: &&Record| {
            let expired = record.state.forget_at().is_some_and(|until| now >= until);
            match record.state {
                State::Alive { .. } | State::Suspect(_) => false,
                State::Left { .. } => expired,
                State::Unreachable { .. } => {
                    !mass_failure && (expired || self.is_dropped(now, record.about.address))
                }
            }
        };
        let gone: Vec<_> =
            self.table.records().filter(is_over).map(|record| record.about.node).collect();
        for node in gone {
            log::info!(node:%; "member is forgotten");
            self.table.remove(node);
            self.queue.remove(node);
        }
    }

    /// Up to `count` different random visible members other than `except`.
    fn random_visible(&mut self, count: usize, except: Option<Node>) -> Vec<Node> {
        let visible = self.table.visible();
        let amount = visible.len().min(count + 1);
        let sample = rand::seq::index::sample(&mut self.rng, visible.len(), amount);
        let nodes = sample.into_iter().filter_map(|index| visible.get_index(index).copied());
        nodes.filter(|node| Some(*node) != except).take(count).collect()
    }

    fn send_to_node(&mut self, now: Instant, node: Node, body: Body) -> Option<Action> {
        let address = self.table.get(node)?.about.address;
        Some(self.send_to_address(now, address, Some(node), body))
    }

    /// Creates a message. If the receiver is not alive in the own view, the message tells it so, and it can refute.
    /// Other updates are piggybacked only on messages to members that are likely to receive them.
    fn send_to_address(
        &mut self,
        now: Instant,
        to: SocketAddr,
        node: Option<Node>,
        body: Body,
    ) -> Action {
        let accusation = node.and_then(|node| self.accusation(now, node));
        let full = matches!(body, Body::State { .. } | Body::Recheck { .. });
        let updates = match accusation {
            Some(accusation) => vec![accusation],
            None if full => Vec::new(),
            None => {
                let picked = self.queue.take_batch(MAX_UPDATES, self.known());
                picked.into_iter().filter_map(|node| self.update(now, node)).collect()
            }
        };
        self.create_message(now, to, updates, body)
    }

    /// Creates a ping to a member that does not answer the member on whose behalf it is pinged.
    fn send_relayed_ping(
        &mut self,
        now: Instant,
        to: SocketAddr,
        node: Node,
        number: u32,
    ) -> Action {
        let accusation = self.accusation(now, node).into_iter().collect();
        self.create_message(now, to, accusation, Body::Ping { number })
    }

    fn create_message(
        &self,
        now: Instant,
        to: SocketAddr,
        updates: Vec<Update>,
        body: Body,
    ) -> Action {
        let message = Message {
            from: self.me.clone(),
            config_version: self.config.version,
            config_age_ms: self.config.age_ms(now),
            digest: self.digest(),
            known: u32::try_from(self.known()).unwrap_or(u32::MAX),
            updates,
            body,
        };
        Action::Send { to, message }
    }

    fn update(&self, now: Instant, node: Node) -> Option<Update> {
        if node == self.me.node {
            return Some(Update { about: self.me.clone(), status: Status::Alive });
        }
        self.table.update(now, node, &self.timing)
    }

    /// The update that tells a member that it is not alive in the own view, or is reported as unreachable.
    fn accusation(&self, now: Instant, node: Node) -> Option<Update> {
        let record = self.table.get(node)?;
        let mut update = self.table.update(now, node, &self.timing)?;
        match record.state {
            State::Alive { disputed: false } => None,
            State::Alive { disputed: true } => {
                update.status = Status::Unreachable { for_s: 0 };
                Some(update)
            }
            _ => Some(update),
        }
    }
}
