//! True history of what an endpoint ran.

use {
    indexmap::IndexMap,
    std::{sync::Mutex, time::Instant},
};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It still runs or waits for a slot.
    Open,
    /// It ran to its end.
    Completed,
    /// It was cancelled, or its connection closed.
    Cancelled,
    /// The endpoint died while it ran.
    Crashed,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request identifier.
    pub request: String,
    /// Idempotency key, if the caller sent one.
    pub idempotency: Option<String>,
    /// Who the request is charged to: `user` of a model call, `X-Standin-User` of an application call.
    pub user: String,
    /// Instance of the endpoint that ran it.
    pub instance: u64,
    /// Continues an earlier run of the same request, so it is not a run of its own.
    pub resumed: bool,
    /// When the request arrived.
    pub arrived: Instant,
    /// When it got a slot.
    pub started: Option<Instant>,
    /// When it ended.
    pub ended: Option<Instant>,
    /// Units of service: tokens produced, or milliseconds.
    pub units: u64,
    /// How it ended.
    pub end: End,
}

/// Service to one user.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Units of service: tokens, of which cached prompt tokens count a tenth, or milliseconds.
    pub units: u64,
    /// Runs that hold a slot.
    pub running: u32,
}

/// Number of a run in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Number(usize);

#[derive(Debug, Default)]
struct Table {
    runs: Vec<Run>,
    /// Runs that started, by each name the request has.
    started: IndexMap<String, u64>,
    /// Service by user.
    service: IndexMap<String, Service>,
}

impl Table {
    fn end(&mut self, number: usize, end: End) {
        let run = &mut self.runs[number];
        if run.end != End::Open {
            return;
        }
        run.end = end;
        run.ended = Some(Instant::now());
        if run.started.is_some()
            && let Some(service) = self.service.get_mut(&run.user)
        {
            service.running -= 1;
        }
    }
}

/// History of runs.
#[derive(Debug, Default)]
pub(crate) struct History {
    table: Mutex<Table>,
}

impl History {
    /// Records an arrival.
    pub(crate) fn arrived(&self, run: Run) -> Number {
        let mut table = crate::lock(&self.table);
        table.runs.push(run);
        Number(table.runs.len() - 1)
    }

    /// Records that a run got a slot; `names` are what callers may know it by.
    pub(crate) fn started<'a>(&self, number: Number, names: impl IntoIterator<Item = &'a str>) {
        let mut table = crate::lock(&self.table);
        let run = &mut table.runs[number.0];
        run.started = Some(Instant::now());
        let (user, resumed) = (run.user.clone(), run.resumed);
        table.service.entry(user).or_default().running += 1;
        if resumed {
            return;
        }
        for name in names {
            *table.started.entry(name.to_owned()).or_default() += 1;
        }
    }

    /// Charges `units` of service to the user of a run.
    pub(crate) fn served(&self, number: Number, units: u64) {
        let mut table = crate::lock(&self.table);
        let run = &mut table.runs[number.0];
        run.units += units;
        let user = run.user.clone();
        table.service.entry(user).or_default().units += units;
    }

    /// Records the end of a run; later ends of the same run are ignored.
    pub(crate) fn ended(&self, number: Number, end: End) {
        crate::lock(&self.table).end(number.0, end);
    }

    /// Records that the process died: every open run crashed.
    pub(crate) fn crashed(&self) {
        let mut table = crate::lock(&self.table);
        for number in 0..table.runs.len() {
            table.end(number, End::Crashed);
        }
    }

    /// How many runs of the request with this name started.
    pub(crate) fn runs(&self, name: &str) -> u64 {
        crate::lock(&self.table).started.get(name).copied().unwrap_or_default()
    }

    /// All names with the number of runs started.
    pub(crate) fn counts(&self) -> IndexMap<String, u64> {
        crate::lock(&self.table).started.clone()
    }

    /// Service by user.
    pub(crate) fn service(&self) -> IndexMap<String, Service> {
        crate::lock(&self.table).service.clone()
    }

    /// The history so far.
    pub(crate) fn log(&self) -> Vec<Run> {
        crate::lock(&self.table).runs.clone()
    }
}
