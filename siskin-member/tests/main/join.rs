use {
    crate::{
        fleet::{CLEAN, Fleet, LOSSY, Network},
        seeds,
    },
    googletest::prelude::*,
    siskin_member::{Action, Member, Options},
    siskin_types::{id::Node, time::Instant},
    siskin_wire::{
        frame::{Key, Sealer},
        member::{Body, Identity, Message, Status, Update},
    },
    std::time::Duration,
};

/// Guards against members that do not find each other, and a seed that is overloaded when the whole fleet starts at
/// once.
#[gtest]
fn members_join_through_one_seed() {
    struct Case {
        name: &'static str,
        size: usize,
        network: Network,
        limit_s: u64,
        seeds: u64,
    }
    let cases = [
        Case { name: "8 clean", size: 8, network: CLEAN, limit_s: 10, seeds: 20 },
        Case { name: "8 lossy", size: 8, network: LOSSY, limit_s: 10, seeds: 20 },
        Case { name: "200 clean", size: 200, network: CLEAN, limit_s: 30, seeds: 1 },
        Case { name: "200 lossy", size: 200, network: LOSSY, limit_s: 30, seeds: 2 },
    ];
    for Case { name, size, network, limit_s, seeds: count } in cases {
        for seed in seeds(count, &[]) {
            let mut fleet = Fleet::new(seed, size, network);
            for index in 0..size {
                fleet.start(index, 0);
            }
            let took = fleet.run_until(Duration::from_secs(limit_s), Fleet::views_agree);
            println!("{name}: joined in {took:?}");
            let views: Vec<_> = fleet.members().map(Member::visible).collect();
            expect_that!(took, some(anything()), "{name} seed {seed}: visible {views:?}");
        }
    }
}

/// Guards against a configuration version or its age that does not reach other members.
#[gtest]
fn configuration_version_and_age_reach_other_members() {
    let mut fleet = Fleet::joined(1, 3, CLEAN);
    fleet.call_member(1, |member, now| {
        member.set_config(now, 42, Some(Duration::from_secs(2)));
        Vec::new()
    });
    fleet.keep_actions = true;
    fleet.run_for(Duration::from_secs(3));
    let ages = fleet.actions.iter().filter_map(|(_, action)| match action {
        Action::Config { from: Node(1), version: 42, age: Some(age) } => Some(*age),
        _ => None,
    });
    let ages: Vec<_> = ages.collect();
    expect_that!(ages.len(), gt(4));
    let plausible = |age: &Duration| (2..6).contains(&age.as_secs());
    expect_that!(ages.iter().all(plausible), eq(true), "{ages:?}");
    let unset = fleet.actions.iter().any(|(_, action)| {
        matches!(action, Action::Config { from: Node(2), version: 0, age: None })
    });
    expect_that!(
        unset,
        eq(true),
        "a member without configuration announces version 0 without an age"
    );
}

/// Guards against messages that exceed the size of a datagram when every field has its largest size.
#[gtest]
fn largest_messages_fit_a_datagram() {
    let identity = |number: u32| Identity {
        node: Node(u32::MAX - number),
        incarnation: u64::MAX - 1_000,
        address: ([0xffff; 8], u16::MAX).into(),
        data_centre: "d".repeat(32),
    };
    let me = identity(0);
    let options = Options::new(me.node, me.address, &"d".repeat(50), me.incarnation);
    let mut member = Member::new(options);
    let now = Instant::from_micros(u64::MAX / 4);
    member.set_config(now, u64::MAX, Some(Duration::from_secs(u64::MAX / 4)));
    let mut actions = Vec::new();
    for number in 1..400 {
        let for_s = 20;
        let status = if number % 2 == 0 { Status::Alive } else { Status::Unreachable { for_s } };
        let entries = vec![Update { about: identity(number), status }];
        let body = Body::State { number: 0, piece: 0, pieces: 0, entries };
        let mut message = Message::new(identity(2), body);
        message.digest = 1;
        actions.extend(member.receive(now, me.address, &message));
        message.body = if number % 2 == 0 {
            Body::Pull { number: u32::MAX }
        } else {
            Body::PingRequest { number: u32::MAX, target: Node(u32::MAX), address: me.address }
        };
        let later = now + Duration::from_secs(u64::from(number));
        actions.extend(member.receive(later, me.address, &message));
        actions.extend(member.tick(later));
    }
    let mut sealer = Sealer::new(me.node, u64::MAX, Key::derive(b"secret"));
    let mut largest = 0;
    for action in actions {
        if let Action::Send { message, .. } = action {
            let frame = sealer.seal_datagram(&siskin_wire::Message::Member(message));
            largest = largest.max(frame.expect("the message fits a datagram").len());
        }
    }
    expect_that!(largest, gt(1_000), "no message was near the limit");
}
