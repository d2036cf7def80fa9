//! Simulated continuous batching: slots in order of arrival, then a steady token rate per stream.

use {
    super::{Options, cache::Cache, chat::Answer},
    crate::{
        endpoint::{self, Guard, Life},
        fault::Plan,
        load::Load,
        run::{End, History, Run},
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, task::AbortHandle, time::Instant},
};

/// Ended jobs kept so that their streams can be resumed.
const JOBS_KEPT: usize = 10_000;

/// Cached prompt tokens count a tenth, as in the design's cost of a request.
const CACHED_TOKENS_PER_UNIT: u64 = 10;

/// How far a job is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Tokens produced so far.
    pub(crate) produced: u32,
    /// Prompt tokens found in the cache, known when the job starts.
    pub(crate) cached: u64,
    /// It has a slot or had one.
    pub(crate) started: bool,
    /// No more tokens will follow.
    pub(crate) ended: bool,
}

/// A request that the engine knows.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) answer: Answer,
    pub(crate) progress: watch::Receiver<Progress>,
    user: String,
    prompt: Arc<str>,
    task: AbortHandle,
    /// Deliveries begun; only the latest one cancels the job when its connection closes.
    deliveries: AtomicU64,
}

impl Job {
    /// Begins a delivery and returns its number.
    pub(crate) fn deliver(&self) -> u64 {
        self.deliveries.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Cancels the job if `delivery` is the latest one.
    pub(crate) fn abandon(&self, delivery: u64) {
        if self.deliveries.load(Ordering::Relaxed) == delivery {
            self.task.abort();
        }
    }
}

/// One life of the engine process; a crash begins a new one.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) life: Arc<Life>,
    pub(crate) cache: Mutex<Cache>,
    jobs: Mutex<Jobs>,
}

#[derive(Debug, Default)]
struct Jobs {
    by_request: HashMap<String, Arc<Job>>,
    order: VecDeque<String>,
}

/// What a job needs from the engine.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) options: Arc<Options>,
    pub(crate) history: Arc<History>,
    pub(crate) plan: Arc<Plan>,
}

/// A request to run.
pub(crate) struct Work {
    pub(crate) answer: Answer,
    pub(crate) user: String,
    pub(crate) idempotency: Option<String>,
    pub(crate) prompt: Arc<str>,
    /// Tokens that an earlier run produced.
    pub(crate) produced: u32,
    pub(crate) resumed: bool,
}

impl endpoint::Instance for Instance {
    type Options = Options;

    /// Starts an instance with an empty cache and `models` loaded.
    fn new(number: u64, options: &Options, leaving: bool) -> Self {
        let slots = options.slots;
        let load = Load {
            slots,
            leaving,
            instance: number,
            models: options.models.clone(),
            versions: options
                .models
                .iter()
                .filter(|_| !options.version.is_empty())
                .map(|model| (model.clone(), options.version.clone()))
                .collect(),
            software: options.software.clone(),
            role: options.role.clone(),
            ..Load::default()
        };
        Self {
            life: Life::new(options.load_lag, load),
            cache: Mutex::new(Cache::new(options.cache_tokens, options.events_gap, number)),
            jobs: Mutex::default(),
        }
    }

    fn life(&self) -> &Arc<Life> {
        &self.life
    }

    /// Ends all jobs.
    fn abort(&self) {
        for job in crate::lock(&self.jobs).by_request.values() {
            job.task.abort();
        }
    }
}

impl Instance {
    /// The job of a request.
    pub(crate) fn job(&self, request: &str) -> Option<Arc<Job>> {
        crate::lock(&self.jobs).by_request.get(request).cloned()
    }

