//! Prefix cache hit rates of several strategies by which routers choose an engine, in blocks per thousand blocks of
//! shared prefixes.
//!
//! `cargo run --release -p siskin-route --example prefix_hits` prints one row per probability of a free slot and number
//! of routers. Requests share long prefixes, some much more often than others, and arrive at random routers. Each
//! engine has a free slot with the given probability, and a request is sent to a free engine only, so no strategy
//! leaves a slot idle.

use {
    indexmap::IndexSet,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_route::prefix::{Chain, Table, place},
    siskin_types::id::Endpoint,
};

const ENGINES: u32 = 12;
const PREFIXES: usize = 400;
const REQUESTS: usize = 60_000;
/// Blocks of a shared prefix and of the request's own text after it.
const PREFIX_BLOCKS: usize = 16;
const OWN_BLOCKS: usize = 2;
/// Blocks that an engine caches: a tenth of all prefixes.
const CACHE_BLOCKS: usize = PREFIXES * PREFIX_BLOCKS / 10;
/// Blocks that a router's prefix table remembers.
const TABLE_BLOCKS: usize = 65_536;
const BLOCK_BYTES: usize = 512;

#[derive(Clone, Copy)]
enum Strategy {
    Random,
    TableOnly,
    PlacementOnly,
    PlacementFirst,
    TableFirst,
    Exact,
}

/// An engine's prefix cache: an LRU cache of blocks, which are identified by prefix and position.
#[derive(Default)]
struct Cache(IndexSet<(usize, usize)>);

impl Cache {
    fn cached_blocks(&self, prefix: usize) -> usize {
        (0..PREFIX_BLOCKS).take_while(|&block| self.0.contains(&(prefix, block))).count()
    }

    fn admit(&mut self, prefix: usize, number: usize) -> usize {
        let cached_blocks = self.cached_blocks(prefix);
        let shared = (0..PREFIX_BLOCKS).map(|block| (prefix, block));
        let own = (0..OWN_BLOCKS).map(|block| (PREFIXES + number, block));
        for block in shared.chain(own) {
            self.0.shift_remove(&block);
            self.0.insert(block);
        }
        let excess = self.0.len().saturating_sub(CACHE_BLOCKS);
        self.0.drain(..excess);
        cached_blocks
    }
}

fn run(routers: usize, free_probability: f64, strategy: Strategy) -> usize {
    let mut random = SmallRng::seed_from_u64(1);
    let mut caches: Vec<_> = (0..ENGINES).map(|_| Cache::default()).collect();
    let mut tables: Vec<_> = (0..routers).map(|_| Table::new(TABLE_BLOCKS)).collect();
    let chains: Vec<_> = (0..PREFIXES).map(chain).collect();
    let all: Vec<_> = (0..ENGINES).map(Endpoint).collect();
    let mut cached_blocks = 0;
    for number in 0..REQUESTS {
        // The product of two uniform values makes low-numbered prefixes the most frequent.
        let prefix = random.random_range(0..PREFIXES) * random.random_range(0..PREFIXES) / PREFIXES;
        let router = random.random_range(0..routers);
        let mut free_engines: Vec<_> =
            all.iter().copied().filter(|_| random.random_bool(free_probability)).collect();
        if free_engines.is_empty() {
            free_engines.push(Endpoint(random.random_range(0..ENGINES)));
        }
        let random_engine = free_engines[random.random_range(0..free_engines.len())];
        let chain = &chains[prefix];
        let placed = place(chain, all.iter().copied());
        let recorded = tables[router].likely_endpoints(chain);
        let candidates = match strategy {
            Strategy::Random => Vec::new(),
            Strategy::TableOnly => recorded,
            Strategy::PlacementOnly => placed,
            Strategy::PlacementFirst => [placed, recorded].concat(),
            Strategy::TableFirst => [recorded, placed].concat(),
            Strategy::Exact => {
                let mut known = all.clone();
                known.sort_by_key(|engine| {
                    usize::MAX - caches[engine.0 as usize].cached_blocks(prefix)
                });
                known.retain(|engine| caches[engine.0 as usize].cached_blocks(prefix) > 0);
                [known, placed].concat()
            }
        };
        let engine = candidates
            .into_iter()
            .find(|engine| free_engines.contains(engine))
            .unwrap_or(random_engine);
        cached_blocks += caches[engine.0 as usize].admit(prefix, number);
        tables[router].record(chain, engine);
    }
    cached_blocks * 1_000 / (REQUESTS * PREFIX_BLOCKS)
}

fn chain(prefix: usize) -> Chain {
    let text = format!("{:<BLOCK_BYTES$}", format!("pack {prefix} "));
    Chain::new(1, &text.repeat(PREFIX_BLOCKS))
}

fn main() {
    println!("free   routers    any  table  place  place, table  table, place  exact, place");
    for free_probability in [0.5, 0.25, 0.1] {
        for routers in [1, 8, 64, 300] {
            let all = [
                Strategy::Random,
                Strategy::TableOnly,
                Strategy::PlacementOnly,
                Strategy::PlacementFirst,
                Strategy::TableFirst,
                Strategy::Exact,
            ];
            let [random, table, placed, placed_first, table_first, exact] =
                all.map(|strategy| run(routers, free_probability, strategy));
            println!(
                "{free_probability:<5} {routers:>8} {random:>6} {table:>6} {placed:>6} {placed_first:>13} {table_first:>13} {exact:>13}"
            );
        }
    }
}
