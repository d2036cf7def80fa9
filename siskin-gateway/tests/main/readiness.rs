//! A data centre whose callers all come to one small VM, whichever the platform chooses: VM after VM becomes strained.

use {
    googletest::prelude::*,
    siskin_dispatch::readiness::{REPORT_INTERVAL, Strained},
    siskin_gateway::overload::{INTERVAL, Meter, State},
    siskin_types::{id::Node, time::Instant},
    std::time::Duration,
};

const START: Instant = Instant::from_micros(1_000_000);
const DURATION: Duration = Duration::from_secs(34);
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Failed readiness checks after which the platform takes a VM out of rotation.
const MISSES_MAX: u32 = 2;
const ARRIVALS_PER_SECOND: u32 = 420;
const TIME_PER_SERVED: Duration = Duration::from_micros(4_500);
const TIME_PER_REFUSED: Duration = Duration::from_micros(500);

struct Vm {
    meter: Meter,
    strained: Strained,
    /// When it has handled all requests that have arrived.
    idle_at: Instant,
    sample_at: Instant,
    misses: u32,
}

struct DataCentre {
    vms: Vec<Vm>,
    exchanges: bool,
    /// Fewest VMs that were ready at a check.
    ready_min: usize,
}

impl DataCentre {
    fn new(count: u32, exchanges: bool) -> Self {
        let nodes: Vec<Node> = (0..count).map(Node).collect();
        let vm = |node: &Node| {
            let mut strained = Strained::new(*node);
            strained.set_routers(&nodes);
            Vm {
                meter: Meter::default(),
                strained,
                idle_at: START,
                sample_at: START + INTERVAL,
                misses: 0,
            }
        };
        let vms = nodes.iter().map(vm).collect();
        Self { vms, exchanges, ready_min: nodes.len() }
    }

    fn run(&mut self) {
        let (mut check_at, mut exchange_at) = (START, START);
        for arrival in 0..ARRIVALS_PER_SECOND * u32::try_from(DURATION.as_secs()).unwrap() {
            let now = START + Duration::from_secs(1) * arrival / ARRIVALS_PER_SECOND;
            self.vms.iter_mut().for_each(|vm| vm.sample_until(now));
            if check_at <= now {
                check_at = check_at + CHECK_INTERVAL;
                self.check_readiness();
            }
            if self.exchanges && exchange_at <= now {
                exchange_at = exchange_at + REPORT_INTERVAL;
                self.exchange(now);
            }
            let chosen = self.choose();
            let vm = &mut self.vms[chosen];
            let begins = vm.idle_at.max(now);
            let admitted = vm.meter.admit_request(begins);
            vm.idle_at = begins + if admitted { TIME_PER_SERVED } else { TIME_PER_REFUSED };
        }
    }

    fn check_readiness(&mut self) {
        for vm in &mut self.vms {
            vm.misses = if vm.meter.state() == State::Calm { 0 } else { vm.misses + 1 };
        }
        let ready = self.vms.iter().filter(|vm| vm.meter.state() == State::Calm).count();
        self.ready_min = self.ready_min.min(ready);
    }

    /// The VM that gets all callers: the first one in rotation. If fewer than half are in rotation, all are used.
    fn choose(&self) -> usize {
        let in_rotation = |vm: &Vm| vm.misses < MISSES_MAX;
        let count = self.vms.iter().filter(|vm| in_rotation(vm)).count();
        if count * 2 < self.vms.len() {
            return 0;
        }
        self.vms.iter().position(in_rotation).unwrap_or(0)
    }

    fn exchange(&mut self, now: Instant) {
        for vm in &mut self.vms {
            vm.strained.record_own(now, vm.meter.strained_since());
        }
        let reports: Vec<_> = self.vms.iter().map(|vm| vm.strained.report(now)).collect();
        for vm in &mut self.vms {
            for report in &reports {
                vm.strained.merge(now, report);
            }
            if vm.strained.must_return(now) {
                vm.meter.end_strain();
            }
        }
    }
}

impl Vm {
    fn sample_until(&mut self, now: Instant) {
        while self.sample_at <= now {
            // The timer's task runs after the requests that are queued.
            let lateness = self.idle_at - self.sample_at;
            self.meter.sample(self.sample_at + lateness, lateness);
            self.sample_at = self.sample_at + lateness + INTERVAL;
        }
    }
}

/// Fewest VMs of a data centre that are ready at a check.
fn ready_min(count: u32, exchanges: bool) -> usize {
    let mut data_centre = DataCentre::new(count, exchanges);
    data_centre.run();
    data_centre.ready_min
}

/// Guards against a data centre in which more than half of the VMs say that they are not ready, most of them idle, while the
/// platform sends all callers to one that is overloaded.
#[googletest::test]
fn half_of_a_data_centre_stays_ready() {
    for count in [6, 13, 24] {
        let half = usize::try_from(count).unwrap().div_ceil(2);
        expect_that!(ready_min(count, true), ge(half), "{count} VMs");
    }
    expect_that!(ready_min(13, false), lt(7), "the load is too low to show the fault");
}
