use {
    crate::fleet::{CLEAN, Fleet},
    googletest::prelude::*,
    siskin_member::rank,
    siskin_types::id::Node,
    std::collections::BTreeMap,
};

/// Guards against roles that are concentrated on few routers.
#[gtest]
fn roles_are_spread_evenly() {
    let mut owned: BTreeMap<Node, u32> = BTreeMap::new();
    for key in 0..8_000_u32 {
        let owner = rank::first(&key.to_be_bytes(), (0..8).map(Node)).unwrap();
        *owned.entry(owner).or_default() += 1;
        let order = rank::order(&key.to_be_bytes(), (0..8).map(Node));
        expect_that!(order[0], eq(owner), "key {key}");
    }
    expect_that!(owned.len(), eq(8));
    expect_that!(owned.values().copied().collect::<Vec<_>>(), each(all![gt(&800), lt(&1_200)]));
}

/// Guards against an order of a subset that differs from the order of the fleet or has nodes that are not visible.
#[gtest]
fn subset_keeps_the_order_of_the_fleet() {
    let mut fleet = Fleet::joined(1, 8, CLEAN);
    fleet.kill(4);
    fleet.run_for(std::time::Duration::from_secs(10));
    let member = fleet.member(1);
    let mut nodes = member.in_data_centre("dc-0");
    expect_that!(nodes, elements_are![eq(&Node(0))]);
    nodes.extend([Node(4), Node(3), Node(6), Node(99)]);
    let all = member.rank(b"pool 1");
    let want: Vec<_> = all.iter().copied().filter(|node| [0, 3, 6].contains(&node.0)).collect();
    expect_that!(member.rank_in(b"pool 1", &nodes), eq(&want));
    expect_that!(member.owner(b"pool 1"), eq(all[0]));
}
