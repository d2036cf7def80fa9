//! Reads the routers' metrics from their Prometheus pages.

use indexmap::IndexMap;

/// Sums of counters over routers, by name and labels as the page writes them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page(IndexMap<String, f64>);

impl Page {
    /// Adds the counters of a page.
    ///
    /// ```
    /// use siskin_measure::page::Page;
    /// let mut page = Page::default();
    /// page.add("# TYPE a counter\na{reason=\"x\",b=\"y\"} 2\nc 1\n");
    /// page.add("a{reason=\"x\",b=\"z\"} 3\n");
    /// assert_eq!(page.sum("a", &[("reason", "x")]), 5.0);
    /// assert_eq!(page.by("a", "b")["z"], 3.0);
    /// ```
    pub fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else { continue };
            if let Ok(value) = value.parse::<f64>() {
                *self.0.entry(name.to_owned()).or_default() += value;
            }
        }
    }

    /// Adds the counters of another router.
    pub fn merge(&mut self, other: &Self) {
        for (name, value) in &other.0 {
            *self.0.entry(name.clone()).or_default() += value;
        }
    }

    /// What has been added since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let earlier = |name: &String| before.0.get(name).copied().unwrap_or_default();
        Self(self.0.iter().map(|(name, value)| (name.clone(), value - earlier(name))).collect())
    }

    /// Sum of a counter over all series that have these labels.
    #[must_use]
    pub fn sum(&self, name: &str, labels: &[(&str, &str)]) -> f64 {
        let wanted = |series: &str| {
            labels.iter().all(|(label, value)| labelled(series, label) == Some(*value))
        };
        let values = self.series(name).filter(|(series, _)| wanted(series)).map(|(_, value)| value);
        // `sum` of no values is negative zero.
        values.fold(0.0, |sum, value| sum + value)
    }

    /// Sums of a counter by the value of one label, without those that are zero.
    #[must_use]
    pub fn by(&self, name: &str, label: &str) -> IndexMap<String, f64> {
        let mut sums = IndexMap::new();
        for (series, value) in self.series(name).filter(|(_, value)| *value != 0.0) {
            let key = labelled(series, label).unwrap_or_default().to_owned();
            *sums.entry(key).or_default() += value;
        }
        sums
    }

    fn series<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a str, f64)> {
        let named = move |series: &str| {
            series.strip_prefix(name).is_some_and(|rest| rest.is_empty() || rest.starts_with('{'))
        };
        let all = self.0.iter().map(|(series, value)| (series.as_str(), *value));
        all.filter(move |(series, _)| named(series))
    }
}

/// The value of a label. Values of the routers' labels contain no quotes.
fn labelled<'a>(series: &'a str, label: &str) -> Option<&'a str> {
    let labels = series.split_once('{')?.1.strip_suffix('}')?;
    labels.split(',').find_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (name == label).then(|| value.trim_matches('"'))
    })
}
