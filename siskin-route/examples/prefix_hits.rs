//! Blocks of shared prefixes found in the engines' caches, in parts per thousand, by the way in which routers choose an engine.
//!
//! `cargo run --release -p siskin-route --example prefix_hits` prints a row for each number of routers. Requests
//! share long prefixes, some far more often than others, and enter at random routers; each engine has a free slot with the given
//! probability, and a request goes to a free engine only, so that no choice keeps a slot idle.

use {
    indexmap::IndexSet,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_route::prefix::{Chain, Table, place},
    siskin_types::id::Endpoint,
};

const ENGINES: u32 = 12;
const PREFIXES: usize = 400;
const REQUESTS: usize = 60_000;
/// Blocks of a shared prefix and of the text behind it.
const PREFIX_BLOCKS: usize = 16;
const OWN_BLOCKS: usize = 2;
/// Blocks an engine caches: a tenth of all prefixes.
const CACHE_BLOCKS: usize = PREFIXES * PREFIX_BLOCKS / 10;
/// Blocks a router remembers.
const TABLE_BLOCKS: usize = 65_536;
const BLOCK_BYTES: usize = 512;

#[derive(Clone, Copy)]
enum Choice {
    Any,
    Table,
    Place,
    PlaceFirst,
    TableFirst,
    Known,
}

/// Least-recently-used cache of whole prefixes' blocks.
#[derive(Default)]
struct Cache(IndexSet<(usize, usize)>);

impl Cache {
    fn held(&self, prefix: usize) -> usize {
        (0..PREFIX_BLOCKS).take_while(|&block| self.0.contains(&(prefix, block))).count()
    }

    fn admit(&mut self, prefix: usize, number: usize) -> usize {
        let held = self.held(prefix);
        let shared = (0..PREFIX_BLOCKS).map(|block| (prefix, block));
        let own = (0..OWN_BLOCKS).map(|block| (PREFIXES + number, block));
        for block in shared.chain(own) {
            self.0.shift_remove(&block);
            self.0.insert(block);
        }
        let excess = self.0.len().saturating_sub(CACHE_BLOCKS);
        self.0.drain(..excess);
        held
    }
}

fn run(routers: usize, free: f64, choice: Choice) -> usize {
    let mut random = SmallRng::seed_from_u64(1);
    let mut caches: Vec<_> = (0..ENGINES).map(|_| Cache::default()).collect();
    let mut tables: Vec<_> = (0..routers).map(|_| Table::new(TABLE_BLOCKS)).collect();
    let chains: Vec<_> = (0..PREFIXES).map(chain).collect();
    let all: Vec<_> = (0..ENGINES).map(Endpoint).collect();
    let mut held = 0;
    for number in 0..REQUESTS {
        // The product makes the first prefixes the most frequent ones.
        let prefix = random.random_range(0..PREFIXES) * random.random_range(0..PREFIXES) / PREFIXES;
        let router = random.random_range(0..routers);
        let mut idle: Vec<_> = all.iter().copied().filter(|_| random.random_bool(free)).collect();
        if idle.is_empty() {
            idle.push(Endpoint(random.random_range(0..ENGINES)));
        }
        let any = idle[random.random_range(0..idle.len())];
        let chain = &chains[prefix];
        let placed = place(chain, all.iter().copied());
        let seen = tables[router].prefer(chain);
        let prefer = match choice {
            Choice::Any => Vec::new(),
            Choice::Table => seen,
            Choice::Place => placed,
            Choice::PlaceFirst => [placed, seen].concat(),
            Choice::TableFirst => [seen, placed].concat(),
            Choice::Known => {
                let mut known = all.clone();
                known.sort_by_key(|engine| usize::MAX - caches[engine.0 as usize].held(prefix));
                known.retain(|engine| caches[engine.0 as usize].held(prefix) > 0);
                [known, placed].concat()
            }
        };
        let engine = prefer.into_iter().find(|engine| idle.contains(engine)).unwrap_or(any);
        held += caches[engine.0 as usize].admit(prefix, number);
        tables[router].record(chain, engine);
    }
    held * 1_000 / (REQUESTS * PREFIX_BLOCKS)
}

fn chain(prefix: usize) -> Chain {
    let text = format!("{:<BLOCK_BYTES$}", format!("pack {prefix} "));
    Chain::new(1, &text.repeat(PREFIX_BLOCKS))
}

fn main() {
    println!("free   routers    any  table  place  place, table  table, place  exact, place");
    for free in [0.5, 0.25, 0.1] {
        for routers in [1, 8, 64, 300] {
            let all = [
                Choice::Any,
                Choice::Table,
                Choice::Place,
                Choice::PlaceFirst,
                Choice::TableFirst,
                Choice::Known,
            ];
            let [any, table, place, first, last, known] = all.map(|way| run(routers, free, way));
            println!(
                "{free:<5} {routers:>8} {any:>6} {table:>6} {place:>6} {first:>13} {last:>13} {known:>13}"
            );
        }
    }
}
