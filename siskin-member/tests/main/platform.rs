use {
    crate::fleet::{CLEAN, Fleet, address},
    googletest::prelude::*,
    siskin_member::{Listed, Member},
    std::time::Duration,
};

const SIZE: usize = 8;

/// Guards against an outdated list that removes reachable members, and against unreachable members that stay known
/// although the platform has dropped them.
#[gtest]
fn list_removes_only_members_that_are_dropped_and_unreachable() {
    struct Case {
        name: &'static str,
        killed: &'static [usize],
        /// Number of VMs, from the first on, that are partitioned from the rest.
        partitioned: usize,
        /// VMs missing from the list, at first and after the fault.
        missing: [&'static [usize]; 2],
        /// Known members in the view of the last VM.
        want: usize,
    }
    const fn dead(name: &'static str, missing: [&'static [usize]; 2], want: usize) -> Case {
        Case { name, killed: &[2], partitioned: 0, missing, want }
    }
    let (all, half): (&[_], &[_]) = (&[0, 1, 2, 3, 4, 5, 6, 7], &[0, 1, 2, 3]);
    let cases = [
        dead("list outdated", [&[], &[]], 8),
        dead("dead and dropped", [&[], &[2]], 7),
        Case { killed: &[2, 3], ..dead("two dead and dropped", [&[], &[2, 3]], 6) },
        Case { killed: &[], ..dead("dropped but alive", [&[], &[2]], 8) },
        dead("dropped and listed again", [&[2], &[]], 8),
        dead("never listed", [&[2], &[2]], 8),
        dead("empty list", [&[], all], 8),
        Case { killed: &[], partitioned: 4, ..dead("partition and dropped", [&[], half], 8) },
    ];
    for Case { name, killed, partitioned, missing, want } in cases {
        let mut fleet = Fleet::joined(1, SIZE, CLEAN);
        update_list(&mut fleet, missing[0]);
        for index in killed {
            fleet.kill(*index);
        }
        fleet.partition(|index| usize::from(index < partitioned));
        fleet.run_for(Duration::from_secs(15));
        for _ in 0..20 {
            update_list(&mut fleet, missing[1]);
            fleet.run_for(Duration::from_secs(5));
        }
        let known = fleet.member(SIZE - 1).known();
        expect_that!(known, eq(want), "{name}");
        fleet.partition(|_| 0);
        let took = fleet.run_until(Duration::from_secs(30), Fleet::views_agree);
        expect_that!(took, some(anything()), "{name}: views agree after the partition");
    }
}

/// Guards against a list that flaps faster than the grace time.
#[gtest]
fn flapping_list_removes_nobody() {
    let mut fleet = Fleet::joined(1, SIZE, CLEAN);
    fleet.kill(2);
    for round in 0..60 {
        update_list(&mut fleet, if round % 2 == 0 { &[] } else { &[2, 3] });
        fleet.run_for(Duration::from_secs(10));
    }
    let known: Vec<_> = fleet.members().map(Member::known).collect();
    expect_that!(known, each(eq(&SIZE)));
}

fn update_list(fleet: &mut Fleet, missing: &[usize]) {
    let listed = (0..SIZE).filter(|index| !missing.contains(index));
    let listed: Vec<_> =
        listed.map(|index| Listed { address: address(index).ip(), leaving: false }).collect();
    for index in fleet.running() {
        fleet.call_member(index, |member, now| member.set_platform_list(now, &listed));
    }
}
