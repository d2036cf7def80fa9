//! What endpoints say of themselves: taken from their answers, logged and counted.

use {
    super::Gateway,
    crate::{exchange::millis, protocol::Answer},
    siskin_dispatch::{
        condition::{Gate, News, Reason, Source},
        pool::Pool,
    },
    siskin_types::id::Endpoint,
    std::time::Duration,
};

impl Gateway {
    /// Why no request that was meant for an endpoint may be sent there any more. A request that is tried after a back-off may.
    pub(crate) fn shut(&self, service: &str, endpoint: Endpoint) -> Option<Reason> {
        let now = self.clock.now();
        self.table(|table| match table.pools.get(service)?.gate(now, endpoint) {
            Gate::Open | Gate::Trial | Gate::Shut(Reason::Trial) => None,
            Gate::Shut(reason) => Some(reason),
        })
    }

    /// Takes over what an endpoint says of itself in the head of an answer.
    pub(crate) fn note_answer(&self, service: &str, endpoint: Endpoint, answer: &Answer<'_>) {
        let now = self.clock.now();
        self.table(|table| {
            let Some(pool) = table.pools.get_mut(service) else { return };
            if answer.leaving {
                pool.leaves(now, endpoint);
            }
            match answer.backoff {
                Some(time) => pool.backs_off(now, endpoint, time),
                None if !answer.not_run => pool.accepts(now, endpoint),
                None => {}
            }
        });
        self.report_conditions();
    }

    /// The process was suspended for a while that its clock does not count.
    pub(super) fn note_suspension(&self, time: Duration) {
        self.table(|table| table.pools.values_mut().for_each(|pool| pool.suspended(time)));
    }

    /// Logs what endpoints have said of themselves since this was last called.
    pub(crate) fn report_conditions(&self) {
        let news: Vec<_> =
            self.table(|table| table.pools.values_mut().flat_map(Pool::take_news).collect());
        if news.is_empty() {
            return;
        }
        let directory = self.directory();
        for (endpoint, news) in news {
            let listed = directory.get(endpoint);
            let instance = listed.map_or("", |listed| listed.instance.as_str());
            match news {
                News::Leaves { source, age } => {
                    log::info!(
                        endpoint:% = endpoint, instance, source = source.label(), age_ms = millis(age);
                        "endpoint leaves; it gets no more requests"
                    );
                    if let Some(listed) = listed {
                        self.upstream.purge(listed.address);
                    }
                }
                News::BacksOff { time } => {
                    self.metrics.backoffs.inc();
                    log::info!(
                        endpoint:% = endpoint, instance, time_ms = millis(time);
                        "endpoint asked to back off; it gets no requests until then"
                    );
                }
                News::Accepts => log::info!(
                    endpoint:% = endpoint, instance; "endpoint takes requests again"
                ),
            }
        }
    }

    /// Counts the endpoints that leave and those that have asked this router to back off.
    pub(crate) fn count_conditions(&self) {
        let now = self.clock.now();
        let (leaving, backing_off) = self.table(|table| {
            let leaving: Vec<Source> = table.pools.values().flat_map(Pool::leaving).collect();
            let backing_off = table.pools.values().map(|pool| pool.backing_off(now)).sum::<usize>();
            (leaving, backing_off)
        });
        for source in Source::ALL {
            let count = leaving.iter().filter(|one| **one == source).count();
            let gauge = self.metrics.endpoints_leaving.with_label_values(&[source.label()]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        self.metrics.endpoints_backing_off.set(i64::try_from(backing_off).unwrap_or(i64::MAX));
    }
}
