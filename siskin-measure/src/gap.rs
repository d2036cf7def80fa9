//! Fairness gap between customers that stay backlogged.

use hdrhistogram::Histogram;

/// Follows the service of customers. For two customers, the gap is the largest difference between what
/// one and the other got, per unit of weight, over any part of a time in which both had work waiting.
///
/// ```
/// use siskin_measure::gap::Gap;
/// let mut gap = Gap::new(2);
/// gap.sample(&[0.0, 0.0], &[true, true]);
/// gap.sample(&[10.0, 4.0], &[true, true]);
/// assert_eq!(gap.largest(), 6.0);
/// // A customer without waiting work has no claim to service.
/// gap.sample(&[90.0, 4.0], &[true, false]);
/// assert_eq!(gap.largest(), 6.0);
/// ```
#[derive(Clone, Debug)]
pub struct Gap {
    customers: usize,
    /// Least and largest difference of each pair since both have been backlogged.
    pairs: Vec<Option<(f64, f64)>>,
    largest: f64,
    over_time: Histogram<u64>,
}

impl Gap {
    /// Starts with `customers` customers.
    #[must_use]
    pub fn new(customers: usize) -> Self {
        Self {
            customers,
            pairs: vec![None; customers * customers],
            largest: 0.0,
            over_time: crate::tally::histogram(),
        }
    }

    /// Adds the service per unit of weight of each customer so far and whether it is backlogged.
    pub fn sample(&mut self, service: &[f64], backlogged: &[bool]) {
        let mut now: Option<f64> = None;
        for one in 0..self.customers {
            for other in one + 1..self.customers {
                let pair = &mut self.pairs[one * self.customers + other];
                if !(backlogged[one] && backlogged[other]) {
                    *pair = None;
                    continue;
                }
                let difference = service[one] - service[other];
                let (least, most) = pair.unwrap_or((difference, difference));
                *pair = Some((least.min(difference), most.max(difference)));
                let gap = (difference - least).max(most - difference);
                now = Some(now.map_or(gap, |now| now.max(gap)));
            }
        }
        if let Some(gap) = now {
            self.largest = self.largest.max(gap);
            // Whole units are exact enough: a token is one unit.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            self.over_time.saturating_record(gap.max(0.0) as u64);
        }
    }

    /// The largest gap.
    #[must_use]
    pub const fn largest(&self) -> f64 {
        self.largest
    }

    /// The gap that was not exceeded in 99% of the samples.
    #[must_use]
    pub fn p99(&self) -> u64 {
        self.over_time.value_at_quantile(0.99)
    }

    /// Samples in which at least two customers were backlogged.
    #[must_use]
    pub fn samples(&self) -> u64 {
        self.over_time.len()
    }
}