    /// Starts a job.
    pub(crate) fn start(self: &Arc<Self>, context: &Context, work: Work) -> Arc<Job> {
        let number = context.history.arrived(Run {
            request: work.answer.request.clone(),
            idempotency: work.idempotency.clone(),
            user: work.user.clone(),
            instance: self.life.number,
            resumed: work.resumed,
            arrived: std::time::Instant::now(),
            started: None,
            ended: None,
            units: 0,
            end: End::Open,
        });
        let first = Progress { produced: work.produced, ..Progress::default() };
        let (sender, progress) = watch::channel(first);
        // A free slot is taken at once. If requests wait, the semaphore keeps free slots for them.
        let slot = Arc::clone(&self.life.slots).try_acquire_owned().ok();
        let history = Arc::clone(&context.history);
        let guard = Guard::new(Arc::clone(&self.life), history, number, slot);
        let (answer, user) = (work.answer.clone(), work.user.clone());
        let prompt = Arc::clone(&work.prompt);
        let task = tokio::spawn(run(Arc::clone(self), guard, context.clone(), work, sender));
        let deliveries = AtomicU64::new(0);
        let task = task.abort_handle();
        let job = Arc::new(Job { answer, progress, user, prompt, task, deliveries });
        self.keep(Arc::clone(&job));
        job
    }

    /// Continues a job that was cancelled, or returns it as it is.
    pub(crate) fn resume(self: &Arc<Self>, context: &Context, job: Arc<Job>) -> Arc<Job> {
        let progress = *job.progress.borrow();
        if progress.ended || !job.task.is_finished() {
            return job;
        }
        let work = Work {
            answer: job.answer.clone(),
            user: job.user.clone(),
            idempotency: None,
            prompt: Arc::clone(&job.prompt),
            produced: progress.produced,
            resumed: true,
        };
        self.start(context, work)
    }

    /// Cancels a request; false if it is unknown.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let job = self.job(request);
        if let Some(job) = &job {
            job.task.abort();
        }
        job.is_some()
    }

    /// Cuts off all requests for models that are unloaded.
    pub(crate) fn cut_off(&self, unloaded: impl Fn(&str) -> bool) {
        for job in crate::lock(&self.jobs).by_request.values() {
            if unloaded(&job.answer.model) {
                job.task.abort();
            }
        }
    }

    fn keep(&self, job: Arc<Job>) {
        let mut jobs = crate::lock(&self.jobs);
        let request = job.answer.request.clone();
        if jobs.by_request.insert(request.clone(), job).is_none() {
            jobs.order.push_back(request);
        }
        if jobs.order.len() > JOBS_KEPT
            && let Some(oldest) = jobs.order.pop_front()
        {
            jobs.by_request.remove(&oldest);
        }
    }
}

/// Runs a job: waits for a slot, reads the prompt, then produces tokens at a steady rate.
async fn run(
    instance: Arc<Instance>,
    mut guard: Guard,
    context: Context,
    work: Work,
    progress: watch::Sender<Progress>,
) {
    if !guard.wait().await {
        return;
    }
    let answer = &work.answer;
    let names = std::iter::once(answer.request.as_str()).chain(work.idempotency.as_deref());
    context.history.started(guard.number, names);
    let cached = {
        let mut cache = crate::lock(&instance.cache);
        cache.admit(&answer.request, &answer.model, &work.prompt).min(answer.prompt_tokens)
    };
    progress.send_modify(|progress| {
        progress.started = true;
        progress.cached = cached;
    });
    let fresh = answer.prompt_tokens - cached;
    let mut due = Instant::now() + context.slowed(times(context.options.prompt_token, fresh));
    tokio::time::sleep_until(due).await;
    if !work.resumed {
        context.history.served(guard.number, fresh + cached / CACHED_TOKENS_PER_UNIT);
    }
    for produced in work.produced..answer.tokens {
        due += context.slowed(context.options.token_interval);
        tokio::time::sleep_until(due).await;
        context.history.served(guard.number, 1);
        progress.send_modify(|progress| progress.produced = produced + 1);
    }
    guard.completed = true;
    drop(guard);
    progress.send_modify(|progress| progress.ended = true);
}

impl Context {
    fn slowed(&self, time: Duration) -> Duration {
        time.saturating_mul(self.plan.factor())
    }
}

fn times(time: Duration, count: u64) -> Duration {
    time.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
