use {
    crate::{
        seeds,
        world::{Faults, World},
    },
    googletest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    siskin_lease::orders::{Engine, Versions},
    siskin_types::{
        id::{Endpoint, Model},
        role::Role,
    },
};

const MODELS: u32 = 4;
const ENGINES: u32 = 7;

/// Models of this number and above are adapters of the model of the last digit.
const FIRST_ADAPTER: u32 = 10;

fn engine(number: u32, models: Versions, role: Role, checks_fencing: bool) -> Engine {
    let adapters = models.keys().filter(|model| model.0 >= FIRST_ADAPTER);
    let bases = adapters.map(|model| (*model, Model(model.0 % FIRST_ADAPTER))).collect();
    Engine { endpoint: Endpoint(number), models, bases, role, checks_fencing }
}

/// A random configuration in which every model and adapter is wanted on at least two engines that serve requests, so
/// that none is blocked for ever.
fn configuration(rng: &mut SmallRng, checks: Option<bool>) -> Vec<Engine> {
    let versions: Vec<_> = (0..FIRST_ADAPTER + 2)
        .map(|_| ["", "1", "2"].into_iter().choose(rng).unwrap().to_owned())
        .collect();
    let version = |model: u32| (Model(model), versions[model as usize].clone());
    let mut models = vec![Versions::new(); ENGINES as usize];
    for engine in &mut models {
        engine.extend((0..MODELS).filter(|_| rng.random_bool(0.2)).map(version));
    }
    let serving: Vec<_> = (0..models.len()).choose_multiple(rng, 4);
    for model in (0..MODELS).chain(FIRST_ADAPTER..FIRST_ADAPTER + 2) {
        for index in serving.iter().choose_multiple(rng, 2) {
            models[*index].extend([version(model), version(model % FIRST_ADAPTER)]);
        }
    }
    let engines = (0..).zip(models).map(|(number, models)| {
        let serves = serving.contains(&(number as usize));
        let role = if serves { Role::Both } else { Role::ALL.into_iter().choose(rng).unwrap() };
        engine(number, models, role, checks.unwrap_or(number % 2 == 0))
    });
    engines.collect()
}

/// Guards against two holders that act at once, orders that take out the last engine of a model or an engine with
/// requests in flight, versions that change at two engines at once, loads that are not spaced, and states that are not
/// put right after faults. The world checks all but the last at every step.
#[gtest]
fn faults_do_no_harm_and_are_put_right() {
    struct Case {
        name: &'static str,
        routers: usize,
        /// Whether engines check fencing numbers; `None` for some of each kind.
        checks: Option<bool>,
        faults: Faults,
    }
    let none = Faults::default();
    let case = |name, checks, faults| Case { name, routers: 2, checks, faults };
    let pauses = Faults { pause: 0.02, ..none };
    let all = Faults { pause: 0.01, restart: 0.01, outage: 0.005, engine_death: 0.005, loss: 0.03 };
    let cases = [
        Case { routers: 1, ..case("one router", None, none) },
        case("two candidates", None, none),
        case("paused, checked", Some(true), pauses),
        case("paused, ignored", Some(false), pauses),
        case("lost answers", None, Faults { loss: 0.1, ..none }),
        case("store outages", None, Faults { outage: 0.02, ..none }),
        case("restarts", None, Faults { restart: 0.02, ..none }),
        case("engines die", None, Faults { engine_death: 0.02, ..none }),
        Case { routers: 3, ..case("everything", None, all) },
    ];
    for Case { name, routers, checks, faults } in cases {
        // Seeds 120 and 127 found orders that met an engine that had just restarted, 158 a load that was sent long after
        // it had been decided on, 186 the same with models that an order takes out, 143 an engine that had just loaded the
        // only copy of a model.
        for seed in seeds(8, &[120, 127, 143, 158, 186]) {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut world = World::new(seed, routers, configuration(&mut rng, checks), faults);
            for _ in 0..4 {
                world.run(120);
                world.configure(configuration(&mut rng, checks));
            }
            let settled = world.settles_within(600);
            println!("{name}: {:?}", world.seen);
            let now: Vec<_> =
                world.engines.values().map(|unit| unit.ready.iter().collect::<Vec<_>>()).collect();
            expect_that!(settled, eq(true), "{name} seed {seed}: {now:?} for {:?}", world.wanted);
            expect_that!(world.seen.acquisitions, gt(0), "{name} seed {seed}");
        }
    }
}

/// Guards against a woken holder whose late order remains in effect.
#[gtest]
fn paused_holder_is_refused_or_put_right() {
    for checks in [true, false] {
        let (mut refused, mut applied) = (0, 0);
        // In 143 a late order loads a model between a holder's report and its own order.
        for seed in seeds(12, &[143]) {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut world =
                World::new(seed, 2, configuration(&mut rng, Some(checks)), Faults::default());
            world.run(60);
            for _ in 0..4 {
                world.configure(configuration(&mut rng, Some(checks)));
                world.run(rng.random_range(0..30));
                world.pause_before_order(50);
                world.run(80);
            }
            refused += world.seen.stale_refused;
            applied += world.seen.stale_applied;
            expect_that!(world.settles_within(600), eq(true), "checks {checks} seed {seed}");
        }
        println!("checks {checks}: {refused} refused, {applied} applied");
        let met = if checks { refused } else { applied };
        expect_that!(met, gt(0), "checks {checks}: no old order arrived");
        expect_that!(checks && applied > 0, eq(false), "an old order had an effect");
    }
}

/// Guards against a planner that breaks the rule when it cannot be kept: the only engine of a model changes its role.
#[gtest]
fn last_engine_of_a_model_is_left_alone_and_reported() {
    let engine = |number, models: &[u32], role: &str| {
        let models = models.iter().map(|model| (Model(*model), String::new())).collect();
        engine(number, models, Role::named(role).unwrap(), true)
    };
    let mut world =
        World::new(1, 1, vec![engine(1, &[1], "both"), engine(2, &[], "both")], Faults::default());
    expect_that!(world.settles_within(100), eq(true));
    world.configure(vec![engine(1, &[1], "prefill"), engine(2, &[], "both")]);
    world.run(100);
    expect_that!(world.engines[&Endpoint(1)].ready.contains_key(&Model(1)), eq(true));
    expect_that!(world.blocked(0), elements_are![eq(&(Endpoint(1), Model(1)))]);
    world.configure(vec![engine(1, &[], "prefill"), engine(2, &[1], "both")]);
    expect_that!(world.settles_within(200), eq(true), "moved to another engine first");
    world.configure(vec![engine(1, &[], "prefill"), engine(2, &[], "both")]);
    expect_that!(world.settles_within(200), eq(true), "a model that is wanted nowhere may go");
}
